package connpool

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	refusalTimeout = 100 * time.Millisecond // for a connection that only shows whether the target still listens
	probePeriod    = time.Second            // between two probes of an address
)

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
