package connpool

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"
)

// serveCopies answers each request with its number on the connection, and sends the response a second time before the next one.
func serveCopies(conn net.Conn, reader *bufio.Reader) {
	last := ""
	for i := 0; ; i++ {
		id := read(reader)
		if id == "" {
			return
		}
		body := fmt.Sprint("number ", i)
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		fmt.Fprint(conn, last, response)
		last = response
	}
}

// TestLaterAttemptOfRequest guards against a second copy of a response that counts as the response to a later attempt of the same request,
// however many other requests the connection served between the two.
func TestLaterAttemptOfRequest(t *testing.T) {
	pool := NewPool()
	address := serve(t, serveCopies)
	history := &History{}
	start := func() Result {
		call, results := newCall(address, "one")
		call.History = history
		pool.Start(call)
		return await(t, results)
	}
	for attempt := range uint64(5) {
		result := start()
		assertBody(t, result, "number 0")
		if result.Connection != attempt+1 {
			t.Errorf("attempt %d was sent on connection %d", attempt+1, result.Connection)
		}
		if _, dials := pool.Counts(); dials != attempt+1 {
			t.Errorf("%d connections were opened for %d attempts", dials, attempt+1)
		}
	}
	call, results := newCall(address, "two")
	pool.Start(call)
	<-results
	if _, dials := pool.Counts(); dials != 5 {
		t.Errorf("another request used a new connection")
	}
}

// TestCanStartLaterAttempt guards against a target that is chosen for a later attempt whose connection cannot be opened.
func TestCanStartLaterAttempt(t *testing.T) {
	pool := NewPool()
	address := serve(t, serveCopies)
	history := &History{}
	call, results := newCall(address, "one")
	call.History = history
	pool.Start(call)
	assertBody(t, await(t, results), "number 0")
	pool.recordReset(address)
	if now := time.Now(); pool.CanStart(now, address, history) || !pool.CanStart(now, address, nil) || !pool.CanStart(now, address, &History{}) {
		t.Error("want the idle connection to be free for all requests but the one that has used it")
	}
}
