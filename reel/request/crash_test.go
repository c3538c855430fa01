package request

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/route"
	"shallotreel.example/reel/target"
)

// simulation connects the machines of requests and holders over a simulated network in virtual time. Marks reach the
// other instances after a random delay.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	events    eventHeap
	order     int                   // sequence number of the last event, which breaks ties in time
	trackers  []*quarantine.Tracker // one for each instance
	holders   map[string]*holder.Machine
	downUntil map[string]time.Time
	sessions  map[target.Attempt]*session
	crashes   int
	markDelay time.Duration // upper bound of the delay of a mark between two instances
	nextID    uint64
	harmless  []*session
}

// scheduledEvent is a function call at a virtual time.
type scheduledEvent struct {
	at    time.Time
	order int
	run   func()
}

// eventHeap is a heap of events ordered by time and sequence number.
type eventHeap []scheduledEvent

func (eventHeap eventHeap) Len() int { return len(eventHeap) }
func (eventHeap eventHeap) Less(i, j int) bool {
	order := cmp.Or(eventHeap[i].at.Compare(eventHeap[j].at), cmp.Compare(eventHeap[i].order, eventHeap[j].order))
	return order < 0
}
func (eventHeap eventHeap) Swap(i, j int) { eventHeap[i], eventHeap[j] = eventHeap[j], eventHeap[i] }
func (eventHeap *eventHeap) Push(x any)   { *eventHeap = append(*eventHeap, x.(scheduledEvent)) }
func (eventHeap *eventHeap) Pop() any {
	last := len(*eventHeap) - 1
	popped := (*eventHeap)[last]
	*eventHeap = (*eventHeap)[:last]
	return popped
}

const (
	instanceCount       = 9
	crashingFingerprint = quarantine.Fingerprint(7)
	serviceTime         = 10 * time.Millisecond
	restartTime         = time.Second // time for which a crashed target refuses connections
)

func newSimulation(seed uint64, delay time.Duration) *simulation {
	simulation := &simulation{now: start, random: rand.New(rand.NewPCG(seed, 4)), holders: map[string]*holder.Machine{},
		downUntil: map[string]time.Time{}, sessions: map[target.Attempt]*session{}, markDelay: delay}
	for range instanceCount {
		simulation.trackers = append(simulation.trackers, &quarantine.Tracker{})
	}
	for shard := range 4 {
		for replica := range 3 {
			name := fmt.Sprintf("s/%d/%d", shard+1, replica+1)
			machine := holder.New(name, &simulationTracker{simulation, (shard*3 + replica) % instanceCount})
			machine.Handle(start, holder.Configured{Slots: 5, SlotFraction: 1, QueuePerSlot: 2, RetryAfter: time.Second})
			machine.Handle(start, holder.Reported{Report: target.Report{State: target.Serving}})
			simulation.holders[name] = machine
			simulation.tick(name)
		}
	}
	return simulation
}

// simulationTracker is the holder.FingerprintTracker of one instance; it sends new marks to all other instances.
type simulationTracker struct {
	simulation *simulation
	instance   int
}

func (simulationTracker *simulationTracker) VerdictWithTrust(now time.Time, fingerprint quarantine.Fingerprint, trust quarantine.Trust) quarantine.Verdict {
	return simulationTracker.simulation.trackers[simulationTracker.instance].VerdictWithTrust(now, fingerprint, trust)
}

func (simulationTracker *simulationTracker) RecordCrash(now time.Time, fingerprint quarantine.Fingerprint, name string) {
	simulationTracker.simulation.broadcast(simulationTracker.instance, simulationTracker.simulation.trackers[simulationTracker.instance].RecordCrash(now, fingerprint, name))
}

func (simulationTracker *simulationTracker) RecordSuccess(now time.Time, fingerprint quarantine.Fingerprint) {
	if mark, ok := simulationTracker.simulation.trackers[simulationTracker.instance].RecordSuccess(now, fingerprint); ok {
		simulationTracker.simulation.broadcast(simulationTracker.instance, mark)
	}
}

// broadcast delivers the mark to all other instances, each after a random delay.
func (simulation *simulation) broadcast(from int, mark quarantine.Mark) {
	for to := range simulation.trackers {
		if to != from {
			delay := time.Duration(simulation.random.Int64N(int64(simulation.markDelay)) + 1)
			simulation.schedule(delay, func() { simulation.trackers[to].Merge(simulation.now, mark) })
		}
	}
}

func (simulation *simulation) schedule(delay time.Duration, run func()) {
	simulation.order++
	heap.Push(&simulation.events, scheduledEvent{simulation.now.Add(delay), simulation.order, run})
}

// run executes the events of the next duration.
func (simulation *simulation) run(duration time.Duration) {
	end := simulation.now.Add(duration)
	for len(simulation.events) > 0 && !simulation.events[0].at.After(end) {
		next := heap.Pop(&simulation.events).(scheduledEvent)
		simulation.now = next.at
		next.run()
	}
	simulation.now = end
}

// tick sends holder.Ticked to the holder of a target every 25 milliseconds.
func (simulation *simulation) tick(name string) {
	simulation.perform(name, simulation.holders[name].Handle(simulation.now, holder.Ticked{}))
	simulation.schedule(25*time.Millisecond, func() { simulation.tick(name) })
}

// startRequest starts a request at an instance.
func (simulation *simulation) startRequest(t fataler, instance int, fingerprint quarantine.Fingerprint) *session {
	requestPlan := plan(document.Coverage, document.Search)
	requestPlan.Fingerprint, requestPlan.Deadline = fingerprint, simulation.now.Add(time.Second)
	requestPlan.CrashHistory = simulation.trackers[instance]
	requestPlan.From = fmt.Sprint(instance)
	session := &session{t: t, router: &fakeRouter{pin: requestPlan.Pin, budget: 3, unavailable: map[string]bool{}}, tracker: simulation.trackers[instance]}
	session.machine = New(requestPlan, &holderPerTargetRouter{session.router, fingerprint}, func() target.Attempt {
		simulation.nextID++
		var id target.Attempt
		binary.BigEndian.PutUint64(id[:], simulation.nextID)
		return id
	})
	simulation.drive(session, session.machine.Start(simulation.now))
	return session
}

// holderPerTargetRouter gives each target its own holder, named like the target.
type holderPerTargetRouter struct {
	*fakeRouter
	fingerprint quarantine.Fingerprint
}

func (router *holderPerTargetRouter) Choose(now time.Time, pin route.Pin, shard int, exclude []string) (route.Choice, bool) {
	choice, ok := router.fakeRouter.Choose(now, pin, shard, exclude)
	choice.Holder = member.Member{Name: choice.Target}
	return choice, ok
}

// drive carries out the actions of a request's machine and schedules its next wake.
func (simulation *simulation) drive(session *session, actions []Action) {
	session.apply(actions)
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			simulation.sessions[action.Sub.Request.Attempt] = session
			simulation.schedule(time.Millisecond, func() {
				simulation.perform(action.Sub.Target, simulation.holders[action.Sub.Target].Handle(simulation.now, holder.Offered{Sub: action.Sub}))
			})
		case Cancel:
			simulation.schedule(time.Millisecond, func() {
				simulation.perform(action.Choice.Target, simulation.holders[action.Choice.Target].Handle(simulation.now, holder.Canceled{Attempt: action.Attempt}))
			})
		}
	}
	if session.outcome == nil {
		wake := max(session.machine.NextWake().Sub(simulation.now), time.Millisecond)
		simulation.schedule(wake, func() {
			if session.outcome == nil {
				simulation.drive(session, session.machine.Wake(simulation.now))
			}
		})
	}
}

// perform carries out the actions of a holder's machine.
func (simulation *simulation) perform(name string, actions []holder.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case holder.Send:
			simulation.serve(name, action.Sub)
		case holder.Finish:
			session := simulation.sessions[action.Answer.Attempt]
			simulation.schedule(time.Millisecond, func() {
				next, _ := session.machine.HandleAnswer(simulation.now, action.Answer)
				if action.Answer.Code == result.OK {
					session.tracker.RecordSuccess(simulation.now, session.machine.plan.Fingerprint)
				}
				simulation.drive(session, next)
			})
		}
	}
}

// serve runs a sub-request at its target. The crashing fingerprint crashes the target, so that all sub-requests running
// on it fail.
func (simulation *simulation) serve(name string, sub holder.SubRequest) {
	id := sub.Request.Attempt
	fail := func(code result.Code) {
		simulation.perform(name, simulation.holders[name].Handle(simulation.now, holder.Failed{Attempt: id, Code: code, Ran: code.Ran()}))
	}
	switch {
	case simulation.now.Before(simulation.downUntil[name]):
		simulation.schedule(time.Millisecond, func() { fail(result.ConnectRefused) })
	case sub.Fingerprint == crashingFingerprint:
		simulation.crashes++
		simulation.downUntil[name] = simulation.now.Add(restartTime)
		simulation.schedule(time.Millisecond, func() { fail(result.Broken) })
	default:
		simulation.schedule(serviceTime, func() {
			if simulation.now.Before(simulation.downUntil[name]) {
				fail(result.Broken)
				return
			}
			reply := target.Reply{Attempt: id, Snapshot: sub.Request.Snapshot, Range: sub.Request.Range}
			simulation.perform(name, simulation.holders[name].Handle(simulation.now, holder.Replied{Reply: reply}))
		})
	}
}

// TestCrashingRequestCrashesAtMostTwoTargets guards against a request that crashes one target after another because it
// is sent again through other instances, which receive the mark with a delay. Harmless requests must still succeed.
func TestCrashingRequestCrashesAtMostTwoTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := time.Duration(rapid.IntRange(1, 100).Draw(t, "mark_delay_ms")) * time.Millisecond
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), delay)
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			instance := rapid.IntRange(0, instanceCount-1).Draw(t, "instance")
			if rapid.Bool().Draw(t, "crashes") {
				simulation.startRequest(t, instance, crashingFingerprint)
			} else {
				fingerprint := quarantine.Fingerprint(100 + rapid.IntRange(0, 5).Draw(t, "query"))
				simulation.harmless = append(simulation.harmless, simulation.startRequest(t, instance, fingerprint))
			}
			simulation.run(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		}
		simulation.run(2 * time.Second)
		if simulation.crashes > quarantine.MaxLosses {
			t.Fatalf("%d targets crashed because of one request", simulation.crashes)
		}
		for _, session := range simulation.harmless {
			if session.outcome == nil || session.outcome.Code != result.OK || !session.outcome.Coverage.Complete() {
				t.Fatalf("a harmless request has the outcome %+v, want full coverage", session.outcome)
			}
		}
	})
}
