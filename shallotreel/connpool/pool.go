package connpool

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/shallotreel/intake"
)

const (
	dialTimeout      = time.Second
	refusalTimeout   = 100 * time.Millisecond // for a connection that only shows whether the target still listens
	maxFreshIdleTime = time.Second            // idle time up to which the target certainly still has the connection open
	readBufferSize   = 2 << 10                // bytes
	probePeriod      = time.Second            // between two probes of an address
	// A target that resets new connections is at its connection limit, so dials to it are delayed.
	minDialBackoff = 30 * time.Millisecond  // average delay after the first reset
	maxDialBackoff = 240 * time.Millisecond // limit of the average delay, which doubles with each further reset
)

// Pool keeps the connections to all targets. Its methods may be called from several goroutines at once.
type Pool struct {
	mutex    sync.Mutex
	idle     map[netip.AddrPort][]*connection // idle connections by target, the most recently used last
	probes   map[netip.AddrPort]time.Time     // last probe by address
	backoffs map[netip.AddrPort]*dialBackoff  // targets that reset a connection and have not answered on a new one since
	budget   *intake.Budget
	open     int           // open connections
	dials    uint64        // connections ever opened
	extras   atomic.Uint64 // see ExtraResponses
	connect  Dial
	excluded func(netip.AddrPort) bool // see WithExclusion
	// acceptanceWait is the time within which a target at its connection limit, or whose process ends, resets a connection.
	acceptanceWait time.Duration
}

// dialBackoff delays new connections to a target at its connection limit.
type dialBackoff struct {
	delay      time.Duration // average delay; the actual one is random
	nextDialAt time.Time
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
		budget:  intake.NewBudget(maxPendingBytes),
		connect: new(net.Dialer).DialContext, excluded: func(netip.AddrPort) bool { return false }, acceptanceWait: acceptanceWait}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// CanStart reports whether a call to the target, of the request with the history, can start now, on an idle connection or on a new one.
// A new connection is not possible during the backoff after a reset.
func (pool *Pool) CanStart(now time.Time, address netip.AddrPort, history *History) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	dialBackoff, ok := pool.backoffs[address]
	if !ok || !now.Before(dialBackoff.nextDialAt) {
		return true
	}
	return slices.ContainsFunc(pool.idle[address], func(connection *connection) bool {
		return !now.After(connection.expires) && !history.contains(connection)
	})
}

// recordReset records that the target reset a new connection, and starts or extends its dial backoff.
func (pool *Pool) recordReset(address netip.AddrPort) {
	now := time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	backoff, ok := pool.backoffs[address]
	if !ok {
		backoff = &dialBackoff{delay: minDialBackoff}
		pool.backoffs[address] = backoff
	} else if !now.Before(backoff.nextDialAt) {
		backoff.delay = min(2*backoff.delay, maxDialBackoff)
	}
	backoff.nextDialAt = now.Add(backoff.delay/2 + rand.N(backoff.delay))
}

// recentlyReset reports whether the target reset a connection and has not answered on a new one since.
func (pool *Pool) recentlyReset(address netip.AddrPort) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	_, ok := pool.backoffs[address]
	return ok
}

// Start sends the request on an idle connection or a new one. It does not block; Done receives the result.
func (pool *Pool) Start(call *Call) {
	if connection := pool.takeIdle(call); connection != nil {
		connection.write(call)
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

// takeIdle assigns to the call the most recently used idle connection that it may use. It returns nil if there is none.
func (pool *Pool) takeIdle(call *Call) *connection {
	if pool.excluded(call.Address) {
		return nil
	}
	now := time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[call.Address]
	for i, connection := range slices.Backward(idle) {
		if !connection.mayServe(now, call) {
			continue
		}
		if !pool.assign(call, connection) {
			return nil
		}
		pool.idle[call.Address] = slices.Delete(idle, i, i+1)
		return connection
	}
	return nil
}

// connectTo opens a connection to the target within the timeout.
func (pool *Pool) connectTo(ctx context.Context, address netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return pool.connect(ctx, "tcp", address.String())
}

// dial opens a connection, sends the request and reads responses until the connection closes.
func (pool *Pool) dial(ctx context.Context, call *Call) {
	if pool.excluded(call.Address) {
		call.finish(Result{Err: ErrExcluded})
		return
	}
	conn, err := pool.connectTo(ctx, call.Address, dialTimeout)
	if errors.Is(err, syscall.ECONNRESET) {
		pool.recordReset(call.Address)
		call.finish(Result{Err: ErrConnectionLimit})
		return
	}
	if err != nil {
		call.finish(Result{Listens: listensAfter(err), Err: errors.Wrap(err, "connect")})
		return
	}
	connection := newConnection(pool, call.Address, conn)
	if pool.recentlyReset(call.Address) && !connection.confirmAccepted() {
		conn.Close()
		pool.recordReset(call.Address)
		call.finish(Result{Err: ErrConnectionLimit})
		return
	}
	if !call.refresh() {
		conn.Close()
		call.finish(Result{Err: ErrTooLate})
		return
	}
	if pool.excluded(call.Address) { // since the dial began
		conn.Close()
		call.finish(Result{Err: ErrExcluded})
		return
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
		return
	}
	connection.write(call)
	connection.readResponses()
}

// listens finds out whether the target accepts connections. A target that is about to end may reset one, or accept it and
// close it soon after; a second one then shows whether it still listens.
func (pool *Pool) listens(address netip.AddrPort) Listens {
	for range 2 {
		if pool.excluded(address) {
			return Unknown
		}
		conn, err := pool.connectTo(context.Background(), address, refusalTimeout)
		if errors.Is(err, syscall.ECONNRESET) {
			continue
		}
		if err != nil {
			return listensAfter(err)
		}
		connection := newConnection(pool, address, conn)
		kept := connection.confirmAccepted()
		conn.Close()
		if kept {
			return Accepted
		}
	}
	return Unknown
}

// Accepts reports whether the target accepts a connection, which is closed at once.
func (pool *Pool) Accepts(address netip.AddrPort) bool {
	if pool.excluded(address) {
		return false
	}
	conn, err := pool.connectTo(context.Background(), address, refusalTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// listensAfter returns what the error of a failed connection shows.
func listensAfter(err error) Listens {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Refused
	}
	return Unknown
}

// Probe calls done with whether the target accepts connections. It does nothing within probePeriod after another probe of
// the address.
func (pool *Pool) Probe(now time.Time, address netip.AddrPort, done func(Listens)) {
	pool.mutex.Lock()
	recent := now.Sub(pool.probes[address]) < probePeriod
	if !recent {
		pool.probes[address] = now
	}
	pool.mutex.Unlock()
	if !recent {
		go func() { done(pool.listens(address)) }()
	}
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
