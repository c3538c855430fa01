package linelimit

import (
	"sync"
	"time"
)

// Limiter allows a number of lines in each second of the clock. It is safe for concurrent use.
type Limiter struct {
	perSecond int
	mutex     sync.Mutex
	second    int64 // Unix time to which lines applies
	lines     int
}

// New returns a Limiter that allows the number of lines in a second.
func New(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written now, and counts it.
func (limiter *Limiter) Allow(now time.Time) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if second := now.Unix(); second != limiter.second {
		limiter.second, limiter.lines = second, 0
	}
	limiter.lines++
	return limiter.lines <= limiter.perSecond
}
