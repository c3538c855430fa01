package main

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync/atomic"
	"time"
)

const (
	workTime    = 20 * time.Millisecond
	drainTime   = 3 * time.Second // drain_ms
	stableTime  = 4 * time.Second // stability_ms
	staleLag    = 3 * time.Second
	listDelay   = 5 * time.Millisecond
	singleTime  = 2 * time.Second
	listedEarly = 1500 * time.Millisecond
)

func init() { cases["stale-pages"] = stalePages }

// stalePages restarts an instance shortly after servers have gone. The replicas of the store that answer its first listing differ in age.
func stalePages(world *world) bool {
	zones := []string{"monza", "bergamo", "como"}
	world.store.lagOf = func(after string) time.Duration {
		if after == "" {
			return 0
		}
		return staleLag
	}
	world.store.onList = func(after string, lag time.Duration, revision uint64) {
		world.record.note("stale listing after %q is answered by a replica %v behind, revision %d", after, lag, revision)
	}
	services := map[string]int{"archive": 30, "proof": 19, "invoices": 9}
	var routes []map[string]any
	for service, count := range services {
		world.addServers(service, count, zones, nil)
		routes = append(routes, map[string]any{"name": "r-" + service, "host": host, "prefix": "/" + service + "/", "type": "idempotent",
			"timeout_ms": 6000, "goal_ms": 600, "priority": 2, "service": service, "attempts": 2})
	}
	world.configure(7, routes, "archive", "proof", "invoices")
	time.Sleep(staleLag + time.Second)
	world.addInstances(3, zones)
	client := newClient(world.record)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	restarted := world.instances[0]
	var isDown atomic.Bool
	go client.press(ctx, 60, func() *instance {
		chosen := world.instances[rand.IntN(len(world.instances))]
		if chosen == restarted && isDown.Load() {
			return nil
		}
		return chosen
	}, func() string { return "/" + world.servers[rand.IntN(len(world.servers))].service + "/" + newID() }, singleTime)
	time.Sleep(6 * time.Second)

	// The two servers of each zone that a listing has last leave, without a report that they drain. They go on serving.
	byID := append([]*server(nil), world.servers...)
	sort.Slice(byID, func(i, j int) bool { return byID[i].id > byID[j].id })
	var gone []*server
	ofZone := map[string]int{}
	for _, server := range byID {
		if ofZone[server.zone]++; ofZone[server.zone] <= 2 {
			gone = append(gone, server)
		}
	}
	goneAt := map[string]time.Time{}
	for _, server := range gone {
		goneAt[server.id] = server.unregister()
		world.record.note("the entry of server %s is removed; it serves on", server.id)
	}
	time.Sleep(listedEarly)
	inTouchAt := map[string]time.Time{}
	if world.trouble {
		isDown.Store(true)
		restarted.kill()
		world.record.note("%s is killed and starts again", restarted.name)
		time.Sleep(300 * time.Millisecond)
		restarted.start()
		restarted.awaitReady()
		isDown.Store(false)
		world.record.note("%s is ready", restarted.name)
	}
	for _, instance := range world.instances {
		inTouchAt[instance.name] = instance.startedAt.Add(stableTime)
	}
	time.Sleep(12 * time.Second)
	for _, server := range gone {
		server.exit()
	}
	world.record.note("the removed servers exit")
	cancel()
	time.Sleep(singleTime)

	attempts, arrivals := world.record.snapshot()
	late := map[string]int{}
	for _, arrival := range arrivals {
		removedAt, isGone := goneAt[arrival.server]
		attempt := attempts[arrival.id]
		if isGone && attempt.at.After(removedAt.Add(drainTime)) && attempt.at.After(inTouchAt[attempt.instance]) {
			late[attempt.instance]++
		}
	}
	for _, instance := range world.instances {
		world.record.note("%s: %d requests, sent later than drain_ms after the removal and while it was in touch, reached removed servers",
			instance.name, late[instance.name])
	}
	return len(late) == 0
}
