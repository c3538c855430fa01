package connpool

import (
	"bufio"
	"errors"
	"net"
	"testing"
)

// TestMaxConnections checks that the pool opens no connection beyond its limit, and closes an idle one for a call to another target.
func TestMaxConnections(t *testing.T) {
	proceed := make(chan bool)
	hold := func(conn net.Conn, reader *bufio.Reader) {
		for id := read(reader); id != ""; id = read(reader) {
			<-proceed
			reply(conn, id, "body")
		}
	}
	first, second := serve(t, hold), serve(t, hold)
	pool := NewPool(WithMaxConnections(2))
	var running []chan Result
	for _, id := range []string{"one", "two"} {
		call, results := newCall(first, id)
		pool.Start(call)
		running = append(running, results)
	}
	refused, results := newCall(second, "three")
	pool.Start(refused)
	if result := await(t, results); !errors.Is(result.Err, ErrTooManyConnections) || result.Sent {
		t.Errorf("the result is %+v, want %v, unsent", result, ErrTooManyConnections)
	}
	if pool.Refused() != 1 {
		t.Errorf("%d calls are counted as refused, want 1", pool.Refused())
	}
	for range running {
		proceed <- true
	}
	for _, results := range running {
		assertBody(t, await(t, results), "body")
	}
	other, results := newCall(second, "four")
	pool.Start(other)
	proceed <- true
	assertBody(t, await(t, results), "body")
	if open, dials := pool.Counts(); open != 2 || dials != 3 {
		t.Errorf("%d connections are open of %d, want 2 of 3", open, dials)
	}
}
