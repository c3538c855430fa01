package line

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	idleDefault = 2 * time.Second         // if the target does not tell its timeout
	idleMost    = 1500 * time.Millisecond // connections that are needed no more hold places that others may need
	stayTime    = 5 * time.Millisecond    // in which a target at its limit resets a new connection
	idleSafety  = 0.7                     // of the target's timeout, after which a connection is not used again
	answerMost  = 8 << 20                 // bytes of one answer
	writeInline = 8 << 10                 // bytes that fit the socket's buffer, so that a write cannot wait
)

// line is one connection to a target; its fields are guarded by the pool's lock.
type line struct {
	pool    *Pool
	key     netip.AddrPort
	conn    net.Conn
	reader  *bufio.Reader
	call    *Call // the one in flight
	closed  bool
	proved  bool        // has brought an answer
	written atomic.Bool // the whole request was sent
	expires time.Time   // of an idle connection
	idleAt  time.Time
}

// stays reports whether the target keeps a new connection for a moment; one at its limit resets it, and what was
// sent by then could not be told from a request that ran.
func (line *line) stays() bool {
	if err := line.conn.SetReadDeadline(time.Now().Add(stayTime)); err != nil {
		return false
	}
	if _, err := line.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return line.conn.SetReadDeadline(time.Time{}) == nil
}

// write sends the request; one that may not fit the socket's buffer is sent in the background.
func (line *line) write(call *Call) {
	if len(call.Data) <= writeInline {
		// The kernel takes it whole, and the answer may be read before the write returns.
		line.written.Store(true)
		line.send(call)
		return
	}
	line.written.Store(false)
	go line.send(call)
}

func (line *line) send(call *Call) {
	if _, err := line.conn.Write(call.Data); err != nil {
		line.pool.drop(line)
		call.finish(Result{Sent: true, Err: errors.Wrap(err, "send request")})
		return
	}
	line.written.Store(true)
}

// read delivers answers until the connection cannot be used any more.
func (line *line) read() {
	defer line.pool.drop(line)
	for {
		_, err := line.reader.Peek(1)
		call := line.pool.current(line)
		if call == nil {
			return // closed by the target, or bytes that nobody asked for
		}
		if err != nil {
			if !line.proved && errors.Is(err, syscall.ECONNRESET) {
				line.pool.crowded(line.key)
			}
			call.finish(Result{Sent: true, Err: errors.Wrap(err, "await answer")})
			return
		}
		response, body, err := line.answer(call)
		if err != nil {
			call.finish(Result{Sent: true, Err: err})
			return
		}
		if !call.Echoes(response.Header) {
			call.finish(Result{Sent: true, Err: errors.New("the answer names another request")})
			return
		}
		keep := !response.Close && line.written.Load() && line.reader.Buffered() == 0
		if keep {
			keep = line.pool.release(line, idleTime(response.Header))
		}
		call.finish(Result{Sent: true, Response: response, Body: body})
		if !keep {
			return
		}
	}
}

// answer reads one whole answer and passes over interim ones.
func (line *line) answer(call *Call) (*http.Response, []byte, error) {
	for {
		response, err := http.ReadResponse(line.reader, &http.Request{Method: call.Method})
		if err != nil {
			return nil, nil, errors.Wrap(err, "read head of answer")
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, answerMost+1))
		if err != nil {
			return nil, nil, errors.Wrap(err, "read body of answer")
		}
		if len(body) > answerMost {
			return nil, nil, errors.New("the answer is too large")
		}
		return response, body, nil
	}
}

// idleTime is how long a connection may idle before it is used again.
func idleTime(header http.Header) time.Duration {
	for option := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(option), "timeout=")
		if !ok {
			continue
		}
		if count, err := strconv.Atoi(seconds); err == nil {
			return min(idleMost, time.Duration(idleSafety*float64(count)*float64(time.Second)))
		}
	}
	return min(idleMost, idleDefault)
}
