package query

import (
	"time"

	"shallotreel.example/reel/result"
)

// Reasons why a shard is not asked at all.
const (
	noTarget = "no target is registered for it"
	noRoom   = "most requests wait in vain for its targets"
)

// hopeless finds what cannot be answered before any of it is sent: services without a target or for whose targets
// most wait in vain, and callers whose time is over.
func (machine *Machine) hopeless(now time.Time) (Finish, bool) {
	if !now.Before(machine.last()) {
		return machine.lateness(), true
	}
	open, back := 0, returnLater
	for _, part := range machine.parts {
		lasted, scarce := machine.router.Scarce(now, part.service)
		switch {
		case !machine.router.Serves(part.service):
			part.held, part.dead = noTarget, true
		case scarce && !machine.roomFor(now, part):
			part.held, part.dead = noRoom, true
			back = max(back, min(lasted, returnMost))
		default:
			open++
		}
	}
	if open == 0 || machine.gathers() && !machine.enough(open) {
		return Finish{Code: result.NoTarget, RetryAfter: back, Reason: "too few services can be asked"}, true
	}
	return Finish{}, false
}

func (machine *Machine) roomFor(now time.Time, part *part) bool {
	_, ok := machine.router.Choose(now, machine.plan.Route, part.service, nil)
	return ok
}

// judge ends the request when its answer is whole, worth more now than later, or impossible.
func (machine *Machine) judge(now time.Time) []Action {
	if machine.finished {
		return nil
	}
	if machine.gathers() {
		return machine.judgeGathered(now)
	}
	return machine.judgeSingle(now)
}

func (machine *Machine) judgeSingle(now time.Time) []Action {
	part := machine.parts[0]
	switch {
	case part.answer != nil && part.answer.Success():
		return machine.end(Finish{Code: result.OK, Answer: part.answer})
	case part.answer != nil:
		return machine.end(Finish{Code: result.Relayed, Answer: part.answer, Reason: "the target's answer"})
	case part.dead:
		return machine.end(machine.failure("no target is left"))
	case !now.Before(machine.last()):
		return machine.end(machine.lateness())
	}
	return nil
}

func (machine *Machine) judgeGathered(now time.Time) []Action {
	in, open := 0, 0
	for _, part := range machine.parts {
		switch {
		case part.answer != nil:
			in++
		case !part.dead:
			open++
		}
	}
	enough := machine.enough(in)
	switch {
	case open == 0 && enough:
		return machine.end(machine.gathered(in))
	case !machine.enough(in + open):
		return machine.end(machine.uncovered(in))
	case enough && !now.Before(machine.plan.Goal):
		return machine.end(machine.gathered(in))
	case !now.Before(machine.last()):
		if enough {
			return machine.end(machine.gathered(in))
		}
		return machine.end(machine.lateness())
	}
	return nil
}

// enough reports whether so many shards make a success.
func (machine *Machine) enough(shards int) bool {
	return shards > 0 && float64(shards) >= machine.plan.Route.LeastShare*float64(len(machine.parts))
}

func (machine *Machine) gathered(in int) Finish {
	finish := Finish{Code: result.OK, Missing: len(machine.parts) - in}
	if finish.Missing > 0 {
		finish.Code = result.Partial
	}
	var bodies [][]byte
	for _, part := range machine.parts {
		if part.answer != nil {
			finish.Parts = append(finish.Parts, part.answer.Stamp)
			bodies = append(bodies, part.answer.Body)
		}
	}
	finish.Body = Merge(bodies, machine.plan.Route.Top)
	return finish
}

func (machine *Machine) uncovered(in int) Finish {
	if in == 0 && !machine.mayHaveRun() {
		return machine.failure("no shard could be asked")
	}
	return Finish{Code: result.Uncovered, Reason: "too few shards can answer"}
}

// failure is the end of a request for which no target is left.
func (machine *Machine) failure(reason string) Finish {
	switch {
	case !machine.mayHaveRun():
		return Finish{Code: result.NoTarget, RetryAfter: returnSoon, Reason: reason}
	case machine.relay != nil && !machine.gathers():
		return Finish{Code: result.Relayed, Answer: machine.relay, Reason: reason}
	default:
		return Finish{Code: result.Broken, Reason: reason}
	}
}

func (machine *Machine) lateness() Finish {
	if !machine.mayHaveRun() {
		return Finish{Code: result.NoTarget, RetryAfter: returnSoon, Reason: "no target took it in time"}
	}
	return Finish{Code: result.DeadlineExceeded, Reason: "the deadline passed"}
}

// mayHaveRun reports whether any attempt ran or may still run.
func (machine *Machine) mayHaveRun() bool {
	return machine.mayRun || len(machine.attempts) > 0
}

// end finishes the request; attempts that are still open stay with the host, which gives them up in time.
func (machine *Machine) end(finish Finish) []Action {
	machine.finished = true
	return []Action{finish}
}

// Missing returns the services that have brought no answer, for the log.
func (machine *Machine) Missing(now time.Time) []Gap {
	var gaps []Gap
	for _, part := range machine.parts {
		if part.answer == nil {
			gap := Gap{part.service, part.tried, 0, part.dead, part.held}
			if !part.lastSent.IsZero() {
				gap.Waited = now.Sub(part.lastSent)
			}
			gaps = append(gaps, gap)
		}
	}
	return gaps
}

// Gap is a service that has brought no answer.
type Gap struct {
	Service string        `json:"service"`
	Tried   []string      `json:"tried"`
	Waited  time.Duration `json:"waited"` // since the newest attempt, 0 without one
	GaveUp  bool          `json:"gave_up"`
	Held    string        `json:"held,omitempty"` // why no other target was asked
}
