package query

import (
	"testing"

	"pgregory.net/rapid"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
)

// newSpentSession returns a session of a request of which earlier instances have spent something.
func newSpentSession(t *testing.T, route catalogue.Route, spent Spending, once bool) *session {
	t.Helper()
	session := newSession(t, route)
	plan := session.machine.plan
	plan.Spent, plan.Once = spent, once
	session.machine = New(plan, session.router, session.machine.nextAttemptID)
	return session
}

// TestSpendingOfMovedRoute guards against a second run, or more attempts than the route allows, after the route has moved to another
// service than the one at which an earlier instance has sent the request.
func TestSpendingOfMovedRoute(t *testing.T) {
	elsewhere := Spending{"former-desk": 1}
	for _, test := range []struct {
		name  string
		route catalogue.Route
		once  bool
		sends int
	}{
		{"it must not be repeated", single(false), false, 0},
		{"it must not be repeated, as an earlier instance knows it", single(true), true, 0},
		{"it may be repeated, with one attempt left", single(true), false, 1},
		{"shards have limits of their own", scatterGather(3, 1), false, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			session := newSpentSession(t, test.route, elsewhere, test.once)
			session.begin()
			if test.sends == 0 {
				session.assertEnd(result.Broken)
			}
			for _, send := range session.sends {
				session.answer(5, send, unanswered)
			}
			first := session.sends[:min(test.sends, len(session.sends))]
			if extra := session.sends[len(first):]; len(first) != test.sends || len(extra) > 0 && len(test.route.Shards) == 0 {
				t.Errorf("%d attempts are sent, want %d", len(session.sends), test.sends)
			}
			if spent := session.machine.Spent(); spent["former-desk"] != 1 || spent.Total() != 1+len(session.sends) {
				t.Errorf("what was spent is told as %v after %d attempts", spent, len(session.sends))
			}
		})
	}
}

// TestRefusalsOfSpentRequests guards against ends that say that a request did not run, of which an earlier instance has sent something:
// by any of the reasons for which a request is refused here.
func TestRefusalsOfSpentRequests(t *testing.T) {
	refusals := map[string]func(session *session){
		"no targets":   func(session *session) { session.router.empty = []string{"desk"} },
		"no capacity":  func(session *session) { session.router.full = true },
		"saturated":    func(session *session) { session.router.saturated = []string{"desk"} },
		"quarantined":  func(session *session) { session.router.verdict = quarantine.Quarantined },
		"too late":     func(session *session) { session.router.latency = 2000 * ms },
		"being tried":  func(session *session) { session.router.verdict, session.router.tried = quarantine.Suspect, true },
		"deadline":     func(session *session) { session.machine.plan.Deadline = at(1) },
		"all attempts": func(session *session) { session.machine.plan.Route.Attempts = 1 },
	}
	for name, refuse := range refusals {
		for _, spent := range []Spending{nil, {"desk": 1}, {"former-desk": 1}} {
			t.Run(name, func(t *testing.T) {
				session := newSpentSession(t, single(true), spent, false)
				refuse(session)
				session.begin()
				for now := 1; session.finish == nil; now += 10 {
					session.wake(now)
				}
				refused := session.finish.Code.Ran() == result.RanNo
				if refused && spent != nil || !refused && spent == nil && len(session.sends) == 0 {
					t.Errorf("a request of which %v was spent ends with %v (%s)", spent, session.finish.Code, session.finish.Reason)
				}
			})
		}
	}
}

// TestDrawnHandOvers guards against second runs and untrue refusals over drawn chains of instances, each with a configuration and a state of
// its own, that pass a request on with what was spent.
func TestDrawnHandOvers(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		services := []string{"desk", "former-desk", "other-desk"}
		var spending Spending
		once, ran := false, 0
		for instance := range rapid.IntRange(2, 4).Draw(drawn, "instances") {
			route := single(rapid.Bool().Draw(drawn, "idempotent"))
			route.Service = rapid.SampledFrom(services).Draw(drawn, "service")
			session := newSpentSession(t, route, spending, once)
			session.router.full = rapid.IntRange(0, 4).Draw(drawn, "full") == 0
			session.router.verdict = rapid.SampledFrom([]quarantine.Verdict{quarantine.Clear, quarantine.Suspect, quarantine.Quarantined}).Draw(drawn, "verdict")
			sent, before := map[uint64]bool{}, ran
			session.begin()
			once = !session.machine.plan.Repeatable()
			for now := 1; session.finish == nil && now < 400; now += rapid.IntRange(1, 100).Draw(drawn, "time") {
				for _, send := range session.sends {
					if _, open := session.machine.attempts[send.AttemptID]; open && rapid.Bool().Draw(drawn, "ends") {
						answer := rapid.SampledFrom([]Answer{unsent, refused, unanswered}).Draw(drawn, "answer")
						if answer.Execution != NotRun {
							ran++
						}
						session.answer(now, send, answer)
					} else if open && !sent[send.AttemptID] && rapid.Bool().Draw(drawn, "is sent") {
						sent[send.AttemptID] = true
					}
				}
				session.wake(now)
			}
			session.machine.Withdraw(func(id uint64) bool {
				if sent[id] {
					ran++
				}
				return sent[id]
			})
			spending = spending.Merge(session.machine.Spent())
			if once && ran > max(before, 1) {
				drawn.Fatalf("the request may have run %d times before instance %d and %d times after it", before, instance, ran)
			}
			if session.machine.MayHaveRun() != (ran > 0) {
				drawn.Fatalf("the request may have run: %v, after %d attempts that may have", session.machine.MayHaveRun(), ran)
			}
			if spending.Total() != ran {
				drawn.Fatalf("%v is told as spent, of %d attempts that may have run", spending, ran)
			}
			if end := session.finish; end != nil && ran > 0 && end.Truthful(ran > 0).Code.Ran() == result.RanNo {
				drawn.Fatalf("the request ends with %v (%s) after %d attempts", end.Code, end.Reason, ran)
			}
		}
	})
}
