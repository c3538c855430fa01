// Program standin3 plays the cases of a review: it starts instances as processes, with stand-ins for the store, servers and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// host is the host name of all routes.
const host = "search.example"

// world is all that a case has started.
type world struct {
	store     *store
	record    *record
	servers   []*server
	instances []*instance
	directory string // of the settings and logs
	folder    string // of the case
	trouble   bool
}

var current *world

// cleanUp ends all processes, writes the record and exits.
func cleanUp(code int) {
	for _, instance := range current.instances {
		instance.kill()
	}
	current.record.write(filepath.Join(current.folder, "record.txt"))
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(current.directory)
	} else {
		fmt.Println("kept", current.directory)
	}
	os.Exit(code)
}

var cases = map[string]func(*world) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(2)
	}
	directory, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		panic(err)
	}
	current = &world{store: newStore(), record: newRecord(), directory: directory, folder: os.Args[2], trouble: os.Getenv("TROUBLE") != "0"}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cleanUp(2)
	}()
	defer func() {
		if failure := recover(); failure != nil {
			fmt.Println("the case could not run:", failure)
			cleanUp(2)
		}
	}()
	current.store.serve()
	if cases[os.Args[1]](current) {
		fmt.Println("the rule held")
		cleanUp(0)
	}
	fmt.Println("the rule was broken")
	cleanUp(1)
}

// addServers starts so many servers of the service, spread over the zones.
func (world *world) addServers(service string, count int, zones []string, serve func(*server)) []*server {
	var added []*server
	for i := range count {
		server := newServer(world.store, world.record, "i-"+newID(), service, zones[i%len(zones)], workTime)
		if serve != nil {
			serve(server)
		}
		added = append(added, server)
	}
	world.servers = append(world.servers, added...)
	return added
}

// configure publishes a configuration.
func (world *world) configure(version int, routes []map[string]any, services ...string) {
	var list []map[string]any
	for _, service := range services {
		list = append(list, map[string]any{"name": service, "health_path": "/healthz", "max_conns": 41, "protocol": "h1", "tls": false})
	}
	world.store.put("op/config", map[string]any{"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
}

// addInstances starts instances, spread over the zones. The first one of each zone is a seed of all.
func (world *world) addInstances(count int, zones []string) {
	var seeds []string
	for i := range count {
		instance := newInstance(fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), zones[i%len(zones)], i)
		if i < len(zones) {
			seeds = append(seeds, instance.peer)
		}
		world.instances = append(world.instances, instance)
	}
	for _, instance := range world.instances {
		instance.configure(world.directory, world.store.address, seeds)
		instance.start()
	}
	for _, instance := range world.instances {
		instance.awaitReady()
	}
}
