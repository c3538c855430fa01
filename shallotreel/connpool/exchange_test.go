package connpool

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// TestResponseToAnotherRequest guards against a response to an earlier request on a connection that counts as the response to the next
// one, and against a call that fails at such a response although its own one follows.
func TestResponseToAnotherRequest(t *testing.T) {
	const copied = "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 4\r\n\r\ncopy"
	const own = "HTTP/1.1 200 OK\r\nId: second\r\nContent-Length: 3\r\n\r\nown"
	for _, test := range []struct {
		name, responses string // what the target sends when the second request has arrived
		end             bool   // whether it then closes the connection
		want            string // body of the second response, "" for an error
	}{
		{"a late copy, then the response", copied + own, false, "own"},
		{"several late copies, then the response", strings.Repeat(copied, maxExtraResponses) + own, false, "own"},
		{"late copies without end", strings.Repeat(copied, maxExtraResponses+1), false, ""},
		{"a late copy alone", copied, true, ""},
		{"a late copy that closes the connection", strings.Replace(copied, "Id", "Connection: close\r\nId", 1), false, ""},
		{"a late copy until the end of the connection", "HTTP/1.1 200 OK\r\nId: first\r\n\r\ncopy", true, ""},
		{"a late copy that breaks off", copied[:len(copied)-1], true, ""},
		{"a late copy, then bytes that are no response", copied + "x" + own, true, ""},
		{"a response to an unknown request", strings.Replace(copied, "first", "other", 1) + own, false, ""},
		{"a response that names no request", strings.Replace(copied, "Id: first\r\n", "", 1) + own, false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				reply(conn, read(reader), "first")
				if read(reader) == "" {
					return
				}
				fmt.Fprint(conn, test.responses)
				if !test.end {
					read(reader)
				}
			}, serveCopies)
			pool := NewPool()
			assertBody(t, roundTrip(t, pool, address, "first"), "first")
			result := roundTrip(t, pool, address, "second")
			if test.want == "" {
				assertSentError(t, result)
			} else {
				assertBody(t, result, test.want)
			}
			assertBody(t, roundTrip(t, pool, address, "third"), "number 0") // on a new connection
		})
	}
	t.Run("a response to an unknown request on a new connection", func(t *testing.T) {
		address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
			read(reader)
			fmt.Fprint(conn, copied)
			read(reader)
		})
		assertSentError(t, roundTrip(t, NewPool(), address, "second"))
	})
}

// TestLateCopyOfHead guards against the header of a response to HEAD, whose length is not that of its body, that takes bytes of the
// next response for its body.
func TestLateCopyOfHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 100\r\n\r\n"
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		read(reader)
		fmt.Fprint(conn, head)
		read(reader)
		fmt.Fprint(conn, head, strings.Repeat("x", 100), "HTTP/1.1 200 OK\r\nId: second\r\nContent-Length: 0\r\n\r\n")
		read(reader)
	})
	pool := NewPool()
	call, results := newCall(address, "first")
	call.Method = http.MethodHead
	pool.Start(call)
	assertBody(t, await(t, results), "")
	assertSentError(t, roundTrip(t, pool, address, "second"))
}

// TestRequestWithoutID guards against a late copy of the response to a request that has no ID, which answers another one that has none.
func TestRequestWithoutID(t *testing.T) {
	var requests atomic.Int64
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for last := ""; ; {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", requests.Add(1))
			fmt.Fprint(conn, last, response)
			last = response
		}
	})
	pool := NewPool()
	for _, want := range []string{"1", "2", "3"} {
		assertBody(t, roundTrip(t, pool, address, ""), want)
	}
}
