package connpool

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
)

// TestInvalidStatusLines guards against a call that succeeds with a status line that is none, or waits for an answer after it.
func TestInvalidStatusLines(t *testing.T) {
	const rest = "\r\nId: one\r\nContent-Length: 4\r\n\r\nbody"
	interim := func(count int) string { return strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", count) }
	for _, test := range []struct {
		response string
		valid    bool
	}{
		{"HTTP/1.1 200 OK" + rest, true},
		{"HTTP/1.0 200 OK\r\nConnection: keep-alive" + rest, true},
		{"HTTP/1.1 599 Unknown" + rest, true},
		{interim(1) + "HTTP/1.1 200 OK" + rest, true},
		{interim(maxInterimResponses) + "HTTP/1.1 200 OK" + rest, true},
		{interim(maxInterimResponses+1) + "HTTP/1.1 200 OK" + rest, false},
		{interim(1) + "HTTP/1.1 000 " + rest, false},
		{"HTTP/1.1 000 " + rest, false},
		{"HTTP/1.1 000 \r\n\r\n", false},
		{"HTTP/1.1 -00 " + rest, false},
		{"HTTP/1.1 +20 OK" + rest, false},
		{"HTTP/1.1 099 " + rest, false},
		{"HTTP/1.1 101 Switching Protocols" + rest, false},
		{"HTTP/1.1 600 " + rest, false},
		{"HTTP/1.1 999 " + rest, false},
		{"HTTP/9.9 200 OK" + rest, false},
		{"HTTP/0.9 200 OK" + rest, false},
		{"HTTP/2.0 200 OK" + rest, false},
	} {
		t.Run(strings.ReplaceAll(strings.ReplaceAll(test.response, "/", "-"), "\r\n", ","), func(t *testing.T) {
			t.Parallel()
			pool := NewPool()
			address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				read(reader)
				fmt.Fprint(conn, test.response)
				read(reader) // keeps the connection
			})
			result := roundTrip(t, pool, address, "one")
			if test.valid {
				assertBody(t, result, "body")
				return
			}
			assertSentError(t, result)
			assertClosed(t, pool)
		})
	}
}
