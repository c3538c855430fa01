package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["leaving"] = leaving }

const (
	drainTime      = 3 * time.Second
	leavingClients = 230
	leavingRounds  = 3
)

// leaving has a server leave while the process of one zone reaches neither the servers nor the store, so that it passes on the answers that
// others get for it; three times.
func leaving(world *world, trouble bool) []string {
	zones := []string{"sala-monza", "sala-bergamo", "sala-como"}
	world.proxies = newProxies()
	var servers []*server
	desk := func(i int, zone string) *server {
		return &server{world: world, id: fmt.Sprintf("i-%04x", 0xb1+i), service: "desk", zone: zone, slots: 3, queue: 12, maxConns: 41,
			work: 160 * time.Millisecond}
	}
	for i := range 13 {
		servers = append(servers, desk(i, zones[1+i%2]))
		servers[i].start()
	}
	for i := range 9 { // other services, so that a lost path shows
		server := &server{world: world, id: fmt.Sprintf("i-%04x", 0xd1+i), service: fmt.Sprintf("other-%d", i/3), zone: zones[i%3], slots: 3, queue: 12,
			maxConns: 41, work: 20 * time.Millisecond}
		server.start()
	}
	var routes, services []any
	for _, name := range []string{"desk", "other-0", "other-1", "other-2"} {
		services = append(services, service(name, 41))
		routes = append(routes, map[string]any{"name": "r-" + name, "host": "desk.example", "prefix": "/" + name + "/", "type": "idempotent",
			"timeout_ms": 6000, "goal_ms": 600, "priority": 2, "service": name, "attempts": 2})
	}
	world.store.put("op/config", map[string]any{"version": 7, "limits": limits(), "services": services, "routes": routes})
	world.addFrontsIn([]string{zones[0], zones[1], zones[2]})
	for _, front := range world.fronts {
		world.startFront(front)
	}
	world.awaitReady()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range leavingClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			client := &client{world: world, conns: map[*front]*clientConn{}}
			for {
				select {
				case <-stop:
					return
				default:
				}
				name := "desk"
				if rand.IntN(3) == 0 {
					name = fmt.Sprintf("other-%d", rand.IntN(3))
				}
				client.do(world.fronts[i%len(world.fronts)], "GET", "desk.example", "/"+name+"/"+newID(), nil, 6*time.Second)
				time.Sleep(300*time.Millisecond + rand.N(700*time.Millisecond))
			}
		}()
	}
	time.Sleep(8 * time.Second)
	var broken []string
	for round := range leavingRounds {
		if trouble {
			world.note("the store turns %s away, and it is cut off from all servers", zones[0])
			world.store.deny(zones[0])
			world.proxies.cut(zones[0], "reset")
		}
		time.Sleep(2 * time.Second)
		leavers := servers[2*round : 2*round+2]
		for _, leaver := range leavers {
			world.note("server %s leaves", leaver.id)
			leaver.leaving.Store(true)
			leaver.register("draining")
		}
		time.Sleep(3300 * time.Millisecond)
		if trouble {
			world.note("%s reaches the servers again", zones[0])
			world.proxies.heal(zones[0])
		}
		time.Sleep(3700 * time.Millisecond)
		world.note("the store serves %s again", zones[0])
		world.store.deny("")
		time.Sleep(2 * time.Second)
		for i, leaver := range leavers {
			world.store.remove("servers/" + leaver.id)
			leaver.crash()
			desk(len(servers)+2*round+i, leaver.zone).start()
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	clients.Wait()
	for _, leaver := range servers[:2*leavingRounds] {
		broken = append(broken, world.sentToLeaving(leaver)...)
	}
	return broken
}

// sentToLeaving returns a line for each request that a client sent later than drainTime after a process had passed on an answer of the server
// with Server-Leaving, and that reached the server from this process.
func (world *world) sentToLeaving(leaver *server) []string {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	passedOn := map[string]result{}
	for _, result := range world.results {
		ended := result.sent.Add(result.took)
		if result.header.Get("Server-Leaving") != "1" || !strings.HasPrefix(result.header.Get("Server-Stamp"), leaver.id+".") {
			continue
		}
		if first, ok := passedOn[result.front]; !ok || ended.Before(first.sent.Add(first.took)) {
			passedOn[result.front] = result
		}
	}
	var broken []string
	for name, result := range passedOn {
		fmt.Println(name, "passed on an answer of", leaver.id, "with Server-Leaving after", result.sent.Add(result.took).Sub(world.begun).Seconds(), "s")
	}
	for _, result := range world.results {
		first, ok := passedOn[result.front]
		if !ok {
			continue
		}
		passed := first.sent.Add(first.took)
		for _, arrival := range world.arrivals[result.id] {
			if arrival.server == leaver && strings.Contains(result.front, arrival.zone) && result.sent.After(passed.Add(drainTime)) {
				broken = append(broken, fmt.Sprintf("DRAIN: %s passed on %s with Server-Leaving of %s at %.3f s; %s, sent at %.3f s, reached the server from there at %.3f s",
					result.front, first.id, leaver.id, passed.Sub(world.begun).Seconds(), result.id, result.sent.Sub(world.begun).Seconds(),
					arrival.at.Sub(world.begun).Seconds()))
			}
		}
	}
	return broken
}
