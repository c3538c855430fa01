package connpool

import (
	"bufio"
	"fmt"
	"net"
	"runtime"
	"strings"
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
			for i := 0; head.Len() < maxHeadBytes-(2<<10); i++ {
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
			if grown := heapBytes() - before; grown > 2*maxPendingBytes {
				t.Errorf("%d heads that are not complete take %d bytes, want %d at most", calls, grown, 2*maxPendingBytes)
			}
			assertBody(t, roundTrip(t, pool, sound, "ordinary"), "body")
			for _, call := range pending {
				pool.Cancel(call)
			}
			pool.Sweep(time.Now().Add(time.Minute)) // the connection of the ordinary one
			assertClosed(t, pool)
			if held := pool.PendingBytes(); held != 0 {
				t.Errorf("%d bytes are still counted", held)
			}
		})
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
	if held := pool.PendingBytes(); held != 0 {
		t.Errorf("%d bytes are still counted", held)
	}
}
