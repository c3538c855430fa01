package ingress

import (
	"time"

	"shallotreel.example/reel/query"
	"shallotreel.example/reel/result"
)

// settle returns the end of the request, which has ended. If it is unknown whether the request ran, and nothing was sent, it cancels the
// open attempts and returns a refusal. Otherwise they continue, so that late answers show how their targets perform.
func (run *run) settle(finish *query.Finish) *query.Finish {
	if !run.machine.IsUnsettled(finish.Code) || run.anySent() {
		return finish
	}
	settled := run.machine.Settle(*finish, run.cancelAttempt)
	return &settled
}

// anySent reports whether any byte of an open attempt may have been sent.
func (run *run) anySent() bool {
	for _, call := range run.calls {
		if run.handler.pool.MayBeSent(call) {
			return true
		}
	}
	return false
}

// cancelAttempt cancels the attempt in flight, and reports whether any byte of it was or can still be sent.
func (run *run) cancelAttempt(id uint64) (sent bool) {
	if call, ok := run.calls[id]; ok {
		return run.handler.pool.Cancel(call)
	}
	_, started := run.attemptIndexes[id]
	return started
}

// cancelOpenCalls cancels the attempts that are still open at the end of the request. Those that were sent continue for lateAnswerWait,
// unless their targets should do no more work for it, since the caller has disconnected or the request has failed under
// overload. Those of a failed request that were not sent yet are canceled at once.
func (run *run) cancelOpenCalls(code result.Code) {
	failed := code.Ran() != result.RanYes && code != result.Relayed
	immediately := code == result.Canceled || failed && run.overloaded.Load()
	open := run.calls
	for id, call := range open {
		if immediately || failed && !run.handler.pool.MayBeSent(call) {
			run.handler.pool.Cancel(call)
			delete(open, id)
		}
	}
	if len(open) == 0 {
		return
	}
	time.AfterFunc(lateAnswerWait, func() {
		for _, call := range open {
			run.handler.pool.Cancel(call)
		}
	})
}
