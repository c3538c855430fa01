package main

import (
	"fmt"
	"net/http"
	"time"
)

// twiceAfterMove cuts two machines, one after the other, from all servers while the operator moves a route between two services.
// Requests of the first machine's callers go by way of the second, which sends them to a server of the one service and is cut, and
// then to the third, by which time the route goes to the other service.
func twiceAfterMove() bool {
	store := newStore()
	ledger := &ledger{}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	services := []string{"licences-a", "licences-b"}
	var targets []*target
	for i := range 18 {
		target := &target{id: fmt.Sprintf("i-%02d", i), service: services[i%2], zone: zones[i%3], slots: 3, queue: 12, work: jobWork, ledger: ledger}
		target.start()
		targets = append(targets, target)
		store.put("servers/"+target.id, target.registration("ready", 1))
	}
	configure := func(version int) {
		store.put("op/config", movedConfiguration(version, services[version%2], services))
	}
	configure(6)
	var fronts []*front
	var proxies []map[string]*proxy
	for _, zone := range zones {
		own := map[string]*proxy{}
		for _, target := range targets {
			own[target.address()] = newProxy(target.address())
		}
		proxies = append(proxies, own)
		fronts = append(fronts, newFront("front-"+zone+"-1", zone, view{store, rewriteAddresses(own)}.serve()))
	}
	for _, front := range fronts {
		front.seeds = []string{fronts[0].peer, fronts[1].peer, fronts[2].peer}
		front.start()
		front.awaitReady()
	}
	time.Sleep(5 * time.Second) // all machines are in touch

	callers := newCaller("a")
	end := time.Now().Add(14 * time.Second)
	go every(40, end, func() {
		callers.send(fronts[0], http.MethodPost, jobHost, "/job/", jobDeadline, []byte("one licence"))
	})
	time.Sleep(3 * time.Second)
	if trouble {
		cut(fronts[0], proxies[0], 8*time.Second)
	}
	version := 6
	for range 2 {
		time.Sleep(2 * time.Second)
		version++
		configure(version)
		note(time.Now(), "version %d moves the route to %s", version, services[version%2])
		time.Sleep(200 * time.Millisecond)
		if trouble {
			cut(fronts[1], proxies[1], 1500*time.Millisecond)
		}
		time.Sleep(1800 * time.Millisecond)
	}
	time.Sleep(time.Until(end))
	results := callers.results()
	time.Sleep(500 * time.Millisecond)
	return judgeRefusals(results, ledger.all())
}

// movedConfiguration has the one route go to the service.
func movedConfiguration(version int, service string, services []string) map[string]any {
	configuration := jobConfiguration(version, service, "non_idempotent", 1)
	var all []any
	for _, name := range services {
		all = append(all, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 41})
	}
	configuration["services"] = all
	return configuration
}
