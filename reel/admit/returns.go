package admit

import (
	"math/rand/v2"
	"time"
)

const (
	baseRetryAfter    = 100 * time.Millisecond // without excess
	maxRetryAfter     = 3 * time.Second
	returnTime        = time.Second // after its Retry-After, within which a caller counts as returning
	maxReturns        = 4096        // callers that are remembered
	returnSweepPeriod = time.Second
	maxEarlyShare     = 0.5 // share of the requests that may be taken for early repetitions; with more, their keys tell little
)

// returns remembers the callers that were refused, by key.
type returns struct {
	due        map[string]time.Time
	random     *rand.Rand
	sweptAt    time.Time
	earlyShare float64
}

// earliness tells how a request compares with a refusal before.
type earliness int

const (
	isNew earliness = iota
	isEarly
	isReturning
)

// compare returns whether the caller was refused before, and whether it has waited as it was told.
func (returns *returns) compare(now time.Time, key string) (earliness, time.Duration) {
	due, ok := returns.due[key]
	kind := isNew
	switch {
	case !ok || key == "":
	case now.Before(due):
		kind = isEarly
	case now.Sub(due) < returnTime:
		kind = isReturning
	}
	const weight = 1.0 / 64
	early := 0.0
	if kind == isEarly {
		early = 1
	}
	returns.earlyShare += weight * (early - returns.earlyShare)
	if kind == isEarly && returns.earlyShare > maxEarlyShare {
		return isNew, 0
	}
	return kind, due.Sub(now)
}

// refuse returns when the caller should return: the later the smaller the share of the requests that is admitted, and at random,
// so that callers do not return together.
func (returns *returns) refuse(now time.Time, key string, share float64) time.Duration {
	excess := 1 / max(share, 1e-3)
	after := time.Duration(float64(baseRetryAfter) * excess * (0.5 + returns.random.Float64()))
	after = min(after, time.Duration(float64(maxRetryAfter)*(0.5+returns.random.Float64()/2)))
	returns.sweep(now)
	if key != "" && len(returns.due) < maxReturns {
		returns.due[key] = now.Add(after)
	}
	return after
}

// forget removes a caller that was admitted.
func (returns *returns) forget(key string) { delete(returns.due, key) }

func (returns *returns) sweep(now time.Time) {
	if now.Sub(returns.sweptAt) < returnSweepPeriod {
		return
	}
	returns.sweptAt = now
	for key, due := range returns.due {
		if now.Sub(due) >= returnTime {
			delete(returns.due, key)
		}
	}
}
