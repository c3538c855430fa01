package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	shardCount    = 10
	downShards    = 3
	downTime      = 4400 * time.Millisecond // of all servers of a shard
	lookupRate    = 165.0                   // a second
	otherRate     = 140.0
	lookupTimeout = 1500 * time.Millisecond
	// starvedShare is the part of the share of all requests that is served at which a kind of request is starved.
	starvedShare = 0.25

	lookupName   = "logo" // is tried again at the first shard
	firstOutage  = 8.0    // seconds after the begin
	secondOutage = 12.6
	thirdOutage  = 42.0
	lateFrom     = 55 * time.Second
)

func init() { cases["lookup-after-outages"] = lookupAfterOutages }

// lookupAfterOutages lets all servers of some shards crash together, and go dark together twice more. Many clients send
// the same lookup.
func lookupAfterOutages(world *world) bool {
	zones := []string{"monza", "bergamo", "como"}
	var mutex sync.Mutex
	shards := make([][]*server, shardCount)
	var names []string
	start := func(i int) {
		var started []*server
		for zone := range zones {
			added := newServer(world.store, world.record, "i-"+newID(), names[i], zones[zone], 0)
			added.handle = func(server *server, writer http.ResponseWriter, request *http.Request) bool {
				if server.isDark() {
					<-request.Context().Done()
					return true
				}
				time.Sleep(time.Duration((15 + rand.ExpFloat64()*8) * float64(time.Millisecond)))
				if server.isDark() {
					<-request.Context().Done()
					return true
				}
				writer.Header().Set("Server-Stamp", server.id+"."+newID())
				writer.Header().Set("Server-Load", "1,0,5")
				fmt.Fprint(writer, strings.Repeat("0123456789abcdef", 4))
				return true
			}
			started = append(started, added)
		}
		mutex.Lock()
		defer mutex.Unlock()
		shards[i] = started
	}
	for i := range shardCount {
		names = append(names, fmt.Sprintf("archive-%d", i))
		start(i)
	}
	world.addServers("proof", 19, zones, func(added *server) { added.slots = 20 })
	world.configure(7, []map[string]any{
		{"name": "r-1", "host": host, "prefix": "/lookup/", "type": "idempotent", "timeout_ms": 1500, "goal_ms": 150, "priority": 1, "gather": names,
			"attempts": 2, "top_k": 50, "min_share": 0.89},
		{"name": "r-2", "host": host, "prefix": "/proof/", "type": "idempotent", "timeout_ms": 6000, "goal_ms": 600, "priority": 2, "service": "proof",
			"attempts": 2}}, append(names, "proof")...)
	time.Sleep(time.Second)
	world.addInstances(3, zones)
	client := newClient(world.record)
	ctx, cancel := context.WithCancel(context.Background())
	pick := func() *instance { return world.instances[rand.IntN(len(world.instances))] }
	go client.press(ctx, lookupRate, pick, func() string { return "/lookup/" + lookupName }, lookupTimeout)
	go client.press(ctx, otherRate, pick, func() string { return "/proof/" + newID() }, 2*time.Second)
	begun := time.Now()
	at := func(second float64) {
		time.Sleep(time.Until(begun.Add(time.Duration(second * float64(time.Second)))))
	}
	// outage ends all servers of the shards at once, silently or not. They start again under new IDs.
	outage := func(second float64, silent bool, text string) {
		at(second)
		if !world.trouble {
			return
		}
		world.record.note("all servers of %d shards of %d %s", downShards, shardCount, text)
		var ended []*server
		for i := range downShards {
			ended = append(ended, shards[i]...)
		}
		for _, server := range ended {
			server.crash(silent)
		}
		time.Sleep(3 * beatPeriod)
		for _, server := range ended {
			server.unregister()
		}
		time.Sleep(downTime - 3*beatPeriod)
		for _, server := range ended {
			server.exit()
		}
		for i := range downShards {
			start(i)
		}
		world.record.note("they have started again")
	}
	outage(firstOutage, false, "crash")
	outage(secondOutage, true, "go dark")
	outage(thirdOutage, true, "go dark")
	at(90)
	cancel()
	time.Sleep(2 * time.Second)
	return world.checkStarved(begun)
}

// checkStarved compares the share of the lookups that were served with that of all requests.
func (world *world) checkStarved(begun time.Time) bool {
	attempts, _ := world.record.snapshot()
	var lookups, served, all, allServed, late, lateServed int
	statuses := map[int]int{}
	for _, attempt := range attempts {
		ok := attempt.status == http.StatusOK
		all++
		if ok {
			allServed++
		}
		if !strings.HasPrefix(attempt.route, "/lookup/") {
			continue
		}
		lookups++
		if ok {
			served++
		}
		if attempt.at.After(begun.Add(lateFrom)) {
			late++
			statuses[attempt.status]++
			if ok {
				lateServed++
			}
		}
	}
	share, shareOfAll := float64(served)/float64(lookups), float64(allServed)/float64(all)
	world.record.note("lookups served: %d of %d (%.3f); all requests: %d of %d (%.3f)", served, lookups, share, allServed, all, shareOfAll)
	world.record.note("lookups sent later than %v: %d of %d served, statuses %v", lateFrom, lateServed, late, statuses)
	return share >= starvedShare*shareOfAll
}
