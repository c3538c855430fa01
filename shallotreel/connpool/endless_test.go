package connpool

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/shallotreel/intake"
)

// endless writes the beginning of a response and then the same bytes until the connection is closed.
func endless(beginning, rest string) func(conn net.Conn, reader *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		id := read(reader)
		if id == "" {
			return
		}
		if _, err := fmt.Fprint(conn, strings.ReplaceAll(beginning, "ID", id)); err != nil {
			return
		}
		block := bytes.Repeat([]byte(rest), 16<<10/len(rest)+1)
		for {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	}
}

var endlessResponses = []struct{ name, beginning, rest string }{
	{"status line", "", "x"},
	{"reason", "HTTP/1.1 200 ", "x"},
	{"header line", "HTTP/1.1 200 OK\r\nId: ID\r\nX: ", "x"},
	{"header", "HTTP/1.1 200 OK\r\nId: ID\r\n", "X: y\r\n"},
	{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
	{"body until the end of the connection", "HTTP/1.1 200 OK\r\nId: ID\r\n\r\n", "x"},
	{"chunks", "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	{"small chunks", "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
	{"trailer", "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	{"absurd length", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9000000000000000000\r\n\r\n", "x"},
}

// TestResponsesWithoutEnd guards against a target that writes without end in any place of a response: it must neither fill the
// memory nor keep the connection.
func TestResponsesWithoutEnd(t *testing.T) {
	for _, response := range endlessResponses {
		t.Run(response.name, func(t *testing.T) {
			pool := NewPool()
			address := serve(t, endless(response.beginning, response.rest))
			call, results := newCall(address, "one")
			call.MaxBody = 100 << 10
			pool.Start(call)
			assertSentError(t, await(t, results))
			if peak := pool.memory.Peak(); peak > 2*(call.MaxBody+1) {
				t.Errorf("%d bytes were held for a body of at most %d", peak, call.MaxBody)
			}
			if held := pool.memory.Held(); held != 0 {
				t.Errorf("%d bytes are still counted", held)
			}
			assertClosed(t, pool)
		})
	}
}

// assertClosed checks that all connections are closed.
func assertClosed(t *testing.T, pool *Pool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); ; time.Sleep(time.Millisecond) {
		open, _ := pool.Counts()
		switch {
		case open == 0:
			return
		case time.Now().After(deadline):
			t.Fatalf("%d connections are still open", open)
		}
	}
}

// TestBytesWithoutEndAfterResponse checks that a whole response counts, and that what follows it closes the connection.
func TestBytesWithoutEndAfterResponse(t *testing.T) {
	pool := NewPool()
	address := serve(t, endless("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok", "x"))
	assertBody(t, roundTrip(t, pool, address, "one"), "ok")
	assertClosed(t, pool)
}

// TestManyBodiesWithoutEnd guards against the memory that many long bodies take together, each of which is allowed, while
// responses of ordinary size are read as ever.
func TestManyBodiesWithoutEnd(t *testing.T) {
	patiently := func(_ context.Context, network, address string) (net.Conn, error) { return net.Dial(network, address) }
	pool := NewPool(WithDial(patiently)) // the long bodies may leave a busy machine no time to connect
	faulty := serve(t, endless("HTTP/1.1 200 OK\r\nId: ID\r\n\r\n", "x"))
	sound := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for id := read(reader); id != ""; id = read(reader) {
			reply(conn, id, strings.Repeat("y", intake.ShortAnswerBytes/2))
		}
	})
	var group sync.WaitGroup
	for range 64 {
		long, longResults := newCall(faulty, "long")
		pool.Start(long)
		group.Go(func() {
			if result := await(t, longResults); !errors.Is(result.Err, intake.ErrTooLong) && !errors.Is(result.Err, intake.ErrExhausted) {
				t.Errorf("the long response ends with %v, want that it is too long", result.Err)
			}
		})
		short, shortResults := newCall(sound, "short")
		pool.Start(short)
		group.Go(func() {
			if result := await(t, shortResults); result.Err != nil {
				t.Errorf("an ordinary response fails: %v", result.Err)
			}
		})
	}
	group.Wait()
	if peak := pool.memory.Peak(); peak > defaultMemory {
		t.Errorf("%d bytes were held, want %d at most", peak, defaultMemory)
	}
}

// heapBytes returns the size of all objects that are in use.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestManyHeadsWithoutEnd guards against the memory that many heads take together, each of which is within its limit and never ends, while
// ordinary responses are read as ever.
func TestManyHeadsWithoutEnd(t *testing.T) {
	const calls = 300
	for name, line := range map[string]func(i int) string{
		"short lines":   func(i int) string { return fmt.Sprintf("%x:\r\n", i) },
		"equal lines":   func(int) string { return "x:\r\n" },
		"ordinary ones": func(i int) string { return fmt.Sprintf("Name-%d: value of the header\r\n", i) },
		"long lines":    func(int) string { return "X: " + strings.Repeat("y", 1000) + "\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			head := strings.Builder{}
			head.WriteString("HTTP/1.1 200 OK\r\nId: long\r\n")
			for i := 0; head.Len() < intake.MaxHeadBytes-(2<<10); i++ {
				head.WriteString(line(i))
			}
			pool := NewPool()
			written := make(chan bool, calls)
			faulty := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				read(reader)
				fmt.Fprint(conn, head.String())
				written <- true
				_, _ = reader.ReadByte() // the head goes on, but not yet
			})
			sound := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				for id := read(reader); id != ""; id = read(reader) {
					reply(conn, id, "body")
				}
			})
			before := heapBytes()
			var pending []*Call
			for range calls {
				call, _ := newCall(faulty, "long")
				pool.Start(call)
				pending = append(pending, call)
			}
			for range calls {
				<-written
			}
			time.Sleep(100 * time.Millisecond) // the last heads are being read
			if grown := heapBytes() - before; grown > 2*defaultMemory {
				t.Errorf("%d heads that are not complete take %d bytes, want %d at most", calls, grown, 2*defaultMemory)
			}
			assertBody(t, roundTrip(t, pool, sound, "ordinary"), "body")
			for _, call := range pending {
				pool.Cancel(call)
			}
			pool.Sweep(time.Now().Add(time.Minute)) // the connection of the ordinary one
			assertClosed(t, pool)
			assertReleased(t, pool)
		})
	}
}

// assertReleased checks that nothing is counted any more once the readers have seen that their connections are closed.
func assertReleased(t *testing.T, pool *Pool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); pool.memory.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are still counted", pool.memory.Held())
		}
	}
}

// TestHeadWithoutMemory guards against a head of a response of which a part is dropped for want of memory, and the rest is read.
func TestHeadWithoutMemory(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		_, _ = far.Write(make([]byte, 64<<10)) // is not read to its end
		far.Close()
	}()
	pool := NewPool(WithMemory(intake.NewMemory(8 << 10)))
	limiter := newConnection(pool, netip.AddrPort{}, near).limiter
	var err error
	for buffer := make([]byte, 1<<10); err == nil; {
		_, err = limiter.Read(buffer)
	}
	limiter.head.Reset()
	if _, again := limiter.Read(make([]byte, 1)); !errors.Is(err, intake.ErrExhausted) || !errors.Is(again, intake.ErrExhausted) {
		t.Errorf("the error is %v, and then %v", err, again)
	}
}

// TestBytesBeforeRequest guards against bytes that stay counted after a connection that only shows whether its target accepts it.
func TestBytesBeforeRequest(t *testing.T) {
	pool := NewPool()
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
		_, _ = reader.ReadByte()
	})
	if listens := pool.listens(address); listens != Unknown {
		t.Errorf("a target that sends bytes without a request is reported as %v, want %v", listens, Unknown)
	}
	if held := pool.memory.Held(); held != 0 {
		t.Errorf("%d bytes are still counted", held)
	}
}
