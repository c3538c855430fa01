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

// world joins the machines of entries and holders, with marks that travel between them in time.
type world struct {
	now       time.Time
	random    *rand.Rand
	events    timeline
	order     int
	books     []*quarantine.Book // one for each instance
	holders   map[string]*holder.Machine
	downTill  map[string]time.Time
	entries   map[target.Attempt]*session
	losses    int
	delay     time.Duration // of a mark between two instances
	nextID    uint64
	innocents []*session
}

type happening struct {
	at    time.Time
	order int
	run   func()
}

type timeline []happening

func (timeline timeline) Len() int { return len(timeline) }
func (timeline timeline) Less(i, j int) bool {
	order := cmp.Or(timeline[i].at.Compare(timeline[j].at), cmp.Compare(timeline[i].order, timeline[j].order))
	return order < 0
}
func (timeline timeline) Swap(i, j int) { timeline[i], timeline[j] = timeline[j], timeline[i] }
func (timeline *timeline) Push(x any)   { *timeline = append(*timeline, x.(happening)) }
func (timeline *timeline) Pop() any {
	last := len(*timeline) - 1
	popped := (*timeline)[last]
	*timeline = (*timeline)[:last]
	return popped
}

const (
	worldInstances = 9
	killer         = quarantine.Fingerprint(7)
	service        = 10 * time.Millisecond
	restart        = time.Second
)

func newWorld(seed uint64, delay time.Duration) *world {
	world := &world{now: start, random: rand.New(rand.NewPCG(seed, 4)), holders: map[string]*holder.Machine{},
		downTill: map[string]time.Time{}, entries: map[target.Attempt]*session{}, delay: delay}
	for range worldInstances {
		world.books = append(world.books, &quarantine.Book{})
	}
	for shard := range 4 {
		for replica := range 3 {
			name := fmt.Sprintf("s/%d/%d", shard+1, replica+1)
			machine := holder.New(name, &worldJudge{world, (shard*3 + replica) % worldInstances})
			machine.Handle(start, holder.Configured{Slots: 5, SlotFraction: 1, QueuePerSlot: 2, RetryAfter: time.Second})
			machine.Handle(start, holder.Reported{Report: target.Report{State: target.Serving}})
			world.holders[name] = machine
			world.tick(name)
		}
	}
	return world
}

// worldJudge is the book of the holder's instance; its marks travel to the others.
type worldJudge struct {
	world    *world
	instance int
}

func (judge *worldJudge) JudgeFor(now time.Time, fingerprint quarantine.Fingerprint, trust quarantine.Trust) quarantine.Verdict {
	return judge.world.books[judge.instance].JudgeFor(now, fingerprint, trust)
}

func (judge *worldJudge) RecordCrash(now time.Time, fingerprint quarantine.Fingerprint, name string) {
	judge.world.tell(judge.instance, judge.world.books[judge.instance].Broke(now, fingerprint, name))
}

func (judge *worldJudge) RecordSuccess(now time.Time, fingerprint quarantine.Fingerprint) {
	if mark, ok := judge.world.books[judge.instance].Passed(now, fingerprint); ok {
		judge.world.tell(judge.instance, mark)
	}
}

func (world *world) tell(from int, mark quarantine.Mark) {
	for to := range world.books {
		if to != from {
			delay := time.Duration(world.random.Int64N(int64(world.delay)) + 1)
			world.after(delay, func() { world.books[to].Merge(world.now, mark) })
		}
	}
}

func (world *world) after(delay time.Duration, run func()) {
	world.order++
	heap.Push(&world.events, happening{world.now.Add(delay), world.order, run})
}

func (world *world) run(duration time.Duration) {
	end := world.now.Add(duration)
	for len(world.events) > 0 && !world.events[0].at.After(end) {
		next := heap.Pop(&world.events).(happening)
		world.now = next.at
		next.run()
	}
	world.now = end
}

func (world *world) tick(name string) {
	world.perform(name, world.holders[name].Handle(world.now, holder.Ticked{}))
	world.after(25*time.Millisecond, func() { world.tick(name) })
}

// ask starts a request at an instance.
func (world *world) ask(t fataler, instance int, fingerprint quarantine.Fingerprint) *session {
	asked := plan(document.Coverage, document.Search)
	asked.Fingerprint, asked.Deadline = fingerprint, world.now.Add(time.Second)
	asked.Marks = world.books[instance]
	asked.From = fmt.Sprint(instance)
	session := &session{t: t, router: &fakeRouter{pin: asked.Pin, budget: 3, gone: map[string]bool{}}, book: world.books[instance]}
	session.machine = New(asked, &orderedRouter{session.router, fingerprint}, func() target.Attempt {
		world.nextID++
		var id target.Attempt
		binary.BigEndian.PutUint64(id[:], world.nextID)
		return id
	})
	world.drive(session, session.machine.Begin(world.now))
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

func (world *world) drive(session *session, actions []Action) {
	session.take(actions)
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			world.entries[action.Sub.Request.Attempt] = session
			world.after(time.Millisecond, func() {
				world.perform(action.Sub.Target, world.holders[action.Sub.Target].Handle(world.now, holder.Offered{Sub: action.Sub}))
			})
		case Cancel:
			world.after(time.Millisecond, func() {
				world.perform(action.Choice.Target, world.holders[action.Choice.Target].Handle(world.now, holder.Canceled{Attempt: action.Attempt}))
			})
		}
	}
	if session.outcome == nil {
		wake := max(session.machine.NextWake().Sub(world.now), time.Millisecond)
		world.after(wake, func() {
			if session.outcome == nil {
				world.drive(session, session.machine.Wake(world.now))
			}
		})
	}
}

func (world *world) perform(name string, actions []holder.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case holder.Send:
			world.serve(name, action.Sub)
		case holder.Finish:
			session := world.entries[action.Answer.Attempt]
			world.after(time.Millisecond, func() {
				answered, _ := session.machine.Answered(world.now, action.Answer)
				if action.Answer.Code == result.OK {
					session.book.Passed(world.now, session.machine.plan.Fingerprint)
				}
				world.drive(session, answered)
			})
		}
	}
}

// serve runs a sub-request at its target; the killer breaks the target and all that runs on it.
func (world *world) serve(name string, sub holder.SubRequest) {
	id := sub.Request.Attempt
	fail := func(code result.Code) {
		world.perform(name, world.holders[name].Handle(world.now, holder.Failed{Attempt: id, Code: code, Ran: code.Ran()}))
	}
	switch {
	case world.now.Before(world.downTill[name]):
		world.after(time.Millisecond, func() { fail(result.ConnectRefused) })
	case sub.Fingerprint == killer:
		world.losses++
		world.downTill[name] = world.now.Add(restart)
		world.after(time.Millisecond, func() { fail(result.Broken) })
	default:
		world.after(service, func() {
			if world.now.Before(world.downTill[name]) {
				fail(result.Broken)
				return
			}
			reply := target.Reply{Attempt: id, Snapshot: sub.Request.Snapshot, Range: sub.Request.Range}
			world.perform(name, world.holders[name].Handle(world.now, holder.Replied{Reply: reply}))
		})
	}
}

// TestCrashingRequestLosesTwoTargets resends one crashing request through all instances amid others.
func TestCrashingRequestLosesTwoTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := time.Duration(rapid.IntRange(1, 100).Draw(t, "mark_delay_ms")) * time.Millisecond
		world := newWorld(rapid.Uint64().Draw(t, "seed"), delay)
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			instance := rapid.IntRange(0, worldInstances-1).Draw(t, "instance")
			if rapid.Bool().Draw(t, "crashes") {
				world.ask(t, instance, killer)
			} else {
				print := quarantine.Fingerprint(100 + rapid.IntRange(0, 5).Draw(t, "query"))
				world.innocents = append(world.innocents, world.ask(t, instance, print))
			}
			world.run(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		}
		world.run(2 * time.Second)
		if world.losses > quarantine.MaxLosses {
			t.Fatalf("%d targets were lost to one request", world.losses)
		}
		for _, session := range world.innocents {
			if session.outcome == nil || session.outcome.Code != result.OK || !session.outcome.Coverage.Complete() {
				t.Fatalf("an innocent request ended as %+v", session.outcome)
			}
		}
	})
}
