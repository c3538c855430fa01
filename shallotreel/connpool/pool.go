package connpool

import (
	"context"
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/shallotreel/intake"
)

const (
	dialTimeout    = time.Second
	readBufferSize = 2 << 10 // bytes
)

// Pool keeps the connections to all targets. Its methods may be called from several goroutines at once.
type Pool struct {
	mutex    sync.Mutex
	idle     map[netip.AddrPort][]*connection // idle connections by target, the most recently used last
	probes   map[netip.AddrPort]time.Time     // last probe by address
	backoffs map[netip.AddrPort]*dialBackoff  // targets that reset a connection and have not answered on a new one since
	memory   *intake.Memory                   // of responses
	most     int                              // limit of the open connections and of those that are being opened for calls
	open     int                              // open connections
	dialing  int                              // connections that are being opened for calls
	refused  atomic.Uint64                    // see Refused
	dials    uint64                           // connections ever opened
	extras   atomic.Uint64                    // see ExtraResponses
	connect  Dial
	excluded func(netip.AddrPort) bool // see WithExclusion
	// acceptanceWait is the time within which a target at its connection limit, or whose process ends, resets a connection.
	acceptanceWait time.Duration
}

// Dial connects to a target. It returns an error once the context has ended.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes a new Pool.
type Option func(*Pool)

// WithDial makes the pool open its connections with the function instead of TCP.
func WithDial(dial Dial) Option {
	return func(pool *Pool) { pool.connect = dial }
}

// WithExclusion makes the pool send nothing to addresses for which the function returns true, and open no connection to them.
// Requests that were sent before are completed.
func WithExclusion(excluded func(netip.AddrPort) bool) Option {
	return func(pool *Pool) { pool.excluded = excluded }
}

// NewPool returns a pool without connections.
func NewPool(options ...Option) *Pool {
	pool := &Pool{idle: map[netip.AddrPort][]*connection{}, backoffs: map[netip.AddrPort]*dialBackoff{}, probes: map[netip.AddrPort]time.Time{},
		memory: intake.NewMemory(defaultMemory), most: math.MaxInt,
		connect: new(net.Dialer).DialContext, excluded: func(netip.AddrPort) bool { return false }, acceptanceWait: acceptanceWait}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// Start sends the request on an idle connection or a new one. It does not block; Done receives the result.
func (pool *Pool) Start(call *Call) {
	if connection := pool.takeIdle(call); connection != nil {
		connection.write(call)
		return
	}
	if !pool.reserve() {
		call.finish(Result{Err: ErrTooManyConnections})
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	call.cancel = cancel
	go pool.dial(ctx, call)
}

// Cancel ends the call with ErrCanceled, unless it has ended already, and closes its connection, by which the target
// learns of the cancellation. It reports whether any part of the request was sent or can still be sent; after it has
// reported false, nothing of the request is ever sent.
func (pool *Pool) Cancel(call *Call) (sent bool) {
	pool.mutex.Lock()
	call.canceled = true
	sent = call.sent
	pool.mutex.Unlock()
	// The call ends before the connection closes, so that the closed connection is not reported as a failure of the
	// target.
	call.finish(Result{Sent: sent, Err: ErrCanceled})
	if call.cancel != nil {
		call.cancel()
	}
	pool.closeConnectionOf(call)
	return sent
}

// MayBeSent reports whether any part of the call's request may have reached the target already.
func (pool *Pool) MayBeSent(call *Call) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return call.sent
}

// assign gives the connection to the call, which is sent from then on. It reports false if the call is canceled; then
// nothing of it may be sent. The caller holds the mutex, so that Cancel sees either both or neither.
func (pool *Pool) assign(call *Call, connection *connection) bool {
	if call.canceled {
		return false
	}
	connection.call, call.connection, call.sent = call, connection, true
	call.History.add(connection)
	return true
}

// connectTo opens a connection to the target within the timeout.
func (pool *Pool) connectTo(ctx context.Context, address netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return pool.connect(ctx, "tcp", address.String())
}

// dial opens a connection, sends the request and reads responses until the connection closes.
func (pool *Pool) dial(ctx context.Context, call *Call) {
	if connection := pool.openFor(ctx, call); connection != nil {
		connection.write(call)
		connection.readResponses()
	}
}

// openFor opens a connection for the call, for which a place is reserved. It returns nil if the call has ended.
func (pool *Pool) openFor(ctx context.Context, call *Call) *connection {
	defer pool.endReservation()
	if pool.excluded(call.Address) {
		call.finish(Result{Err: ErrExcluded})
		return nil
	}
	conn, err := pool.connectTo(ctx, call.Address, dialTimeout)
	if errors.Is(err, syscall.ECONNRESET) {
		pool.recordReset(call.Address)
		call.finish(Result{Err: ErrConnectionLimit})
		return nil
	}
	if err != nil {
		call.finish(Result{Listens: listensAfter(err), Err: errors.Wrap(err, "connect")})
		return nil
	}
	connection := newConnection(pool, call.Address, conn)
	if pool.recentlyReset(call.Address) && !connection.confirmAccepted() {
		conn.Close()
		pool.recordReset(call.Address)
		call.finish(Result{Err: ErrConnectionLimit})
		return nil
	}
	if !call.refresh() {
		conn.Close()
		call.finish(Result{Err: ErrTooLate})
		return nil
	}
	if pool.excluded(call.Address) { // since the dial began
		conn.Close()
		call.finish(Result{Err: ErrExcluded})
		return nil
	}
	pool.mutex.Lock()
	assigned := pool.assign(call, connection)
	if assigned {
		pool.open++
		pool.dials++
		connection.number = pool.dials
	}
	pool.mutex.Unlock()
	if !assigned {
		conn.Close()
		return nil
	}
	return connection
}

// callOrRetire returns the call in flight on the connection. Without one it returns nil, and no call can take the
// connection any more.
func (pool *Pool) callOrRetire(connection *connection) *Call {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if connection.call == nil {
		pool.removeIdle(connection)
	}
	return connection.call
}

// release makes the connection idle for at most the given time. It reports false if the connection is already closed.
func (pool *Pool) release(connection *connection, idle time.Duration) bool {
	now := time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if connection.closed {
		return false
	}
	connection.call.connection = nil
	connection.call = nil
	if !connection.answered {
		connection.answered = true
		delete(pool.backoffs, connection.address) // the target accepts connections again
	}
	connection.idleAt, connection.expires = now, now.Add(idle)
	pool.idle[connection.address] = append(pool.idle[connection.address], connection)
	return true
}

// closeConnection closes the connection, unless it is closed already, and removes it from the pool.
func (pool *Pool) closeConnection(connection *connection) {
	pool.mutex.Lock()
	removed := pool.remove(connection)
	pool.mutex.Unlock()
	if removed {
		connection.conn.Close()
	}
}

// closeConnectionOf closes the connection of the call, unless it has been released and may serve another call.
func (pool *Pool) closeConnectionOf(call *Call) {
	pool.mutex.Lock()
	connection := call.connection
	removed := connection != nil && pool.remove(connection)
	pool.mutex.Unlock()
	if removed {
		connection.conn.Close()
	}
}

// remove removes the connection from the pool and reports whether the caller must close it. The caller holds the mutex.
func (pool *Pool) remove(connection *connection) bool {
	if connection.closed {
		return false
	}
	connection.closed = true
	pool.open--
	pool.removeIdle(connection)
	return true
}

// Counts returns the number of open connections and the number of connections ever opened.
func (pool *Pool) Counts() (open int, dials uint64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.open, pool.dials
}

// ExtraResponses returns how many late copies of a response were skipped before the response of the next call.
func (pool *Pool) ExtraResponses() uint64 { return pool.extras.Load() }
