package connpool

import (
	"bufio"
	"cmp"
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

	"shallotreel.example/reel/statusline"
	"shallotreel.example/shallotreel/intake"
)

const (
	defaultIdleTimeout = 2 * time.Second         // assumed idle timeout of a target that sends no Keep-Alive timeout
	maxIdleTime        = 1500 * time.Millisecond // limit of the idle time, since idle connections count against the target's connection limit
	acceptanceWait     = 5 * time.Millisecond
	idleTimeoutFactor  = 0.7     // share of the target's idle timeout for which a connection is reused
	maxInlineWrite     = 8 << 10 // bytes that fit in the socket's send buffer, so that the write does not block

	maxInterimResponses = 8 // before a final response
)

// errForeignResponse is the error of a call that got the response to another request.
var errForeignResponse = errors.New("the response names another request")

// errTooManyInterim is the error of a call whose target sends more interim responses than allowed.
var errTooManyInterim = errors.New("too many interim responses")

// connection is a connection to a target. The pool's mutex guards its mutable fields except the atomic one.
type connection struct {
	pool     *Pool
	address  netip.AddrPort
	number   uint64 // unique within the pool
	conn     net.Conn
	limiter  *headLimiter
	reader   *bufio.Reader // of limiter
	call     *Call         // call in flight, nil while the connection is idle
	closed   bool
	answered bool        // whether a complete response was received
	written  atomic.Bool // whether the whole request was written
	expires  time.Time   // time after which the idle connection is not reused
	idleAt   time.Time   // when the connection became idle
	last     exchange    // the last one that is complete; written by the reading goroutine alone
	extras   int         // extra responses that were skipped; used by the reading goroutine alone
}

func newConnection(pool *Pool, address netip.AddrPort, conn net.Conn) *connection {
	limiter := &headLimiter{conn: conn, budget: pool.budget}
	return &connection{pool: pool, address: address, conn: conn, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferSize)}
}

// confirmAccepted reports whether the target keeps the new connection open for acceptanceWait. A target at its
// connection limit resets it, and a request sent before the reset could not be distinguished from one that ran.
func (connection *connection) confirmAccepted() bool {
	defer connection.limiter.release() // of bytes that came without a request
	if err := connection.conn.SetReadDeadline(time.Now().Add(connection.pool.acceptanceWait)); err != nil {
		return false
	}
	if _, err := connection.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return connection.conn.SetReadDeadline(time.Time{}) == nil
}

// write sends the request. A request that may not fit in the socket's send buffer is sent by a new goroutine.
func (connection *connection) write(call *Call) {
	if len(call.Request) <= maxInlineWrite {
		// The kernel accepts the whole request at once, and the response may be read before the write returns.
		connection.written.Store(true)
		connection.send(call)
		return
	}
	connection.written.Store(false)
	go connection.send(call)
}

// send writes the request and ends the call if that fails.
func (connection *connection) send(call *Call) {
	if _, err := connection.conn.Write(call.Request); err != nil {
		connection.pool.closeConnection(connection)
		connection.fail(call, errors.Wrap(err, "send request"))
		return
	}
	connection.written.Store(true)
}

// readResponses delivers responses to their calls until the connection cannot be reused, and closes it.
func (connection *connection) readResponses() {
	defer connection.pool.closeConnection(connection)
	defer connection.limiter.release()
	for {
		_, err := connection.reader.Peek(1)
		call := connection.pool.callOrRetire(connection)
		if call == nil {
			return // the target closed the connection or sent bytes without a request
		}
		if err != nil {
			if !connection.answered && errors.Is(err, syscall.ECONNRESET) {
				connection.pool.recordReset(connection.address)
			}
			connection.fail(call, errors.Wrap(err, "wait for response"))
			return
		}
		response, body, err := connection.readOwnResponse(call)
		if errors.Is(err, errForeignResponse) {
			call.finish(Result{Sent: true, Err: err, Connection: connection.number})
			return
		}
		if err != nil {
			connection.fail(call, err)
			return
		}
		connection.last = exchange{call.ID, call.Method}
		keep := !response.Close && connection.isClean(call)
		if keep {
			keep = connection.pool.release(connection, idleTimeout(response.Header))
		}
		call.finish(Result{Sent: true, Response: response, Body: body, Connection: connection.number})
		if !keep {
			return
		}
	}
}

// isClean reports whether nothing that belongs to the call, which is answered, can reach the next one on the connection.
func (connection *connection) isClean(call *Call) bool {
	identified := call.ID != "" // otherwise a late copy of its response would answer the next call that has no ID
	return identified && connection.extras == 0 && connection.written.Load() && connection.reader.Buffered() == 0
}

// readOwnResponse reads the response that names the request of the call, and skips extra ones to the request before it. The error is
// errForeignResponse for any other response.
func (connection *connection) readOwnResponse(call *Call) (*http.Response, []byte, error) {
	for {
		response, body, err := connection.readResponse(call)
		if err != nil {
			return nil, nil, err
		}
		id := call.EchoedID(response.Header)
		if id == call.ID {
			return response, body, nil
		}
		if connection.extras == maxExtraResponses || !connection.last.isExtra(call, response, id) {
			return nil, nil, errForeignResponse
		}
		connection.extras++
		connection.pool.extras.Add(1)
	}
}

// fail ends the call whose connection broke. Unless this instance closed the connection, it first finds out whether the
// target's process still listens.
func (connection *connection) fail(call *Call, err error) {
	result := Result{Sent: true, Err: err, Connection: connection.number}
	if !errors.Is(err, net.ErrClosed) {
		result.Listens = connection.pool.listens(connection.address)
	}
	call.finish(result)
}

// readResponse reads a complete response and skips the interim ones before it.
func (connection *connection) readResponse(call *Call) (*http.Response, []byte, error) {
	connection.limiter.beginHead()
	response, err := connection.readFinalHead(call)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read response header")
	}
	connection.limiter.beginBody()
	body, err := connection.readBody(call, response)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read response body")
	}
	connection.limiter.beginHead() // also for bytes that arrive without a request
	return response, body, nil
}

// readBody reads the whole body of the response to the call.
func (connection *connection) readBody(call *Call, response *http.Response) ([]byte, error) {
	limit := cmp.Or(call.MaxBody, defaultMaxBody)
	if response.ContentLength > limit {
		return nil, intake.ErrTooLong
	}
	if response.ContentLength >= 0 {
		limit = response.ContentLength
	}
	return connection.pool.budget.ReadAll(response.Body, limit)
}

// readFinalHead reads heads of responses until one is not interim. The error wraps statusline.ErrInvalid if one of them is none.
func (connection *connection) readFinalHead(call *Call) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		response, err := http.ReadResponse(connection.reader, &http.Request{Method: call.Method})
		if err != nil {
			return nil, err
		}
		if err := statusline.Check(response); err != nil {
			return nil, err
		}
		if !statusline.IsInterim(response.StatusCode) {
			return response, nil
		}
	}
	return nil, errTooManyInterim
}

// idleTimeout returns for how long an idle connection may be reused, which is derived from the timeout parameter of the
// Keep-Alive header.
func idleTimeout(header http.Header) time.Duration {
	for option := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(option), "timeout=")
		if !ok {
			continue
		}
		if count, err := strconv.Atoi(seconds); err == nil {
			return min(maxIdleTime, time.Duration(idleTimeoutFactor*float64(count)*float64(time.Second)))
		}
	}
	return min(maxIdleTime, defaultIdleTimeout)
}
