package connpool

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// A target that resets new connections is at its connection limit, so dials to it are delayed.
const (
	minDialBackoff = 30 * time.Millisecond  // average delay after the first reset
	maxDialBackoff = 240 * time.Millisecond // limit of the average delay, which doubles with each further reset
)

// dialBackoff delays new connections to a target at its connection limit.
type dialBackoff struct {
	delay      time.Duration // average delay; the actual one is random
	nextDialAt time.Time
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
