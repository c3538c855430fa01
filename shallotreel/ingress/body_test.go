package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"
)

// heapBytes returns the size of all objects that are in use.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestManyBodiesOfCallers guards against the memory that many bodies of callers take together, each of which is within its limit and not
// complete, while ordinary requests are served as ever.
func TestManyBodiesOfCallers(t *testing.T) {
	const callers, sent, most = 150, 900 << 10, 64 << 20
	fixture := newFixtureAt(t, writeRoute, listenRaw(t, answerWith("HTTP/1.1 200 OK")))
	server := httptest.NewServer(fixture.handler)
	t.Cleanup(server.Close)
	body := bytes.Repeat([]byte("x"), sent) // of all callers, so that the heap has what the handler keeps
	before := heapBytes()
	var conns []net.Conn
	refused := make(chan int, callers)
	for range callers {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conns = append(conns, conn)
		go func() {
			fmt.Fprintf(conn, "POST /x/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: long\r\nDeadline-Ms: 60000\r\nContent-Length: %d\r\n\r\n", sent+1)
			_, _ = conn.Write(body) // fails for a caller that is refused
		}()
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				refused <- response.StatusCode
			}
		}()
	}
	time.Sleep(500 * time.Millisecond) // most bodies are read but for their last byte
	if grown := heapBytes() - before; grown > most {
		t.Errorf("%d bodies that are not complete take %d bytes, want %d at most", callers, grown, most)
	}
	recorder := fixture.request(http.MethodPost, "/x/a", "w")
	assertStatus(t, recorder, http.StatusOK)
	select {
	case status := <-refused:
		if status != http.StatusServiceUnavailable {
			t.Errorf("a body that is too much is answered with status %d, want 503", status)
		}
	case <-time.After(5 * time.Second):
		t.Error("no caller was refused")
	}
	for _, conn := range conns {
		conn.Close()
	}
	for deadline := time.Now().Add(5 * time.Second); fixture.handler.memory.Held() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are still counted", fixture.handler.memory.Held())
		}
	}
}
