package holder

import (
	"math"
	"time"

	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

// applyReport updates the machine from a target's report. The reported load is only a hint: it takes at most half of
// the slots and expires. The state and the snapshots are taken as they are.
func (machine *Machine) applyReport(now time.Time, report target.Report) []Action {
	if report.State == "" {
		return nil
	}
	machine.snapshots = report.Snapshots
	external := report.InFlight - len(machine.running)
	machine.reportedLoad = reportedLoad{external: max(0, external), at: now}
	switch {
	case report.State == target.Leaving:
		return machine.markLeaving(now)
	case report.State == target.Cold && machine.state != target.Cold:
		machine.rampLimit, machine.rampedAt = 1, now
	}
	machine.state = report.State
	return nil
}

func (machine *Machine) handleTick(now time.Time) []Action {
	expired := func(sub SubRequest) bool { return !sub.Request.Deadline.After(now) }
	actions := machine.refuseMatching(now, expired, result.TooLate, "deadline passed in the queue")
	for !math.IsInf(machine.rampLimit, 1) && now.Sub(machine.rampedAt) >= rampInterval {
		machine.rampLimit *= 2
		machine.rampedAt = machine.rampedAt.Add(rampInterval)
		if machine.rampLimit >= float64(machine.limits.Slots) {
			machine.rampLimit = math.Inf(1)
		}
	}
	return append(actions, machine.startWaiting(now)...)
}

// startBackoff marks the target as down; the delay doubles with each further failure until the target answers.
func (machine *Machine) startBackoff(now time.Time) {
	machine.backoff.delay = min(max(2*machine.backoff.delay, minBackoff), maxBackoff)
	machine.backoff.until = now.Add(machine.backoff.delay)
}

func (machine *Machine) recordServiceTime(elapsed time.Duration) {
	machine.serviceTime += time.Duration(serviceTimeGain * float64(elapsed-machine.serviceTime))
}

// limit returns the number of sub-requests that may run on the target now; it is at least 1.
func (machine *Machine) limit(now time.Time) int {
	slots := float64(machine.limits.Slots) * machine.limits.SlotFraction
	slots = min(slots, machine.rampLimit)
	if now.Sub(machine.reportedLoad.at) < reportLifetime {
		external := min(machine.reportedLoad.external, machine.limits.Slots/2)
		slots -= float64(external)
	}
	return max(1, int(slots))
}

func (machine *Machine) waitingCount() int {
	waiting := machine.queue.Len() + len(machine.trials)
	for _, subs := range machine.blocked {
		waiting += len(subs)
	}
	return waiting
}

// expectedWait estimates how long a sub-request that arrives now would wait for a slot.
func (machine *Machine) expectedWait(now time.Time) time.Duration {
	limit := machine.limit(now)
	if len(machine.running) < limit {
		return 0
	}
	return machine.serviceTime * time.Duration(machine.queue.Len()+1) / time.Duration(limit)
}

// queueLimit returns the number of sub-requests that may wait in the queue.
func (machine *Machine) queueLimit(now time.Time) int {
	return max(minQueueLimit, int(float64(machine.limit(now))*machine.limits.QueuePerSlot))
}
