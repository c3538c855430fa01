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

// simulation joins the machines of entries and holders, with marks that travel between them in time.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	events    eventQueue
	order     int
	trackers  []*quarantine.Tracker // one for each instance
	holders   map[string]*holder.Machine
	downUntil map[string]time.Time
	sessions  map[target.Attempt]*session
	crashes   int
	markDelay time.Duration // of a mark between two instances
	nextID    uint64
	harmless  []*session
}

type scheduledEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []scheduledEvent

func (eventQueue eventQueue) Len() int { return len(eventQueue) }
func (eventQueue eventQueue) Less(i, j int) bool {
	order := cmp.Or(eventQueue[i].at.Compare(eventQueue[j].at), cmp.Compare(eventQueue[i].order, eventQueue[j].order))
	return order < 0
}
func (eventQueue eventQueue) Swap(i, j int) {
	eventQueue[i], eventQueue[j] = eventQueue[j], eventQueue[i]
}
func (eventQueue *eventQueue) Push(x any) { *eventQueue = append(*eventQueue, x.(scheduledEvent)) }
func (eventQueue *eventQueue) Pop() any {
	last := len(*eventQueue) - 1
	popped := (*eventQueue)[last]
	*eventQueue = (*eventQueue)[:last]
	return popped
}

const (
	instanceCount       = 9
	crashingFingerprint = quarantine.Fingerprint(7)
	serviceTime         = 10 * time.Millisecond
	restartTime         = time.Second
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
			machine := holder.New(name, &simulationJudge{simulation, (shard*3 + replica) % instanceCount})
			machine.On(start, holder.Configured{Slots: 5, SlotFraction: 1, QueuePerSlot: 2, RetryAfter: time.Second})
			machine.On(start, holder.Reported{Report: target.Report{State: target.Serving}})
			simulation.holders[name] = machine
			simulation.tick(name)
		}
	}
	return simulation
}

// simulationJudge is the tracker of the holder's instance; its marks travel to the others.
type simulationJudge struct {
	simulation *simulation
	instance   int
}

func (judge *simulationJudge) JudgeFor(now time.Time, fingerprint quarantine.Fingerprint, trust quarantine.Trust) quarantine.Verdict {
	return judge.simulation.trackers[judge.instance].JudgeFor(now, fingerprint, trust)
}

func (judge *simulationJudge) Broke(now time.Time, fingerprint quarantine.Fingerprint, name string) {
	judge.simulation.broadcast(judge.instance, judge.simulation.trackers[judge.instance].RecordCrash(now, fingerprint, name))
}

func (judge *simulationJudge) Passed(now time.Time, fingerprint quarantine.Fingerprint) {
	if mark, ok := judge.simulation.trackers[judge.instance].RecordSuccess(now, fingerprint); ok {
		judge.simulation.broadcast(judge.instance, mark)
	}
}

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

func (simulation *simulation) run(duration time.Duration) {
	end := simulation.now.Add(duration)
	for len(simulation.events) > 0 && !simulation.events[0].at.After(end) {
		next := heap.Pop(&simulation.events).(scheduledEvent)
		simulation.now = next.at
		next.run()
	}
	simulation.now = end
}

func (simulation *simulation) tick(name string) {
	simulation.perform(name, simulation.holders[name].On(simulation.now, holder.Ticked{}))
	simulation.schedule(25*time.Millisecond, func() { simulation.tick(name) })
}

// startRequest starts a request at an instance.
func (simulation *simulation) startRequest(t fataler, instance int, fingerprint quarantine.Fingerprint) *session {
	asked := plan(document.Coverage, document.Search)
	asked.Fingerprint, asked.Deadline = fingerprint, simulation.now.Add(time.Second)
	asked.CrashHistory = simulation.trackers[instance]
	asked.From = fmt.Sprint(instance)
	session := &session{t: t, router: &fakeRouter{pin: asked.Pin, budget: 3, unavailable: map[string]bool{}}, tracker: simulation.trackers[instance]}
	session.machine = New(asked, &orderedRouter{session.router, fingerprint}, func() target.Attempt {
		simulation.nextID++
		var id target.Attempt
		binary.BigEndian.PutUint64(id[:], simulation.nextID)
		return id
	})
	simulation.drive(session, session.machine.Start(simulation.now))
	return session
}

// orderedRouter asks replicas in the order of the fingerprint, as all entries do.
type orderedRouter struct {
	*fakeRouter
	fingerprint quarantine.Fingerprint
}

func (router *orderedRouter) Choose(now time.Time, pin route.Pin, shard int, not []string) (route.Choice, bool) {
	choice, ok := router.fakeRouter.Choose(now, pin, shard, not)
	choice.Holder = member.Member{Name: choice.Target}
	return choice, ok
}

func (simulation *simulation) drive(session *session, actions []Action) {
	session.apply(actions)
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			simulation.sessions[action.Sub.Request.Attempt] = session
			simulation.schedule(time.Millisecond, func() {
				simulation.perform(action.Sub.Target, simulation.holders[action.Sub.Target].On(simulation.now, holder.Offered{Sub: action.Sub}))
			})
		case Cancel:
			simulation.schedule(time.Millisecond, func() {
				simulation.perform(action.Choice.Target, simulation.holders[action.Choice.Target].On(simulation.now, holder.Canceled{Attempt: action.Attempt}))
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

func (simulation *simulation) perform(name string, actions []holder.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case holder.Send:
			simulation.serve(name, action.Sub)
		case holder.Finish:
			session := simulation.sessions[action.Answer.Attempt]
			simulation.schedule(time.Millisecond, func() {
				answered, _ := session.machine.HandleAnswer(simulation.now, action.Answer)
				if action.Answer.Code == result.OK {
					session.tracker.RecordSuccess(simulation.now, session.machine.plan.Fingerprint)
				}
				simulation.drive(session, answered)
			})
		}
	}
}

// serve runs a sub-request at its target; the killer breaks the target and all that runs on it.
func (simulation *simulation) serve(name string, sub holder.Sub) {
	id := sub.Request.Attempt
	fail := func(code result.Code) {
		simulation.perform(name, simulation.holders[name].On(simulation.now, holder.Failed{Attempt: id, Code: code, Ran: code.Ran()}))
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
			simulation.perform(name, simulation.holders[name].On(simulation.now, holder.Replied{Reply: reply}))
		})
	}
}

// TestCrashingRequestLosesTwoTargets resends one crashing request through all instances amid others.
func TestCrashingRequestLosesTwoTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := time.Duration(rapid.IntRange(1, 100).Draw(t, "mark_delay_ms")) * time.Millisecond
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), delay)
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			instance := rapid.IntRange(0, instanceCount-1).Draw(t, "instance")
			if rapid.Bool().Draw(t, "crashes") {
				simulation.startRequest(t, instance, crashingFingerprint)
			} else {
				print := quarantine.Fingerprint(100 + rapid.IntRange(0, 5).Draw(t, "query"))
				simulation.harmless = append(simulation.harmless, simulation.startRequest(t, instance, print))
			}
			simulation.run(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		}
		simulation.run(2 * time.Second)
		if simulation.crashes > quarantine.MaxLosses {
			t.Fatalf("%d targets were lost to one request", simulation.crashes)
		}
		for _, session := range simulation.harmless {
			if session.outcome == nil || session.outcome.Code != result.OK || !session.outcome.Coverage.Whole() {
				t.Fatalf("an innocent request ended as %+v", session.outcome)
			}
		}
	})
}
