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

	"shallotreel.example/platform"
	"shallotreel.example/reel/catalogue"
)

// connect serves the handler and opens one connection to it, on which a test writes raw bytes.
func connect(t *testing.T, fixture *fixture) (net.Conn, *bufio.Reader) {
	t.Helper()
	server := httptest.NewServer(fixture.handler)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

func write(t *testing.T, conn net.Conn, method, path, header, body string) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: one\r\nDeadline-Ms: 900\r\n%s\r\n%s",
		method, path, header, body)
	if err != nil {
		t.Fatal(err)
	}
}

func readStatus(t *testing.T, reader *bufio.Reader, want int) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != want {
		t.Fatalf("status %d, want %d", response.StatusCode, want)
	}
	return response
}

func chunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

// TestBodies sends chunked bodies, whose length is not known before they are read.
func TestBodies(t *testing.T) {
	accept := func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body) // a truncated body shows in the length of the answer
		writer.Header().Set("Server-Stamp", "stamp")
		fmt.Fprintf(writer, "%d bytes", len(body))
	}
	const chunked = "Transfer-Encoding: chunked\r\n"
	t.Run("a body that is too large is refused before it ends, is not sent to the target, and closes the connection", func(t *testing.T) {
		fixture := newFixture(t, writeRoute, accept)
		conn, reader := connect(t, fixture)
		write(t, conn, http.MethodPost, "/x/a", chunked, chunk(strings.Repeat("b", 101)))
		response := readStatus(t, reader, http.StatusRequestEntityTooLarge)
		if !response.Close {
			t.Error("the connection is kept open although the rest of the body may still arrive")
		}
		if fixture.runs.Load() != 0 {
			t.Error("the target received the request")
		}
	})
	t.Run("a body of the allowed size arrives complete", func(t *testing.T) {
		fixture := newFixture(t, writeRoute, accept)
		conn, reader := connect(t, fixture)
		write(t, conn, http.MethodPost, "/x/a", chunked, chunk(strings.Repeat("b", 60))+chunk(strings.Repeat("c", 40))+"0\r\n\r\n")
		readStatus(t, reader, http.StatusOK)
		if fixture.runs.Load() != 1 {
			t.Errorf("the target ran %d requests, want 1", fixture.runs.Load())
		}
	})
	t.Run("a body that a refusal leaves unread is not parsed as the next request", func(t *testing.T) {
		fixture := newFixture(t, writeRoute, accept)
		conn, reader := connect(t, fixture)
		inner := "POST /x/evil HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n"
		write(t, conn, http.MethodPost, "/unknown", chunked, chunk(inner)+"0\r\n\r\n")
		readStatus(t, reader, http.StatusNotFound)
		write(t, conn, http.MethodPost, "/x/a", "Content-Length: 1\r\n", "b")
		readStatus(t, reader, http.StatusOK)
		if fixture.runs.Load() != 1 {
			t.Errorf("the target ran %d requests, want 1", fixture.runs.Load())
		}
	})
	t.Run("a malformed body is refused and not sent to the target", func(t *testing.T) {
		fixture := newFixture(t, writeRoute, accept)
		conn, reader := connect(t, fixture)
		write(t, conn, http.MethodPost, "/x/a", chunked, "zz\r\n")
		readStatus(t, reader, http.StatusBadRequest)
		if fixture.runs.Load() != 0 {
			t.Error("the target received the request")
		}
	})
}

// TestPlan checks that the deadline of a request is the lesser of the caller's timeout and the route's.
func TestPlan(t *testing.T) {
	fixture := newFixture(t, singleRoute, func(http.ResponseWriter, *http.Request) {})
	start := time.Unix(1_700_000_000, 0)
	for _, test := range []struct {
		name                   string
		timeout, callerTimeout time.Duration
		want                   time.Duration
	}{
		{"the route has the shorter timeout", 500 * time.Millisecond, 900 * time.Millisecond, 500 * time.Millisecond},
		{"the caller has the shorter timeout", 500 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond},
		{"the route has no timeout", 0, 300 * time.Millisecond, 300 * time.Millisecond},
		{"the caller states no timeout", 500 * time.Millisecond, 0, 500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			route := &catalogue.Route{Name: "r", Timeout: test.timeout, Goal: 100 * time.Millisecond}
			plan := fixture.handler.plan(start, platform.RequestHead{Timeout: test.callerTimeout}, route)
			if got := plan.Deadline.Sub(start); got != test.want {
				t.Errorf("the deadline is after %v, want %v", got, test.want)
			}
		})
	}
}
