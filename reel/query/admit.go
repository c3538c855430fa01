package query

import (
	"time"

	"shallotreel.example/reel/result"
)

const reasonUnwilling = "the targets of too many services take no more requests for now, as they asked"

// hasWillingTargets reports whether as many services have a target that takes requests, as they asked, as the answer needs
// at least. With fewer, the others would work for an answer that is likely never given, and use up their limits for it.
func (machine *Machine) hasWillingTargets(now time.Time) bool {
	if !machine.isScatterGather() {
		return true
	}
	willing := 0
	for _, part := range machine.parts {
		if !part.failed && machine.router.QuietFor(now, part.service) == 0 {
			willing++
		}
	}
	return machine.meetsLeastShare(willing)
}

// hasTargets reports whether as many services have any target as the answer needs at least.
func (machine *Machine) hasTargets() bool {
	served := 0
	for _, part := range machine.parts {
		if machine.router.HasTargets(part.service) {
			served++
		}
	}
	return served > 0 && (!machine.isScatterGather() || machine.meetsLeastShare(served))
}

// checkUnsent reports whether the request must end although nothing of it was sent: it has waited for too long, its services
// have lost their targets, or the trial of another one with the same content has shown that it crashes targets.
func (machine *Machine) checkUnsent(now time.Time) (Finish, bool) {
	if machine.isQuarantined(now) {
		_, left := machine.router.Verdict(now, machine.plan.Fingerprint)
		return Finish{Code: result.Quarantined, RetryAfter: left, Reason: reasonQuarantined}, true
	}
	if !machine.hasTargets() {
		return machine.failureFinish(reasonNoTargets), true
	}
	until := machine.waitUntil()
	if machine.unsentReason == reasonUnwilling {
		until = machine.plan.Start.Add(machine.plan.SoftDeadline.Sub(machine.plan.Start) / capacityWaitDivisor)
	}
	if machine.isTooLate(now) {
		return machine.failureFinish(reasonTooLate), true
	}
	if now.Before(until) {
		return Finish{}, false
	}
	return machine.failureFinish(machine.unsentReason), true
}
