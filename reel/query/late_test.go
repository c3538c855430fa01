package query

import (
	"testing"

	"shallotreel.example/reel/result"
)

// TestTooLate guards against attempts whose answers cannot arrive in time, and against requests that wait for nothing.
func TestTooLate(t *testing.T) {
	// The answer to the caller is due at 1195 ms, so that no attempt is sent from 1095 ms on.
	late := func(session *session) *session {
		session.router.latency = 100 * ms
		return session
	}
	t.Run("nothing is sent or counted", func(t *testing.T) {
		session := late(newSession(t, single(false)))
		session.collect(session.machine.Begin(at(1095)))
		session.assertSends(0)
		session.assertEnd(result.NoTarget)
		if session.router.requests["desk"] != 0 {
			t.Error("the request is counted")
		}
	})
	t.Run("all is sent while the latency is unknown", func(t *testing.T) {
		session := newSession(t, single(false))
		session.collect(session.machine.Begin(at(1194)))
		session.assertSends(1)
		session.assertOpen()
	})
	t.Run("a shard in flight is waited for, a refused one ends the request", func(t *testing.T) {
		session := late(newSession(t, scatterGather(2, 1)))
		session.begin()
		session.wake(1100)
		session.assertOpen()
		session.answer(1101, session.sends[0], refused)
		session.assertEnd(result.Uncovered)
	})
	t.Run("a held retry ends the request when it is too late", func(t *testing.T) {
		session := late(newSession(t, scatterGather(3, 1)))
		session.router.budget = 2
		session.begin()
		session.answer(20, session.sends[0], crashed)
		session.answer(20, session.sends[1], crashed)
		session.assertSends(4)
		if next := session.machine.NextWake(at(400)); next.After(at(1095)) {
			t.Errorf("the next wake is at %v, want the moment from which it is too late", next)
		}
		session.wake(1095)
		session.assertEnd(result.Uncovered)
	})
}
