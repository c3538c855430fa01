package query

import "time"

// leastLatencyQuantile is the quantile of the route's latency below which the time left is too short for an answer. It is low, so that
// only attempts are left out that nearly all would be in vain.
const leastLatencyQuantile = 0.1

const reasonTooLate = "the time left is shorter than answers take"

// setLatestSend determines until when attempts are sent, if the latency of the route is known.
func (machine *Machine) setLatestSend(now time.Time) {
	if latency := machine.router.RecentLatency(now, machine.plan.Route, leastLatencyQuantile); latency > 0 {
		machine.latestSend = machine.answerBy().Add(-latency)
	}
}

// isTooLate reports whether the answer to an attempt that is sent now would arrive after the deadline.
func (machine *Machine) isTooLate(now time.Time) bool {
	return !machine.latestSend.IsZero() && !now.Before(machine.latestSend)
}

// Expire ends the request with what has arrived, because its instance stops before the deadline.
func (machine *Machine) Expire(now time.Time) []Action {
	if machine.finished {
		return nil
	}
	machine.plan.SoftDeadline, machine.plan.Deadline = now, now
	if machine.unsentReason != "" {
		return machine.finish(machine.failureFinish(machine.unsentReason))
	}
	return machine.checkFinished(now)
}

// failLate fails a part that has no attempt in flight when it is too late to send one. It reports whether it is too late.
func (machine *Machine) failLate(now time.Time, part *part) bool {
	if !machine.isTooLate(now) {
		return false
	}
	part.capacityCheckAt = time.Time{}
	part.skipReason, part.failed = reasonTooLate, part.inFlight == 0
	return true
}
