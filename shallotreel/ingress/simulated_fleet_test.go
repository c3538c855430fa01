package ingress

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/choice"
	"shallotreel.example/reel/extra"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/reach"
	"shallotreel.example/shallotreel/connpool"
	"shallotreel.example/shallotreel/crashwatch"
	"shallotreel.example/shallotreel/reachwatch"
	"shallotreel.example/shallotreel/relay"
)

const (
	simulatedShards    = 5
	simulatedReplicas  = 3
	simulatedAttempts  = 2
	simulatedRatio     = 0.2
	simulatedSlack     = 58
	simulatedVersions  = 8               // of the configuration
	simulatedSpread    = 3 * time.Second // within which all instances learn of a configuration
	simulatedWindow    = 10 * time.Second
	simulatedTimeout   = 1500 * time.Millisecond // of a caller
	simulatedDowntime  = 1500 * time.Millisecond // of a target that crashed
	simulatedSession   = 14 * time.Second
	pauseTime          = 150 * time.Millisecond
	pauseShare         = 15                     // one in so many requests takes pauseTime, and all that must not be repeated
	settleTime         = 4 * time.Second        // after the begin of a cut, within which failures do not count
	leaveTolerance     = 500 * time.Millisecond // after a caller has left, within which its request may arrive at targets
	deadlineTolerance  = 500 * time.Millisecond
	crashTick          = 250 * time.Millisecond
	crashingPrefix     = "/one/crashes"
	maxCrashesOfOne    = 4  // targets that one crashing request may end, at instances that learn of it at the same time
	freeFailures       = 10 // first attempts that may fail at instances without a path
	freeFailureDivisor = 50 // and one in so many
)

// simulatedFleet is a number of instances whose handlers run in virtual time.
type simulatedFleet struct {
	t         *testing.T
	random    *rand.Rand
	newsDelay time.Duration     // of what instances tell each other
	views     []*catalogue.View // of successive configurations, each of which moves a route
	targets   map[netip.AddrPort]*simulatedTarget
	instances []*simulatedInstance
	mutex     sync.Mutex
	members   []member.Member
	arrivals  []simulatedArrival
	calls     map[string]*simulatedCall // by request ID
	marks     int
	done      chan struct{}
}

// simulatedInstance is one instance.
type simulatedInstance struct {
	number  int
	path    *simulatedPath
	handler *Handler
	router  *Router
	watch   *reachwatch.Watch
	crashes *crashwatch.Watch
	tracker *quarantine.Tracker
	client  *relay.Client
	view    *registry
	cuts    []interval
}

type interval struct{ from, to time.Time }

// simulatedArrival is the arrival of a request at a target.
type simulatedArrival struct {
	id, service string
	instance    int // that sent it
	at          time.Time
	left        time.Duration // as the request says
}

// simulatedCall is a request of a caller.
type simulatedCall struct {
	instance   int
	idempotent bool
	at         time.Time
	leftAt     time.Time // when the caller disconnected, zero if it did not
	endedAt    time.Time
	status     int
}

// records drops what a handler records.
type dropped struct{}

func (dropped) Record(Record) {}

// registry is the Registry of one instance.
type registry struct {
	view atomic.Pointer[catalogue.View]
}

func (registry *registry) View() *catalogue.View          { return registry.view.Load() }
func (registry *registry) RecordLeaving(catalogue.Target) {}

// newSimulatedFleet returns a fleet in three data centres, whose targets are spread over them too.
func newSimulatedFleet(t *testing.T, instances int, seed uint64, newsDelay time.Duration) *simulatedFleet {
	fleet := &simulatedFleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), newsDelay: newsDelay, targets: map[netip.AddrPort]*simulatedTarget{},
		calls: map[string]*simulatedCall{}, done: make(chan struct{})}
	all := catalogue.Route{Name: "all", Host: "h", Prefix: "/all/", Idempotent: true, Top: 3, LeastShare: 0.6}
	one := catalogue.Route{Name: "one", Host: "h", Prefix: "/one/", Service: "desk"}
	services := []catalogue.Service{{Name: "desk", MaxConnections: 40}, {Name: "other-desk", MaxConnections: 40}}
	for shard := range simulatedShards {
		all.Shards = append(all.Shards, fmt.Sprint("shard-", shard))
		services = append(services, catalogue.Service{Name: all.Shards[shard], MaxConnections: 40})
	}
	targets := catalogue.New()
	for _, service := range services {
		for range simulatedReplicas {
			fleet.addTarget(targets, service.Name)
		}
	}
	routes := []catalogue.Route{all, one}
	for i := range routes {
		routes[i].Timeout, routes[i].Goal, routes[i].Attempts = 2*time.Second, 200*time.Millisecond, simulatedAttempts
	}
	for version := range simulatedVersions {
		routes[1].Service = []string{"desk", "other-desk"}[version%2]
		targets.Configure(catalogue.NewConfiguration(uint64(version+1), slices.Clone(routes), services, catalogue.Limits{}))
		fleet.views = append(fleet.views, targets.View())
	}
	for number := range instances {
		fleet.addInstance(number)
	}
	fleet.publish()
	return fleet
}

func (fleet *simulatedFleet) addTarget(targets *catalogue.Catalogue, service string) {
	number := len(fleet.targets)
	target := &simulatedTarget{fleet: fleet, id: fmt.Sprint("in-", number), service: service, conns: map[net.Conn]bool{},
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 80)}
	fleet.targets[target.address] = target
	targets.Register(catalogue.Target{ID: target.id, Service: service, DataCentre: fmt.Sprint("dc-", number%3), Slots: 4, Address: target.address})
}

func (fleet *simulatedFleet) addInstance(number int) {
	instance := &simulatedInstance{number: number, path: &simulatedPath{instance: number, pipes: map[*simulatedPipe]bool{}}, tracker: &quarantine.Tracker{}}
	self := member.Member{Name: fmt.Sprint("front-", number), DataCentre: fmt.Sprint("dc-", number%3), State: member.Alive,
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(number)}), 80)}
	fleet.members = append(fleet.members, self)
	pool := connpool.NewPool(connpool.WithDial(func(ctx context.Context, _, address string) (net.Conn, error) {
		return instance.path.connect(ctx, fleet.targets[netip.MustParseAddrPort(address)])
	}))
	instance.view = &registry{}
	instance.view.view.Store(fleet.views[0])
	view := instance.view
	log := logrus.New()
	log.SetOutput(io.Discard)
	instance.router = NewRouter(view, pool, extra.Limits{Ratio: simulatedRatio, Window: simulatedWindow, Slack: simulatedSlack}, self,
		rand.New(rand.NewPCG(uint64(number), 2)), func(choice.HealthChange) {})
	instance.watch = reachwatch.New(view, pool, func(change reach.Change) { fleet.pathChanged(instance, change) }, log, tally.NoopScope)
	instance.crashes = crashwatch.New(instance.tracker, view, func(fingerprint quarantine.Fingerprint) { fleet.replicate(instance, fingerprint) }, log,
		tally.NoopScope, crashwatch.WithSignsOfLife(instance.watch.AliveSince))
	instance.client = relay.NewClient(self, relay.WithAsk(fleet.ask))
	instance.handler = New(view, instance.router, pool, instance.crashes, instance.watch, instance.client, dropped{})
	instance.handler.Open()
	fleet.instances = append(fleet.instances, instance)
	go fleet.tick(instance, pool)
}

func (fleet *simulatedFleet) tick(instance *simulatedInstance, pool *connpool.Pool) {
	for count := 0; ; count++ {
		select {
		case <-fleet.done:
			return
		case <-time.After(reachwatch.TickPeriod):
		}
		instance.watch.Tick(time.Now())
		if count%int(crashTick/reachwatch.TickPeriod) == 0 {
			instance.crashes.Tick(time.Now())
			pool.Sweep(time.Now())
		}
	}
}

// pathChanged does what the assembled instance does, and tells the others after the delay.
func (fleet *simulatedFleet) pathChanged(instance *simulatedInstance, change reach.Change) {
	if change.Lost {
		instance.crashes.PathLost(change.Since)
	}
	instance.router.ForgetFailures()
	fleet.mutex.Lock()
	fleet.members[instance.number].PathLost = change.Lost
	fleet.mutex.Unlock()
	time.AfterFunc(fleet.newsDelay, fleet.publish)
}

// publish tells all instances of the members.
func (fleet *simulatedFleet) publish() {
	fleet.mutex.Lock()
	members := slices.Clone(fleet.members)
	fleet.mutex.Unlock()
	for _, instance := range fleet.instances {
		instance.router.SetMembers(members)
		instance.client.SetMembers(members)
	}
}

// replicate sends a mark to all other instances.
func (fleet *simulatedFleet) replicate(instance *simulatedInstance, fingerprint quarantine.Fingerprint) {
	mark, ok := instance.tracker.Mark(time.Now(), fingerprint)
	if !ok {
		return
	}
	fleet.mutex.Lock()
	fleet.marks++
	fleet.mutex.Unlock()
	time.AfterFunc(fleet.newsDelay, func() {
		for _, other := range fleet.instances {
			if other != instance {
				other.tracker.Merge(time.Now(), mark)
			}
		}
	})
}

// ask is a relay.Ask between the instances.
func (fleet *simulatedFleet) ask(ctx context.Context, peer netip.AddrPort, request relay.Request) (relay.Reply, error) {
	helper := fleet.instances[peer.Addr().As4()[3]]
	request.Left -= 2 * simulatedDelay
	request.GoalLeft -= 2 * simulatedDelay
	time.Sleep(simulatedDelay)
	replies := make(chan relay.Reply, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		reply := helper.handler.ServeRelayed(ctx, request)
		time.Sleep(simulatedDelay)
		replies <- reply
	}()
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return relay.Reply{}, ctx.Err()
	}
}

func (fleet *simulatedFleet) recordArrival(arrival simulatedArrival) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.arrivals = append(fleet.arrivals, arrival)
}

// workTime returns how long a target works for a request.
func (fleet *simulatedFleet) workTime(method string) time.Duration {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if method == http.MethodPost || fleet.random.IntN(pauseShare) == 0 {
		return pauseTime
	}
	return 5*time.Millisecond + time.Duration(fleet.random.IntN(25))*time.Millisecond
}

// call sends a request of a caller, which disconnects after the patience if that is not 0.
func (fleet *simulatedFleet) call(instance *simulatedInstance, method, path string, patience time.Duration) {
	fleet.mutex.Lock()
	id := fmt.Sprint("request-", len(fleet.calls))
	call := &simulatedCall{instance: instance.number, idempotent: method == http.MethodGet, at: time.Now()}
	fleet.calls[id] = call
	fleet.mutex.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if patience > 0 {
		time.AfterFunc(patience, cancel)
	}
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(""))
	request.Host, request.RequestURI = "h", path
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(simulatedTimeout.Milliseconds()))
	recorder := httptest.NewRecorder()
	instance.handler.ServeHTTP(recorder, request)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	call.status, call.endedAt = recorder.Code, time.Now()
	if ctx.Err() != nil {
		call.status, call.leftAt = 0, call.at.Add(patience)
	}
	if call.status == http.StatusOK {
		fleet.checkAnswer(id, recorder)
	}
}

// checkAnswer checks that a success carries signatures of this request only.
func (fleet *simulatedFleet) checkAnswer(id string, recorder *httptest.ResponseRecorder) {
	stamps := recorder.Header().Get("Part-Stamps") + recorder.Header().Get("Server-Stamp")
	for stamp := range strings.SplitSeq(stamps, ", ") {
		if _, named, _ := strings.Cut(stamp, "."); named != id {
			fleet.t.Errorf("the answer to %s has the stamp %q", id, stamp)
		}
	}
}

// cutPath cuts the instance's path for the duration.
func (fleet *simulatedFleet) cutPath(instance *simulatedInstance, kind cut, duration time.Duration) {
	instance.path.set(kind)
	now := time.Now()
	instance.cuts = append(instance.cuts, interval{now, now.Add(duration)})
	time.AfterFunc(duration, func() { instance.path.set(noCut) })
}

// configure lets the instance learn of a configuration, which moves the route to a single service to another one.
func (fleet *simulatedFleet) configure(instance *simulatedInstance, version int) {
	instance.view.view.Store(fleet.views[version])
}

// close ends the session.
func (fleet *simulatedFleet) close() {
	close(fleet.done)
	time.Sleep(3 * time.Second) // what is still running ends
	for _, instance := range fleet.instances {
		instance.path.set(noCut)
		instance.path.mutex.Lock()
		instance.path.closeAll()
		instance.path.mutex.Unlock()
	}
	time.Sleep(time.Second)
}
