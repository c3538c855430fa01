package admit

import (
	"math/rand/v2"
	"time"
)

const (
	baseRetryAfter    = 100 * time.Millisecond // without excess
	maxRetryAfter     = 3 * time.Second
	retryWindow       = time.Second // after Retry-After, within which a request of the caller is a retry in time
	maxRefusedCallers = 4096        // refused callers that are remembered
	retrySweepPeriod  = time.Second
	maxEarlyShare     = 0.5 // share of early retries above which they count as new, since many callers then have the same key
)

// retries remembers the callers that were refused, by key.
type retries struct {
	due        map[string]time.Time
	random     *rand.Rand
	sweptAt    time.Time
	earlyShare float64
}

// retryKind tells whether a request repeats a refused one, and whether its caller waited for Retry-After.
type retryKind int

const (
	notRetried retryKind = iota
	retriedEarly
	retriedInTime
)

// compare returns the kind of a request that arrives now, and for an early retry the time left until Retry-After has passed.
func (retries *retries) compare(now time.Time, key string) (retryKind, time.Duration) {
	due, ok := retries.due[key]
	kind := notRetried
	switch {
	case !ok || key == "":
	case now.Before(due):
		kind = retriedEarly
	case now.Sub(due) < retryWindow:
		kind = retriedInTime
	}
	const weight = 1.0 / 64
	early := 0.0
	if kind == retriedEarly {
		early = 1
	}
	retries.earlyShare += weight * (early - retries.earlyShare)
	if kind == retriedEarly && retries.earlyShare > maxEarlyShare {
		return notRetried, 0
	}
	return kind, due.Sub(now)
}

// refuse returns when the caller should return: the later the smaller the share of the requests that is admitted, and at random,
// so that callers do not return together.
func (retries *retries) refuse(now time.Time, key string, share float64) time.Duration {
	excess := 1 / max(share, 1e-3)
	after := time.Duration(float64(baseRetryAfter) * excess * (0.5 + retries.random.Float64()))
	after = min(after, time.Duration(float64(maxRetryAfter)*(0.5+retries.random.Float64()/2)))
	retries.sweep(now)
	if key != "" && len(retries.due) < maxRefusedCallers {
		retries.due[key] = now.Add(after)
	}
	return after
}

// forget removes a caller that was admitted.
func (retries *retries) forget(key string) { delete(retries.due, key) }

func (retries *retries) sweep(now time.Time) {
	if now.Sub(retries.sweptAt) < retrySweepPeriod {
		return
	}
	retries.sweptAt = now
	for key, due := range retries.due {
		if now.Sub(due) >= retryWindow {
			delete(retries.due, key)
		}
	}
}
