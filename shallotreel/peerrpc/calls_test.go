package peerrpc

import (
	"testing"
	"testing/synctest"
)

// TestCalls checks that a connection with many calls waits while too many are in progress, and that others do not.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := newCalls()
		many, few := 0, 0
		for range maxCalls {
			calls.begin(&many)
		}
		for range minCalls {
			calls.begin(&few)
		}
		begun := make(chan bool, 2)
		go func() {
			calls.begin(&few)
			begun <- true
		}()
		for range minCalls + 1 { // as many calls as go beyond the limit, and one more
			synctest.Wait()
			if len(begun) > 0 {
				t.Fatalf("a call begins beside %d in progress", maxCalls+minCalls)
			}
			calls.end(&many)
		}
		<-begun
		if calls.total != maxCalls {
			t.Errorf("%d calls are in progress, want %d", calls.total, maxCalls)
		}
	})
}
