package choice

import (
	"time"

	"shallotreel.example/reel/catalogue"
)

const (
	suspectQuantile = 0.9 // quantile of the route's latency on which the suspicion timeout is based
	suspectFactor   = 2.0 // multiple of that quantile after which a target that has not answered is suspect
)

// unresponsive reports whether an attempt in flight has been unanswered for longer than the suspicion timeout, which is
// suspectFactor times the route's latency at suspectQuantile.
func (selector *Selector) unresponsive(now time.Time, route *catalogue.Route, targetHealth *targetHealth) bool {
	for _, attempt := range targetHealth.inFlight {
		if now.Sub(attempt.SentAt) > selector.suspicionTimeout(attempt.Route, route.Goal) {
			return true
		}
	}
	return false
}

// SuspicionTimeout returns the time without an answer to an attempt of the route after which its target is suspect.
func (selector *Selector) SuspicionTimeout(route *catalogue.Route) time.Duration {
	return selector.suspicionTimeout(route.Name, route.Goal)
}

func (selector *Selector) suspicionTimeout(route string, goal time.Duration) time.Duration {
	usual := selector.latencyHistogram(route).quantile(suspectQuantile, goal/4)
	return time.Duration(suspectFactor * float64(usual))
}
