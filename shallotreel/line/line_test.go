package line

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// patience is how long a test waits for what must happen.
const patience = 5 * time.Second

// serve runs the script for each connection of a target, one after the other.
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

// read takes one request and returns its id.
func read(reader *bufio.Reader) string {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	return request.Header.Get("Id")
}

func reply(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newCall(address netip.AddrPort, id string) (*Call, chan Result) {
	results := make(chan Result, 4)
	return &Call{Address: address, Method: http.MethodGet,
		Data:   []byte("GET /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"),
		Echoes: func(header http.Header) bool { return header.Get("Id") == id },
		Done:   func(result Result) { results <- result }}, results
}

func await(t *testing.T, results chan Result) Result {
	t.Helper()
	select {
	case result := <-results:
		return result
	case <-time.After(patience):
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

func assertUnknown(t *testing.T, result Result) {
	t.Helper()
	if result.Err == nil || !result.Sent {
		t.Fatalf("got %q, sent %v, error %v, want an unknown fate", result.Body, result.Sent, result.Err)
	}
}

func ask(t *testing.T, pool *Pool, address netip.AddrPort, id string) Result {
	t.Helper()
	call, results := newCall(address, id)
	pool.Start(call)
	return await(t, results)
}

func TestReuse(t *testing.T) {
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for id := read(reader); id != ""; id = read(reader) {
			reply(conn, id, "body of "+id)
		}
	})
	pool := NewPool()
	for _, id := range []string{"one", "two", "three"} {
		assertBody(t, ask(t, pool, address, id), "body of "+id)
	}
	if _, dials := pool.Counts(); dials != 1 {
		t.Errorf("%d connections were made, want 1", dials)
	}
}

func TestAnswerOfAnotherRequest(t *testing.T) {
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		first := read(reader)
		reply(conn, first, "first")
		if read(reader) != "" {
			reply(conn, first, "late copy of the first")
		}
		read(reader)
	})
	pool := NewPool()
	assertBody(t, ask(t, pool, address, "one"), "first")
	assertUnknown(t, ask(t, pool, address, "two"))
}

func TestBytesAfterAnAnswer(t *testing.T) {
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
	assertBody(t, ask(t, pool, address, "one"), "first")
	deadline := time.Now().Add(patience)
	for open, _ := pool.Counts(); open > 0 && time.Now().Before(deadline); open, _ = pool.Counts() {
		time.Sleep(time.Millisecond)
	}
	assertBody(t, ask(t, pool, address, "two"), "second")
}

func TestBrokenAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"cut in the head":    "HTTP/1.1 200 OK\r\nId: one\r\nConte",
		"cut in the body":    "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 10\r\n\r\nshort",
		"no answer at all":   "",
		"bytes of something": "\x16\x03\x01 this is no answer\r\n\r\n",
		"cut in a chunk":     "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nshort",
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				read(reader)
				conn.Write([]byte(answer))
			})
			assertUnknown(t, ask(t, NewPool(), address, "one"))
		})
	}
}

func TestUnframedAnswer(t *testing.T) {
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
		assertBody(t, ask(t, NewPool(), serve(t, script(-1)), "one"), "all of it")
	})
	t.Run("is incomplete if the connection is reset", func(t *testing.T) {
		assertUnknown(t, ask(t, NewPool(), serve(t, script(0)), "one"))
	})
}

func TestEarlyAnswer(t *testing.T) {
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		id := read(reader)
		reply(conn, id, "early")
		time.Sleep(patience)
	})
	pool := NewPool()
	call, results := newCall(address, "one")
	call.Data = append([]byte(strings.Replace(string(call.Data), "\r\n\r\n", "\r\nContent-Length: 16777216\r\n\r\n", 1)),
		make([]byte, 16<<20)...)
	pool.Start(call)
	result := await(t, results)
	if result.Err == nil {
		assertBody(t, result, "early")
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if len(pool.lines) > 0 {
		t.Error("a connection on which a body was not sent to its end is kept")
	}
}

func TestGiveUp(t *testing.T) {
	closed := make(chan bool, 1)
	address := serve(t, func(_ net.Conn, reader *bufio.Reader) {
		read(reader)
		_, err := reader.ReadByte()
		closed <- err != nil
	})
	pool := NewPool()
	call, results := newCall(address, "one")
	pool.Start(call)
	time.Sleep(20 * time.Millisecond)
	pool.GiveUp(call)
	if result := await(t, results); result.Err != ErrGivenUp {
		t.Errorf("ended with %v", result.Err)
	}
	select {
	case <-closed:
	case <-time.After(patience):
		t.Error("the target was not told")
	}
}

func TestRoom(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:9")
	pool := NewPool()
	pool.crowded(address)
	if pool.Room(time.Now(), address) {
		t.Error("a target that has just reset a connection is asked for another one")
	}
	if !pool.Room(time.Now().Add(2*crowdedMost), address) {
		t.Error("it is never asked again")
	}
}

func TestIdleTime(t *testing.T) {
	for keepAlive, want := range map[string]time.Duration{
		"":                idleMost,
		"timeout=1":       700 * time.Millisecond,
		"timeout=60":      idleMost,
		"max=5,timeout=1": 700 * time.Millisecond,
	} {
		if got := idleTime(http.Header{"Keep-Alive": {keepAlive}}); got != want {
			t.Errorf("%q: %v, want %v", keepAlive, got, want)
		}
	}
}
