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

// advanceCanary keeps to one shard, the next one if the first cannot be answered.
func (machine *Machine) advanceCanary(now time.Time) []Action {
	part := machine.firstUnansweredPart()
	if part.failed {
		return nil
	}
	return machine.advancePart(now, part)
}

// firstUnansweredPart returns the first unanswered shard in the order of the fingerprint, which is the same at all entries.
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

func (machine *Machine) advanceTrial(now time.Time) []Action {
	if now.Before(machine.trialAt) || machine.trialsSent > 0 && len(machine.attempts) > 0 {
		return nil
	}
	if machine.trialsSent > 0 {
		return machine.finishSuspect("the trial of the request brought no answer")
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
		return machine.finishSuspect("no target is left for a trial")
	}
	return actions
}

// sendAttempt sends one attempt at the shard to a target that has not been tried.
func (machine *Machine) sendAttempt(now time.Time, part *part, why AttemptKind) []Action {
	part.retryAt = time.Time{}
	if machine.mode == canaryMode && why == First {
		why = Canary
	}
	choice, ok := machine.chooseTarget(now, part, why)
	if !ok && why == Retry {
		part.triedTargets = nil
		choice, ok = machine.chooseTarget(now, part, why)
	}
	if !ok {
		part.failed = part.inFlight == 0
		return nil
	}
	part.started = true
	part.attempts++
	part.inFlight++
	part.triedTargets = append(part.triedTargets, choice.Target)
	if why != Trial {
		delay := machine.router.HedgeDelay(now, part.shard, machine.plan.Preset.HedgeQuantile)
		part.hedgeAt = now.Add(delay)
	}
	id := machine.newAttempt()
	machine.attempts[id] = &attempt{part: part, choice: choice, kind: why, sentAt: now}
	machine.attemptsSent++
	machine.router.AttemptStarted(choice.Target, why == First || why == Canary, machine.plan.Preset.ExtraLoad)
	return []Action{Send{Sub: machine.subRequest(id, part, choice, why), Choice: choice, Kind: why}}
}

func (machine *Machine) chooseTarget(now time.Time, part *part, why AttemptKind) (route.Choice, bool) {
	if why == Trial {
		not := slices.Concat(machine.crashedTargets, part.triedTargets)
		return machine.router.ChooseByFingerprint(now, machine.plan.Pin, part.index, machine.plan.Fingerprint, not)
	}
	if machine.verdict == quarantine.Untried && machine.mode == canaryMode {
		return machine.router.ChooseByFingerprint(now, machine.plan.Pin, part.index, machine.plan.Fingerprint, part.triedTargets)
	}
	return machine.router.Choose(now, machine.plan.Pin, part.index, part.triedTargets)
}

func (machine *Machine) subRequest(id target.Attempt, part *part, choice route.Choice, why AttemptKind) holder.Sub {
	return holder.Sub{
		Request: target.Request{
			Attempt: id, RequestID: machine.plan.RequestID, Kind: machine.plan.Kind.Name,
			Operation: machine.plan.Kind.Operation, Query: machine.plan.Query,
			Snapshot: machine.plan.Pin.Snapshot, Range: part.shard.Range, Deadline: machine.plan.Deadline,
		},
		From: machine.plan.From, Target: choice.Target, Weight: machine.plan.Kind.Weight,
		Fingerprint: machine.plan.Fingerprint, Alone: why == Trial,
		Trust: quarantine.Trust{
			Passed:  machine.verdict == quarantine.Clear || machine.answeredParts() > 0,
			Version: machine.markVersion,
		},
	}
}

// AttemptShard returns the shard that an open attempt asks.
func (machine *Machine) AttemptShard(id target.Attempt) route.Shard {
	if attempt, ok := machine.attempts[id]; ok {
		return attempt.part.shard
	}
	return route.Shard{}
}
