package query

import (
	"time"

	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
)

// trialFactor is the least time for the answer of a trial, as a multiple of the route's latency at hedgeQuantile.
const trialFactor = 2

const (
	reasonQuarantined = "the request crashed too many targets"
	reasonQueued      = "the request may have crashed a target, and another one with the same content is being tried"
	reasonTrial       = "the request may have crashed a target, and its single attempt got no answer"
)

// beginTrial holds back all parts but one if the request is suspected to crash targets, or quarantined and to be tried again. It reports false while another one
// with the same content is being tried: a target may crash under each.
func (machine *Machine) beginTrial(now time.Time) bool {
	verdict, _ := machine.router.Verdict(now, machine.plan.Fingerprint)
	if verdict != quarantine.Suspect && verdict != quarantine.TrialDue {
		return true
	}
	machine.suspect = true
	until := now.Add(trialFactor * machine.router.LatencyQuantile(machine.plan.Route, hedgeQuantile))
	if machine.plan.SoftDeadline.After(until) {
		until = machine.plan.SoftDeadline
	}
	if !machine.router.BeginTrial(now, machine.plan.Fingerprint) {
		return false
	}
	machine.trial, machine.trialUntil, machine.retrial = true, until, verdict == quarantine.TrialDue
	parts := len(machine.parts)
	begin := int(uint64(machine.plan.Fingerprint) % uint64(parts)) // spreads trials over the shards
	first := true
	for i := range parts {
		if part := machine.parts[(begin+i)%parts]; !part.failed {
			part.held = !first
			first = false
		}
	}
	return true
}

// Suspect reports whether the request began as a trial, since it may have crashed a target before.
func (machine *Machine) Suspect() bool {
	return machine.suspect
}

// endTrial lets other requests with the same content be tried: at once if the trial has shown something, otherwise after the
// time for its answer.
func (machine *Machine) endTrial() {
	if !machine.trial {
		return
	}
	next := machine.trialUntil
	if machine.proven || len(machine.attempts) == 0 {
		next = time.Time{}
	}
	machine.trial = false
	machine.router.EndTrial(machine.plan.Fingerprint, next)
}

// Cancel ends the request because its caller has gone.
func (machine *Machine) Cancel() {
	machine.finished = true
	machine.endTrial()
}

// mayStart reports whether the first attempt of the part, or another one after those that did not run, may be sent although the request is
// quarantined: it is the one that is tried again.
func (machine *Machine) mayStart(part *part) bool {
	return machine.retrial && part.possibleRuns == 0 && (machine.proven || !machine.endedMayHaveRun)
}

// isQuarantined reports whether the request must not be sent to further targets.
func (machine *Machine) isQuarantined(now time.Time) bool {
	verdict, _ := machine.router.Verdict(now, machine.plan.Fingerprint)
	return verdict == quarantine.Quarantined
}

// mayAddExtra reports whether an extra attempt may be sent. Until any target has run the request, at most one may be in
// flight, since it could crash each target that it reaches; a trial has no hedges.
func (machine *Machine) mayAddExtra() bool {
	if machine.proven {
		return true
	}
	if machine.trial {
		return len(machine.attempts) == 0
	}
	return machine.extras == 0
}

// release continues with parts that were held back: all of them once the request is proven, otherwise one at a time.
func (machine *Machine) release(now time.Time) []Action {
	if machine.proven {
		machine.endTrial()
	}
	var actions []Action
	for _, part := range machine.parts {
		if part.held && part.answer == nil && !part.failed && machine.mayAddExtra() {
			part.held = false
			actions = append(actions, machine.resume(now, part)...)
		}
	}
	return actions
}

// resume sends the attempt for which the part was held back: its first one, a retry, or a hedge.
func (machine *Machine) resume(now time.Time, part *part) []Action {
	switch {
	case part.lastSent.IsZero():
		return machine.startAttempt(now, part, "first")
	case part.inFlight > 0:
		return machine.hedge(now, part)
	default:
		return machine.retry(now, part, true)
	}
}

// checkQuarantine reports whether the request must end after the answer because it has crashed too many targets: two of
// its own, or others as its marks say.
func (machine *Machine) checkQuarantine(now time.Time, ended *attempt, answer *Answer) (Finish, bool) {
	crashedAgain := ended.extra && answer.Refused && !machine.proven
	if answer.Execution != MayHaveRun || !crashedAgain && !machine.isQuarantined(now) {
		return Finish{}, false
	}
	if machine.HasEnough() {
		return machine.mergedFinish(machine.answered()), true
	}
	return Finish{Code: result.Broken, Reason: reasonQuarantined}, true
}

// checkTrial reports whether the request must end because its trial got no answer in time. A request that is not
// idempotent goes on, since its caller cannot repeat it.
func (machine *Machine) checkTrial(now time.Time) (Finish, bool) {
	if !machine.trial || !machine.plan.Repeatable() || now.Before(machine.trialUntil) {
		return Finish{}, false
	}
	if !machine.MayHaveRun() {
		return machine.failureFinish(reasonTrial), true
	}
	return Finish{Code: result.Broken, Reason: reasonTrial}, true
}
