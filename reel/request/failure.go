package request

import (
	"slices"
	"time"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
)

// refreshVerdict asks what is known against the fingerprint now.
func (machine *Machine) refreshVerdict(now time.Time) {
	machine.verdict = max(machine.verdict, machine.plan.CrashHistory.Judge(now, machine.plan.Fingerprint))
	machine.markVersion = max(machine.markVersion, machine.plan.CrashHistory.Version(machine.plan.Fingerprint))
	if ready := machine.plan.CrashHistory.ChangedAt(machine.plan.Fingerprint).Add(trialDelay); ready.After(machine.trialAt) {
		machine.trialAt = ready
	}
	for _, target := range machine.plan.CrashHistory.CrashedTargets(machine.plan.Fingerprint) {
		if !slices.Contains(machine.crashedTargets, target) {
			machine.crashedTargets = append(machine.crashedTargets, target)
		}
	}
}

// restartPatience gives the other shards their time after a trial has used it up.
func (machine *Machine) restartPatience(now time.Time) {
	if !machine.plan.Patience.IsZero() {
		machine.plan.Patience = now.Add(machine.plan.Kind.Patience.D())
	}
}

// startFanOut frees the shards that were not asked or given up while the fingerprint was not trusted.
func (machine *Machine) startFanOut() {
	machine.mode = fanOutMode
	for _, part := range machine.parts {
		if part.failed && part.inFlight == 0 && part.attempts < maxAttemptsPerShard {
			part.failed, part.started = false, false
		}
	}
}

// handleFailure decides what a failed attempt means for its shard and for the whole request.
func (machine *Machine) handleFailure(now time.Time, attempt *attempt, answer holder.Answer) []Action {
	part := attempt.part
	machine.lastCode = answer.Code
	if part.answered {
		return nil
	}
	if attempt.kind == Trial && answer.Ran == result.RanNo {
		machine.trialsSent--
	}
	if answer.Ran != result.RanNo && !machine.plan.Kind.Repeatable {
		return machine.finish(answer.Code, "the request may have run")
	}
	switch answer.Code {
	case result.Quarantined:
		machine.retryAfter = answer.RetryAfter
		return machine.finish(result.Quarantined, "the request crashed too many targets")
	case result.Suspect:
		return machine.startTrial(now, "")
	case result.Broken:
		if attempt.kind == Trial {
			return machine.finish(result.Quarantined, "the request broke a second target")
		}
		if machine.verdict != quarantine.Clear {
			return machine.startTrial(now, attempt.choice.Target)
		}
		machine.scheduleRetry(now, part, false)
	case result.SnapshotGone, result.RangeNotHeld:
		return machine.retryOrRepin(now, part)
	case result.Overloaded, result.Shed:
		machine.overloaded = true
		machine.retryAfter = max(machine.retryAfter, answer.RetryAfter)
		machine.retryAfterOverload(now, part, answer.RetryAfter)
	case result.TooLate:
		part.failed = part.inFlight == 0
	case result.NotHolder, result.HolderLost:
		// The target itself is not at fault and may be reached through another holder.
		machine.router.AvoidHolder(now, attempt.choice.Holder.Name)
		part.triedTargets = slices.DeleteFunc(part.triedTargets, func(name string) bool { return name == attempt.choice.Target })
		machine.scheduleRetry(now, part, false)
	case result.Draining, result.ConnectRefused, result.Paused, result.Stopping:
		machine.scheduleRetry(now, part, false)
	default:
		machine.scheduleRetry(now, part, true)
	}
	return nil
}

// retryAfterOverload plans another attempt after a refusal for load. Without budget a request that wants whole coverage
// moves to a replica that has not refused it, since the refusal cost no target anything; after the last one it
// comes back when the holder said, or when half of its time is left if that would be too late: the holder's word
// has a floor that is meant for callers.
func (machine *Machine) retryAfterOverload(now time.Time, part *part, after time.Duration) {
	machine.scheduleRetry(now, part, true)
	// One shard alone has nothing to lose by a refusal that the caller sees at once.
	patient := machine.plan.Kind.Rule == document.Coverage && len(machine.parts) > 1 && part.attempts < maxAttemptsPerShard
	if !part.failed || !patient {
		return
	}
	if machine.hasUntriedTarget(now, part) {
		part.failed = false
		part.retryAt = now
		return
	}
	comeBack := now.Add(max(min(after, machine.answerDeadline().Sub(now)/2), part.backoff))
	if comeBack.Before(machine.answerDeadline()) {
		part.failed = false
		part.retryAt = comeBack
	}
}

// scheduleRetry plans another attempt at the shard, from the budget if the last one cost a target anything.
func (machine *Machine) scheduleRetry(now time.Time, part *part, paid bool) {
	if part.inFlight > 0 {
		return
	}
	if part.attempts >= maxAttemptsPerShard || paid && !machine.router.SpendBudget() {
		part.failed = true
		return
	}
	part.retryAt = now
	if paid || part.attempts > 2 {
		part.retryAt = now.Add(part.backoff)
		part.backoff = min(2*part.backoff, maxBackoff)
	}
}

// startTrial stops everything else and plans the one run of a suspect fingerprint.
func (machine *Machine) startTrial(now time.Time, lost string) []Action {
	if lost != "" && !slices.Contains(machine.crashedTargets, lost) {
		machine.crashedTargets = append(machine.crashedTargets, lost)
	}
	if machine.mode == trialMode && machine.trialsSent > 0 || len(machine.crashedTargets) >= quarantine.MaxLosses {
		return machine.finishSuspect("the request is suspected to crash targets")
	}
	var actions []Action
	for _, part := range machine.parts {
		part.hedgeAt, part.retryAt = time.Time{}, time.Time{}
		actions = append(actions, machine.cancelPart(part)...)
	}
	machine.markVersion = max(machine.markVersion, 1)
	machine.mode = trialMode
	machine.trialAt = now.Add(trialDelay)
	machine.verdict = quarantine.Suspect
	if machine.trialAt.After(machine.answerDeadline()) {
		return append(actions, machine.finishSuspect("no time is left for a trial")...)
	}
	return actions
}

// retryOrRepin starts the whole request again on a newer snapshot, if no other replica serves this one.
func (machine *Machine) retryOrRepin(now time.Time, part *part) []Action {
	if _, ok := machine.router.Choose(now, machine.plan.Pin, part.index, part.triedTargets); ok {
		part.retryAt = now
		return nil
	}
	pin, ok := machine.router.Pin(now)
	same := pin.Snapshot == machine.plan.Pin.Snapshot && pin.Map == machine.plan.Pin.Map
	if !ok || same || machine.snapshotRestarts >= maxSnapshotRestarts {
		part.failed = part.inFlight == 0
		return nil
	}
	machine.snapshotRestarts++
	var actions []Action
	for _, part := range machine.parts {
		actions = append(actions, machine.cancelPart(part)...)
	}
	machine.plan.Pin = pin
	machine.makeParts()
	return actions
}

// finishSuspect answers with what was there before the suspicion, or not at all.
func (machine *Machine) finishSuspect(detail string) []Action {
	if machine.answeredParts() > 0 {
		return machine.finishWithAnsweredParts(detail)
	}
	return machine.finish(result.Suspect, detail)
}
