package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

const waitLimit = 5 * time.Second

// serveHeads starts a server whose heads count, and which answers with the length of the body. The function is called by each request.
func serveHeads(t *testing.T, limit int64, called func()) (*Heads, string) {
	t.Helper()
	heads := NewHeads(limit)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{MaxHeaderBytes: MaxHeadBytes, ConnState: heads.Follow,
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			called()
			size, err := io.Copy(io.Discard, request.Body)
			fmt.Fprint(writer, size, err)
		})}
	go func() { _ = server.Serve(heads.Listener(listener)) }() // ends with the listener
	t.Cleanup(func() { server.Close() })
	return heads, listener.Addr().String()
}

// dial connects to the server and sends the text.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprint(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// answer returns the status and body of the next answer, or the error of reading it.
func answer(reader *bufio.Reader) (int, string, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

func assertNothingHeld(t *testing.T, heads *Heads) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); heads.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are still counted", heads.Held())
		}
	}
}

// shortLines returns the lines of a header with names of their own, of the size in bytes.
func shortLines(size int) string {
	var lines strings.Builder
	for i := 0; lines.Len() < size; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}

// TestManyHeadsOfCallers guards against the memory that many heads of callers take together, each of which is within its limit and never
// ends, while ordinary requests are served as ever.
func TestManyHeadsOfCallers(t *testing.T) {
	const callers, limit = 300, 16 << 20
	for name, header := range map[string]string{
		"short lines": shortLines(62 << 10),
		"long lines":  strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 62),
	} {
		t.Run(name, func(t *testing.T) {
			heads, address := serveHeads(t, limit, func() {})
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var conns []net.Conn
			for range callers {
				conns = append(conns, dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+header))
			}
			time.Sleep(200 * time.Millisecond) // the last ones are being read
			runtime.GC()
			runtime.ReadMemStats(&after)
			if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 3*limit {
				t.Errorf("%d heads that are not complete take %d bytes, want %d at most", callers, grown, 3*limit)
			}
			if heads.Refused() == 0 {
				t.Error("no head was refused")
			}
			status, _, err := answer(bufio.NewReader(dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")))
			if err != nil || status != http.StatusOK {
				t.Errorf("an ordinary request gets status %d, %v", status, err)
			}
			for _, conn := range conns {
				conn.Close()
			}
			assertNothingHeld(t, heads)
		})
	}
}

// TestHeadsOfRequests checks what is counted of the requests on one connection, and when it ends.
func TestHeadsOfRequests(t *testing.T) {
	var heads *Heads
	held := make(chan int64, 1)
	heads, address := serveHeads(t, 1<<20, func() { held <- heads.Held() })
	body := strings.Repeat("\n", 200<<10) // lines of a body do not count
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
	conn := dial(t, address, "")
	reader := bufio.NewReader(conn)
	for range 3 {
		if _, err := fmt.Fprint(conn, request); err != nil {
			t.Fatal(err)
		}
		if bytes := <-held; bytes < int64(len(request)) || bytes > int64(len(request)+10*headLineBytes) {
			t.Errorf("%d bytes are counted for a head of %d", bytes, len(request))
		}
		if _, err := fmt.Fprint(conn, body); err != nil {
			t.Fatal(err)
		}
		status, text, err := answer(reader)
		if err != nil || status != http.StatusOK || !strings.HasPrefix(text, fmt.Sprint(len(body))) {
			t.Fatalf("status %d, %q, %v", status, text, err)
		}
		assertNothingHeld(t, heads)
	}
	conn.Close()
	if heads.Refused() != 0 {
		t.Errorf("%d connections were closed", heads.Refused())
	}
}

// TestHeadOfManyLines checks that a head that is alone is served whatever its lines are.
func TestHeadOfManyLines(t *testing.T) {
	heads, address := serveHeads(t, 1<<20, func() {})
	conn := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 4<<10)+shortLines(32<<10)+"Connection: close\r\n\r\n")
	if status, _, err := answer(bufio.NewReader(conn)); err != nil || status != http.StatusOK {
		t.Errorf("status %d, %v, want 200", status, err)
	}
	assertNothingHeld(t, heads)
}

// TestRefusedHeads checks how a head ends that may not be kept.
func TestRefusedHeads(t *testing.T) {
	t.Run("no memory left", func(t *testing.T) {
		heads, address := serveHeads(t, 1<<10, func() { t.Error("the request is served") })
		heads.budget.Grow(0, 1<<10, 0) // of another caller
		conn := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 20)+"\r\n")
		if status, _, err := answer(bufio.NewReader(conn)); err == nil {
			t.Errorf("status %d, want a closed connection without an answer", status)
		}
		heads.budget.Release(1 << 10)
		assertNothingHeld(t, heads)
	})
}
