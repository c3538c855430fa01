package front

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotreel.example/platform/storetest"
	"shallotreel.example/reel/document"
	"shallotreel.example/shallotreel/settings"
)

const (
	lostPathTargets  = 3 // of each service
	lostPathShards   = 5
	lostPathRequests = 120
	lostPathPeriod   = 10 * time.Millisecond // between two requests to an instance
	lostPathTimeout  = 1500 * time.Millisecond
)

// mistakenCrash matches lines about crashes, of which there are none here.
var mistakenCrash = regexp.MustCompile(`may have crashed|crash attributed|mark learned`)

// cutFleet is a fleet of two instances that always reach the targets, and one over links that can be cut.
type cutFleet struct {
	t       *testing.T
	links   []*link
	cut     settings.Front    // the instance behind the links
	others  []settings.Front  // the other ones
	fronts  map[string]*Front // by name, for instances in this process
	log     markLog
	mutex   sync.Mutex
	arrived map[string]int // arrivals at all targets of non-idempotent requests, by ID
}

// startCutFleet starts targets for a single service and for the shards, and three instances. The cut one has a data centre and a
// store of its own, which names the links as addresses of the targets.
func startCutFleet(t *testing.T) *cutFleet {
	t.Helper()
	fleet := &cutFleet{t: t, arrived: map[string]int{}, fronts: map[string]*Front{}}
	store, cutStore := storetest.Start(t), storetest.Start(t)
	routes := []storetest.Route{
		{Name: "one", Host: "h", Prefix: "/one/", Type: "non_idempotent", Timeout: 2000, Goal: 200, Attempts: 3, Service: "desk"},
		{Name: "all", Host: "h", Prefix: "/all/", Type: "idempotent", Timeout: 2000, Goal: 200, Attempts: 3, Top: 3, LeastShare: 0.6}}
	services := []storetest.Service{{Name: "desk", Connections: 40}}
	for shard := range lostPathShards {
		name := fmt.Sprintf("shard-%d", shard)
		routes[1].Shards = append(routes[1].Shards, name)
		services = append(services, storetest.Service{Name: name, Connections: 40})
	}
	for _, service := range services {
		for number := range lostPathTargets {
			fleet.startTarget(store, cutStore, service.Name, fmt.Sprintf("%s-%d", service.Name, number))
		}
	}
	store.ConfigureRoutes(t, 1, routes, services)
	cutStore.ConfigureRoutes(t, 1, routes, services)
	fleet.startInstance("other-0", "a", store)
	fleet.startInstance("other-1", "a", store)
	fleet.startInstance("cut", "b", cutStore)
	for _, config := range append(fleet.others, fleet.cut) {
		waitUntil(t, "all members are known", func() bool { return gauge(config.MetricsAddress, "shallotreel_members") == 3 })
	}
	return fleet
}

func (fleet *cutFleet) startTarget(store, cutStore *storetest.Store, service, id string) {
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		requestID := request.Header.Get("Request-Id")
		if request.Method == http.MethodPost {
			fleet.mutex.Lock()
			fleet.arrived[requestID]++
			fleet.mutex.Unlock()
		}
		time.Sleep(workTime)
		writer.Header().Set("Request-Id", requestID)
		writer.Header().Set("Server-Stamp", id+"."+requestID)
		_, _ = io.WriteString(writer, "0123456789abcdef") // the caller may have gone
	}))
	fleet.t.Cleanup(target.Close)
	link := openLink(fleet.t, target.Listener.Addr().String())
	fleet.links = append(fleet.links, link)
	registered := storetest.Target{ID: id, Service: service, Seq: 1, Born: 1, Address: netip.MustParseAddrPort(target.Listener.Addr().String())}
	store.Register(fleet.t, registered)
	registered.Address = link.address
	cutStore.Register(fleet.t, registered)
}

func (fleet *cutFleet) startInstance(name, dataCentre string, store *storetest.Store) {
	fleet.t.Helper()
	config := settings.Front{Name: name, DataCentre: dataCentre, StoreAddress: store.Address(), Grace: document.Duration(waitTimeout),
		MaxAddressTTL: document.Duration(time.Second), LogLevel: "info",
		Extra: settings.Extra{Ratio: 0.2, Window: document.Duration(10 * time.Second), Slack: 58}}
	for _, other := range fleet.others {
		config.Seeds = append(config.Seeds, other.PeerAddress)
	}
	var stop func()
	if *program != "" {
		stop, config = startProgram(fleet.t, config)
	} else {
		var front *Front
		front, config = startOnFreePorts(fleet.t, config, instanceLog{&fleet.log, name})
		stop = func() {
			if !front.stopping.Load() {
				front.close()
			}
		}
		fleet.fronts[name] = front
	}
	fleet.t.Cleanup(stop)
	if dataCentre == "b" {
		fleet.cut = config
		return
	}
	fleet.others = append(fleet.others, config)
}

func (fleet *cutFleet) setLinks(state linkState) {
	for _, link := range fleet.links {
		link.set(fleet.t, state)
	}
}

// serve sends requests to the instance, each once, and returns how many were served.
func (fleet *cutFleet) serve(instance settings.Front, method, prefix string, requests int) int {
	client := &http.Client{Timeout: lostPathTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var group sync.WaitGroup
	var mutex sync.Mutex
	served := 0
	for number := range requests {
		group.Go(func() {
			id := fmt.Sprintf("%s-%s-%d-%d", instance.Name, method, time.Now().UnixNano(), number)
			status := fleet.call(client, instance.CallerAddress, method, prefix+id, id)
			if status != http.StatusOK {
				fleet.t.Logf("request %s gets status %d", id, status)
				return
			}
			mutex.Lock()
			served++
			mutex.Unlock()
		})
		time.Sleep(lostPathPeriod)
	}
	group.Wait()
	return served
}

// call sends a request and returns the status, or 0 without a whole answer.
func (fleet *cutFleet) call(client *http.Client, instance netip.AddrPort, method, path, id string) int {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", instance, path), strings.NewReader(bodyOf(method)))
	if err != nil {
		fleet.t.Error(err)
		return 0
	}
	request.Host = "h"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(lostPathTimeout.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// assertServed checks that of the same number of requests to the cut instance and to another one, the first serves at least
// two thirds as many.
func (fleet *cutFleet) assertServed(method, prefix string) {
	fleet.t.Helper()
	cut := fleet.serve(fleet.cut, method, prefix, lostPathRequests)
	other := fleet.serve(fleet.others[0], method, prefix, lostPathRequests)
	if 3*cut < 2*other {
		fleet.t.Errorf("%s %s: the cut instance served %d of %d, the other %d", method, prefix, cut, lostPathRequests, other)
	}
}

// TestCutInstanceServesItsCallers guards against an instance that loses its path to the targets, while callers and other instances
// still reach it, and fails its callers and blames the targets (the incident RECOVER).
func TestCutInstanceServesItsCallers(t *testing.T) {
	for name, state := range linkStates {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := startCutFleet(t)
			fleet.serve(fleet.cut, http.MethodGet, "/all/", 40) // opens connections and learns latencies
			fleet.serve(fleet.cut, http.MethodPost, "/one/", 40)
			for range 2 {
				fleet.setLinks(state)
				fleet.serve(fleet.cut, http.MethodGet, "/all/", 40) // shows that the path is lost; some may fail
				fleet.assertServed(http.MethodGet, "/all/")
				fleet.assertServed(http.MethodPost, "/one/")
				fleet.setLinks(linkOpen)
				waitUntil(t, "requests are served again", func() bool { return fleet.serve(fleet.cut, http.MethodGet, "/all/", 10) == 10 })
			}
			fleet.mutex.Lock()
			defer fleet.mutex.Unlock()
			for id, arrivals := range fleet.arrived {
				if arrivals > 1 {
					t.Errorf("request %s arrived at targets %d times", id, arrivals)
				}
			}
			for _, line := range fleet.log.about(mistakenCrash) {
				t.Errorf("a lost path is taken for a crash: %s", line)
			}
		})
	}
}

// TestHelperStopsUnderLoad guards against requests of another instance that a planned stop of their helper cuts off.
func TestHelperStopsUnderLoad(t *testing.T) {
	if *program != "" {
		t.Skip("instances in other processes are stopped by signals, which the soak does")
	}
	fleet := startCutFleet(t)
	fleet.serve(fleet.cut, http.MethodGet, "/all/", 40)
	fleet.setLinks(linkReset)
	fleet.serve(fleet.cut, http.MethodGet, "/all/", 40) // shows that the path is lost
	helper := fleet.fronts[fleet.others[0].Name]
	short := fleet.others[0]
	short.Grace = document.Duration(3 * time.Second)
	helper.Reload(short)
	stopped := make(chan struct{})
	go func() {
		helper.Stop("test")
		close(stopped)
	}()
	for running := true; running; {
		select {
		case <-stopped:
			running = false
		default:
		}
		if served := fleet.serve(fleet.cut, http.MethodPost, "/one/", 20); served != 20 {
			t.Errorf("%d of 20 requests are served while a helper stops", served)
		}
	}
}
