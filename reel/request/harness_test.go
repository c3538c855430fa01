package request

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/route"
	"shallotreel.example/reel/target"
)

var start = time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// fakeRouter offers three replicas of each shard, in order.
type fakeRouter struct {
	pin      route.Pin
	newer    route.Pin
	budget   int
	inFlight int
	gone     map[string]bool // targets that no longer serve the pinned snapshot
}

func (router *fakeRouter) Choose(_ time.Time, pin route.Pin, shard int, not []string) (route.Choice, bool) {
	for replica := range 3 {
		name := fmt.Sprintf("s/%d/%d", shard+1, replica+1)
		if !slices.Contains(not, name) && !(router.gone[name] && pin.Snapshot == router.pin.Snapshot && pin.Map == router.pin.Map) {
			return route.Choice{Target: name, Holder: member.Member{Name: "h"}}, true
		}
	}
	return route.Choice{}, false
}

func (router *fakeRouter) ChooseFor(now time.Time, pin route.Pin, shard int, _ quarantine.Fingerprint, not []string) (route.Choice, bool) {
	return router.Choose(now, pin, shard, not)
}

func (router *fakeRouter) HedgeDelay(time.Time, route.Shard, float64) time.Duration {
	return 50 * time.Millisecond
}
func (router *fakeRouter) Started(string, bool, float64) { router.inFlight++ }
func (router *fakeRouter) Ended(time.Time, route.Shard, holder.Answer, time.Duration) {
	router.inFlight--
}
func (router *fakeRouter) AvoidHolder(time.Time, string) {}
func (router *fakeRouter) Spend() bool {
	router.budget--
	return router.budget >= 0
}

func (router *fakeRouter) Pin(time.Time) (route.Pin, bool) {
	if router.newer.Snapshot != 0 {
		return router.newer, true
	}
	return router.pin, true
}

func pinOf(snapshot uint64, shards int) route.Pin {
	pin := route.Pin{Snapshot: snapshot, Map: 1}
	width := coverage.KeySpace / uint64(shards)
	for i := range shards {
		pin.Shards = append(pin.Shards, route.Shard{Name: fmt.Sprintf("s/%d", i+1),
			Range: coverage.Range{From: uint64(i) * width, To: uint64(i+1) * width}})
	}
	pin.Shards[shards-1].Range.To = coverage.KeySpace
	return pin
}

// fataler is what tests of both kinds have.
type fataler interface {
	Fatalf(format string, args ...any)
}

// session drives one machine and keeps what it sent.
type session struct {
	t        fataler
	machine  *Machine
	router   *fakeRouter
	book     *quarantine.Book
	sent     []holder.SubRequest
	whys     []Why
	canceled []target.Attempt
	outcome  *Outcome
}

func plan(rule document.Rule, operation document.Operation) Plan {
	return Plan{RequestID: "r", From: "e", Query: "q", Fingerprint: 7, Pin: pinOf(41, 4), Deadline: at(1000),
		Kind: document.Kind{Name: "k", Operation: operation, Weight: 1, Deadline: document.Duration(time.Second),
			Rule: rule, Patience: document.Duration(150 * time.Millisecond), Repeatable: operation != document.Record},
		Preset: document.Preset{HedgeQuantile: 0.95, ExtraLoad: 0.05, Canary: true}}
}

func begin(t fataler, plan Plan, trusted bool) *session {
	session := &session{t: t, router: &fakeRouter{pin: plan.Pin, budget: 10, gone: map[string]bool{}}, book: &quarantine.Book{}}
	if trusted {
		session.book.Passed(start, plan.Fingerprint)
	}
	plan.Marks = session.book
	if plan.Kind.Rule == document.Tail && plan.Patience.IsZero() {
		plan.Patience = at(150)
	}
	number := uint64(0)
	session.machine = New(plan, session.router, func() target.Attempt {
		number++
		var id target.Attempt
		binary.BigEndian.PutUint64(id[:], number)
		return id
	})
	session.take(session.machine.Begin(start))
	return session
}

func (session *session) take(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			session.sent = append(session.sent, action.Sub)
			session.whys = append(session.whys, action.Why)
		case Cancel:
			session.canceled = append(session.canceled, action.Attempt)
		case Finish:
			if session.outcome != nil {
				session.t.Fatalf("a second final answer: %+v", action.Outcome)
			}
			session.outcome = &action.Outcome
		}
	}
}

func (session *session) answer(millis int, sub holder.SubRequest, code result.Code) {
	answer := holder.Answer{Attempt: sub.Request.Attempt, Target: sub.Target, Code: code, Ran: code.Ran()}
	if code == result.OK {
		answer.Snapshot, answer.Range = sub.Request.Snapshot, sub.Request.Range
		answer.Hits = []target.Hit{{ID: fmt.Sprint(sub.Request.Snapshot, sub.Request.Range.From), Score: 1}}
	}
	actions, _ := session.machine.Answered(at(millis), answer)
	session.take(actions)
}

// refuse answers for a holder that has no room and names the time that callers should come back after.
func (session *session) refuse(millis int, sub holder.SubRequest, after time.Duration) {
	actions, _ := session.machine.Answered(at(millis), holder.Answer{Attempt: sub.Request.Attempt, Target: sub.Target,
		Code: result.Overloaded, Ran: result.RanNo, RetryAfter: after})
	session.take(actions)
}

func (session *session) wake(millis int) {
	session.take(session.machine.Wake(at(millis)))
}

func (session *session) assertSent(t *testing.T, whys ...Why) {
	t.Helper()
	if !slices.Equal(session.whys, whys) {
		t.Fatalf("sent %v, want %v", session.whys, whys)
	}
}

func (session *session) assertOutcome(t *testing.T, code result.Code, ran result.Ran, fraction float64) {
	t.Helper()
	if session.outcome == nil {
		t.Fatal("no final answer")
	}
	got := *session.outcome
	if got.Code != code || got.Ran != ran || got.Coverage.Fraction != fraction {
		t.Fatalf("got %v ran=%s coverage %v (%s), want %v ran=%s coverage %v", got.Code, got.Ran,
			got.Coverage.Fraction, got.Detail, code, ran, fraction)
	}
}
