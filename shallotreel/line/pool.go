package line

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	dialMost    = time.Second
	freshTerm   = time.Second // idle time up to which a connection is surely known to the target
	readerBytes = 2 << 10
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

// ErrGivenUp ends a call that its caller gave up.
var ErrGivenUp = errors.New("given up")

func (call *Call) finish(result Result) {
	call.once.Do(func() { call.Done(result) })
}

// Pool holds the connections to all targets.
type Pool struct {
	mutex  sync.Mutex
	lines  map[netip.AddrPort][]*line // idle ones, the newest last
	open   int
	dials  uint64
	dialer net.Dialer
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{lines: map[netip.AddrPort][]*line{}, dialer: net.Dialer{Timeout: dialMost}}
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
	if call.cancel != nil {
		call.cancel()
	}
	if line != nil {
		pool.drop(line)
	}
	call.finish(Result{Sent: line != nil, Err: ErrGivenUp})
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
	if err != nil {
		call.finish(Result{Err: errors.Wrap(err, "connect")})
		return
	}
	line := &line{pool: pool, key: call.Address, conn: conn, reader: bufio.NewReaderSize(conn, readerBytes)}
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
