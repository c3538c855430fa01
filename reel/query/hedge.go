package query

import (
	"time"

	"shallotreel.example/reel/extra"
)

const reasonLoad = "the targets are overloaded, and the answer may lack the service or would be late"

// hedge sends a second attempt for a part whose only attempt in flight has not been answered within the hedge delay.
func (machine *Machine) hedge(now time.Time, part *part) []Action {
	if part.inFlight != 1 || part.possibleRuns >= machine.maxAttempts() || machine.isTooLate(now) {
		return nil
	}
	switch machine.decideExtra(now, extra.Hedge) {
	case sendLater:
		part.hedgeAt = now.Add(max(machine.plan.SoftDeadline.Sub(now)/2, capacityPollInterval))
		return nil
	case sendNever:
		part.skipReason = reasonLoad
		return nil
	}
	if _, ok := machine.router.Choose(now, machine.plan.Route, part.service, part.tried); !ok {
		part.skipReason = "no other target has free capacity"
		return nil
	}
	if !machine.router.SpendExtra(now, part.service, extra.Hedge) {
		part.skipReason = "the budget for retries and hedges is exhausted"
		return nil
	}
	part.generation++
	return machine.startAttempt(now, part, "hedge")
}

// hedgeDelay returns how long to wait for an answer before a hedge is considered: longer than most answers take, and
// as long as a hedge that is sent then can still meet the soft deadline.
func (machine *Machine) hedgeDelay(now time.Time) time.Duration {
	delay := machine.router.LatencyQuantile(machine.plan.Route, hedgeQuantile)
	remaining := machine.plan.SoftDeadline.Sub(now)
	if remaining > 0 {
		latest := remaining - time.Duration(hedgeCompletionFactor*float64(machine.router.LatencyQuantile(machine.plan.Route, hedgeCompletionQuantile)))
		delay = min(max(delay, latest), max(remaining/2, latest))
	}
	return max(delay, minHedgeDelay)
}

// decideExtra returns when an extra attempt for a part without an answer is sent, as decide says.
func (machine *Machine) decideExtra(now time.Time, purpose extra.Purpose) decision {
	if !machine.router.Overloaded(now, machine.plan.Route) {
		return sendNow
	}
	missing := len(machine.parts) - machine.answered()
	if purpose == extra.Retry {
		missing = machine.failed() + 1 // the others may still be answered
	}
	return decide(need{purpose: purpose, left: machine.plan.SoftDeadline.Sub(now),
		answerTime: machine.router.LatencyQuantile(machine.plan.Route, hedgeCompletionQuantile),
		missing:    missing, mayLack: machine.mayLack(), rank: machine.plan.Route.Priority, overloaded: true})
}

// failed returns the number of parts that have failed.
func (machine *Machine) failed() int {
	failed := 0
	for _, part := range machine.parts {
		if part.failed {
			failed++
		}
	}
	return failed
}

// mayLack returns the number of parts that the answer may lack.
func (machine *Machine) mayLack() int {
	if !machine.isScatterGather() {
		return 0
	}
	mayLack := 0
	for machine.meetsLeastShare(len(machine.parts) - mayLack - 1) {
		mayLack++
	}
	return mayLack
}
