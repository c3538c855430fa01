package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync/atomic"
	"time"
)

const (
	retryWindow = 10 * time.Second // retry_window_s
	retryRatio  = 0.2              // retry_ratio
	retrySlack  = 58               // retry_slack
	failedShare = 0.8              // of the servers
	failRate    = 0.6              // of the requests to them
)

func init() { cases["retries-after-power-loss"] = retriesAfterPowerLoss }

// retriesAfterPowerLoss lets all machines lose power at once. Those that the seeds name come back later than the others.
func retriesAfterPowerLoss(world *world) bool {
	zones := []string{"monza", "bergamo", "como"}
	var failing atomic.Bool
	servers := 0
	world.addServers("proof", 19, zones, func(added *server) {
		servers++
		fails := float64(servers) <= failedShare*19
		added.handle = func(_ *server, writer http.ResponseWriter, _ *http.Request) bool {
			if fails && failing.Load() && rand.Float64() < failRate {
				reject(writer)
				return true
			}
			return false
		}
	})
	world.configure(7, []map[string]any{{"name": "r-1", "host": host, "prefix": "/proof/", "type": "idempotent", "timeout_ms": 6000,
		"goal_ms": 600, "priority": 2, "service": "proof", "attempts": 2}}, "proof")
	time.Sleep(time.Second)
	world.addInstances(9, zones)
	client := newClient(world.record)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	up := make([]atomic.Bool, len(world.instances))
	for i := range up {
		up[i].Store(true)
	}
	go client.press(ctx, 45, func() *instance {
		for range 50 {
			if i := rand.IntN(len(up)); up[i].Load() {
				return world.instances[i]
			}
		}
		return nil
	}, func() string { return "/proof/" + newID() }, 6*time.Second)
	time.Sleep(12 * time.Second)

	if world.trouble {
		world.record.note("all machines lose power")
		for i, instance := range world.instances {
			up[i].Store(false)
			instance.kill()
		}
		time.Sleep(700 * time.Millisecond)
		for _, instance := range world.instances[3:] {
			instance.start()
		}
		for i, instance := range world.instances[3:] {
			instance.awaitReady()
			up[i+3].Store(true)
		}
		world.record.note("six machines are back; the three that the seeds name are not")
	}
	time.Sleep(5 * time.Second)
	failing.Store(true)
	world.record.note("%.0f in 100 servers reject %.0f in 100 requests", 100*failedShare, 100*failRate)
	time.Sleep(9 * time.Second)
	failing.Store(false)
	world.record.note("the servers reject no more")
	if world.trouble {
		for i, instance := range world.instances[:3] {
			instance.start()
			instance.awaitReady()
			up[i].Store(true)
		}
		world.record.note("all machines are back")
	}
	time.Sleep(5 * time.Second)
	cancel()
	time.Sleep(2 * time.Second)
	return world.checkRetries("proof")
}

// checkRetries checks the bound on arrivals beyond the first one of each request, in each window.
func (world *world) checkRetries(service string) bool {
	attempts, arrivals := world.record.snapshot()
	var requests, extras []time.Time
	for _, attempt := range attempts {
		requests = append(requests, attempt.at)
	}
	seen := map[string]bool{}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].at.Before(arrivals[j].at) })
	for _, arrival := range arrivals {
		if arrival.service != service {
			continue
		}
		if seen[arrival.id] {
			extras = append(extras, arrival.at)
		}
		seen[arrival.id] = true
	}
	count := func(times []time.Time, from time.Time) int {
		n := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	worst, worstExtras, worstRequests := 0.0, 0, 0
	for _, from := range extras {
		window := max(count(requests, from), count(requests, from.Add(-retryWindow)), count(requests, from.Add(-retryWindow/2)))
		got := count(extras, from)
		if over := float64(got) - retryRatio*float64(window) - retrySlack; worst == 0 || over > worst {
			worst, worstExtras, worstRequests = over, got, window
		}
	}
	world.record.note("worst window: %d arrivals beyond the first of their request, for %d requests; allowed %.0f",
		worstExtras, worstRequests, retryRatio*float64(worstRequests)+retrySlack)
	return worst <= 0
}
