package ingress

import (
	"time"

	"shallotreel.example/reel/catalogue"
)

// recentTime is the time after the newest answer for which the latency of a route counts as known. It is short, so that the route is
// soon tried again after its latency has kept all requests from being sent.
const recentTime = 300 * time.Millisecond

// Overload knows which groups of routes are overloaded. The admission control implements it.
type Overload interface {
	// Overloaded reports whether requests of the route's group are refused now.
	Overloaded(now time.Time, route *catalogue.Route) bool
}

// SetOverload sets what knows of overload. Without it, no group is overloaded.
func (router *Router) SetOverload(overload Overload) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.overload = overload
}

// Overloaded reports whether admission control refuses requests of the route's group.
func (router *Router) Overloaded(now time.Time, route *catalogue.Route) bool {
	router.mutex.Lock()
	overload := router.overload
	router.mutex.Unlock() // it has locks of its own
	return overload != nil && overload.Overloaded(now, route)
}

// RecentLatency returns the latency below which the given share of the route's answers arrives, or 0 if it is unknown or no answer
// has arrived within recentTime.
func (router *Router) RecentLatency(now time.Time, route *catalogue.Route, quantile float64) time.Duration {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if now.Sub(router.answeredAt[route.Name]) >= recentTime {
		return 0
	}
	return router.selector.LatencyQuantile(route.Name, quantile, 0)
}

// recordAnswered records that a target has answered an attempt of the route.
func (router *Router) recordAnswered(now time.Time, route string) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.answeredAt[route] = now
}
