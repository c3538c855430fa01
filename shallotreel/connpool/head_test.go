package connpool

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
)

const headBody = "the whole body"

// TestAnswerBrokenOffInHead guards against an answer that a target breaks off in its head, or in the head of an interim answer before it, and
// that counts as one without a body or with a short one. Each answer is cut after each of its bytes, on a new and on a reused
// connection, by an orderly end and by a reset.
func TestAnswerBrokenOffInHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: %s\r\nServer-Stamp: s\r\n"
	const interim = "HTTP/1.1 103 Early Hints\r\nId: %s\r\nLink: x\r\n\r\n"
	whole := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(headBody), headBody)
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(headBody), headBody)
	for name, answer := range map[string]string{
		"with a length":                  head + whole,
		"in chunks":                      head + chunked,
		"until the end":                  head + "\r\n" + headBody,
		"with lines that end early":      strings.ReplaceAll(head+whole, "\r\n", "\n"),
		"after an interim answer":        interim + head + whole,
		"until the end, after interims":  interim + interim + head + "\r\n" + headBody,
		"closing, with an early length":  "HTTP/1.1 200 OK\r\n" + "Content-Length: 14\r\nConnection: close\r\nId: %s\r\nServer-Stamp: s\r\n\r\n" + headBody,
		"without a reason, HTTP/1.0":     "HTTP/1.0 200\r\nId: %s\r\nServer-Stamp: s\r\n\r\n" + headBody,
		"with a folded and empty header": "HTTP/1.1 200 OK\r\nId: %s\r\nX:\r\nY: a\r\n b\r\n" + whole,
	} {
		for _, reused := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reused %v, reset %v", name, reused, reset), func(t *testing.T) {
					t.Parallel()
					checkCuts(t, answer, reused, reset)
				})
			}
		}
	}
}

// checkCuts cuts the answer after each of its bytes before the body, and checks that no call succeeds.
func checkCuts(t *testing.T, answer string, reused, reset bool) {
	id := "one"
	text := strings.ReplaceAll(answer, "%s", id)
	cut := atomic.Int64{}
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		if reused {
			reply(conn, read(reader), "earlier")
		}
		if read(reader) == "" {
			return
		}
		_, _ = conn.Write([]byte(text[:cut.Load()])) // the caller may have gone
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0) // fails only if the connection is closed
		}
	})
	for end := range strings.LastIndex(text, headBody) {
		cut.Store(int64(end))
		pool := NewPool()
		if reused {
			roundTrip(t, pool, address, "zero")
		}
		result := roundTrip(t, pool, address, id)
		if result.Err == nil {
			t.Errorf("the answer %q counts as one with the body %q", text[:end], result.Body)
		}
	}
}
