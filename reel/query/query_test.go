package query

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/choice"
	"shallotreel.example/reel/extra"
	"shallotreel.example/reel/result"
)

const ms = time.Millisecond

var epoch = time.Unix(1_700_000_000, 0)

func at(milliseconds int) time.Time {
	return epoch.Add(time.Duration(milliseconds) * ms)
}

// router offers three targets of each service.
type router struct {
	full   bool
	empty  []string // services without a registered target
	scarce []string // services whose targets have no room, as for most requests before
	budget int
	vain   []string // services for which a request waited in vain
	firsts map[string]int
	spent  int
}

func (router *router) Choose(_ time.Time, _ *catalogue.Route, service string, tried []string) (choice.Pick, bool) {
	for i := range 3 {
		id := fmt.Sprintf("%s/%d", service, i)
		if !router.full && router.Serves(service) && !slices.Contains(router.scarce, service) && !slices.Contains(tried, id) {
			return choice.Pick{Target: catalogue.Target{ID: id, Address: netip.AddrPort{}}}, true
		}
	}
	return choice.Pick{}, false
}

func (router *router) Serves(service string) bool { return !slices.Contains(router.empty, service) }

func (router *router) Scarce(_ time.Time, service string) (time.Duration, bool) {
	return 2 * time.Second, slices.Contains(router.scarce, service)
}

func (router *router) Waited(_ time.Time, service string, inVain bool) {
	if inVain {
		router.vain = append(router.vain, service)
	}
}

func (router *router) First(_ time.Time, service string) { router.firsts[service]++ }

func (router *router) Spend(time.Time, string, extra.Purpose) bool {
	if router.spent >= router.budget {
		return false
	}
	router.spent++
	return true
}

func (router *router) Usual(*catalogue.Route, float64) time.Duration { return 20 * ms }

// session drives one machine.
type session struct {
	t       *testing.T
	machine *Machine
	router  *router
	sends   []Send
	finish  *Finish
}

func newSession(t *testing.T, route catalogue.Route) *session {
	t.Helper()
	session := &session{t: t, router: &router{budget: 100, firsts: map[string]int{}}}
	route.Goal = 200 * ms
	plan := Plan{Route: &route, Services: route.ServiceNames(), Begun: epoch, Goal: at(190), Deadline: at(1200)}
	serial := uint64(0)
	session.machine = New(plan, session.router, func() uint64 { serial++; return serial })
	return session
}

func gathered(shards int, least float64) catalogue.Route {
	route := catalogue.Route{Name: "menus", Idempotent: true, Attempts: 2, Top: 2, LeastShare: least}
	for i := range shards {
		route.Shards = append(route.Shards, fmt.Sprintf("shard-%d", i))
	}
	return route
}

func single(idempotent bool) catalogue.Route {
	return catalogue.Route{Name: "audit", Idempotent: idempotent, Attempts: 2, Service: "desk"}
}

func (session *session) take(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			session.sends = append(session.sends, action)
		case Finish:
			if session.finish != nil {
				session.t.Fatal("the request ended twice")
			}
			session.finish = &action
		}
	}
}

func (session *session) begin() { session.take(session.machine.Begin(at(0))) }

func (session *session) wake(milliseconds int) { session.take(session.machine.Wake(at(milliseconds))) }

func (session *session) answer(milliseconds int, send Send, answer Answer) {
	answer.Serial = send.Serial
	actions, _ := session.machine.Answered(at(milliseconds), &answer)
	session.take(actions)
}

// success answers all open sends but the excepted ones.
func (session *session) succeed(milliseconds int, sends []Send, except ...int) {
	for i, send := range sends {
		if !slices.Contains(except, i) {
			session.answer(milliseconds, send, good(send))
		}
	}
}

func good(send Send) Answer {
	return Answer{Fate: Ran, Sent: true, Status: 200, Stamp: "stamp-" + send.Service}
}

var (
	refused = Answer{Fate: NotRun, Sent: true, Status: 503}
	lost    = Answer{Fate: MayHaveRun, Sent: true}
	unsent  = Answer{Fate: NotRun}
	broken  = Answer{Fate: Ran, Sent: true, Status: 500, Stamp: "stamp"}
)

func (session *session) assertEnd(code result.Code) {
	session.t.Helper()
	if session.finish == nil {
		session.t.Fatalf("the request goes on, want %v", code)
	}
	if session.finish.Code != code {
		session.t.Fatalf("ended with %v (%s), want %v", session.finish.Code, session.finish.Reason, code)
	}
}

func (session *session) assertOpen() {
	session.t.Helper()
	if session.finish != nil {
		session.t.Fatalf("ended with %v (%s)", session.finish.Code, session.finish.Reason)
	}
}

func (session *session) assertSends(count int) {
	session.t.Helper()
	if len(session.sends) != count {
		session.t.Fatalf("%d attempts, want %d", len(session.sends), count)
	}
}

func TestGathered(t *testing.T) {
	t.Run("ends as soon as all shards are in", func(t *testing.T) {
		session := newSession(t, gathered(10, 0.89))
		session.begin()
		session.assertSends(10)
		session.succeed(30, session.sends)
		session.assertEnd(result.OK)
		if len(session.finish.Parts) != 10 || session.finish.Missing != 0 {
			t.Errorf("%d parts, %d missing", len(session.finish.Parts), session.finish.Missing)
		}
	})
	t.Run("waits for a late shard until the goal and says that it is missing", func(t *testing.T) {
		session := newSession(t, gathered(10, 0.89))
		session.router.budget = 0
		session.begin()
		session.succeed(30, session.sends, 3)
		session.wake(189)
		session.assertOpen()
		session.wake(190)
		session.assertEnd(result.Partial)
		if session.finish.Missing != 1 {
			t.Errorf("%d missing, want 1", session.finish.Missing)
		}
	})
	t.Run("goes on beyond the goal below the least share", func(t *testing.T) {
		session := newSession(t, gathered(10, 0.89))
		session.router.budget = 0
		session.begin()
		session.succeed(30, session.sends, 3, 4)
		session.wake(300)
		session.assertOpen()
		session.answer(310, session.sends[3], good(session.sends[3]))
		session.assertEnd(result.Partial)
	})
	t.Run("asks a second target of a shard that pauses, once", func(t *testing.T) {
		session := newSession(t, gathered(10, 0.89))
		session.begin()
		session.succeed(30, session.sends, 3)
		session.wake(170)
		session.assertSends(11)
		if session.sends[10].Service != "shard-3" || session.sends[10].Pick.Target.ID == session.sends[3].Pick.Target.ID {
			t.Errorf("asked %s of %s", session.sends[10].Pick.Target.ID, session.sends[10].Service)
		}
		session.wake(185)
		session.assertSends(11)
		session.answer(188, session.sends[10], good(session.sends[10]))
		session.assertEnd(result.OK)
	})
	t.Run("ends at once when too few shards can answer", func(t *testing.T) {
		session := newSession(t, gathered(2, 1))
		session.router.budget = 0
		session.begin()
		session.answer(5, session.sends[0], lost)
		session.assertEnd(result.Uncovered)
	})
	t.Run("is not called unrun while an attempt may run", func(t *testing.T) {
		session := newSession(t, gathered(2, 1))
		session.router.budget = 0
		session.begin()
		session.answer(5, session.sends[0], refused)
		session.assertEnd(result.Uncovered)
	})
	t.Run("at most the allowed attempts run for a shard", func(t *testing.T) {
		session := newSession(t, gathered(1, 1))
		session.begin()
		session.answer(5, session.sends[0], lost)
		session.answer(10, session.sends[1], lost)
		session.assertSends(2)
		session.assertEnd(result.Uncovered)
	})
	t.Run("waits for room and refuses only what was never sent", func(t *testing.T) {
		session := newSession(t, gathered(2, 1))
		session.router.full = true
		session.begin()
		session.assertOpen()
		session.wake(190)
		session.assertEnd(result.NoTarget)
	})
}

func TestSingle(t *testing.T) {
	t.Run("a non-idempotent request that may have run is not sent again", func(t *testing.T) {
		session := newSession(t, single(false))
		session.begin()
		session.answer(5, session.sends[0], lost)
		session.assertSends(1)
		session.assertEnd(result.Broken)
	})
	t.Run("a non-idempotent request is never hedged", func(t *testing.T) {
		session := newSession(t, single(false))
		session.begin()
		session.wake(1000)
		session.assertSends(1)
		session.assertOpen()
		session.wake(1195)
		session.assertEnd(result.DeadlineExceeded)
	})
	t.Run("a refused one goes on to other targets", func(t *testing.T) {
		session := newSession(t, single(false))
		session.begin()
		session.answer(5, session.sends[0], refused)
		session.answer(10, session.sends[1], refused)
		session.answer(15, session.sends[2], good(session.sends[2]))
		session.assertEnd(result.OK)
	})
	t.Run("one that no target takes is refused soon", func(t *testing.T) {
		session := newSession(t, single(false))
		session.begin()
		for i := range 3 {
			session.answer(5+i, session.sends[i], refused)
		}
		session.router.full = true
		session.wake(48)
		session.assertEnd(result.NoTarget)
		if session.finish.RetryAfter <= 0 {
			t.Error("it does not say when to come back")
		}
	})
	t.Run("an attempt that was never sent costs no extra arrival", func(t *testing.T) {
		session := newSession(t, single(true))
		session.router.budget = 0
		session.begin()
		session.answer(5, session.sends[0], unsent)
		session.assertSends(2)
	})
	t.Run("a target's failure is passed on when no other target is left", func(t *testing.T) {
		session := newSession(t, single(true))
		session.begin()
		session.answer(5, session.sends[0], broken)
		session.answer(9, session.sends[1], broken)
		session.assertEnd(result.Relayed)
	})
}

// Services without a target: all of a shard's targets crashed, or a new set of shards is named before it runs.
func TestHopeless(t *testing.T) {
	t.Run("a service without a target refuses at once, unsent", func(t *testing.T) {
		session := newSession(t, single(true))
		session.router.empty = []string{"desk"}
		session.begin()
		session.assertSends(0)
		session.assertEnd(result.NoTarget)
		if session.finish.RetryAfter <= 0 {
			t.Error("it does not say when to come back")
		}
	})
	t.Run("too few shards with a target: nothing is sent", func(t *testing.T) {
		session := newSession(t, gathered(10, 0.89))
		session.router.empty = []string{"shard-1", "shard-2"}
		session.begin()
		session.assertSends(0)
		session.assertEnd(result.NoTarget)
	})
	t.Run("a shard without a target is not waited for", func(t *testing.T) {
		session := newSession(t, gathered(10, 0.89))
		session.router.empty = []string{"shard-4"}
		session.begin()
		session.assertSends(9)
		session.succeed(30, session.sends)
		session.assertEnd(result.Partial)
		if session.finish.Missing != 1 || session.router.firsts["shard-4"] != 0 {
			t.Errorf("%d missing, %d arrivals counted", session.finish.Missing, session.router.firsts["shard-4"])
		}
	})
	t.Run("the last target goes while the request waits for room", func(t *testing.T) {
		session := newSession(t, single(true))
		session.router.full = true
		session.begin()
		session.assertOpen()
		session.router.empty = []string{"desk"}
		session.wake(10)
		session.assertEnd(result.NoTarget)
	})
	t.Run("shards for whose few slow targets most wait in vain are not asked, and waste nothing of the others", func(t *testing.T) {
		session := newSession(t, gathered(10, 0.89))
		session.router.scarce = []string{"shard-1", "shard-2"}
		session.begin()
		session.assertSends(0)
		session.assertEnd(result.NoTarget)
		if session.finish.RetryAfter != 2*time.Second {
			t.Errorf("come back after %v, want as long as it has lasted", session.finish.RetryAfter)
		}
	})
	t.Run("a kind that may miss them is answered as soon as the others are in", func(t *testing.T) {
		session := newSession(t, gathered(10, 0.75))
		session.router.scarce = []string{"shard-1", "shard-2"}
		session.begin()
		session.assertSends(8)
		session.succeed(30, session.sends)
		session.assertEnd(result.Partial)
	})
	t.Run("waiting in vain is noted", func(t *testing.T) {
		session := newSession(t, single(true))
		session.router.full = true
		session.begin()
		session.wake(48)
		if !slices.Equal(session.router.vain, []string{"desk"}) {
			t.Errorf("noted %v", session.router.vain)
		}
	})
	t.Run("a caller whose time is over costs no target anything", func(t *testing.T) {
		session := newSession(t, single(true))
		session.take(session.machine.Begin(at(1196)))
		session.assertSends(0)
		session.assertEnd(result.NoTarget)
	})
}

func TestMerge(t *testing.T) {
	record := func(first byte) []byte {
		record := make([]byte, RecordSize)
		record[0] = first
		return record
	}
	one := slices.Concat(record(3), record(9), []byte{255, 255})
	two := slices.Concat(record(9), record(1))
	got := Merge([][]byte{one, two}, 3)
	if want := slices.Concat(record(9), record(9), record(3)); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := Merge([][]byte{one}, 5); len(got) != 2*RecordSize {
		t.Errorf("%d bytes, want two records", len(got))
	}
}
