package connpool

import (
	"bufio"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/shallotreel/intake"
)

const (
	acceptanceWait = 5 * time.Millisecond
	maxInlineWrite = 8 << 10 // bytes that fit in the socket's send buffer, so that the write does not block
)

// connection is a connection to a target. The pool's mutex guards its mutable fields except the atomic one.
type connection struct {
	pool     *Pool
	address  netip.AddrPort
	number   uint64 // unique within the pool
	conn     net.Conn
	hold     *intake.Hold // of heads, and of bodies of calls without a hold
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
	hold := pool.memory.Hold()
	limiter := &headLimiter{conn: conn, head: intake.NewHead(hold, intake.Answer)}
	return &connection{pool: pool, address: address, conn: conn, hold: hold, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferSize)}
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
	if len(call.Request) == 1 && len(call.Request[0]) <= maxInlineWrite {
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
	if err := connection.writeAll(call.Request); err != nil {
		connection.pool.closeConnection(connection)
		connection.fail(call, errors.Wrap(err, "send request"))
		return
	}
	connection.written.Store(true)
}

// writeAll writes the parts of a request, which it does not change.
func (connection *connection) writeAll(request net.Buffers) error {
	if len(request) == 1 {
		_, err := connection.conn.Write(request[0])
		return err
	}
	parts := slices.Clone(request) // of which WriteTo drops what is written
	_, err := parts.WriteTo(connection.conn)
	return err
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

// fail ends the call whose connection broke. Unless this instance closed the connection, it first finds out whether the
// target's process still listens.
func (connection *connection) fail(call *Call, err error) {
	result := Result{Sent: true, Err: err, Connection: connection.number}
	if !errors.Is(err, net.ErrClosed) {
		result.Listens = connection.pool.listens(connection.address)
	}
	call.finish(result)
}
