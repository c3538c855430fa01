package request

import (
	"slices"
	"time"

	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/route"
	"shallotreel.example/reel/target"
)

// advancePart sends the attempt at the part's shard that is due at now, if any.
func (machine *Machine) advancePart(now time.Time, part *part) []Action {
	switch {
	case part.answered || part.failed:
		return nil
	case !part.started:
		return machine.sendAttempt(now, part, First)
	case !part.retryAt.IsZero() && !now.Before(part.retryAt):
		return machine.sendAttempt(now, part, Retry)
	case !part.hedgeAt.IsZero() && !now.Before(part.hedgeAt):
		part.hedgeAt = time.Time{}
		if part.inFlight == 1 && machine.mayHedge() && machine.hasUntriedTarget(now, part) && machine.router.SpendBudget() {
			return machine.sendAttempt(now, part, Hedge)
		}
	}
	return nil
}

func (machine *Machine) mayHedge() bool {
	return machine.plan.Kind.Repeatable && machine.mode != trialMode
}

func (machine *Machine) hasUntriedTarget(now time.Time, part *part) bool {
	_, ok := machine.router.Choose(now, machine.plan.Pin, part.index, part.triedTargets)
	return ok
}

// advanceCanary sends attempts to one shard only. It proceeds to the next shard if the first one fails.
func (machine *Machine) advanceCanary(now time.Time) []Action {
	part := machine.firstUnansweredPart()
	if part.failed {
		return nil
	}
	return machine.advancePart(now, part)
}

// firstUnansweredPart returns the first part without a result, starting at a shard derived from the fingerprint. All
// instances use the same order.
func (machine *Machine) firstUnansweredPart() *part {
	first := int(uint64(machine.plan.Fingerprint) % uint64(len(machine.parts)))
	for i := range machine.parts {
		part := machine.parts[(first+i)%len(machine.parts)]
		if !part.failed && !part.answered {
			return part
		}
	}
	return machine.parts[first]
}

// advanceTrial sends the single trial attempt once the mark has had time to reach all instances, and finishes the
// request if the trial got no answer.
func (machine *Machine) advanceTrial(now time.Time) []Action {
	if now.Before(machine.trialAt) || machine.trialsSent > 0 && len(machine.attempts) > 0 {
		return nil
	}
	if machine.trialsSent > 0 {
		return machine.finishSuspect("the trial run of the request got no answer")
	}
	machine.refreshVerdict(now)
	if machine.verdict == quarantine.Quarantined || len(machine.crashedTargets) >= quarantine.MaxLosses {
		return machine.finish(result.Quarantined, "the request crashed too many targets")
	}
	if now.Before(machine.trialAt) {
		return nil
	}
	machine.trialsSent++
	actions := machine.sendAttempt(now, machine.firstUnansweredPart(), Trial)
	if len(actions) == 0 {
		return machine.finishSuspect("no target is left for a trial run")
	}
	return actions
}

// sendAttempt sends one attempt to a target of the shard that has not been tried. A retry starts over with all targets
// when every one has been tried.
func (machine *Machine) sendAttempt(now time.Time, part *part, kind AttemptKind) []Action {
	part.retryAt = time.Time{}
	if machine.mode == canaryMode && kind == First {
		kind = Canary
	}
	choice, ok := machine.chooseTarget(now, part, kind)
	if !ok && kind == Retry {
		part.triedTargets = nil
		choice, ok = machine.chooseTarget(now, part, kind)
	}
	if !ok {
		part.failed = part.inFlight == 0
		return nil
	}
	part.started = true
	part.attempts++
	part.inFlight++
	part.triedTargets = append(part.triedTargets, choice.Target)
	if kind != Trial {
		delay := machine.router.HedgeDelay(now, part.shard, machine.plan.Preset.HedgeQuantile)
		part.hedgeAt = now.Add(delay)
	}
	id := machine.newAttemptID()
	machine.attempts[id] = &attempt{part: part, choice: choice, kind: kind, sentAt: now}
	machine.attemptsSent++
	machine.router.AttemptStarted(choice.Target, kind == First || kind == Canary, machine.plan.Preset.ExtraLoad)
	return []Action{Send{Sub: machine.subRequest(id, part, choice, kind), Choice: choice, Kind: kind}}
}

func (machine *Machine) chooseTarget(now time.Time, part *part, kind AttemptKind) (route.Choice, bool) {
	if kind == Trial {
		exclude := slices.Concat(machine.crashedTargets, part.triedTargets)
		return machine.router.ChooseByFingerprint(now, machine.plan.Pin, part.index, machine.plan.Fingerprint, exclude)
	}
	if machine.verdict == quarantine.Untried && machine.mode == canaryMode {
		return machine.router.ChooseByFingerprint(now, machine.plan.Pin, part.index, machine.plan.Fingerprint, part.triedTargets)
	}
	return machine.router.Choose(now, machine.plan.Pin, part.index, part.triedTargets)
}

func (machine *Machine) subRequest(id target.Attempt, part *part, choice route.Choice, kind AttemptKind) holder.SubRequest {
	return holder.SubRequest{
		Request: target.Request{
			Attempt: id, RequestID: machine.plan.RequestID, Kind: machine.plan.Kind.Name,
			Operation: machine.plan.Kind.Operation, Query: machine.plan.Query,
			Snapshot: machine.plan.Pin.Snapshot, Range: part.shard.Range, Deadline: machine.plan.Deadline,
		},
		From: machine.plan.From, Target: choice.Target, Weight: machine.plan.Kind.Weight,
		Fingerprint: machine.plan.Fingerprint, Alone: kind == Trial,
		Trust: quarantine.Trust{
			Passed:  machine.verdict == quarantine.Clear || machine.answeredParts() > 0,
			Version: machine.markVersion,
		},
	}
}

// AttemptShard returns the shard of an unanswered attempt, or the zero value if the attempt is unknown.
func (machine *Machine) AttemptShard(id target.Attempt) route.Shard {
	if attempt, ok := machine.attempts[id]; ok {
		return attempt.part.shard
	}
	return route.Shard{}
}
