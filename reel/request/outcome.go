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

// cancelPart returns cancel actions for the part's attempts in flight, in a deterministic order.
func (machine *Machine) cancelPart(part *part) []Action {
	if part.inFlight == 0 {
		return nil
	}
	var actions []Action
	for id, attempt := range machine.attempts {
		if attempt.part == part && !attempt.canceled {
			attempt.canceled = true
			actions = append(actions, Cancel{id, attempt.choice})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int {
		return cmp.Compare(a.(Cancel).Attempt.String(), b.(Cancel).Attempt.String())
	})
	return actions
}

// allPartsFinished reports whether every part is answered or failed and no trial is due.
func (machine *Machine) allPartsFinished() bool {
	if machine.mode == trialMode && machine.trialsSent == 0 {
		return false
	}
	for _, part := range machine.parts {
		if !part.answered && !part.failed {
			return false
		}
	}
	return true
}

// answeredParts returns the number of parts that have a result.
func (machine *Machine) answeredParts() int {
	count := 0
	for _, part := range machine.parts {
		if part.answered {
			count++
		}
	}
	return count
}

func (machine *Machine) softDeadlinePassed(now time.Time) bool {
	return !machine.plan.SoftDeadline.IsZero() && !now.Before(machine.plan.SoftDeadline) && machine.answeredParts() > 0
}

func (machine *Machine) answerDeadline() time.Time {
	return machine.plan.Deadline.Add(-deadlineMargin)
}

// finishWithAnsweredParts finishes the request with the results of the answered shards. If there are none, it chooses
// the error code that states correctly whether an attempt may have run.
func (machine *Machine) finishWithAnsweredParts(reason string) []Action {
	switch answered := machine.answeredParts(); {
	case answered > 0 && answered == len(machine.parts):
		return machine.finish(result.OK, "")
	case answered > 0:
		return machine.finish(result.Partial, "shards are missing: "+reason)
	case machine.overloaded && !machine.mayHaveRun():
		return machine.finish(result.Overloaded, "targets are overloaded")
	case machine.mayHaveRun():
		return machine.finish(result.DeadlineExceeded, "no shard answered: "+reason)
	case machine.attemptsSent == 0 && reason == reasonDeadline:
		return machine.finish(result.TooLate, "no time is left before the deadline")
	case machine.attemptsSent == 0:
		return machine.finish(result.NoTarget, "no target serves the snapshot")
	default:
		return machine.finish(cmp.Or(machine.lastCode, result.TooLate), "no attempt ran: "+reason)
	}
}

// mayHaveRun reports whether a target may have run the request.
func (machine *Machine) mayHaveRun() bool {
	return machine.possiblyRan || len(machine.attempts) > 0
}

// finish cancels all attempts in flight and returns the outcome; further calls do nothing.
func (machine *Machine) finish(code result.Code, detail string) []Action {
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

// outcome merges the hits of the answered shards by descending score.
func (machine *Machine) outcome(code result.Code, detail string) Outcome {
	outcome := Outcome{Code: code, Snapshot: machine.plan.Pin.Snapshot, RetryAfter: machine.retryAfter,
		Overloaded: machine.overloaded, Congested: machine.congested, Attempts: machine.attemptsSent, Detail: detail}
	var answered []coverage.Range
	for _, part := range machine.parts {
		if part.answered {
			answered = append(answered, part.shard.Range)
			outcome.Hits = append(outcome.Hits, part.hits...)
		}
	}
	outcome.Coverage = coverage.Compute(machine.requestedRange(), answered)
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

// requestedRange returns the key range that counts as full coverage.
func (machine *Machine) requestedRange() coverage.Range {
	if machine.plan.Kind.Operation != document.Search && len(machine.parts) > 0 {
		return machine.parts[0].shard.Range
	}
	return coverage.Range{From: 0, To: coverage.KeySpace}
}

// earliest returns the earlier of both times; a zero b means no time.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
