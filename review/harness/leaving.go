package main

import (
	"fmt"
	"net/http"
	"time"
)

// leavingAfterHandOver has a server leave while the store is down and one machine is cut from all servers. That machine passes on the
// server's answers, which come by way of another machine, and must not send to the server itself later than drainTime after them.
func leavingAfterHandOver() bool {
	store := newStore()
	ledger := &ledger{}
	zones := []string{"zone-a", "zone-b"}
	var targets []*target
	for i := range 4 {
		target := &target{id: fmt.Sprintf("i-%02d", i), service: "jobs", zone: "zone-b", slots: 3, queue: 12, work: 50 * time.Millisecond, ledger: ledger}
		target.start()
		targets = append(targets, target)
		store.put("servers/"+target.id, target.registration("ready", 1))
	}
	store.put("op/config", jobConfiguration(7, "jobs", "idempotent", 2))
	var fronts []*front
	var proxies []map[string]*proxy
	for i, zone := range zones {
		front := newFront("front-"+zone+"-1", zone, "")
		own := map[string]*proxy{}
		for _, target := range targets {
			own[target.address()] = newProxy(target.address())
			own[target.address()].owner = front.name
		}
		proxies = append(proxies, own)
		front.storeAt = view{store, rewriteAddresses(proxies[i])}.serve()
		fronts = append(fronts, front)
	}
	for _, front := range fronts {
		front.seeds = []string{fronts[0].peer, fronts[1].peer}
		front.start()
		front.awaitReady()
	}
	time.Sleep(5 * time.Second)
	origin, leaver := fronts[0], targets[0]
	callers := newCaller("c")
	end := time.Now().Add(14 * time.Second)
	go every(60, end, func() { callers.send(origin, http.MethodGet, jobHost, "/job/", 2*time.Second, nil) })
	time.Sleep(2 * time.Second)
	if trouble {
		cut(origin, proxies[0], 4700*time.Millisecond)
		time.Sleep(time.Second)
		note(time.Now(), "the store is down")
		store.setDown(true)
		time.AfterFunc(5*time.Second, func() {
			store.setDown(false)
			at := store.put("servers/"+leaver.id, leaver.registration("draining", 2))
			note(at, "the store is back and has accepted that %s is draining", leaver.id)
		})
		time.Sleep(300 * time.Millisecond)
	} else {
		at := store.put("servers/"+leaver.id, leaver.registration("draining", 2))
		note(at, "the store has accepted that %s is draining", leaver.id)
	}
	note(time.Now(), "%s says in its answers that it leaves", leaver.id)
	leaver.leave()
	time.Sleep(time.Until(end))
	results, arrivals := callers.results(), ledger.all()
	recordAll(results, arrivals)
	var passedOn time.Time
	sentAt := map[string]time.Time{}
	for _, result := range results {
		sentAt[result.id] = result.at
		answeredAt := result.at.Add(result.took)
		if result.header.Get("Server-Leaving") == "1" && (passedOn.IsZero() || answeredAt.Before(passedOn)) {
			passedOn = answeredAt
		}
	}
	late := 0
	if !passedOn.IsZero() {
		note(passedOn, "%s has passed on an answer of %s with Server-Leaving", origin.name, leaver.id)
	}
	for _, arrival := range arrivals {
		if passedOn.IsZero() || arrival.server != leaver.id || arrival.from != origin.name || sentAt[arrival.id].Sub(passedOn) <= drainTime {
			continue
		}
		late++
		note(arrival.at, "request %s, sent by its client %.3f s after that, reaches %s from %s: DRAIN is broken", arrival.id,
			sentAt[arrival.id].Sub(passedOn).Seconds(), arrival.server, arrival.from)
	}
	say("%d requests sent; %d reached the leaving server from %s later than %.0f s after that had passed on its answer", len(results), late,
		origin.name, drainTime.Seconds())
	return late > 0
}
