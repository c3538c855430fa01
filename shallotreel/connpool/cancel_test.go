package connpool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"runtime"
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

// assertCancel checks whether Cancel reports that anything of the call was sent.
func assertCancel(t *testing.T, pool *Pool, call *Call, want bool) {
	t.Helper()
	if sent := pool.Cancel(call); sent != want {
		t.Errorf("Cancel reports sent %v, want %v", sent, want)
	}
}

// TestCancelOfAssignedConnection guards against a request that is reported as not sent, and sent again, because its response was read but not
// delivered yet, and against a connection that is closed under the next call.
func TestCancelOfAssignedConnection(t *testing.T) {
	pool := NewPool()
	near, far := net.Pipe()
	defer far.Close()
	connection := newConnection(pool, netip.AddrPort{}, near)
	call, results := newCall(netip.AddrPort{}, "one")
	if !pool.assign(call, connection) || !pool.release(connection, time.Minute) {
		t.Fatal("the call got no connection")
	}
	next, _ := newCall(netip.AddrPort{}, "two")
	if pool.takeIdle(next) != connection {
		t.Fatal("the connection is not reused")
	}
	assertCancel(t, pool, call, true)
	if result := await(t, results); !result.Sent || !pool.MayBeSent(call) {
		t.Error("the call is reported as not sent")
	}
	if connection.closed {
		t.Error("the connection of the next call is closed")
	}
	canceled, _ := newCall(netip.AddrPort{}, "three")
	assertCancel(t, pool, canceled, false)
	if pool.release(connection, time.Minute); pool.takeIdle(canceled) != nil {
		t.Error("a canceled call gets an idle connection")
	}
}

// yield lets other goroutines run the given number of times.
func yield(times int) {
	for range times {
		runtime.Gosched()
	}
}

// TestCancelAtAssignment guards against requests that are sent after Cancel has reported that nothing was: it cancels calls at the
// moment when their connection is opened.
func TestCancelAtAssignment(t *testing.T) {
	received := make(chan int, 1)
	address := serve(t, func(_ net.Conn, reader *bufio.Reader) {
		bytes, _ := io.ReadAll(reader) // until the connection is closed
		received <- len(bytes)
	})
	outcomes := map[bool]int{}
	for round := range 600 {
		opened := make(chan struct{})
		pool := NewPool(WithDial(func(_ context.Context, network, address string) (net.Conn, error) {
			conn, err := net.Dial(network, address)
			close(opened)
			yield(round % 24)
			return conn, err
		}))
		call, results := newCall(address, "one")
		pool.Start(call)
		<-opened
		yield(round / 24 % 25)
		sent := pool.Cancel(call)
		outcomes[sent]++
		select {
		case bytes := <-received:
			if !sent && bytes > 0 {
				t.Fatalf("%d bytes arrive, although nothing was sent", bytes)
			}
		case <-time.After(waitLimit):
			t.Fatal("the connection is not closed")
		}
		if result := await(t, results); result.Sent != sent {
			t.Fatalf("the result says sent %v, Cancel %v", result.Sent, sent)
		}
	}
	t.Logf("sent: %d, not sent: %d", outcomes[true], outcomes[false])
}
