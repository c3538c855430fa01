package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	configTime = 3 * time.Second // config_ms
	unusedTime = 5 * time.Second
	quietTime  = 12 * time.Second       // before each round, over stability_ms
	leadTime   = 700 * time.Millisecond // from the SIGTERM to the change of the configuration
	watchTime  = 8 * time.Second
)

func init() { cases["silent-store-connections"] = silentStoreConnections }

// silentStoreConnections lets connections to the store that are not in use go silent. When all machines are in touch again, one machine
// of each zone is restarted in turn, and the configuration changes meanwhile.
func silentStoreConnections(world *world) bool {
	zones := []string{"monza", "bergamo", "como"}
	world.addServers("proof", 9, zones, nil)
	world.addServers("invoices", 6, zones, nil)
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": prefix, "type": "idempotent", "timeout_ms": 6000,
			"goal_ms": 600, "priority": 2, "service": service, "attempts": 2}
	}
	// configure publishes a version that has the route /added-N/ of its round, and no more that of the round before.
	configure := func(version int) time.Time {
		world.configure(version, []map[string]any{route("r-1", "/proof/", "proof"),
			route(fmt.Sprint("r-", version), fmt.Sprintf("/added-%d/", version), "invoices")}, "proof", "invoices")
		return time.Now()
	}
	version := 7
	configure(version)
	time.Sleep(time.Second)
	world.addInstances(9, zones)
	client := newClient(world.record)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var stopped atomic.Pointer[instance]
	pick := func() *instance {
		if chosen := world.instances[rand.IntN(len(world.instances))]; chosen != stopped.Load() {
			return chosen
		}
		return nil
	}
	go client.press(ctx, 60, pick, func() string { return "/proof/" + newID() }, 2*time.Second)
	time.Sleep(8 * time.Second)
	silenced := 0
	for _, instance := range world.instances {
		if world.trouble {
			silenced += instance.proxy.silence(unusedTime)
		}
	}
	world.record.note("%d open connections to the store, on which nothing was sent for %v, go silent", silenced, unusedTime)

	held := true
	for _, restarted := range world.instances[:3] { // the first one by name of each zone
		time.Sleep(quietTime)
		stopped.Store(restarted)
		restarted.signal(syscall.SIGTERM)
		world.record.note("%s gets SIGTERM", restarted.name)
		time.Sleep(leadTime)
		version++
		acknowledged := configure(version)
		added, dropped := fmt.Sprintf("/added-%d/", version), fmt.Sprintf("/added-%d/", version-1)
		world.record.note("version %d is acknowledged: the route %s is gone, %s is new", version, dropped, added)
		round, end := context.WithCancel(ctx)
		go client.press(round, 60, pick, func() string { return added + newID() }, 2*time.Second)
		go client.press(round, 60, pick, func() string { return dropped + newID() }, 2*time.Second)
		time.Sleep(watchTime)
		end()
		<-restarted.ended
		restarted.start()
		restarted.awaitReady()
		world.record.note("%s has started again", restarted.name)
		stopped.Store(nil)
		held = world.checkVersion(restarted, added, dropped, acknowledged) && held
	}
	cancel()
	time.Sleep(2 * time.Second)
	return held
}

// checkVersion checks that no machine but the restarted one handles requests that were sent later than config_ms after the
// acknowledgement as only the version before allows.
func (world *world) checkVersion(restarted *instance, added, dropped string, acknowledged time.Time) bool {
	attempts, _ := world.record.snapshot()
	late, last := map[string]int{}, map[string]time.Duration{}
	for _, attempt := range attempts {
		after := attempt.at.Sub(acknowledged)
		isOld := attempt.status == http.StatusNotFound && strings.HasPrefix(attempt.route, added) ||
			attempt.status == http.StatusOK && strings.HasPrefix(attempt.route, dropped)
		if !isOld || attempt.instance == restarted.name || after < 0 {
			continue
		}
		last[attempt.instance] = max(last[attempt.instance], after)
		if after > configTime {
			late[attempt.instance]++
		}
	}
	for _, instance := range world.instances {
		if last[instance.name] > 0 {
			world.record.note("%s: last request handled by the version before was sent %.3f s after the acknowledgement; %d of them later than config_ms",
				instance.name, last[instance.name].Seconds(), late[instance.name])
		}
	}
	return len(late) == 0
}
