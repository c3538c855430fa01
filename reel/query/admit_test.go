package query

import (
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/choice"
	"shallotreel.example/reel/result"
)

// TestGatheredRequestWaitsForWillingTargets guards against parts that are sent for an answer that too few other parts can make.
func TestGatheredRequestWaitsForWillingTargets(t *testing.T) {
	begin := func(t *testing.T, quiet ...string) *session {
		session := newSession(t, scatterGather(5, 0.6))
		session.router.quiet = map[string]time.Duration{}
		for _, service := range quiet {
			session.router.quiet[service] = 20 * ms
		}
		session.begin()
		return session
	}
	t.Run("enough take requests", func(t *testing.T) {
		begin(t, "shard-0", "shard-1").assertSends(3)
	})
	t.Run("too few, and then enough", func(t *testing.T) {
		session := begin(t, "shard-0", "shard-1", "shard-2")
		session.assertSends(0)
		clear(session.router.quiet)
		session.wake(10)
		session.assertSends(5)
	})
	t.Run("too few for a quarter of its time", func(t *testing.T) {
		session := begin(t, "shard-0", "shard-1", "shard-2")
		session.wake(190/capacityWaitDivisor + 1)
		session.assertSends(0)
		session.assertEnd(result.NoTarget)
	})
}

// limitedRouter is a router whose services each take a number of requests that refills with time.
type limitedRouter struct {
	*router
	tokens map[string]float64
}

func (limitedRouter *limitedRouter) QuietFor(_ time.Time, service string) time.Duration {
	if limitedRouter.tokens[service] >= 1 {
		return 0
	}
	return 20 * ms
}

func (limitedRouter *limitedRouter) Choose(now time.Time, route *catalogue.Route, service string, tried []string) (choice.Pick, bool) {
	if limitedRouter.tokens[service] < 1 {
		return choice.Pick{}, false
	}
	return limitedRouter.router.Choose(now, route, service, tried)
}

// TestShardsAtHalfOfTheLoad answers the pattern of shards that all take half of what comes, each at its own moments: what they
// take must go into answers that are given.
func TestShardsAtHalfOfTheLoad(t *testing.T) {
	session := newSession(t, scatterGather(10, 0.8))
	router := &limitedRouter{session.router, map[string]float64{}}
	for i, service := range session.machine.plan.Services {
		router.tokens[service] = float64(i%5) / 4
	}
	sent, wasted, answered := 0, 0, 0
	for request := range 400 {
		now := at(50 * request)
		for service := range router.tokens {
			router.tokens[service] = min(router.tokens[service]+0.5, 1.5)
		}
		plan := session.machine.plan
		plan.Start, plan.SoftDeadline, plan.Deadline = now, now.Add(40*ms), now.Add(45*ms)
		machine := New(plan, router, session.machine.nextAttemptID)
		sends := 0
		for _, action := range machine.Begin(now) {
			if send, ok := action.(Send); ok {
				sends++
				router.tokens[send.Service]--
			}
		}
		sent += sends
		if machine.meetsLeastShare(sends) {
			answered++
		} else {
			wasted += sends
		}
	}
	if wasted*20 > sent || answered < 150 {
		t.Errorf("%d of %d parts are sent for answers that are not given; %d of 400 requests are answered", wasted, sent, answered)
	}
}
