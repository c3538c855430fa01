package connpool

import (
	"maps"
	"net/netip"
	"time"
)

// mayServe reports whether the idle connection may serve the call. The caller holds the mutex.
func (connection *connection) mayServe(now time.Time, call *Call) bool {
	expired := now.After(connection.expires) || call.RequireFresh && now.Sub(connection.idleAt) > maxFreshIdleTime
	return !expired && !call.History.contains(connection)
}

// removeIdle removes the connection from the idle ones. The caller holds the mutex.
func (pool *Pool) removeIdle(connection *connection) {
	idle := pool.idle[connection.address]
	for i, other := range idle {
		if other == connection {
			idle = append(idle[:i], idle[i+1:]...)
			break
		}
	}
	if len(idle) == 0 {
		delete(pool.idle, connection.address)
		return
	}
	pool.idle[connection.address] = idle
}

// Sweep closes idle connections that have expired.
func (pool *Pool) Sweep(now time.Time) {
	var expired []*connection
	pool.mutex.Lock()
	maps.DeleteFunc(pool.probes, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= probePeriod })
	for _, idle := range pool.idle {
		for _, connection := range idle {
			if now.After(connection.expires) {
				expired = append(expired, connection)
			}
		}
	}
	pool.mutex.Unlock()
	for _, connection := range expired {
		pool.closeIfIdle(connection)
	}
}

// closeIfIdle closes the connection unless a call has taken it in the meantime.
func (pool *Pool) closeIfIdle(connection *connection) {
	pool.mutex.Lock()
	busy := connection.call != nil
	if !busy {
		pool.removeIdle(connection)
	}
	pool.mutex.Unlock()
	if !busy {
		pool.closeConnection(connection)
	}
}
