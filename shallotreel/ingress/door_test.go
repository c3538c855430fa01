package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"shallotreel.example/shallotreel/connpool"
	"shallotreel.example/shallotreel/intake"
)

const doorWait = 5 * time.Second // for answers

// serveBehindDoor serves the handler of the fixture behind a door, with a pool that shares a memory of so many bytes.
func serveBehindDoor(t *testing.T, fixture *fixture, bytes int64) (memory *intake.Memory, address string) {
	t.Helper()
	memory = intake.NewMemory(bytes)
	fixture.serveOver(connpool.NewPool(connpool.WithMemory(memory)))
	door := memory.Door(64)
	server := httptest.NewUnstartedServer(door.Handler(fixture.handler))
	server.Config.ConnState, server.Config.ConnContext = door.Follow, door.Context
	server.Listener = door.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return memory, server.Listener.Addr().String()
}

// visitor is a connection of a caller.
type visitor struct {
	t    *testing.T
	conn net.Conn
}

// visit opens a connection and sends a request with the deadline, and the beginning of its body.
func visit(t *testing.T, address string, deadline time.Duration, length int, body string) visitor {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(doorWait)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "POST /x/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: one\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		deadline.Milliseconds(), length, body); err != nil {
		t.Fatal(err)
	}
	return visitor{t, conn}
}

// assertAnswer checks the status of the answer, and returns the rest of it.
func (visitor visitor) assertAnswer(status int) *http.Response {
	visitor.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(visitor.conn), nil)
	if err != nil || response.StatusCode != status {
		visitor.t.Fatalf("got %+v, %v, want status %d", response, err, status)
	}
	return response
}

// assertMemory checks that the memory holds as much as the condition wants in the end.
func assertMemory(t *testing.T, memory *intake.Memory, isRight func(held int64) bool) {
	t.Helper()
	for deadline := time.Now().Add(doorWait); !isRight(memory.Held()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are counted", memory.Held())
		}
	}
}

func isNothing(held int64) bool { return held == 0 }

// TestStalledBody checks that a body that does not get on gives way to another one, with an answer that promises that it has not run.
func TestStalledBody(t *testing.T) {
	const size = 300 << 10
	fixture := newFixtureAt(t, writeRoute, listenRaw(t, answerWith("HTTP/1.1 200 OK")))
	memory, address := serveBehindDoor(t, fixture, 1<<20)
	stalled := visit(t, address, doorWait, size, strings.Repeat("x", size-1))
	assertMemory(t, memory, func(held int64) bool { return held >= size })
	visit(t, address, doorWait, size/2, strings.Repeat("y", size/2)).assertAnswer(http.StatusOK)
	response := stalled.assertAnswer(http.StatusServiceUnavailable)
	if response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("the answer is %+v, want a Retry-After and the end of the connection", response)
	}
	stalled.conn.Close()
}

// TestBodyAtDeadline checks that a body that is not complete at the deadline of its request is refused then.
func TestBodyAtDeadline(t *testing.T) {
	fixture := newFixtureAt(t, writeRoute, listenRaw(t, answerWith("HTTP/1.1 200 OK")))
	memory, address := serveBehindDoor(t, fixture, 1<<20)
	visit(t, address, 50*time.Millisecond, 2, "x").assertAnswer(http.StatusServiceUnavailable)
	assertMemory(t, memory, isNothing)
}

// TestUnreadBody checks that a request that is refused before its body is read is answered although the body does not come.
func TestUnreadBody(t *testing.T) {
	fixture := newFixtureAt(t, writeRoute, listenRaw(t, answerWith("HTTP/1.1 200 OK")))
	memory, address := serveBehindDoor(t, fixture, 1<<20)
	used, err := memory.Open(intake.Work, 745<<10)
	if err != nil {
		t.Fatal(err)
	}
	visit(t, address, doorWait, 2, "x").assertAnswer(http.StatusServiceUnavailable)
	used.Release()
	assertMemory(t, memory, isNothing)
}

// TestUnreadAnswer checks that an answer that its caller doesn't read is counted, gives way to that of another caller, and ends after the
// deadline of its request.
func TestUnreadAnswer(t *testing.T) {
	const size = 8<<20 - 1
	answer := func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body) // shows in the next request
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
		}
	}
	fixture := newFixtureAt(t, writeRoute, listenRaw(t, answer))
	memory, address := serveBehindDoor(t, fixture, 28<<20)
	first := visit(t, address, 900*time.Millisecond, 1, "x")
	assertMemory(t, memory, func(held int64) bool { return held > size && held < size+1<<20 })
	other := visit(t, address, 900*time.Millisecond, 1, "x")
	length, err := io.Copy(io.Discard, other.assertAnswer(http.StatusOK).Body)
	if length != size || err != nil {
		t.Errorf("%d bytes of the other answer, %v, want %d", length, err, size)
	}
	other.conn.Close()
	assertMemory(t, memory, isNothing)
	if length, err = io.Copy(io.Discard, first.assertAnswer(http.StatusOK).Body); err == nil {
		t.Errorf("the answer that was not read ends well after %d bytes", length)
	}
}
