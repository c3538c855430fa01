package query

import (
	"time"

	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
)

// ReasonUnavailable is the reason of a Gap whose targets all want no requests for a time or have used up their limits.
const ReasonUnavailable = "all targets of the service want no requests for a time, or have named limits that are used up"

// Reasons for sending no attempt to a service.
const (
	reasonNoTargets = "no target is registered for the service"
	reasonSpent     = "an earlier instance has made all attempts that the route allows"
	reasonSaturated = "most recent requests to the service found no target with free capacity in time"
)

// refuseEarly reports whether the request must fail before any attempt is sent: because its deadline has passed, or
// because too many of its services have no target or are saturated. It fails the parts for such services, so that a
// request that continues does not wait for them.
func (machine *Machine) refuseEarly(now time.Time) (Finish, bool) {
	if machine.plan.isSpent() {
		return Finish{Code: result.Broken, Reason: reasonSpent}, true
	}
	if !now.Before(machine.answerBy()) {
		return machine.deadlineFinish(), true
	}
	if machine.isTooLate(now) {
		return machine.failureFinish(reasonTooLate), true
	}
	if verdict, left := machine.router.Verdict(now, machine.plan.Fingerprint); verdict == quarantine.Quarantined {
		return Finish{Code: result.Quarantined, RetryAfter: left, Reason: reasonQuarantined}, true
	}
	usable, retryAfter := 0, retryAfterNoTargets
	for _, part := range machine.parts {
		saturatedFor, saturated := machine.router.Saturated(now, part.service)
		switch {
		case part.possibleRuns >= machine.maxAttempts():
			part.skipReason, part.failed = reasonSpent, true
		case !machine.router.HasTargets(part.service):
			part.skipReason, part.failed = reasonNoTargets, true
		case machine.isQuiet(now, part):
			retryAfter = max(retryAfter, machine.quietRetryAfter)
		case saturated && !machine.hasCapacity(now, part):
			part.skipReason, part.failed = reasonSaturated, true
			retryAfter = max(retryAfter, min(saturatedFor, maxRetryAfter))
		default:
			usable++
		}
	}
	if usable == 0 || machine.isScatterGather() && !machine.meetsLeastShare(usable) {
		return Finish{Code: result.NoTarget, RetryAfter: retryAfter, Reason: "too few services are available"}, true
	}
	return Finish{}, false
}

// isQuiet reports whether all targets of the part's service take no requests until after the part may wait. It fails such
// a part.
func (machine *Machine) isQuiet(now time.Time, part *part) bool {
	quiet := machine.router.QuietFor(now, part.service)
	if quiet == 0 || now.Add(quiet).Before(machine.waitUntil()) {
		return false
	}
	part.skipReason, part.failed = ReasonUnavailable, true
	machine.quietRetryAfter = max(machine.quietRetryAfter, min(quiet, maxRetryAfter))
	return true
}

// hasCapacity reports whether any target of the part's service has free capacity now.
func (machine *Machine) hasCapacity(now time.Time, part *part) bool {
	_, ok := machine.router.Choose(now, machine.plan.Route, part.service, nil)
	return ok
}

// checkFinished ends the request when its answer is complete, when a partial answer is due, or when no answer is
// possible any more.
func (machine *Machine) checkFinished(now time.Time) []Action {
	if machine.finished {
		return nil
	}
	if machine.unsentReason != "" {
		return nil
	}
	if finish, ended := machine.checkTrial(now); ended {
		return machine.finish(finish)
	}
	if machine.isScatterGather() {
		return machine.checkScatterGather(now)
	}
	return machine.checkSingle(now)
}

func (machine *Machine) checkSingle(now time.Time) []Action {
	part := machine.parts[0]
	switch {
	case part.answer != nil && part.answer.Success():
		return machine.finish(Finish{Code: result.OK, Answer: part.answer})
	case part.answer != nil:
		return machine.finish(Finish{Code: result.Relayed, Answer: part.answer, Reason: "the target answered with a permanent error"})
	case part.failed:
		return machine.finish(machine.failureFinish("no further attempt is possible"))
	case !now.Before(machine.answerBy()):
		return machine.finish(machine.deadlineFinish())
	}
	return nil
}

func (machine *Machine) checkScatterGather(now time.Time) []Action {
	answered, pending := machine.answered(), 0
	for _, part := range machine.parts {
		if part.answer == nil && !part.failed {
			pending++
		}
	}
	enough := machine.meetsLeastShare(answered)
	switch {
	case pending == 0 && enough:
		return machine.finish(machine.mergedFinish(answered))
	case !machine.meetsLeastShare(answered + pending):
		return machine.finish(machine.uncoveredFinish(answered))
	case enough && !now.Before(machine.plan.SoftDeadline):
		return machine.finish(machine.mergedFinish(answered))
	case !now.Before(machine.answerBy()):
		if enough {
			return machine.finish(machine.mergedFinish(answered))
		}
		return machine.finish(machine.deadlineFinish())
	}
	return nil
}

// meetsLeastShare reports whether answers from the given number of shards satisfy the route's least share.
func (machine *Machine) meetsLeastShare(shards int) bool {
	return shards > 0 && float64(shards) >= machine.plan.Route.LeastShare*float64(len(machine.parts))
}

// mergedFinish returns the end of a scatter-gather request with the answers that have arrived.
func (machine *Machine) mergedFinish(answered int) Finish {
	finish := Finish{Code: result.OK, Missing: len(machine.parts) - answered}
	if finish.Missing > 0 {
		finish.Code = result.Partial
	}
	var bodies [][]byte
	for _, part := range machine.parts {
		if part.answer != nil {
			finish.Signatures = append(finish.Signatures, part.answer.Signature)
			bodies = append(bodies, part.answer.Body)
		}
	}
	finish.Body = Merge(bodies, machine.plan.Route.Top)
	return finish
}

// uncoveredFinish returns the end of a scatter-gather request that cannot reach the least share any more.
func (machine *Machine) uncoveredFinish(answered int) Finish {
	if answered == 0 && !machine.MayHaveRun() {
		return machine.failureFinish("no shard accepted the request")
	}
	return Finish{Code: result.Uncovered, Reason: "too few shards can answer"}
}

// failureFinish returns the end of a request for which no further attempt is allowed. It passes on the error of a
// target if there is one and the request goes to a single service.
func (machine *Machine) failureFinish(reason string) Finish {
	switch {
	case !machine.MayHaveRun():
		return Finish{Code: result.NoTarget, RetryAfter: max(retryAfterShort, machine.quietRetryAfter), Reason: reason}
	case machine.targetError != nil && !machine.isScatterGather():
		return Finish{Code: result.Relayed, Answer: machine.targetError, Reason: reason}
	default:
		return Finish{Code: result.Broken, Reason: reason}
	}
}

// deadlineFinish returns the end of a request whose deadline has passed.
func (machine *Machine) deadlineFinish() Finish {
	if !machine.MayHaveRun() {
		return Finish{Code: result.NoTarget, RetryAfter: retryAfterShort, Reason: "no target accepted the request before the deadline"}
	}
	return Finish{Code: result.DeadlineExceeded, Reason: "the deadline passed"}
}

// MayHaveRun reports whether any attempt ran, may have run or may still run, here or at an earlier instance.
func (machine *Machine) MayHaveRun() bool {
	return machine.endedMayHaveRun || len(machine.attempts) > 0 || machine.plan.Spent.Total() > 0
}

// finish ends the request; the host cancels the attempts in flight.
func (machine *Machine) finish(finish Finish) []Action {
	machine.finished = true
	machine.endTrial()
	return []Action{finish.Truthful(machine.MayHaveRun())}
}

// Gaps returns the services without an answer, for the log.
func (machine *Machine) Gaps(now time.Time) []Gap {
	var gaps []Gap
	for _, part := range machine.parts {
		if part.answer == nil {
			gap := Gap{part.service, part.tried, 0, part.failed, part.skipReason}
			if !part.lastSent.IsZero() {
				gap.Waited = now.Sub(part.lastSent)
			}
			gaps = append(gaps, gap)
		}
	}
	return gaps
}

// Gap describes a service of the request that did not answer.
type Gap struct {
	Service    string        `json:"service"`
	Tried      []string      `json:"tried"`          // IDs of targets
	Waited     time.Duration `json:"waited"`         // time since the newest attempt, 0 without one
	Failed     bool          `json:"gave_up"`        // whether the part failed, so that no further attempt was allowed
	SkipReason string        `json:"held,omitempty"` // why no further target was tried
}
