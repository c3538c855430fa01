package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// cases are the cases by name. Each returns the lines that say how the rule was broken.
var cases = map[string]func(world *world, trouble bool) []string{
	"late-copy": lateCopy,
}

func service(name string, conns int) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": conns, "protocol": "h1", "tls": false}
}

func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// repeatedRuns returns a line for each request of the clients that ran more than once, and for each that was refused and ran.
func (world *world) repeatedRuns() []string {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	var broken []string
	for _, result := range world.results {
		runs := world.runs[result.id]
		if !result.unsafe {
			continue
		}
		if len(runs) > 1 {
			line := fmt.Sprintf("TWICE: %s was answered %d and ran %d times:", result.id, result.status, len(runs))
			for _, run := range runs {
				line += fmt.Sprintf(" at %s after %.3f s;", run.server.id, run.at.Sub(result.sent).Seconds())
			}
			broken = append(broken, line)
		}
		switch result.status {
		case 408, 421, 429, 503:
			if len(runs) > 0 {
				broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and ran at %s", result.id, result.status, runs[0].server.id))
			}
		}
	}
	return broken
}

const (
	lateCopySeconds = 92
	lateCopyClients = 30 // of each of the six services
)

// lateCopy sends requests that must not be repeated to six services of three servers each. Two of the three reject part of the requests
// though they have room (srv_grey shed), and one of them sends a second copy of some answers late (garble extra late).
func lateCopy(world *world, trouble bool) []string {
	zones := []string{"sala-monza", "sala-bergamo", "sala-como"}
	names := []string{"ledger", "licences", "weighings", "releases", "charges", "bookings"}
	var servers []*server
	var routes, services []any
	for n, name := range names {
		for i := range 3 {
			server := &server{world: world, id: fmt.Sprintf("i-%04x", 0xa1+16*n+i), service: name, zone: zones[i%3], slots: 3, queue: 12, maxConns: 41,
				work: 160 * time.Millisecond}
			server.start()
			servers = append(servers, server)
		}
		services = append(services, service(name, 41))
		routes = append(routes, map[string]any{"name": "r-" + name, "host": "entries.example", "prefix": "/" + name + "/", "type": "non_idempotent",
			"timeout_ms": 6000, "goal_ms": 600, "priority": 2, "service": name, "attempts": 2})
	}
	world.store.put("op/config", map[string]any{"version": 7, "limits": limits(), "services": services, "routes": routes})
	world.addFronts(3, zones)
	for _, front := range world.fronts {
		world.startFront(front)
	}
	world.awaitReady()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range lateCopyClients * len(names) {
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
				front := world.fronts[rand.IntN(len(world.fronts))]
				client.do(front, "POST", "entries.example", "/"+names[i%len(names)]+"/"+newID(), []byte("entry "+newID()), 6*time.Second)
				time.Sleep(rand.N(600 * time.Millisecond))
			}
		}()
	}
	for second := range lateCopySeconds {
		shed, copied := uint64(0), uint64(0)
		if second%10 > 0 {
			shed = 450 // for 9 s
		}
		if second%6 > 0 && trouble {
			copied = 30 // for 5 s
		}
		for i, server := range servers {
			if i%3 < 2 {
				server.shed.Store(shed)
			}
			if i%3 < 1 {
				server.extraLate.Store(copied)
			}
		}
		time.Sleep(time.Second)
	}
	close(stop)
	clients.Wait()
	world.mutex.Lock()
	rejects := 0
	for _, n := range world.rejects {
		rejects += n
	}
	fmt.Println(len(world.results), "attempts of clients,", len(world.runs), "ran,", rejects, "rejected at servers,", world.sameConn.Load(),
		"came again on the connection of their rejection")
	world.mutex.Unlock()
	return withRule("TWICE", world, world.repeatedRuns())
}

// withRule returns the lines on the rule; those on others are only recorded.
func withRule(rule string, world *world, lines []string) []string {
	var broken []string
	for _, line := range lines {
		if strings.HasPrefix(line, rule+":") {
			broken = append(broken, line)
		} else {
			world.note("ALSO %s", line)
		}
	}
	return broken
}
