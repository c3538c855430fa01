package main

import (
	"fmt"
	"net/http"
	"time"
)

// drainTime is drain_ms of the site.
const drainTime = 3 * time.Second

// drainAfterLostReader cuts the instance that reads the store for its zone from the store for half a second, ends registrations
// of servers soon after, and restarts the instance. The others must not send to these servers for longer than drainTime.
func drainAfterLostReader() bool {
	const removals = 3
	store := newStore()
	ledger := &ledger{}
	var targets []*target
	for i := range 6 {
		target := &target{id: fmt.Sprintf("i-%02d", i), service: "jobs", zone: "zone-a", slots: 3, queue: 12, work: 200 * time.Millisecond, ledger: ledger}
		target.start()
		targets = append(targets, target)
		store.put("servers/"+target.id, target.registration("ready", 1))
	}
	store.put("op/config", jobConfiguration(7, "jobs", "non_idempotent", 1))
	address := view{store, nil}.serve()
	pathOfReader := newProxy(address)
	fronts := []*front{newFront("front-zone-a-1", "zone-a", pathOfReader.address), newFront("front-zone-a-2", "zone-a", address),
		newFront("front-zone-a-3", "zone-a", address)}
	reader := fronts[0]
	for _, front := range fronts {
		front.seeds = []string{reader.peer}
		front.start()
	}
	for _, front := range fronts {
		front.awaitReady()
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	callers := newCaller("c")
	end := time.Now().Add(20 * time.Second)
	next := 0
	go every(60, end, func() {
		next++
		callers.send(fronts[1+next%2], http.MethodPost, jobHost, "/job/", 3*time.Second, []byte("one licence"))
	})
	time.Sleep(3 * time.Second)
	last := targets[len(targets)-1]
	last.slots++
	store.put("servers/"+last.id, last.registration("ready", 2)) // an ordinary change of an entry
	time.Sleep(200 * time.Millisecond)
	if trouble {
		note(time.Now(), "%s is cut from the store", reader.name)
		pathOfReader.cut()
		time.Sleep(500 * time.Millisecond)
		pathOfReader.heal()
		note(time.Now(), "%s reaches the store again", reader.name)
	}
	time.Sleep(time.Second)
	gone := map[string]time.Time{}
	for _, target := range targets[:removals] {
		gone[target.id] = store.remove("servers/" + target.id)
		note(gone[target.id], "registration of %s ended; it serves on", target.id)
		time.AfterFunc(drainTime+4*time.Second, func() {
			note(time.Now(), "%s exits", target.id)
			target.server.Close()
		})
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		note(time.Now(), "%s gets SIGTERM", reader.name)
		go func() {
			reader.stop()
			note(time.Now(), "%s has ended", reader.name)
			time.Sleep(2 * time.Second)
			reader.start()
			note(time.Now(), "%s is started again", reader.name)
		}()
	}
	results := map[string]sent{}
	time.Sleep(time.Until(end))
	answered, arrivals := callers.results(), ledger.all()
	recordAll(answered, arrivals)
	for _, result := range answered {
		results[result.id] = result
	}
	return judgeDrain(results, arrivals, gone)
}

// judgeDrain reports whether any request reached a server later than drainTime after its registration ended.
func judgeDrain(results map[string]sent, arrivals []arrival, gone map[string]time.Time) bool {
	late, latest := 0, time.Duration(0)
	for _, arrival := range arrivals {
		at, isGone := gone[arrival.server]
		if !isGone || arrival.at.Before(at) {
			continue
		}
		latest = max(latest, arrival.at.Sub(at))
		if arrival.at.Sub(at) > drainTime {
			late++
			note(arrival.at, "request %s, sent by its client to %s at %.3f, reaches %s %.3f s after the end of its registration: DRAIN is broken",
				arrival.id, results[arrival.id].front, results[arrival.id].at.Sub(begun).Seconds(), arrival.server, arrival.at.Sub(at).Seconds())
		}
	}
	lost := 0
	for id, result := range results {
		if result.status != http.StatusOK && ranOn(arrivals, id, gone) {
			lost++
			note(result.at.Add(result.took), "request %s, which such a server had begun to run, ends with %d %s", id, result.status, result.err)
		}
	}
	say("%d requests that these servers had begun to run were lost with them", lost)
	say("%d requests sent; newest arrival %.3f s after the end of a registration; %d arrivals later than %.0f s", len(results), latest.Seconds(), late,
		drainTime.Seconds())
	return late > 0
}

// ranOn reports whether one of the servers has begun to run the request.
func ranOn(arrivals []arrival, id string, servers map[string]time.Time) bool {
	for _, arrival := range arrivals {
		if _, isGone := servers[arrival.server]; isGone && arrival.ran && arrival.id == id {
			return true
		}
	}
	return false
}
