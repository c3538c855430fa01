package connpool

import (
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	defaultIdleTimeout = 2 * time.Second         // assumed idle timeout of a target that sends no Keep-Alive timeout
	maxIdleTime        = 1500 * time.Millisecond // limit of the idle time, since idle connections count against the target's connection limit
	maxFreshIdleTime   = time.Second             // idle time up to which the target certainly still has the connection open
	idleTimeoutFactor  = 0.7                     // share of the target's idle timeout for which a connection is reused
)

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

// reserve takes a place for a connection that is to be opened. If there is none, it closes the connection that has been idle for longest, and
// reports false if all are in use.
func (pool *Pool) reserve() bool {
	pool.mutex.Lock()
	var closed *connection
	ok := pool.open+pool.dialing < pool.most
	if !ok {
		closed = pool.longestIdle()
		ok = closed != nil && pool.remove(closed)
	}
	if ok {
		pool.dialing++
	} else {
		pool.refused.Add(1)
	}
	pool.mutex.Unlock()
	if closed != nil {
		closed.conn.Close()
	}
	return ok
}

// endReservation gives the place back when the connection is counted as open, or was not opened.
func (pool *Pool) endReservation() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.dialing--
}

// longestIdle returns the connection that has been idle for longest, or nil if none is idle. The caller holds the mutex.
func (pool *Pool) longestIdle() *connection {
	var longest *connection
	for _, idle := range pool.idle {
		if first := idle[0]; longest == nil || first.idleAt.Before(longest.idleAt) {
			longest = first
		}
	}
	return longest
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
