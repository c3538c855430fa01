package holder

import (
	"math"
	"time"

	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

// absorb takes a report as a hint; only its leaving state and its snapshots are trusted.
func (machine *Machine) absorb(now time.Time, report target.Report) []Action {
	if report.State == "" {
		return nil
	}
	machine.held = report.Snapshots
	foreign := report.InFlight - len(machine.running)
	machine.reported = reported{foreign: max(0, foreign), at: now}
	switch {
	case report.State == target.Leaving:
		return machine.leave(now)
	case report.State == target.Cold && machine.state != target.Cold:
		machine.ramp, machine.rampAt = 1, now
	}
	machine.state = report.State
	return nil
}

func (machine *Machine) tick(now time.Time) []Action {
	expired := func(sub Sub) bool { return !sub.Request.Deadline.After(now) }
	actions := machine.refuseMatching(now, expired, result.TooLate, "deadline passed in the queue")
	for !math.IsInf(machine.ramp, 1) && now.Sub(machine.rampAt) >= rampStep {
		machine.ramp *= 2
		machine.rampAt = machine.rampAt.Add(rampStep)
		if machine.ramp >= float64(machine.limits.Slots) {
			machine.ramp = math.Inf(1)
		}
	}
	return append(actions, machine.next(now)...)
}

func (machine *Machine) backOff(now time.Time) {
	machine.down.wait = min(max(2*machine.down.wait, shortestDown), longestDown)
	machine.down.until = now.Add(machine.down.wait)
}

func (machine *Machine) measure(took time.Duration) {
	machine.service += time.Duration(serviceGain * float64(took-machine.service))
}

// limit is the number of sub-requests that may run at the target now.
func (machine *Machine) limit(now time.Time) int {
	slots := float64(machine.limits.Slots) * machine.limits.SlotFraction
	slots = min(slots, machine.ramp)
	if now.Sub(machine.reported.at) < reportTerm {
		foreign := min(machine.reported.foreign, machine.limits.Slots/2)
		slots -= float64(foreign)
	}
	return max(1, int(slots))
}

func (machine *Machine) waiting() int {
	waiting := machine.queue.Len() + len(machine.trials)
	for _, subs := range machine.blocked {
		waiting += len(subs)
	}
	return waiting
}

func (machine *Machine) expectedWait(now time.Time) time.Duration {
	limit := machine.limit(now)
	if len(machine.running) < limit {
		return 0
	}
	return machine.service * time.Duration(machine.queue.Len()+1) / time.Duration(limit)
}

func (machine *Machine) queueLimit(now time.Time) int {
	return max(queueFloor, int(float64(machine.limit(now))*machine.limits.QueuePerSlot))
}
