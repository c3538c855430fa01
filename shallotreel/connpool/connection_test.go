package connpool

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"
)

// waitLimit is how long a test waits for an event that must happen.
const waitLimit = 5 * time.Second

// serve listens as a target and runs one script for each connection, in the order of the connections. The last script
// also serves all further connections.
func serve(t *testing.T, scripts ...func(conn net.Conn, reader *bufio.Reader)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for i := 0; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			script := scripts[min(i, len(scripts)-1)]
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// read reads one request and returns its ID, or an empty string if that fails.
func read(reader *bufio.Reader) string {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	return request.Header.Get("Id")
}

// reply writes a complete response to the request with the ID.
func reply(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// newCall returns a call with the ID, and a channel that receives each of its results.
func newCall(address netip.AddrPort, id string) (*Call, chan Result) {
	results := make(chan Result, 4)
	return &Call{Address: address, Method: http.MethodGet,
		Request: net.Buffers{[]byte("GET /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n")},
		ID:      id, EchoedID: echoedID,
		Done: func(result Result) { results <- result }}, results
}

func echoedID(header http.Header) string { return header.Get("Id") }

// await returns the result of a call, and fails the test if there is none in time.
func await(t *testing.T, results chan Result) Result {
	t.Helper()
	select {
	case result := <-results:
		return result
	case <-time.After(waitLimit):
		t.Fatal("the call did not end")
		return Result{}
	}
}

func assertBody(t *testing.T, result Result, want string) {
	t.Helper()
	if result.Err != nil || string(result.Body) != want {
		t.Fatalf("got %q, %v, want %q", result.Body, result.Err, want)
	}
}

// assertSentError checks that the call failed after it was sent, so that the request may or may not have run.
func assertSentError(t *testing.T, result Result) {
	t.Helper()
	if result.Err == nil || !result.Sent {
		t.Fatalf("got %q, sent %v, error %v, want an error after sending", result.Body, result.Sent, result.Err)
	}
}

// roundTrip sends a request to the target and returns its result.
func roundTrip(t *testing.T, pool *Pool, address netip.AddrPort, id string) Result {
	t.Helper()
	call, results := newCall(address, id)
	pool.Start(call)
	return await(t, results)
}

// TestReuse checks that sequential requests use a single connection.
func TestReuse(t *testing.T) {
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for id := read(reader); id != ""; id = read(reader) {
			reply(conn, id, "body of "+id)
		}
	})
	pool := NewPool()
	for _, id := range []string{"one", "two", "three"} {
		assertBody(t, roundTrip(t, pool, address, id), "body of "+id)
	}
	if _, dials := pool.Counts(); dials != 1 {
		t.Errorf("%d connections were opened, want 1", dials)
	}
}

// TestBytesAfterResponse checks that a connection with bytes after the response is not reused, since they would be read
// as the response to the next request.
func TestBytesAfterResponse(t *testing.T) {
	address := serve(t,
		func(conn net.Conn, reader *bufio.Reader) {
			id := read(reader)
			reply(conn, id, "first")
			reply(conn, id, "extra")
			read(reader)
		},
		func(conn net.Conn, reader *bufio.Reader) {
			reply(conn, read(reader), "second")
		})
	pool := NewPool()
	assertBody(t, roundTrip(t, pool, address, "one"), "first")
	deadline := time.Now().Add(waitLimit)
	for open, _ := pool.Counts(); open > 0 && time.Now().Before(deadline); open, _ = pool.Counts() {
		time.Sleep(time.Millisecond)
	}
	assertBody(t, roundTrip(t, pool, address, "two"), "second")
}

func TestInvalidResponses(t *testing.T) {
	for name, response := range map[string]string{
		"truncated header": "HTTP/1.1 200 OK\r\nId: one\r\nConte",
		"truncated body":   "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 10\r\n\r\nshort",
		"no response":      "",
		"not HTTP":         "\x16\x03\x01 this is no answer\r\n\r\n",
		"truncated chunk":  "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nshort",
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				read(reader)
				conn.Write([]byte(response))
			})
			assertSentError(t, roundTrip(t, NewPool(), address, "one"))
		})
	}
}

// TestResponseWithoutLength checks responses whose body ends with the connection.
func TestResponseWithoutLength(t *testing.T) {
	script := func(linger int) func(net.Conn, *bufio.Reader) {
		return func(conn net.Conn, reader *bufio.Reader) {
			read(reader)
			conn.Write([]byte("HTTP/1.1 200 OK\r\nId: one\r\n\r\nall of it"))
			if linger >= 0 {
				conn.(*net.TCPConn).SetLinger(linger) // closing resets the connection
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	t.Run("ends with the connection", func(t *testing.T) {
		assertBody(t, roundTrip(t, NewPool(), serve(t, script(-1)), "one"), "all of it")
	})
	t.Run("is incomplete if the connection is reset", func(t *testing.T) {
		assertSentError(t, roundTrip(t, NewPool(), serve(t, script(0)), "one"))
	})
}

// TestResponseBeforeBodySent checks that a connection is not reused if the response arrives before the request is sent
// completely.
func TestResponseBeforeBodySent(t *testing.T) {
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		id := read(reader)
		reply(conn, id, "early")
		time.Sleep(waitLimit)
	})
	pool := NewPool()
	call, results := newCall(address, "one")
	head := strings.Replace(string(call.Request[0]), "\r\n\r\n", "\r\nContent-Length: 16777216\r\n\r\n", 1)
	call.Request = net.Buffers{[]byte(head), make([]byte, 16<<20)}
	pool.Start(call)
	result := await(t, results)
	if result.Err == nil {
		assertBody(t, result, "early")
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if len(pool.idle) > 0 {
		t.Error("a connection with a partly sent request body is kept for reuse")
	}
}

func TestCancel(t *testing.T) {
	received, closed := make(chan bool, 1), make(chan bool, 1)
	address := serve(t, func(_ net.Conn, reader *bufio.Reader) {
		received <- read(reader) == "one"
		_, err := reader.ReadByte()
		closed <- err != nil
	})
	pool := NewPool()
	call, results := newCall(address, "one")
	pool.Start(call)
	select {
	case <-received:
	case <-time.After(waitLimit):
		t.Fatal("the target did not receive the request")
	}
	pool.Cancel(call)
	if result := await(t, results); result.Err != ErrCanceled {
		t.Errorf("ended with error %v, want ErrCanceled", result.Err)
	}
	select {
	case <-closed:
	case <-time.After(waitLimit):
		t.Error("the connection to the target was not closed")
	}
}

func TestCanStart(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:9")
	pool := NewPool()
	pool.recordReset(address)
	if pool.CanStart(time.Now(), address, nil) {
		t.Error("a call can start on a new connection right after a reset")
	}
	if !pool.CanStart(time.Now().Add(2*maxDialBackoff), address, nil) {
		t.Error("no call can start on a new connection after the backoff")
	}
}

func TestIdleTimeout(t *testing.T) {
	for keepAlive, want := range map[string]time.Duration{
		"":                maxIdleTime,
		"timeout=1":       700 * time.Millisecond,
		"timeout=60":      maxIdleTime,
		"max=5,timeout=1": 700 * time.Millisecond,
	} {
		if got := idleTimeout(http.Header{"Keep-Alive": {keepAlive}}); got != want {
			t.Errorf("%q: %v, want %v", keepAlive, got, want)
		}
	}
}

// TestListens checks that the end of a call tells a target whose process has ended from one that broke one connection.
func TestListens(t *testing.T) {
	lose := func(_ net.Conn, reader *bufio.Reader) { read(reader) }
	hold := func(_ net.Conn, reader *bufio.Reader) { reader.Peek(1) }
	t.Run("the target lives", func(t *testing.T) {
		call, results := newCall(serve(t, lose, hold), "one")
		NewPool().Start(call)
		result := await(t, results)
		assertSentError(t, result)
		if result.Listens != Accepted {
			t.Errorf("a target that lost one response is reported as %v, want %v", result.Listens, Accepted)
		}
	})
	for name, linger := range map[string]time.Duration{"at once": 0, "while the pool connects": 100 * time.Microsecond, "a moment later": 2 * time.Millisecond} {
		t.Run("the target stops listening "+name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				read(bufio.NewReader(conn))
				if linger == 0 {
					listener.Close()
				}
				conn.Close()
				time.Sleep(linger)
				listener.Close()
			}()
			call, results := newCall(netip.MustParseAddrPort(listener.Addr().String()), "one")
			pool := NewPool()
			pool.acceptanceWait = waitLimit // ends at the reset; a busy machine may delay the close of the listener
			pool.Start(call)
			result := await(t, results)
			assertSentError(t, result)
			if result.Listens != Refused {
				t.Errorf("a target whose process has ended is reported as %v, want %v", result.Listens, Refused)
			}
		})
	}
}

// TestCallOnConnectionThatEnds guards against a call that never ends: it took an idle connection whose reader had just
// found that the target closed it.
func TestCallOnConnectionThatEnds(t *testing.T) {
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) { reply(conn, read(reader), "body") })
	for range 16 {
		t.Run("concurrent", func(t *testing.T) {
			t.Parallel()
			pool := NewPool()
			for i := range 600 {
				call, results := newCall(address, "one")
				pool.Start(call)
				await(t, results) // the connection may break, but the call must end
				for range i {
					runtime.Gosched() // varies the moment of the next call
				}
			}
		})
	}
}
