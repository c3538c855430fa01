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

	"github.com/go-faster/errors"
)

const waitLimit = 5 * time.Second

// serve starts a server behind a door, which answers with the length of the body. The function is called by each request.
func serve(t *testing.T, memory *Memory, most int, called func()) (*Door, string) {
	t.Helper()
	door := memory.Door(most)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnState: door.Follow, ConnContext: door.Context,
		Handler: door.Handler(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			called()
			size, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{request.Body}, make([]byte, maxChunkBytes))
			fmt.Fprint(writer, size, err)
		}))}
	go func() { _ = server.Serve(door.Listener(listener)) }() // ends with the listener
	t.Cleanup(func() { server.Close() })
	return door, listener.Addr().String()
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

// assertHeld checks that so many bytes are counted in the end.
func assertHeld(t *testing.T, memory *Memory, want int64) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); memory.Held() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are still counted, want %d", memory.Held(), want)
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
			memory := NewMemory(limit)
			_, address := serve(t, memory, 2*callers, func() {})
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
			if memory.Ended() == 0 {
				t.Error("no head was ended")
			}
			status, _, err := answer(bufio.NewReader(dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")))
			if err != nil || status != http.StatusOK {
				t.Errorf("an ordinary request gets status %d, %v", status, err)
			}
			for _, conn := range conns {
				conn.Close()
			}
			assertHeld(t, memory, 0)
		})
	}
}

// TestHeadsOfRequests checks what is counted of the requests on one connection, and when it ends.
func TestHeadsOfRequests(t *testing.T) {
	memory := NewMemory(1 << 20)
	held := make(chan int64, 1)
	_, address := serve(t, memory, 1, func() { held <- memory.Held() - connectionBytes })
	body := strings.Repeat("\n", 200<<10) // lines of a body do not count
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nX: %s\r\nContent-Length: %d\r\n\r\n", strings.Repeat("y", freeHeadBytes), len(body))
	conn := dial(t, address, "")
	reader := bufio.NewReader(conn)
	for range 3 {
		if _, err := fmt.Fprint(conn, request); err != nil {
			t.Fatal(err)
		}
		if bytes := <-held; bytes < int64(len(request)-freeHeadBytes) || bytes > int64(len(request)-freeHeadBytes+10*headLineBytes) {
			t.Errorf("%d bytes are counted for a head of %d", bytes, len(request))
		}
		if _, err := fmt.Fprint(conn, body); err != nil {
			t.Fatal(err)
		}
		status, text, err := answer(reader)
		if err != nil || status != http.StatusOK || !strings.HasPrefix(text, fmt.Sprint(len(body))) {
			t.Fatalf("status %d, %q, %v", status, text, err)
		}
		assertHeld(t, memory, connectionBytes)
	}
	conn.Close()
	assertHeld(t, memory, 0)
	if memory.Ended() != 0 {
		t.Errorf("%d connections were closed", memory.Ended())
	}
}

// TestHeadOfManyLines checks that a head that is alone is served whatever its lines are.
func TestHeadOfManyLines(t *testing.T) {
	memory := NewMemory(1 << 20)
	_, address := serve(t, memory, 1, func() {})
	conn := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 4<<10)+shortLines(32<<10)+"Connection: close\r\n\r\n")
	if status, _, err := answer(bufio.NewReader(conn)); err != nil || status != http.StatusOK {
		t.Errorf("status %d, %v, want 200", status, err)
	}
	assertHeld(t, memory, 0)
}

// TestRefusedHeads checks how a head ends that may not be kept.
func TestRefusedHeads(t *testing.T) {
	t.Run("no memory left", func(t *testing.T) {
		memory := NewMemory(64 << 10)
		_, address := serve(t, memory, 1, func() { t.Error("the request is served") })
		other, err := memory.Open(Work, 32<<10)
		if err != nil {
			t.Fatal(err)
		}
		conn := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 20)+"\r\n")
		if status, _, err := answer(bufio.NewReader(conn)); err == nil {
			t.Errorf("status %d, want a closed connection without an answer", status)
		}
		other.Release()
		assertHeld(t, memory, 0)
	})
	t.Run("too long", func(t *testing.T) {
		memory := NewMemory(1 << 20)
		door, address := serve(t, memory, 1, func() { t.Error("the request is served") })
		door.SetLimits(Limits{HeadBytes: 16 << 10})
		conn := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("y", 16<<10+headSlack))
		if status, _, err := answer(bufio.NewReader(conn)); err != nil || status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("status %d, %v, want 431", status, err)
		}
		assertHeld(t, memory, 0)
	})
}

// TestHeadWithoutMemory guards against a head of which a part is dropped for want of memory and the rest is read: it must not be taken for another one,
// and its caller must not wait. The memory is used up and free again after each number of lines.
func TestHeadWithoutMemory(t *testing.T) {
	const line = "Name: value of a header line of some length, so that the head is long enough to count\r\n"
	for lines := 1; lines < 60; lines++ {
		memory := NewMemory(32 << 10)
		door := memory.Door(1)
		near, far := net.Pipe()
		conn, ok := door.letIn(near)
		if !ok {
			t.Fatal("no room")
		}
		conn.hold.Busy()
		go func() {
			_, _ = io.WriteString(far, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat(line, lines)) // is not read to its end
			far.Close()
		}()
		other, err := memory.Open(Work, 12<<10)
		if err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReaderSize(conn, 1<<10)
		for range 100 { // a reader that passes over errors
			if _, err = reader.Peek(1); errors.Is(err, ErrExhausted) {
				break
			}
			_, _ = reader.Discard(reader.Buffered())
		}
		other.Release()
		if _, again := conn.Read(make([]byte, 1)); errors.Is(err, ErrExhausted) && !errors.Is(again, ErrExhausted) {
			t.Errorf("after %d lines the error is %v, and then %v", lines, err, again)
		}
		near.Close()
	}
}

// TestDoor checks that a new connection takes the place of the one that has waited longest, and that a request in progress keeps its own.
func TestDoor(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	memory := NewMemory(1 << 20)
	called, proceed := make(chan bool, 9), make(chan bool, 9)
	door, address := serve(t, memory, 2, func() { called <- true; <-proceed })
	busy := dial(t, address, request)
	<-called
	silent := dial(t, address, "")
	assertHeld(t, memory, 2*connectionBytes)
	newer := dial(t, address, request)
	<-called
	if size, err := silent.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes on the connection that has waited longest, want its end", size)
	}
	refused := dial(t, address, "")
	if size, err := refused.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes on a connection for which none can be closed, want its end", size)
	}
	proceed <- true
	proceed <- true
	for _, conn := range []net.Conn{busy, newer} {
		if status, _, err := answer(bufio.NewReader(conn)); err != nil || status != http.StatusOK {
			t.Errorf("status %d, %v, want 200", status, err)
		}
	}
	if door.Open() != 2 || door.Refused() != 1 || memory.Ended() != 1 {
		t.Errorf("%d are open, %d were refused, %d ended; want 2, 1 and 1", door.Open(), door.Refused(), memory.Ended())
	}
}

// TestSweep checks which connections are closed because of the time that they have waited.
func TestSweep(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	limits := Limits{HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	memory := NewMemory(1 << 20)
	called, proceed := make(chan bool, 9), make(chan bool, 9)
	door, address := serve(t, memory, 9, func() { called <- true; <-proceed })
	door.SetLimits(limits)
	used := dial(t, address, request)
	<-called
	proceed <- true
	if _, _, err := answer(bufio.NewReader(used)); err != nil {
		t.Fatal(err)
	}
	busy := dial(t, address, request)
	<-called
	silent, begun := dial(t, address, ""), dial(t, address, request[:9])
	time.Sleep(50 * time.Millisecond) // the head has begun
	for _, step := range []struct {
		after time.Duration
		open  int
	}{{0, 4}, {limits.HeadTimeout, 3}, {limits.IdleTimeout, 1}, {time.Hour, 1}} {
		door.Sweep(time.Now().Add(step.after))
		if door.Open() != step.open {
			t.Errorf("%d connections are open after %v, want %d", door.Open(), step.after, step.open)
		}
	}
	for _, conn := range []net.Conn{silent, begun, used} {
		if size, err := conn.Read(make([]byte, 1)); err == nil {
			t.Errorf("%d bytes on a connection that has waited too long, want its end", size)
		}
	}
	proceed <- true
	if status, _, err := answer(bufio.NewReader(busy)); err != nil || status != http.StatusOK {
		t.Errorf("status %d, %v, want 200", status, err)
	}
}

// TestUnreadBytes guards against the memory that the system holds of a connection whose caller goes on sending while its request is in progress,
// after a long body for which the system has made room.
func TestUnreadBytes(t *testing.T) {
	const body, most = 8 << 20, 256 << 10
	called := make(chan bool)
	proceed := make(chan bool)
	_, address := serve(t, NewMemory(64<<20), 1, func() {
		called <- true
		<-proceed
	})
	conn := dial(t, address, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", body))
	<-called
	proceed <- true
	request := append(make([]byte, body), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"...)
	if _, err := conn.Write(request); err != nil {
		t.Fatal(err)
	}
	<-called
	if err := conn.(*net.TCPConn).SetWriteBuffer(4 << 10); err != nil { // so that it holds little itself
		t.Fatal(err)
	}
	if err := conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	unread := 0
	for block := make([]byte, 1<<10); ; {
		size, err := conn.Write(block)
		unread += size
		if err != nil {
			break
		}
	}
	if unread > most {
		t.Errorf("%d bytes are taken that nobody reads, want %d at most", unread, most)
	}
	proceed <- true
}
