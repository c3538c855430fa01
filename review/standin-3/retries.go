package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	retryWindow = 10 * time.Second // retry_window_s
	retryRatio  = 0.2              // retry_ratio
	retrySlack  = 58               // retry_slack
	failedShare = 0.8              // of the servers
	failRate    = 0.6              // of the requests to them
	failTime    = 9 * time.Second
)

func init() {
	cases["retries-after-power-loss"] = retriesAfterPowerLoss
	cases["retries-after-kills"] = retriesAfterKills
}

// retries is a small deployment with one service, under load.
type retries struct {
	*world
	up      []atomic.Bool // whether clients send to the instances
	failing atomic.Bool   // whether some servers reject requests
	stop    func()
}

// startRetries starts servers, of which some can reject requests, nine instances and clients.
func startRetries(world *world) *retries {
	zones := []string{"monza", "bergamo", "como"}
	retries := &retries{world: world}
	servers := 0
	world.addServers("proof", 19, zones, func(added *server) {
		servers++
		fails := float64(servers) <= failedShare*19
		added.handle = func(_ *server, writer http.ResponseWriter, _ *http.Request) bool {
			if fails && retries.failing.Load() && rand.Float64() < failRate {
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
	retries.up = make([]atomic.Bool, len(world.instances))
	for i := range retries.up {
		retries.up[i].Store(true)
	}
	ctx, cancel := context.WithCancel(context.Background())
	retries.stop = cancel
	go newClient(world.record).press(ctx, 45, func() *instance {
		for range 50 {
			if i := rand.IntN(len(retries.up)); retries.up[i].Load() {
				return world.instances[i]
			}
		}
		return nil
	}, func() string { return "/proof/" + newID() }, 6*time.Second)
	time.Sleep(12 * time.Second)
	return retries
}

// kill ends all instances at once.
func (retries *retries) kill() {
	for i := range retries.instances {
		retries.up[i].Store(false)
	}
	for _, instance := range retries.instances {
		instance.signal(syscall.SIGKILL)
	}
	for _, instance := range retries.instances {
		<-instance.ended
	}
}

// start starts the instances from the first to before the last one.
func (retries *retries) start(first, last int) {
	for _, instance := range retries.instances[first:last] {
		instance.start()
	}
	for i := first; i < last; i++ {
		retries.instances[i].awaitReady()
		retries.up[i].Store(true)
	}
}

// setFailing makes servers reject requests, or none.
func (retries *retries) setFailing(failing bool) {
	retries.failing.Store(failing)
	if failing {
		retries.record.note("%.0f in 100 servers reject %.0f in 100 requests", 100*failedShare, 100*failRate)
	} else {
		retries.record.note("the servers reject no more")
	}
}

// end ends the load and checks the bound.
func (retries *retries) end() bool {
	time.Sleep(5 * time.Second)
	retries.stop()
	time.Sleep(2 * time.Second)
	return retries.checkRetries("proof")
}

// retriesAfterPowerLoss lets all machines lose power at once. Those that the seeds name come back later than the others.
func retriesAfterPowerLoss(world *world) bool {
	retries := startRetries(world)
	if world.trouble {
		world.record.note("all machines lose power")
		retries.kill()
		time.Sleep(700 * time.Millisecond)
		retries.start(3, 9)
		world.record.note("six machines are back; the three that the seeds name are not")
	}
	time.Sleep(5 * time.Second)
	retries.setFailing(true)
	time.Sleep(failTime)
	retries.setFailing(false)
	if world.trouble {
		retries.start(0, 3)
		world.record.note("all machines are back")
	}
	return retries.end()
}

// retriesAfterKills kills all processes twice while servers reject requests.
func retriesAfterKills(world *world) bool {
	retries := startRetries(world)
	retries.setFailing(true)
	ends := time.Now().Add(failTime)
	for _, wait := range []time.Duration{2500 * time.Millisecond, 3 * time.Second} {
		time.Sleep(wait)
		if world.trouble {
			retries.kill()
			world.record.note("all processes are killed")
			time.Sleep(300 * time.Millisecond)
			retries.start(0, 9)
			world.record.note("all are back")
		}
	}
	time.Sleep(time.Until(ends))
	retries.setFailing(false)
	return retries.end()
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
