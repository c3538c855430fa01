package query

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/choice"
	"shallotreel.example/reel/extra"
	"shallotreel.example/reel/quarantine"
)

// router is a fake Router with three targets for each service.
type router struct {
	full       bool                     // whether no target has free capacity
	empty      []string                 // services without a registered target
	quiet      map[string]time.Duration // services whose targets all want no requests for some time
	saturated  []string                 // services that are saturated and whose targets have no free capacity
	budget     int                      // extra attempts allowed
	timedOut   []string                 // services for which a request timed out waiting for a target
	requests   map[string]int           // by service
	extraSpent int
	verdict    quarantine.Verdict
	tried      bool      // whether another request is being tried
	nextTrial  time.Time // when the next trial may begin
	overloaded bool
	latency    time.Duration // of recent answers, 0 while it is unknown
}

func (router *router) Choose(_ time.Time, _ *catalogue.Route, service string, tried []string) (choice.Pick, bool) {
	for i := range 3 {
		id := fmt.Sprintf("%s/%d", service, i)
		if !router.full && router.HasTargets(service) && !slices.Contains(router.saturated, service) && router.quiet[service] == 0 && !slices.Contains(tried, id) {
			return choice.Pick{Target: catalogue.Target{ID: id, Address: netip.AddrPort{}}}, true
		}
	}
	return choice.Pick{}, false
}

func (router *router) HasTargets(service string) bool { return !slices.Contains(router.empty, service) }

func (router *router) QuietFor(_ time.Time, service string) time.Duration {
	return router.quiet[service]
}

func (router *router) Saturated(_ time.Time, service string) (time.Duration, bool) {
	return 2 * time.Second, slices.Contains(router.saturated, service)
}

func (router *router) RecordWait(_ time.Time, service string, timedOut bool) {
	if timedOut {
		router.timedOut = append(router.timedOut, service)
	}
}

func (router *router) CountRequest(_ time.Time, service string) { router.requests[service]++ }

func (router *router) SpendExtra(time.Time, string, extra.Purpose) bool {
	if router.extraSpent >= router.budget {
		return false
	}
	router.extraSpent++
	return true
}

func (router *router) Verdict(time.Time, quarantine.Fingerprint) (quarantine.Verdict, time.Duration) {
	return router.verdict, quarantineTime
}

func (router *router) BeginTrial(now time.Time, _ quarantine.Fingerprint) bool {
	if router.tried || now.Before(router.nextTrial) {
		return false
	}
	router.tried = true
	return true
}

func (router *router) EndTrial(_ quarantine.Fingerprint, next time.Time) {
	router.tried, router.nextTrial = false, next
}

func (router *router) LatencyQuantile(*catalogue.Route, float64) time.Duration { return 20 * ms }

func (router *router) RecentLatency(time.Time, *catalogue.Route, float64) time.Duration {
	return router.latency
}

func (router *router) Overloaded(time.Time, *catalogue.Route) bool { return router.overloaded }
