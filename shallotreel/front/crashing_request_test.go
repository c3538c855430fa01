package front

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"shallotreel.example/platform"
	"shallotreel.example/platform/storetest"
	"shallotreel.example/reel/document"
	"shallotreel.example/shallotreel/settings"
)

const (
	fleetSize      = 3
	callerTimeout  = 600 * time.Millisecond
	harmlessPeriod = 12 * time.Millisecond // between two harmless requests
	popularShare   = 10                    // one in so many harmless requests has the same path
	// markRetryAfterLength is the least length of a Retry-After in seconds, such as 43200.000, that only a mark causes.
	markRetryAfterLength = 9
)

// scenario is one kind of request that crashes targets, and what happens beside it.
type scenario struct {
	name    string
	method  string
	shards  int // 0 for a request to a single service of 12 targets, else the number of shards with 3 targets each
	silent  bool
	restart restart
	down    time.Duration // for which a crashed target is down
	others  int           // further crashing requests
	kill    bool          // whether an instance is killed and started again
	random  time.Duration // period of crashes without a culprit, in place of the crashing request
}

var scenarios = []scenario{
	{name: "single", method: http.MethodGet, down: 2500 * time.Millisecond},
	{name: "single, not idempotent", method: http.MethodPost, down: 2500 * time.Millisecond, restart: sameID},
	{name: "scatter-gather", method: http.MethodGet, shards: 5, down: time.Second},
	{name: "single, silent", method: http.MethodGet, down: 2500 * time.Millisecond, silent: true},
	{name: "single, not idempotent, silent", method: http.MethodPost, down: 2500 * time.Millisecond, silent: true, restart: newIDElsewhere},
	{name: "scatter-gather, silent", method: http.MethodGet, shards: 5, down: 2500 * time.Millisecond, silent: true, restart: sameID},
	{name: "scatter-gather, an instance killed", method: http.MethodGet, shards: 5, down: time.Second, kill: true},
	{name: "three crashing requests, scatter-gather, an instance killed", method: http.MethodGet, shards: 5, down: time.Second, others: 2, kill: true},
	{name: "crashes without a culprit", method: http.MethodGet, shards: 5, down: 2500 * time.Millisecond, random: 300 * time.Millisecond},
}

// fleet is a number of instances with one store and one backend.
type fleet struct {
	t       *testing.T
	store   *storetest.Store
	backend *backend
	mutex   sync.Mutex
	stops   []func() // kills each instance
	configs []settings.Front
	refused int // harmless requests that were refused by a mark
	log     markLog
}

// startFleet starts the targets of the scenario and fleetSize instances.
func startFleet(t *testing.T, scenario scenario) *fleet {
	t.Helper()
	store := storetest.Start(t)
	fleet := &fleet{t: t, store: store, backend: &backend{t: t, store: store, silent: scenario.silent, restart: scenario.restart,
		down: scenario.down}}
	route := storetest.Route{Name: "r", Host: "h", Prefix: "/", Type: "idempotent", Timeout: 2000, Goal: 200, Attempts: 3,
		Service: "desk", Top: 3, LeastShare: 0.6}
	if scenario.method == http.MethodPost {
		route.Type = "non_idempotent"
	}
	services := []storetest.Service{{Name: "desk", Connections: 40}}
	targets := 12
	if scenario.shards > 0 {
		route.Service, services, targets = "", nil, 3
		for shard := range scenario.shards {
			route.Shards = append(route.Shards, fmt.Sprintf("shard-%d", shard))
			services = append(services, storetest.Service{Name: route.Shards[shard], Connections: 40})
		}
	}
	store.ConfigureRoutes(t, 1, []storetest.Route{route}, services)
	for _, service := range services {
		for range targets {
			fleet.backend.start(service.Name, "", netip.AddrPort{})
		}
	}
	t.Cleanup(fleet.backend.close)
	for i := range fleetSize {
		fleet.startInstance(i)
	}
	t.Cleanup(fleet.close)
	for _, config := range fleet.configs {
		waitUntil(t, "all members are known", func() bool { return gauge(config.MetricsAddress, "shallotreel_members") == fleetSize })
	}
	return fleet
}

// startInstance starts the instance with the number, and waits until it is ready.
func (fleet *fleet) startInstance(number int) {
	fleet.t.Helper()
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var seeds []netip.AddrPort
	for _, config := range fleet.configs {
		seeds = append(seeds, config.PeerAddress)
	}
	stop, config := fleet.start(settings.Front{Name: fmt.Sprintf("front-%d", number), DataCentre: "a",
		StoreAddress: fleet.store.Address(), Seeds: seeds, Grace: document.Duration(waitTimeout),
		MaxAddressTTL: document.Duration(time.Second), LogLevel: "info",
		Extra: settings.Extra{Ratio: 0.2, Window: document.Duration(10 * time.Second), Slack: 58}})
	if number < len(fleet.stops) {
		fleet.stops[number], fleet.configs[number] = stop, config
		return
	}
	fleet.stops, fleet.configs = append(fleet.stops, stop), append(fleet.configs, config)
}

// start starts an instance in this process, or as a process of its own if the flag names a program.
func (fleet *fleet) start(config settings.Front) (stop func(), started settings.Front) {
	fleet.t.Helper()
	if *program != "" {
		return startProgram(fleet.t, config)
	}
	front, config := startOnFreePorts(fleet.t, config, instanceLog{&fleet.log, config.Name})
	return front.close, config
}

// startOnFreePorts starts an instance on local ports that logs to the output, and waits until it is ready. Another process can take a port
// between its choice and the start, which then chooses others.
func startOnFreePorts(t *testing.T, config settings.Front, output io.Writer) (*Front, settings.Front) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(output)
	for {
		config.CallerAddress, config.ReadyAddress, config.ResolveAddress = freeAddress(t), freeAddress(t), freeAddress(t)
		config.PeerAddress, config.MetricsAddress = freeAddress(t), freeAddress(t)
		front, err := Start(config, log)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the instance is ready", func() bool { return status(config.ReadyAddress, platform.ReadyPath) == http.StatusOK })
		return front, config
	}
}

func waitUntil(t *testing.T, what string, reached func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !reached() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached in time: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (fleet *fleet) close() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, stop := range fleet.stops {
		stop()
	}
}

// address returns the address of a random instance for callers.
func (fleet *fleet) address() netip.AddrPort {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.configs[rand.IntN(len(fleet.configs))].CallerAddress
}

// call sends a request to a random instance and returns the status, or 0 without an answer.
func (fleet *fleet) call(client *http.Client, method, path, id string) int {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", fleet.address(), path), strings.NewReader(bodyOf(method)))
	if err != nil {
		fleet.t.Error(err)
		return 0
	}
	request.Host = "h"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if len(response.Header.Get("Retry-After")) >= markRetryAfterLength && !strings.HasPrefix(path, crashingPath) {
		fleet.mutex.Lock()
		fleet.refused++
		fleet.mutex.Unlock()
	}
	_, _ = io.Copy(io.Discard, response.Body) // the connection is used again
	return response.StatusCode
}

func bodyOf(method string) string {
	if method == http.MethodPost {
		return "the same weighing"
	}
	return ""
}

// repeatCrashingRequest sends the same request under new ids, as a caller does that gets no answer.
func (fleet *fleet) repeatCrashingRequest(scenario scenario, number int, end time.Time) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{}}
	var group sync.WaitGroup
	for count := 0; time.Now().Before(end); count++ {
		group.Go(func() {
			fleet.call(client, scenario.method, fmt.Sprint(crashingPath, "?q=", number), fmt.Sprintf("crash-%d-%d", number, count))
		})
		time.Sleep(200*time.Millisecond + rand.N(400*time.Millisecond))
	}
	group.Wait()
}

// sendHarmless sends requests with different paths, each at most twice, and returns how many were sent and served.
func (fleet *fleet) sendHarmless(method string, end time.Time) (sent, served int) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var group sync.WaitGroup
	var mutex sync.Mutex
	for ; time.Now().Before(end); sent++ {
		path := fmt.Sprint("/x/harmless/", sent)
		if sent%popularShare == 0 {
			path = "/x/harmless/popular"
		}
		id := fmt.Sprint("harmless-", sent)
		group.Go(func() {
			ok := fleet.call(client, method, path, id+"-0") == http.StatusOK ||
				fleet.call(client, method, path, id+"-1") == http.StatusOK
			mutex.Lock()
			defer mutex.Unlock()
			if ok {
				served++
			}
		})
		time.Sleep(harmlessPeriod)
	}
	group.Wait()
	return sent, served
}

// TestCrashingRequestIsStopped guards against a request that crashes its targets and is sent, each time that its caller
// repeats it at any instance, to further targets (the incident BUDGET).
func TestCrashingRequestIsStopped(t *testing.T) {
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			fleet := startFleet(t, scenario)
			end := time.Now().Add(*repeating)
			var group sync.WaitGroup
			group.Go(func() { fleet.disturb(scenario, end) })
			if scenario.kill {
				group.Go(func() { fleet.restartInstance() })
			}
			sent, served := fleet.sendHarmless(scenario.method, end)
			group.Wait()
			crashes, late := fleet.backend.lateRepeats()
			t.Logf("%d crashes under the request, %d late repeats; %d of %d others served", crashes, late, served, sent)
			if late > maxLateRepeat {
				t.Errorf("%d repeats of the request reached targets later than %v after crash %d, allowed are %d",
					late, spreadTime, freeCrashes, maxLateRepeat)
				t.Logf("arrivals and crashes:\n%s", strings.Join(fleet.backend.lines(), "\n"))
				t.Logf("lines about the requests:\n%s", strings.Join(fleet.log.about(crashingRequest), "\n"))
			}
			if fleet.refused > 0 {
				t.Errorf("%d harmless requests are refused by a mark", fleet.refused)
				t.Logf("marks on them:\n%s", strings.Join(fleet.log.harmlessMarks(), "\n"))
			}
		})
	}
}

// disturb repeats the crashing request, or crashes random targets, until the end.
func (fleet *fleet) disturb(scenario scenario, end time.Time) {
	if scenario.random == 0 {
		var group sync.WaitGroup
		for number := range 1 + scenario.others {
			group.Go(func() { fleet.repeatCrashingRequest(scenario, number, end) })
		}
		group.Wait()
		return
	}
	for time.Now().Before(end) {
		fleet.backend.crashRandomTarget()
		time.Sleep(scenario.random)
	}
}

// restartInstance kills an instance soon after the first crashes and starts another one in its place.
func (fleet *fleet) restartInstance() {
	time.Sleep(*repeating / 6)
	fleet.mutex.Lock()
	kill := fleet.stops[0]
	fleet.mutex.Unlock()
	kill()
	fleet.startInstance(0)
}
