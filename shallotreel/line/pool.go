package line

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	dialMost    = time.Second
	freshTerm   = time.Second // idle time up to which a connection is surely known to the target
	readerBytes = 2 << 10
	// A target that resets new connections is at its limit; it is asked for another one only now and then.
	crowdedLeast = 30 * time.Millisecond
	crowdedMost  = 240 * time.Millisecond
)

// Call is one attempt at a target.
type Call struct {
	Address netip.AddrPort
	Method  string
	Data    []byte // the whole request
	Fresh   bool   // whether an old idle connection is too great a risk
	Echoes  func(http.Header) bool
	Done    func(Result) // called once

	once   sync.Once
	cancel context.CancelFunc // of its dialling
	line   *line              // guarded by the pool's lock
	given  bool               // given up; guarded by the pool's lock
}

// Result is how a call ended.
type Result struct {
	Sent     bool // whether any of the request may have reached the target
	Response *http.Response
	Body     []byte
	Err      error
}

// ErrCrowded ends a call to a target that takes no more connections.
var ErrCrowded = errors.New("the target takes no more connections")

// ErrGivenUp ends a call that its caller gave up.
var ErrGivenUp = errors.New("given up")

func (call *Call) finish(result Result) {
	call.once.Do(func() { call.Done(result) })
}

// Pool holds the connections to all targets.
type Pool struct {
	mutex  sync.Mutex
	lines  map[netip.AddrPort][]*line // idle ones, the newest last
	crowds map[netip.AddrPort]*crowd  // targets that took no new connection lately
	open   int
	dials  uint64
	dialer net.Dialer
}

// crowd tells when a target at its limit of connections may be asked for another one.
type crowd struct {
	backoff time.Duration
	dialAt  time.Time
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{lines: map[netip.AddrPort][]*line{}, crowds: map[netip.AddrPort]*crowd{},
		dialer: net.Dialer{Timeout: dialMost}}
}

// Room reports whether a call to the target can start now: on an idle connection, or on a new one
// that the target is likely to take.
func (pool *Pool) Room(now time.Time, address netip.AddrPort) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	crowd, ok := pool.crowds[address]
	if !ok || !now.Before(crowd.dialAt) {
		return true
	}
	idle := pool.lines[address]
	return len(idle) > 0 && !now.After(idle[len(idle)-1].expires)
}

// crowded notes that the target reset a new connection.
func (pool *Pool) crowded(address netip.AddrPort) {
	now := time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	known, ok := pool.crowds[address]
	if !ok {
		known = &crowd{backoff: crowdedLeast}
		pool.crowds[address] = known
	} else if !now.Before(known.dialAt) {
		known.backoff = min(2*known.backoff, crowdedMost)
	}
	known.dialAt = now.Add(known.backoff/2 + rand.N(known.backoff))
}

// doubted reports whether the target reset a connection lately.
func (pool *Pool) doubted(address netip.AddrPort) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	_, ok := pool.crowds[address]
	return ok
}

// Start sends the call on an idle connection or a new one; it does not wait.
func (pool *Pool) Start(call *Call) {
	if line := pool.take(call); line != nil {
		line.write(call)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	call.cancel = cancel
	go pool.dial(ctx, call)
}

// GiveUp ends a call whose answer nobody awaits; its connection is closed, which tells the target.
func (pool *Pool) GiveUp(call *Call) {
	pool.mutex.Lock()
	call.given = true
	line := call.line
	pool.mutex.Unlock()
	// Its end must not look like the target's doing, so it is told before the connection closes.
	call.finish(Result{Sent: line != nil, Err: ErrGivenUp})
	if call.cancel != nil {
		call.cancel()
	}
	if line != nil {
		pool.drop(line)
	}
}

// take assigns the newest idle connection to the call.
func (pool *Pool) take(call *Call) *line {
	now := time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.lines[call.Address]
	if len(idle) == 0 {
		return nil
	}
	line := idle[len(idle)-1]
	if now.After(line.expires) || call.Fresh && now.Sub(line.idleAt) > freshTerm {
		return nil
	}
	pool.lines[call.Address] = idle[:len(idle)-1]
	line.call, call.line = call, line
	return line
}

func (pool *Pool) dial(ctx context.Context, call *Call) {
	conn, err := pool.dialer.DialContext(ctx, "tcp", call.Address.String())
	if errors.Is(err, syscall.ECONNRESET) {
		pool.crowded(call.Address)
		call.finish(Result{Err: ErrCrowded})
		return
	}
	if err != nil {
		call.finish(Result{Err: errors.Wrap(err, "connect")})
		return
	}
	line := &line{pool: pool, key: call.Address, conn: conn, reader: bufio.NewReaderSize(conn, readerBytes)}
	if pool.doubted(call.Address) && !line.stays() {
		conn.Close()
		pool.crowded(call.Address)
		call.finish(Result{Err: ErrCrowded})
		return
	}
	pool.mutex.Lock()
	given := call.given
	if !given {
		line.call, call.line = call, line
		pool.open++
		pool.dials++
	}
	pool.mutex.Unlock()
	if given {
		conn.Close()
		return
	}
	line.write(call)
	line.read()
}

// current takes the call whose answer is due on the line.
func (pool *Pool) current(line *line) *Call {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return line.call
}

// release makes the line idle; it reports false if the line is closed already.
func (pool *Pool) release(line *line, idle time.Duration) bool {
	now := time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if line.closed {
		return false
	}
	line.call.line = nil
	line.call = nil
	if !line.proved {
		line.proved = true
		delete(pool.crowds, line.key) // it takes connections again
	}
	line.idleAt, line.expires = now, now.Add(idle)
	pool.lines[line.key] = append(pool.lines[line.key], line)
	return true
}

// drop closes the line and forgets it.
func (pool *Pool) drop(line *line) {
	pool.mutex.Lock()
	if line.closed {
		pool.mutex.Unlock()
		return
	}
	line.closed = true
	pool.open--
	pool.forget(line)
	pool.mutex.Unlock()
	line.conn.Close()
}

func (pool *Pool) forget(line *line) {
	idle := pool.lines[line.key]
	for i, other := range idle {
		if other == line {
			idle = append(idle[:i], idle[i+1:]...)
			break
		}
	}
	if len(idle) == 0 {
		delete(pool.lines, line.key)
		return
	}
	pool.lines[line.key] = idle
}

// Sweep closes idle connections that are too old to be used again.
func (pool *Pool) Sweep(now time.Time) {
	var old []*line
	pool.mutex.Lock()
	for _, idle := range pool.lines {
		for _, line := range idle {
			if now.After(line.expires) {
				old = append(old, line)
			}
		}
	}
	pool.mutex.Unlock()
	for _, line := range old {
		pool.retire(line)
	}
}

// retire closes a line unless it was taken for a call meanwhile.
func (pool *Pool) retire(line *line) {
	pool.mutex.Lock()
	busy := line.call != nil
	if !busy {
		pool.forget(line)
	}
	pool.mutex.Unlock()
	if !busy {
		pool.drop(line)
	}
}

// Counts returns the open connections and how many were ever made.
func (pool *Pool) Counts() (open int, dials uint64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.open, pool.dials
}
