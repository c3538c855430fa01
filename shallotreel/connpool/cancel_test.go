package connpool

import (
	"testing"
	"time"
)

// TestCancelDoesNotWaitForDone guards against a caller's disconnection that is held up while the end of another attempt of its request is
// still being examined.
func TestCancelDoesNotWaitForDone(t *testing.T) {
	ending, examined := make(chan struct{}), make(chan struct{})
	call := &Call{Done: func(Result) {
		close(ending)
		<-examined
	}}
	go call.finish(Result{})
	<-ending
	canceled := make(chan struct{})
	go func() {
		NewPool().Cancel(call)
		close(canceled)
	}()
	select {
	case <-canceled:
	case <-time.After(20 * time.Second): // only if it waits
		t.Error("Cancel waits for Done")
	}
	close(examined)
}
