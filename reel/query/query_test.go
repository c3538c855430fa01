package query

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/result"
)

const ms = time.Millisecond

const quarantineTime = time.Hour

var epoch = time.Unix(1_700_000_000, 0)

func at(milliseconds int) time.Time {
	return epoch.Add(time.Duration(milliseconds) * ms)
}

// session drives one machine and collects its actions.
type session struct {
	t       *testing.T
	machine *Machine
	router  *router
	sends   []Send
	finish  *Finish
}

// newSession returns a session of a request with its soft deadline at 190 ms and its deadline at 1200 ms.
func newSession(t *testing.T, route catalogue.Route) *session {
	t.Helper()
	session := &session{t: t, router: &router{budget: 100, requests: map[string]int{}, quiet: map[string]time.Duration{}}}
	route.Goal = 200 * ms
	plan := Plan{Route: &route, Services: route.ServiceNames(), Start: epoch, SoftDeadline: at(190), Deadline: at(1200)}
	attemptID := uint64(0)
	session.machine = New(plan, session.router, func() uint64 { attemptID++; return attemptID })
	return session
}

// scatterGather returns a route over the given number of shards with the given least share.
func scatterGather(shards int, least float64) catalogue.Route {
	route := catalogue.Route{Name: "menus", Idempotent: true, Attempts: 2, Top: 2, LeastShare: least}
	for i := range shards {
		route.Shards = append(route.Shards, fmt.Sprintf("shard-%d", i))
	}
	return route
}

// single returns a route to one service.
func single(idempotent bool) catalogue.Route {
	return catalogue.Route{Name: "audit", Idempotent: idempotent, Attempts: 2, Service: "desk"}
}

func (session *session) collect(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			session.sends = append(session.sends, action)
		case Finish:
			if session.finish != nil {
				session.t.Fatal("the machine ended the request twice")
			}
			session.finish = &action
		}
	}
}

func (session *session) begin() { session.collect(session.machine.Begin(at(0))) }

func (session *session) wake(milliseconds int) {
	session.collect(session.machine.Wake(at(milliseconds)))
}

func (session *session) answer(milliseconds int, send Send, answer Answer) {
	answer.AttemptID = send.AttemptID
	actions, _ := session.machine.HandleAnswer(at(milliseconds), &answer)
	session.collect(actions)
}

// succeed answers all given sends with success, except those at the indexes in except.
func (session *session) succeed(milliseconds int, sends []Send, except ...int) {
	for i, send := range sends {
		if !slices.Contains(except, i) {
			session.answer(milliseconds, send, success(send))
		}
	}
}

func success(send Send) Answer {
	return Answer{Execution: Ran, Sent: true, Status: 200, Signature: "signature-" + send.Service}
}

// Answers of attempts that did not succeed.
var (
	refused    = Answer{Execution: NotRun, Sent: true, Status: 503}
	unanswered = Answer{Execution: MayHaveRun, Sent: true}
	unsent     = Answer{Execution: NotRun}
	broken     = Answer{Execution: Ran, Sent: true, Status: 500, Signature: "signature"}
)

func (session *session) assertEnd(code result.Code) {
	session.t.Helper()
	if session.finish == nil {
		session.t.Fatalf("the request has not ended, want %v", code)
	}
	if session.finish.Code != code {
		session.t.Fatalf("the request ended with %v (%s), want %v", session.finish.Code, session.finish.Reason, code)
	}
}

func (session *session) assertOpen() {
	session.t.Helper()
	if session.finish != nil {
		session.t.Fatalf("the request ended early with %v (%s)", session.finish.Code, session.finish.Reason)
	}
}

func (session *session) assertSends(count int) {
	session.t.Helper()
	if len(session.sends) != count {
		session.t.Fatalf("%d attempts were sent, want %d", len(session.sends), count)
	}
}

func TestScatterGather(t *testing.T) {
	t.Run("ends as soon as all shards have answered", func(t *testing.T) {
		session := newSession(t, scatterGather(10, 0.89))
		session.begin()
		session.assertSends(10)
		session.succeed(30, session.sends)
		session.assertEnd(result.OK)
		if len(session.finish.Signatures) != 10 || session.finish.Missing != 0 {
			t.Errorf("%d signatures and %d missing shards, want 10 and 0", len(session.finish.Signatures), session.finish.Missing)
		}
	})
	t.Run("waits for a slow shard until the soft deadline and reports it as missing", func(t *testing.T) {
		session := newSession(t, scatterGather(10, 0.89))
		session.router.budget = 0
		session.begin()
		session.succeed(30, session.sends, 3)
		session.wake(189)
		session.assertOpen()
		session.wake(190)
		session.assertEnd(result.Partial)
		if session.finish.Missing != 1 {
			t.Errorf("%d missing shards, want 1", session.finish.Missing)
		}
	})
	t.Run("waits beyond the soft deadline while below the least share", func(t *testing.T) {
		session := newSession(t, scatterGather(10, 0.89))
		session.router.budget = 0
		session.begin()
		session.succeed(30, session.sends, 3, 4)
		session.wake(300)
		session.assertOpen()
		session.answer(310, session.sends[3], success(session.sends[3]))
		session.assertEnd(result.Partial)
	})
	t.Run("hedges a slow shard once, with another target", func(t *testing.T) {
		session := newSession(t, scatterGather(10, 0.89))
		session.begin()
		session.succeed(30, session.sends, 3)
		session.wake(170)
		session.assertSends(11)
		if session.sends[10].Service != "shard-3" || session.sends[10].Pick.Target.ID == session.sends[3].Pick.Target.ID {
			t.Errorf("the hedge went to target %s of %s, want another target of shard-3", session.sends[10].Pick.Target.ID, session.sends[10].Service)
		}
		session.wake(185)
		session.assertSends(11)
		session.answer(188, session.sends[10], success(session.sends[10]))
		session.assertEnd(result.OK)
	})
	t.Run("fails at once when too few shards can answer", func(t *testing.T) {
		session := newSession(t, scatterGather(2, 1))
		session.router.budget = 0
		session.begin()
		session.answer(5, session.sends[0], unanswered)
		session.assertEnd(result.Uncovered)
	})
	t.Run("is not reported as not run while another shard has an attempt in flight", func(t *testing.T) {
		session := newSession(t, scatterGather(2, 1))
		session.router.budget = 0
		session.begin()
		session.answer(5, session.sends[0], refused)
		session.assertEnd(result.Uncovered)
	})
	t.Run("sends a shard at most the allowed number of attempts", func(t *testing.T) {
		session := newSession(t, scatterGather(1, 1))
		session.begin()
		session.answer(5, session.sends[0], unanswered)
		session.answer(10, session.sends[1], unanswered)
		session.assertSends(2)
		session.assertEnd(result.Uncovered)
	})
	t.Run("waits for free capacity and reports no target only if nothing was sent", func(t *testing.T) {
		session := newSession(t, scatterGather(2, 1))
		session.router.full = true
		session.begin()
		session.assertOpen()
		session.wake(190)
		session.assertEnd(result.NoTarget)
	})
}

func TestSingle(t *testing.T) {
	t.Run("a non-idempotent request that may have run is not retried", func(t *testing.T) {
		session := newSession(t, single(false))
		session.begin()
		session.answer(5, session.sends[0], unanswered)
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
	t.Run("a non-idempotent request that targets refuse is retried at other targets", func(t *testing.T) {
		session := newSession(t, single(false))
		session.begin()
		session.answer(5, session.sends[0], refused)
		session.answer(10, session.sends[1], refused)
		session.answer(15, session.sends[2], success(session.sends[2]))
		session.assertEnd(result.OK)
	})
	t.Run("a request that every target refuses fails before the soft deadline", func(t *testing.T) {
		session := newSession(t, single(false))
		session.begin()
		for i := range 3 {
			session.answer(5+i, session.sends[i], refused)
		}
		session.router.full = true
		session.wake(48)
		session.assertEnd(result.NoTarget)
		if session.finish.RetryAfter <= 0 {
			t.Error("the refusal has no Retry-After")
		}
	})
	t.Run("a retry after an attempt that was never sent costs no budget", func(t *testing.T) {
		session := newSession(t, single(true))
		session.router.budget = 0
		session.begin()
		session.answer(5, session.sends[0], unsent)
		session.assertSends(2)
	})
	t.Run("the error of a target is passed on when no attempt is left", func(t *testing.T) {
		session := newSession(t, single(true))
		session.begin()
		session.answer(5, session.sends[0], broken)
		session.answer(9, session.sends[1], broken)
		session.assertEnd(result.Relayed)
	})
}

// TestUnavailableServices checks that a request spends no attempts on services that cannot be used. A service has no
// target when all targets of a shard have crashed, or when the configuration names new shards before they run.
func TestUnavailableServices(t *testing.T) {
	t.Run("a request to a service without a target is refused at once, with nothing sent", func(t *testing.T) {
		session := newSession(t, single(true))
		session.router.empty = []string{"desk"}
		session.begin()
		session.assertSends(0)
		session.assertEnd(result.NoTarget)
		if session.finish.RetryAfter <= 0 {
			t.Error("the refusal has no Retry-After")
		}
	})
	t.Run("nothing is sent when too few shards have a target", func(t *testing.T) {
		session := newSession(t, scatterGather(10, 0.89))
		session.router.empty = []string{"shard-1", "shard-2"}
		session.begin()
		session.assertSends(0)
		session.assertEnd(result.NoTarget)
	})
	t.Run("a shard without a target is not waited for", func(t *testing.T) {
		session := newSession(t, scatterGather(10, 0.89))
		session.router.empty = []string{"shard-4"}
		session.begin()
		session.assertSends(9)
		session.succeed(30, session.sends)
		session.assertEnd(result.Partial)
		if session.finish.Missing != 1 || session.router.requests["shard-4"] != 0 {
			t.Errorf("%d missing shards, %d requests counted for the shard without a target, want 1 and 0", session.finish.Missing, session.router.requests["shard-4"])
		}
	})
	t.Run("a request that waits for free capacity is refused when the last target disappears", func(t *testing.T) {
		session := newSession(t, single(true))
		session.router.full = true
		session.begin()
		session.assertOpen()
		session.router.empty = []string{"desk"}
		session.wake(10)
		session.assertEnd(result.NoTarget)
	})
	t.Run("nothing is sent to any shard when too many shards are saturated", func(t *testing.T) {
		session := newSession(t, scatterGather(10, 0.89))
		session.router.saturated = []string{"shard-1", "shard-2"}
		session.begin()
		session.assertSends(0)
		session.assertEnd(result.NoTarget)
		if session.finish.RetryAfter != 2*time.Second {
			t.Errorf("Retry-After is %v, want the time for which the shards have been saturated", session.finish.RetryAfter)
		}
	})
	t.Run("a request that tolerates saturated shards ends as soon as the other shards have answered", func(t *testing.T) {
		session := newSession(t, scatterGather(10, 0.75))
		session.router.saturated = []string{"shard-1", "shard-2"}
		session.begin()
		session.assertSends(8)
		session.succeed(30, session.sends)
		session.assertEnd(result.Partial)
	})
	t.Run("a request is refused at once while all targets want no requests, with the time to come back", func(t *testing.T) {
		session := newSession(t, single(true))
		session.router.quiet["desk"] = 700 * time.Millisecond
		session.begin()
		session.assertSends(0)
		session.assertEnd(result.NoTarget)
		if session.finish.RetryAfter != 700*time.Millisecond {
			t.Errorf("Retry-After is %v, want the time until a target takes requests", session.finish.RetryAfter)
		}
	})
	t.Run("shards whose targets want no requests are not waited for", func(t *testing.T) {
		session := newSession(t, scatterGather(10, 0.75))
		session.router.quiet["shard-1"], session.router.quiet["shard-2"] = time.Second, time.Hour
		session.begin()
		session.assertSends(8)
		session.succeed(30, session.sends)
		session.assertEnd(result.Partial)
	})
	t.Run("a short wish for no requests is waited for", func(t *testing.T) {
		session := newSession(t, scatterGather(10, 1))
		session.router.quiet["shard-1"] = 30 * time.Millisecond
		session.begin()
		session.assertOpen()
		delete(session.router.quiet, "shard-1")
		session.wake(40)
		session.assertSends(10)
	})
	t.Run("a request whose last target asks for quiet while it refuses is refused at once", func(t *testing.T) {
		session := newSession(t, single(true))
		session.begin()
		session.router.quiet["desk"] = 2 * time.Second
		session.answer(10, session.sends[0], refused)
		session.assertEnd(result.NoTarget)
		if session.finish.RetryAfter != 2*time.Second {
			t.Errorf("Retry-After is %v, want the time until a target takes requests", session.finish.RetryAfter)
		}
	})
	t.Run("a wait for free capacity that times out is recorded", func(t *testing.T) {
		session := newSession(t, single(true))
		session.router.full = true
		session.begin()
		session.wake(48)
		if !slices.Equal(session.router.timedOut, []string{"desk"}) {
			t.Errorf("timeouts were recorded for %v, want desk only", session.router.timedOut)
		}
	})
	t.Run("nothing is sent for a request whose deadline has passed", func(t *testing.T) {
		session := newSession(t, single(true))
		session.collect(session.machine.Begin(at(1196)))
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
