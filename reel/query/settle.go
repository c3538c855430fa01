package query

import (
	"shallotreel.example/reel/result"
)

// Settle returns the end of a request that the machine has ended. An end that leaves it unknown whether the request ran becomes a
// refusal if only attempts in flight may have run, and nothing of any of them was sent. The function cancels an attempt and reports
// whether any byte of it was or can still be sent.
func (machine *Machine) Settle(finish Finish, cancel func(attemptID uint64) (sent bool)) Finish {
	if !machine.IsUnsettled(finish.Code) {
		return finish
	}
	sent := false
	for id := range machine.attempts {
		sent = cancel(id) || sent // cancels the rest too, which must not be sent any more
	}
	if sent {
		return finish
	}
	for _, attempt := range machine.attempts {
		attempt.part.possibleRuns--
		attempt.part.inFlight--
	}
	clear(machine.attempts)
	return Finish{Code: result.NoTarget, RetryAfter: max(retryAfterShort, machine.quietRetryAfter),
		Reason: finish.Reason + "; nothing of the request was sent"}
}

// IsUnsettled reports whether a request that ends with the code may have run, but only by attempts in flight.
func (machine *Machine) IsUnsettled(code result.Code) bool {
	return code.Ran() == result.RanUnknown && len(machine.attempts) > 0 && !machine.endedMayHaveRun && machine.plan.Spent.Total() == 0
}
