package query

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
)

// settle settles the end of the session's request; only the attempts in sent were sent.
func (session *session) settle(sent map[uint64]bool) (canceled int) {
	finish := session.machine.Settle(*session.finish, func(id uint64) bool {
		canceled++
		return sent[id]
	})
	session.finish = &finish
	return canceled
}

// TestSettle guards against failures that leave it unknown whether a request ran of which nothing was sent, and, which is worse, against
// refusals of requests that may have run.
func TestSettle(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(session *session)
		want result.Code // if nothing was sent
	}{
		{"deadline", func(session *session) { session.wake(1195) }, result.NoTarget},
		{"uncovered", func(session *session) { session.answer(5, session.sends[0], refused) }, result.NoTarget},
		{"an attempt that ended may have run", func(session *session) { session.answer(5, session.sends[0], unanswered) }, result.Uncovered},
		{"an earlier instance may have sent it", func(session *session) {
			session.machine.plan.Spent = map[string]int{"shard-0": 1}
			session.wake(1195)
		}, result.DeadlineExceeded},
		{"a trial without an answer", func(session *session) {
			session.machine.trial, session.machine.trialUntil = true, at(190)
			session.wake(190)
		}, result.NoTarget},
	} {
		t.Run(test.name, func(t *testing.T) {
			session := newSession(t, scatterGather(2, 1))
			session.router.budget = 0
			session.begin()
			test.end(session)
			session.settle(nil)
			session.assertEnd(test.want)
			if test.want == result.NoTarget && session.finish.RetryAfter <= 0 {
				t.Error("the refusal has no Retry-After")
			}
		})
	}
	t.Run("all are canceled although one was sent", func(t *testing.T) {
		session := newSession(t, scatterGather(5, 1))
		session.begin()
		session.wake(1195)
		if canceled := session.settle(map[uint64]bool{session.sends[0].AttemptID: true}); canceled != len(session.sends) {
			t.Errorf("%d of %d attempts are canceled", canceled, len(session.sends))
		}
		session.assertEnd(result.DeadlineExceeded)
	})
}

// TestDrawnEnds guards the same promises over drawn courses of requests: a refusal is true, and a request of which nothing was sent is
// refused.
func TestDrawnEnds(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		routes := []func() *session{
			func() *session { return newSession(t, single(false)) },
			func() *session { return newSession(t, single(true)) },
			func() *session { return newSession(t, scatterGather(4, 0.7)) },
		}
		session := rapid.SampledFrom(routes).Draw(drawn, "route")()
		session.router.verdict = rapid.SampledFrom([]quarantine.Verdict{quarantine.Clear, quarantine.Suspect}).Draw(drawn, "verdict")
		session.router.overloaded = rapid.Bool().Draw(drawn, "overloaded")
		session.router.latency = rapid.SampledFrom([]time.Duration{0, 40 * ms, 1100 * ms}).Draw(drawn, "latency")
		sent, mayHaveRun := map[uint64]bool{}, false
		session.begin()
		for now, next := 1, 0; session.finish == nil; now += rapid.IntRange(1, 150).Draw(drawn, "time") {
			for next < len(session.sends) && session.finish == nil && rapid.Bool().Draw(drawn, "ends") {
				answer := rapid.SampledFrom([]Answer{unsent, unsent, refused, unanswered, broken, success(session.sends[next])}).Draw(drawn, "answer")
				mayHaveRun = mayHaveRun || answer.Execution != NotRun
				session.answer(now, session.sends[next], answer)
				next++
			}
			for _, send := range session.sends[next:] {
				sent[send.AttemptID] = sent[send.AttemptID] || rapid.IntRange(0, 5).Draw(drawn, "is sent") == 0
			}
			if session.finish == nil {
				session.wake(now)
			}
		}
		for id := range session.machine.attempts {
			mayHaveRun = mayHaveRun || sent[id]
		}
		session.settle(sent)
		if refused := session.finish.Code.Ran() == result.RanNo && session.finish.Code != result.Relayed; refused == mayHaveRun {
			drawn.Fatalf("the request may have run: %v, and ends with %v (%s)", mayHaveRun, session.finish.Code, session.finish.Reason)
		}
	})
}
