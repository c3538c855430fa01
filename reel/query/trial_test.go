package query

import (
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
)

// crashed is the answer of an attempt whose target crashed.
var crashed = Answer{Execution: MayHaveRun, Sent: true, Refused: true}

// TestLoneRequestAddsOneAttemptAtATime guards against a request that crashes a target of every shard, and then another
// one of each by its retries or hedges.
func TestLoneRequestAddsOneAttemptAtATime(t *testing.T) {
	t.Run("retries after crashes", func(t *testing.T) {
		session := newSession(t, scatterGather(5, 0.6))
		session.begin()
		for _, send := range session.sends[:5] {
			session.answer(20, send, crashed)
		}
		session.assertSends(6)
		session.assertOpen()
		session.answer(40, session.sends[5], crashed)
		session.assertSends(6)
		session.assertEnd(result.Broken)
	})
	t.Run("all retries once one of them is answered", func(t *testing.T) {
		session := newSession(t, scatterGather(5, 0.6))
		session.begin()
		for _, send := range session.sends[:5] {
			session.answer(20, send, crashed)
		}
		session.succeed(40, session.sends[5:])
		session.assertSends(10)
		session.succeed(60, session.sends[6:])
		session.assertEnd(result.OK)
	})
	t.Run("hedges while no shard answers", func(t *testing.T) {
		session := newSession(t, scatterGather(5, 0.6))
		session.begin()
		session.wake(160)
		session.assertSends(6)
		session.succeed(165, session.sends[:1])
		session.wake(165)
		session.assertSends(10)
	})
	t.Run("retries of a broken connection go on", func(t *testing.T) {
		session := newSession(t, scatterGather(2, 1))
		session.begin()
		session.answer(20, session.sends[0], unanswered)
		session.answer(21, session.sends[1], unanswered)
		session.assertSends(3)
		session.succeed(40, session.sends[2:])
		session.assertSends(4)
		session.succeed(60, session.sends[3:])
		session.assertEnd(result.OK)
	})
	t.Run("a second broken connection lets the next shard retry", func(t *testing.T) {
		session := newSession(t, scatterGather(2, 0.5))
		session.begin()
		session.answer(20, session.sends[0], unanswered)
		session.answer(21, session.sends[1], unanswered)
		session.answer(40, session.sends[2], unanswered)
		session.assertSends(4)
		session.succeed(60, session.sends[3:])
		session.assertEnd(result.Partial)
	})
}

// TestSuspectRequestHasOneAttempt guards against further crashes by a request that may have crashed targets before.
func TestSuspectRequestHasOneAttempt(t *testing.T) {
	suspect := func(t *testing.T, shards int) *session {
		session := newSession(t, scatterGather(shards, 0.6))
		session.router.verdict = quarantine.Suspect
		session.begin()
		session.assertSends(1)
		return session
	}
	t.Run("the others follow its answer", func(t *testing.T) {
		session := suspect(t, 5)
		session.succeed(30, session.sends)
		session.assertSends(5)
		session.succeed(60, session.sends[1:])
		session.assertEnd(result.OK)
	})
	t.Run("a crash ends it", func(t *testing.T) {
		session := suspect(t, 5)
		session.router.verdict = quarantine.Quarantined
		session.answer(20, session.sends[0], crashed)
		session.assertSends(1)
		session.assertEnd(result.Broken)
	})
	t.Run("without an answer it ends before the deadline, without a hedge", func(t *testing.T) {
		session := suspect(t, 5)
		session.wake(160)
		session.assertSends(1)
		session.assertOpen()
		if next := session.machine.NextWake(at(160)); next.After(at(190)) {
			t.Errorf("the next wake is at %v, want the soft deadline", next)
		}
		session.wake(190)
		session.assertEnd(result.Broken)
	})
	t.Run("a refusal moves it to another target", func(t *testing.T) {
		session := suspect(t, 5)
		session.answer(5, session.sends[0], refused)
		session.assertSends(2)
		session.succeed(30, session.sends[1:])
		session.assertSends(6)
	})
	t.Run("a request that is not idempotent is not cut off", func(t *testing.T) {
		session := newSession(t, single(false))
		session.router.verdict = quarantine.Suspect
		session.begin()
		session.wake(600)
		session.assertOpen()
		session.succeed(900, session.sends)
		session.assertEnd(result.OK)
	})
}

// TestRetrial checks that a quarantined request that is tried again has one attempt that may crash a target, and goes on once it is proven.
func TestRetrial(t *testing.T) {
	begin := func(t *testing.T) *session {
		session := newSession(t, scatterGather(5, 0.6))
		session.router.verdict = quarantine.TrialDue
		session.begin()
		session.assertSends(1)
		session.router.verdict = quarantine.Quarantined // until it ends well, for all others too
		return session
	}
	t.Run("the others follow its answer", func(t *testing.T) {
		session := begin(t)
		session.succeed(30, session.sends)
		session.assertSends(5)
		session.succeed(60, session.sends[1:])
		session.assertEnd(result.OK)
	})
	t.Run("a crash ends it", func(t *testing.T) {
		session := begin(t)
		session.answer(20, session.sends[0], crashed)
		session.assertSends(1)
		session.assertEnd(result.Broken)
	})
	t.Run("a broken connection ends it", func(t *testing.T) {
		session := begin(t)
		session.answer(20, session.sends[0], unanswered)
		session.assertSends(1)
		session.assertEnd(result.Broken)
	})
	t.Run("a refusal moves it to another target", func(t *testing.T) {
		session := begin(t)
		session.answer(5, session.sends[0], refused)
		session.assertSends(2)
		session.succeed(30, session.sends[1:])
		session.assertSends(6)
	})
	t.Run("a crash of another shard is not followed by a retry there", func(t *testing.T) {
		session := begin(t)
		session.succeed(30, session.sends)
		session.answer(50, session.sends[1], crashed)
		session.assertSends(5)
	})
	t.Run("another one with the same content is refused", func(t *testing.T) {
		session := newSession(t, single(true))
		session.router.verdict, session.router.tried = quarantine.TrialDue, true
		session.begin()
		session.router.verdict = quarantine.Quarantined
		session.wake(1)
		session.assertSends(0)
		session.assertEnd(result.Quarantined)
	})
}

func TestQuarantinedRequest(t *testing.T) {
	t.Run("is refused before anything is sent", func(t *testing.T) {
		session := newSession(t, scatterGather(5, 0.6))
		session.router.verdict = quarantine.Quarantined
		session.begin()
		session.assertSends(0)
		session.assertEnd(result.Quarantined)
		if session.finish.RetryAfter != quarantineTime {
			t.Errorf("the time to come back is %v, want that of the mark, %v", session.finish.RetryAfter, quarantineTime)
		}
	})
	t.Run("adds no attempt once a peer has marked it", func(t *testing.T) {
		session := newSession(t, scatterGather(2, 1))
		session.begin()
		session.router.verdict = quarantine.Quarantined
		session.wake(160)
		session.assertSends(2)
		session.answer(170, session.sends[0], refused)
		session.assertSends(2)
	})
	t.Run("keeps the answers that are ready", func(t *testing.T) {
		session := newSession(t, scatterGather(3, 0.6))
		session.begin()
		session.succeed(20, session.sends[:2])
		session.router.verdict = quarantine.Quarantined
		session.answer(30, session.sends[2], crashed)
		session.assertEnd(result.Partial)
	})
}

// TestSuspectRequestsAreTriedOneByOne guards against repeats of a crashing request that are all sent before it is known
// what became of the first one.
func TestSuspectRequestsAreTriedOneByOne(t *testing.T) {
	queued := func(t *testing.T, route catalogue.Route) *session {
		session := newSession(t, route)
		session.router.verdict, session.router.tried = quarantine.Suspect, true
		session.begin()
		session.wake(10)
		session.assertSends(0)
		session.assertOpen()
		return session
	}
	t.Run("the next one follows", func(t *testing.T) {
		session := queued(t, scatterGather(5, 0.6))
		session.router.EndTrial(0, at(40))
		session.wake(30)
		session.assertSends(0)
		session.wake(40)
		session.assertSends(1)
	})
	t.Run("all follow once it has run", func(t *testing.T) {
		session := queued(t, scatterGather(5, 0.6))
		session.router.verdict = quarantine.Clear
		session.wake(20)
		session.assertSends(5)
	})
	t.Run("refused once it has crashed too many targets", func(t *testing.T) {
		session := queued(t, scatterGather(5, 0.6))
		session.router.verdict = quarantine.Quarantined
		session.wake(20)
		session.assertSends(0)
		session.assertEnd(result.Quarantined)
	})
	t.Run("refused unsent in time", func(t *testing.T) {
		session := queued(t, scatterGather(5, 0.6))
		session.wake(190)
		session.assertSends(0)
		session.assertEnd(result.NoTarget)
	})
	t.Run("a single one waits for a part of its time", func(t *testing.T) {
		session := queued(t, single(true))
		session.wake(190/capacityWaitDivisor + 1)
		session.assertEnd(result.NoTarget)
	})
	for _, test := range []struct {
		name string
		end  func(session *session)
		next time.Time
	}{
		{"the trial ends with its answer", func(session *session) { session.succeed(30, session.sends) }, time.Time{}},
		{"an unanswered one after the time for the answer", func(session *session) { session.wake(190) }, at(190)},
		{"one whose caller has gone, too", func(session *session) { session.machine.Cancel() }, at(190)},
	} {
		t.Run(test.name, func(t *testing.T) {
			session := newSession(t, scatterGather(5, 0.6))
			session.router.verdict = quarantine.Suspect
			session.begin()
			test.end(session)
			if session.router.tried || !session.router.nextTrial.Equal(test.next) {
				t.Errorf("tried %v, next trial at %v, want %v", session.router.tried, session.router.nextTrial, test.next)
			}
		})
	}
}

// TestQueuedWithoutTargets guards against a request that waits for the trial of another one although its service has lost all targets.
func TestQueuedWithoutTargets(t *testing.T) {
	for _, route := range []catalogue.Route{single(true), scatterGather(3, 0.6)} {
		session := newSession(t, route)
		session.router.verdict, session.router.tried = quarantine.Suspect, true
		session.begin()
		session.assertOpen()
		session.router.empty = route.ServiceNames()
		session.wake(10)
		session.assertSends(0)
		session.assertEnd(result.NoTarget)
	}
}
