package connpool

import (
	"bytes"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"shallotreel.example/reel/statusline"
	"shallotreel.example/shallotreel/intake"
)

// statusLine is that of an interim or final response, as far as a line can tell.
var statusLine = regexp.MustCompile(`(?s)^HTTP/1\.[01] +[1-5][0-9]{2}( .*)?$`)

// recordedConn is a connection from which the data is read, and then its end.
type recordedConn struct {
	net.Conn
	data  *bytes.Reader
	taken int
}

func (recordedConn *recordedConn) Read(buffer []byte) (int, error) {
	size, err := recordedConn.data.Read(buffer)
	recordedConn.taken += size
	return size, err
}

// FuzzHead guards against bytes of a target that are no head of a response and pass for one, end the process, or are kept without bound. The seeds are
// the status lines that were once taken for answers, and heads in odd forms.
func FuzzHead(f *testing.F) {
	const rest = "\r\nContent-Length: 4\r\n\r\nbody"
	interim := "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for _, seed := range []string{
		"HTTP/1.1 200 OK" + rest, "HTTP/1.0 200 OK" + rest, "HTTP/1.1 599 " + rest, "HTTP/1.1 204\n\n", interim + "HTTP/1.1 200 OK" + rest,
		strings.Repeat(interim, maxInterimResponses+1) + "HTTP/1.1 200 OK" + rest,
		"HTTP/1.1 000 " + rest, "HTTP/1.1 -00 " + rest, "HTTP/1.1 +20 OK" + rest, "HTTP/1.1 099 " + rest, "HTTP/1.1 101 Switching Protocols" + rest,
		"HTTP/1.1 600 " + rest, "HTTP/1.1 999 " + rest, "HTTP/9.9 200 OK" + rest, "HTTP/0.9 200 OK" + rest, "HTTP/2.0 200 OK" + rest,
		"HTTP/1.1 200 OK\r\n folded: x" + rest, "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		strings.Repeat("\r\n", 100) + "HTTP/1.1 200 OK" + rest, "HTTP/1.1 200 " + strings.Repeat("x", intake.MaxHeadBytes), "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		memory := intake.NewMemory(1 << 20)
		conn := &recordedConn{data: bytes.NewReader(data)}
		connection := newConnection(NewPool(WithMemory(memory)), netip.AddrPort{}, conn)
		response, err := connection.readFinalHead(&Call{Method: http.MethodGet})
		if conn.taken > intake.MaxHeadBytes {
			t.Errorf("%d bytes were read of heads, want %d at most", conn.taken, intake.MaxHeadBytes)
		}
		connection.limiter.release()
		connection.hold.Release()
		if held := memory.Held(); held != 0 {
			t.Errorf("%d bytes are held after the connection", held)
		}
		if err != nil {
			return
		}
		if !statusline.IsFinal(response.StatusCode) || !strings.HasPrefix(response.Status, strconv.Itoa(response.StatusCode)) || response.ProtoMajor != 1 || response.ProtoMinor > 1 {
			t.Errorf("%q, %s passes for the head of an answer", response.Status, response.Proto)
		}
		line, _, _ := strings.Cut(string(data), "\n")
		if line = strings.TrimSuffix(line, "\r"); !statusLine.MatchString(line) {
			t.Errorf("the line %q passes for a status line", line)
		}
	})
}
