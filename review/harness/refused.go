package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Figures of the case.
const (
	jobHost     = "jobs.example"
	jobDeadline = 6 * time.Second
	jobWork     = 500 * time.Millisecond
)

// jobConfiguration names one service, whose requests must not be repeated.
func jobConfiguration(version int, service, kind string, attempts int) map[string]any {
	return map[string]any{"version": version,
		"routes": []any{map[string]any{"name": "job", "host": jobHost, "prefix": "/job/", "type": kind, "service": service,
			"timeout_ms": 6000, "goal_ms": 600, "attempts": attempts, "priority": 2}},
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_conns": 41}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30000}}
}

// rewriteAddresses returns a function that replaces the addresses of servers by those of proxies.
func rewriteAddresses(proxies map[string]*proxy) func(string, []byte) []byte {
	return func(_ string, value []byte) []byte {
		var fields map[string]any
		if json.Unmarshal(value, &fields) != nil {
			return value
		}
		address, _ := fields["addr"].(string)
		if proxies[address] == nil {
			return value
		}
		fields["addr"] = proxies[address].address
		changed, _ := json.Marshal(fields)
		return changed
	}
}

// refusedAfterRun cuts two machines, one after the other, from all servers. Requests of the first one's callers go by way of the
// second, which sends them and is cut while servers work on them, and then to the third, which is overloaded.
func refusedAfterRun() bool {
	store := newStore()
	ledger := &ledger{}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var targets []*target
	for i := range 19 {
		target := &target{id: fmt.Sprintf("i-%02d", i), service: "jobs", zone: zones[i%3], slots: 3, queue: 12, work: jobWork, ledger: ledger}
		target.start()
		targets = append(targets, target)
		store.put("servers/"+target.id, target.registration("ready", 1))
	}
	store.put("op/config", jobConfiguration(7, "jobs", "non_idempotent", 1))
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

	watched, flood := newCaller("a"), newCaller("f")
	end := time.Now().Add(14 * time.Second)
	body := []byte("one licence")
	go every(60, end, func() { watched.send(fronts[0], http.MethodPost, jobHost, "/job/", jobDeadline, body) })
	go every(160, end, func() { flood.send(fronts[2], http.MethodPost, jobHost, "/job/", jobDeadline, body) })
	if trouble {
		time.Sleep(3 * time.Second)
		cut(fronts[0], proxies[0], 9*time.Second)
		for range 2 {
			time.Sleep(2 * time.Second)
			cut(fronts[1], proxies[1], 2*time.Second)
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(time.Until(end))
	results := append(watched.results(), flood.results()...)
	time.Sleep(500 * time.Millisecond)
	return judgeRefusals(results, ledger.all())
}

// cut partitions the machine from all servers for the time.
func cut(front *front, proxies map[string]*proxy, lasts time.Duration) {
	note(time.Now(), "%s is cut from all servers", front.name)
	for _, proxy := range proxies {
		proxy.cut()
	}
	time.AfterFunc(lasts, func() {
		note(time.Now(), "%s reaches the servers again", front.name)
		for _, proxy := range proxies {
			proxy.heal()
		}
	})
}

// judgeRefusals reports whether any request was answered 429, 503, 408 or 421 although a server has run it, and whether any ran twice.
func judgeRefusals(results []sent, arrivals []arrival) bool {
	recordAll(results, arrivals)
	runs := map[string][]arrival{}
	for _, arrival := range arrivals {
		if arrival.ran {
			runs[arrival.id] = append(runs[arrival.id], arrival)
		}
	}
	broken, statuses := 0, map[string]int{}
	for _, result := range results {
		statuses[fmt.Sprintf("%s %d", result.front, result.status)]++
		switch result.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if ran := runs[result.id]; len(ran) > 0 {
				broken++
				note(result.at, "request %s sent to %s", result.id, result.front)
				note(ran[0].at, "request %s runs on server %s", result.id, ran[0].server)
				note(result.at.Add(result.took), "request %s answered %d, Retry-After %s: REFUSED is broken", result.id, result.status,
					result.header.Get("Retry-After"))
			}
		}
	}
	twice := 0
	for id, ran := range runs {
		if len(ran) > 1 {
			twice++
			note(ran[1].at, "request %s ran on %s and on %s: TWICE is broken", id, ran[0].server, ran[1].server)
		}
	}
	say("answers by machine and status: %v", statuses)
	say("%d requests sent, %d answered as not run although a server ran them, %d ran twice", len(results), broken, twice)
	return broken > 0 || twice > 0
}
