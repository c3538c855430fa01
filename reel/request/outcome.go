package request

import (
	"cmp"
	"slices"
	"time"

	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

func (machine *Machine) cancelPart(part *part) []Action {
	if part.live == 0 {
		return nil
	}
	var actions []Action
	for id, attempt := range machine.attempts {
		if attempt.part == part && !attempt.ended {
			attempt.ended = true
			actions = append(actions, Cancel{id, attempt.choice})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int {
		return cmp.Compare(a.(Cancel).Attempt.String(), b.(Cancel).Attempt.String())
	})
	return actions
}

func (machine *Machine) settled() bool {
	if machine.mode == trial && machine.trials == 0 {
		return false
	}
	for _, part := range machine.parts {
		if !part.done && !part.dead {
			return false
		}
	}
	return true
}

func (machine *Machine) covered() int {
	done := 0
	for _, part := range machine.parts {
		if part.done {
			done++
		}
	}
	return done
}

func (machine *Machine) patienceOver(now time.Time) bool {
	return !machine.plan.Patience.IsZero() && !now.Before(machine.plan.Patience) && machine.covered() > 0
}

func (machine *Machine) lastMoment() time.Time {
	return machine.plan.Deadline.Add(-answerMargin)
}

// endWithWhatIsThere answers with the shards that answered, or fails truly if none did.
func (machine *Machine) endWithWhatIsThere(reason string) []Action {
	switch covered := machine.covered(); {
	case covered > 0 && covered == len(machine.parts):
		return machine.end(result.OK, "")
	case covered > 0:
		return machine.end(result.Partial, "shards are missing: "+reason)
	case machine.overload && !machine.mayHaveRun():
		return machine.end(result.Overloaded, "targets are overloaded")
	case machine.mayHaveRun():
		return machine.end(result.DeadlineExceeded, "no shard answered: "+reason)
	case machine.sent == 0 && reason == reasonDeadline:
		return machine.end(result.TooLate, "no time was left")
	case machine.sent == 0:
		return machine.end(result.NoTarget, "no target serves the snapshot")
	default:
		return machine.end(cmp.Or(machine.lastCode, result.TooLate), "no attempt ran: "+reason)
	}
}

func (machine *Machine) mayHaveRun() bool {
	return machine.mayRun || len(machine.attempts) > 0
}

func (machine *Machine) end(code result.Code, detail string) []Action {
	if machine.finished {
		return nil
	}
	machine.finished = true
	var actions []Action
	for _, part := range machine.parts {
		actions = append(actions, machine.cancelPart(part)...)
	}
	return append(actions, Finish{machine.outcome(code, detail)})
}

func (machine *Machine) outcome(code result.Code, detail string) Outcome {
	outcome := Outcome{Code: code, Snapshot: machine.plan.Pin.Snapshot, RetryAfter: machine.retryHint,
		Overloaded: machine.overload, Congested: machine.congested, Attempts: machine.sent, Detail: detail}
	var answered []coverage.Range
	for _, part := range machine.parts {
		if part.done {
			answered = append(answered, part.shard.Range)
			outcome.Hits = append(outcome.Hits, part.hits...)
		}
	}
	outcome.Coverage = coverage.Compute(machine.wanted(), answered)
	slices.SortStableFunc(outcome.Hits, func(a, b target.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	switch {
	case code == result.OK || code == result.Partial:
		outcome.Ran = result.RanYes
	case machine.mayHaveRun():
		outcome.Ran = result.RanUnknown
	default:
		outcome.Ran = result.RanNo
	}
	return outcome
}

func (machine *Machine) wanted() coverage.Range {
	if machine.plan.Kind.Operation != document.Search && len(machine.parts) > 0 {
		return machine.parts[0].shard.Range
	}
	return coverage.Range{From: 0, To: coverage.KeySpace}
}

func earliest(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
