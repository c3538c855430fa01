package ingress

import (
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/query"
	"shallotreel.example/shallotreel/connpool"
)

// watchForCrash reports the end of an attempt to the watch for crashes.
func (run *run) watchForCrash(now time.Time, send query.Send, ended connpool.Result, answer *query.Answer) {
	crashes := run.handler.crashes
	if ended.Response != nil || ended.Listens == connpool.Accepted {
		crashes.Answered(send.Pick.Target.ID)
	}
	switch {
	case answer.Execution == query.Ran:
		run.answered.Store(true)
		crashes.Ran(now, send.AttemptID)
	case answer.Execution == query.NotRun || ended.IsOwnShortage() || ended.Response != nil || ended.Listens == connpool.Accepted:
		crashes.NotRun(send.AttemptID)
	case ended.Err == connpool.ErrCanceled:
		crashes.Abandoned(now, send.AttemptID, run.answered.Load())
	default:
		crashes.Broken(send.AttemptID)
	}
	if answer.Refused {
		crashes.Refused(now, send.Pick.Target)
	}
	if ended.Err == connpool.ErrCanceled && !run.answered.Load() && crashes.IsSuspected(send.AttemptID) {
		run.probeSilentTarget(now, send.Pick.Target)
	}
}

// probeSilentTarget finds out whether the target of an attempt that was given up still accepts connections.
func (run *run) probeSilentTarget(now time.Time, target catalogue.Target) {
	run.handler.pool.Probe(now, target.Address, func(listens connpool.Listens) {
		if listens == connpool.Refused && run.handler.confirmRefusal(time.Now(), target, false) {
			run.handler.crashes.Refused(time.Now(), target)
		}
	})
}

// confirmRefusal reports whether the target, which refused a connection at the given time, has ended: other targets accept
// connections. It finds that out only if anything may follow from it: if an attempt was sent, or an earlier one ended without an answer.
func (handler *Handler) confirmRefusal(refusedAt time.Time, target catalogue.Target, sent bool) bool {
	return (sent || handler.crashes.HasAbandoned(target)) && handler.path.ConfirmRefusal(refusedAt, target.Address)
}
