package request

import (
	"slices"
	"time"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
)

// refreshVerdict takes over the current crash history of the fingerprint; the verdict never becomes less restrictive.
func (machine *Machine) refreshVerdict(now time.Time) {
	machine.verdict = max(machine.verdict, machine.plan.CrashHistory.Verdict(now, machine.plan.Fingerprint))
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

// restartSoftDeadline sets a new soft deadline for the remaining shards after a trial, during which the first one may
// have passed.
func (machine *Machine) restartSoftDeadline(now time.Time) {
	if !machine.plan.SoftDeadline.IsZero() {
		machine.plan.SoftDeadline = now.Add(machine.plan.Kind.Patience.Std())
	}
}

// startFanOut allows attempts on all shards. It reactivates parts that failed while the fingerprint was not trusted,
// unless they have used up their attempts.
func (machine *Machine) startFanOut() {
	machine.mode = fanOutMode
	for _, part := range machine.parts {
		if part.failed && part.inFlight == 0 && part.attempts < maxAttemptsPerShard {
			part.failed, part.started = false, false
		}
	}
}

// handleFailure decides, by the result code of a failed attempt, whether to retry, run a trial, repin or finish.
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
			return machine.finish(result.Quarantined, "the request crashed a second target")
		}
		if machine.verdict != quarantine.Clear {
			return machine.startTrial(now, attempt.choice.Target)
		}
		machine.scheduleRetry(now, part, true)
	case result.SnapshotGone, result.RangeNotHeld:
		return machine.retryOrRepin(now, part)
	case result.Overloaded, result.Shed:
		machine.overloaded = true
		machine.retryAfter = max(machine.retryAfter, answer.RetryAfter)
		machine.retryAfterOverload(now, part, answer.RetryAfter)
	case result.TooLate:
		part.failed = part.inFlight == 0
	case result.NotHolder, result.HolderLost:
		// The holder failed, not the target, so the target may be tried again through another holder.
		machine.router.AvoidHolder(now, attempt.choice.Holder.Name)
		part.triedTargets = slices.DeleteFunc(part.triedTargets, func(name string) bool { return name == attempt.choice.Target })
		machine.scheduleRetry(now, part, answer.Ran != result.RanNo)
	case result.Draining, result.ConnectRefused, result.Paused, result.Stopping:
		machine.scheduleRetry(now, part, false)
	default:
		machine.scheduleRetry(now, part, true)
	}
	return nil
}

// retryAfterOverload schedules another attempt after a rejection because of overload. If the retry budget is empty, a
// request that requires full coverage still tries the replicas that have not rejected it, because a rejection causes
// no work at a target. When all have rejected it, it retries after the holder's RetryAfter, but after at most half of
// the remaining time: RetryAfter has a lower bound that is meant for callers and can exceed the deadline.
func (machine *Machine) retryAfterOverload(now time.Time, part *part, after time.Duration) {
	machine.scheduleRetry(now, part, true)
	// A request for a single shard has no other results to lose, so its caller gets the rejection at once.
	waits := machine.plan.Kind.Rule == document.Coverage && len(machine.parts) > 1 && part.attempts < maxAttemptsPerShard
	if !part.failed || !waits {
		return
	}
	if machine.hasUntriedTarget(now, part) {
		part.failed = false
		part.retryAt = now
		return
	}
	retryAt := now.Add(max(min(after, machine.answerDeadline().Sub(now)/2), part.backoff))
	if retryAt.Before(machine.answerDeadline()) {
		part.failed = false
		part.retryAt = retryAt
	}
}

// scheduleRetry schedules another attempt at the shard unless one is in flight. A paid retry takes a token from the
// budget, which bounds the extra load on targets, and waits for the backoff. It is one after an attempt that may have run.
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

// startTrial cancels all attempts and schedules the single trial run of a suspect fingerprint. It excludes the crashed
// target, if the name is not empty, from the trial.
func (machine *Machine) startTrial(now time.Time, crashed string) []Action {
	if crashed != "" && !slices.Contains(machine.crashedTargets, crashed) {
		machine.crashedTargets = append(machine.crashedTargets, crashed)
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
		return append(actions, machine.finishSuspect("no time is left for a trial run")...)
	}
	return actions
}

// retryOrRepin retries on another replica that serves the pinned snapshot. If there is none, it restarts the whole
// request with the current pin, because results of different snapshots must not be mixed.
func (machine *Machine) retryOrRepin(now time.Time, part *part) []Action {
	if _, ok := machine.router.Choose(now, machine.plan.Pin, part.index, part.triedTargets); ok && part.attempts < maxAttemptsPerShard {
		part.retryAt = now
		return nil
	}
	pin, ok := machine.router.Pin(now)
	same := pin.Snapshot == machine.plan.Pin.Snapshot && pin.Map == machine.plan.Pin.Map
	if !ok || same || machine.repins >= maxRepins {
		part.failed = part.inFlight == 0
		return nil
	}
	machine.repins++
	var actions []Action
	for _, part := range machine.parts {
		actions = append(actions, machine.cancelPart(part)...)
	}
	machine.plan.Pin = pin
	machine.makeParts()
	return actions
}

// finishSuspect finishes with the shards answered before the fingerprint became suspect, or with result.Suspect.
func (machine *Machine) finishSuspect(detail string) []Action {
	if machine.answeredParts() > 0 {
		return machine.finishWithAnsweredParts(detail)
	}
	return machine.finish(result.Suspect, detail)
}
