package ingress

import (
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/choice"
	"shallotreel.example/shallotreel/connpool"
)

// admittedRouter is the router as one request uses it. It records when no target has free capacity.
type admittedRouter struct {
	*Router
	ticket  *ticket
	history *connpool.History // of the request
}

// Choose picks a target as the router does. A service that has no free capacity although nothing of it was tried shows load, unless its
// targets take no requests for other reasons.
func (router *admittedRouter) Choose(now time.Time, route *catalogue.Route, service string, tried []string) (choice.Pick, bool) {
	pick, ok := router.Router.Choose(now, route, service, tried, router.history)
	if !ok && len(tried) == 0 && router.ticket != nil && router.isFull(now, service) {
		router.ticket.noRoomAt(now, service)
	}
	return pick, ok
}

// isFull reports whether a target of the service takes requests and can be connected to, so that only its capacity is used up.
func (router *Router) isFull(now time.Time, service string) bool {
	if router.QuietFor(now, service) > 0 {
		return false
	}
	for _, target := range router.catalogue.View().Targets(service) {
		if router.pool.CanStart(now, target.Address, nil) {
			return true
		}
	}
	return false
}

// Overloaded reports whether requests of the group of this request are being refused because of overload.
func (router *admittedRouter) Overloaded(now time.Time, _ *catalogue.Route) bool {
	return router.ticket != nil && router.ticket.group.isRefusing(now)
}
