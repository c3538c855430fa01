package crashwatch

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/query"
	"shallotreel.example/reel/virtualtime"
)

const (
	spreadTime       = 4 * time.Second        // after the third crash, or after a start, within which repeats do not count
	freeCrashes      = 3                      // crashes under a request after which its repeats count
	maxLateRepeats   = 3                      // repeats that are allowed later
	beforeCrash      = 20 * time.Millisecond  // from the begin of the request to the crash
	hop              = time.Millisecond       // of a message between an instance and a target
	lateAnswerWait   = 300 * time.Millisecond // after the end of a request, before its attempts are canceled
	suspicionTimeout = 120 * time.Millisecond
	failureBackoff   = 500 * time.Millisecond // for which an instance avoids a target that failed
	requestTimeout   = 600 * time.Millisecond
	registrationTTL  = 3600 * time.Millisecond
	gossipPeriod     = 100 * time.Millisecond
	tickPeriod       = 250 * time.Millisecond
	gossipFanout     = 4
	queueFrom        = 2 * time.Second
)

var epoch = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// conditions are the drawn parameters of one session.
type conditions struct {
	seed       uint64
	instances  int
	shards     int // 0 for a single service
	targets    int // of each service
	idempotent bool
	silent     bool          // whether crashed targets say nothing, and accept connections that they never answer
	down       time.Duration // for which a crashed target is down
	sameID     bool          // whether it returns under the same ID
	moves      bool          // whether it returns at another address
	maxDelay   time.Duration // of a datagram
	loss       float64       // share of datagrams that are lost
	duplicates float64       // share of datagrams that arrive twice
	kills      int           // instances that are killed and start again
	lostAnswer float64       // share of answers of living targets in place of which the connection breaks
	random     time.Duration // period of crashes without a culprit, 0 for none
	rivals     int           // further requests that crash their targets
	queue      time.Duration // longest time that a request waits at a target before it is run, after the first queueFrom
	stall      time.Duration // longest time for which an instance learns of no end and no timer of an attempt, after the first queueFrom
	outages    int           // times at which all targets of some services crash at the same moment without a culprit
	services   int           // whose targets crash in an outage, each time the next ones
}

// simulation runs the machines of several instances in virtual time.
type simulation struct {
	conditions
	virtualtime.Clock
	random    *rand.Rand
	instances []*instance
	targets   []*target
	route     *catalogue.Route
	lastID    uint64
	culprit   []arrival
	crashes   []time.Time // under the culprit
	harmless  []*outcome
}

// arrival is a repeat of the culprit that reached a target.
type arrival struct {
	request string
	at      time.Time
	inTouch bool
}

// outcome is the end of a harmless request and of its repeat.
type outcome struct {
	served  bool
	refused bool // by a mark
}

func newSimulation(conditions conditions) *simulation {
	simulation := &simulation{conditions: conditions, Clock: virtualtime.Clock{Now: epoch}, random: rand.New(rand.NewPCG(conditions.seed, 7)),
		route: &catalogue.Route{Name: "r", Idempotent: conditions.idempotent, Attempts: 3, Goal: 200 * time.Millisecond,
			Service: "desk", LeastShare: 0.6, Top: 3}}
	if conditions.shards > 0 {
		simulation.route.Service = ""
		for shard := range conditions.shards {
			simulation.route.Shards = append(simulation.route.Shards, fmt.Sprint("shard-", shard))
		}
	}
	for range conditions.instances {
		simulation.instances = append(simulation.instances, &instance{simulation: simulation})
	}
	for _, service := range simulation.route.ServiceNames() {
		for range conditions.targets {
			simulation.startTarget(service, "", netip.AddrPort{})
		}
	}
	for _, instance := range simulation.instances {
		instance.start()
	}
	return simulation
}

// members returns all instances as members of the fleet, as if all of them knew each other at once.
func (simulation *simulation) members() []member.Member {
	var members []member.Member
	for _, instance := range simulation.instances {
		members = append(members, member.Member{Name: instance.name(), State: member.Alive})
	}
	return members
}

func (simulation *simulation) draw(limit time.Duration) time.Duration {
	return time.Duration(simulation.random.Int64N(int64(limit)) + 1)
}

// stalled returns how much later than it should an instance of a busy machine goes on.
func (simulation *simulation) stalled() time.Duration {
	if simulation.stall == 0 || simulation.Now.Sub(epoch) <= queueFrom {
		return 0
	}
	return simulation.draw(simulation.stall)
}

func (simulation *simulation) nextID() uint64 {
	simulation.lastID++
	return simulation.lastID
}

// target is one process of a target.
type target struct {
	catalogue.Target
	simulation *simulation
	down       bool
	running    []*attempt
}

// startTarget starts a process and registers it at all instances, each after a delay.
func (simulation *simulation) startTarget(service, id string, address netip.AddrPort) {
	number := simulation.nextID()
	if id == "" {
		id = fmt.Sprint("i-", number)
	}
	if !address.IsValid() {
		address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(1000+number))
	}
	started := &target{simulation: simulation, Target: catalogue.Target{ID: id, Service: service, Address: address,
		DataCentre: "a", Slots: 4, Born: simulation.Now.UnixMilli(), Seq: number}}
	simulation.targets = append(simulation.targets, started)
	registration := started.Target
	for _, instance := range simulation.instances {
		instance.hear(func(time.Time) []catalogue.Change {
			change, changed := instance.catalogue.Register(registration)
			if !changed {
				return nil
			}
			return []catalogue.Change{change}
		})
	}
}

// crash ends the process, which starts again after the time of the conditions.
func (target *target) crash() {
	simulation := target.simulation
	target.down = true
	if !simulation.silent {
		for _, attempt := range target.running {
			simulation.Schedule(hop, func() { attempt.end(query.MayHaveRun, true) })
		}
	}
	target.running = nil
	simulation.Schedule(min(registrationTTL, simulation.down), func() {
		if simulation.down > registrationTTL || !simulation.sameID {
			target.unregister()
		}
	})
	simulation.Schedule(simulation.down, func() {
		simulation.targets = slices.DeleteFunc(simulation.targets, func(other *targetProcess) bool { return other == target })
		id, address := "", target.Address
		if simulation.sameID {
			id = target.ID
		}
		if simulation.moves {
			address = netip.AddrPort{}
		}
		simulation.startTarget(target.Service, id, address)
	})
}

type targetProcess = target

func (target *target) unregister() {
	for _, instance := range target.simulation.instances {
		instance.hear(func(now time.Time) []catalogue.Change {
			change, changed := instance.catalogue.Remove(now, catalogue.Removal{ID: target.ID})
			if !changed {
				return nil
			}
			return []catalogue.Change{change}
		})
	}
}

// receive handles the arrival of an attempt.
func (target *target) receive(attempt *attempt) {
	simulation := target.simulation
	switch {
	case target.down && simulation.silent:
		return
	case target.down:
		simulation.Schedule(hop, func() { attempt.end(query.NotRun, true) })
		return
	}
	target.running = append(target.running, attempt)
	wait := time.Duration(0)
	if simulation.queue > 0 && simulation.Now.Sub(epoch) > queueFrom {
		wait = simulation.draw(simulation.queue)
	}
	if attempt.session.crashes {
		counts := attempt.session.fingerprint == culpritFingerprint
		if counts {
			simulation.culprit = append(simulation.culprit, arrival{attempt.session.request, simulation.Now, attempt.session.instance.inTouch()})
		}
		simulation.Schedule(wait+beforeCrash, func() {
			if target.down {
				return
			}
			if counts {
				simulation.crashes = append(simulation.crashes, simulation.Now)
			}
			target.crash()
		})
		return
	}
	simulation.Schedule(wait+5*time.Millisecond+simulation.draw(25*time.Millisecond), func() {
		if target.down {
			return
		}
		target.running = slices.DeleteFunc(target.running, func(other *attemptInFlight) bool { return other == attempt })
		execution := query.Ran
		if simulation.random.Float64() < simulation.lostAnswer {
			execution = query.MayHaveRun
		}
		simulation.Schedule(hop, func() { attempt.end(execution, false) })
	})
}
