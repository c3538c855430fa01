package request

import (
	"slices"
	"time"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
)

// consult asks what is known against the fingerprint now.
func (machine *Machine) consult(now time.Time) {
	machine.verdict = max(machine.verdict, machine.plan.Marks.Judge(now, machine.plan.Fingerprint))
	machine.version = max(machine.version, machine.plan.Marks.Version(machine.plan.Fingerprint))
	if ready := machine.plan.Marks.Changed(machine.plan.Fingerprint).Add(trialDelay); ready.After(machine.trialAt) {
		machine.trialAt = ready
	}
	for _, target := range machine.plan.Marks.Lost(machine.plan.Fingerprint) {
		if !slices.Contains(machine.lost, target) {
			machine.lost = append(machine.lost, target)
		}
	}
}

// restartPatience gives the other shards their time after a trial has used it up.
func (machine *Machine) restartPatience(now time.Time) {
	if !machine.plan.Patience.IsZero() {
		machine.plan.Patience = now.Add(machine.plan.Kind.Patience.Std())
	}
}

// fanOut frees the shards that were not asked or given up while the fingerprint was not trusted.
func (machine *Machine) fanOut() {
	machine.mode = open
	for _, part := range machine.parts {
		if part.dead && part.live == 0 && part.tries < maxTries {
			part.dead, part.begun = false, false
		}
	}
}

// fail decides what a failed attempt means for its shard and for the whole request.
func (machine *Machine) fail(now time.Time, attempt *attempt, answer holder.Answer) []Action {
	part := attempt.part
	machine.lastCode = answer.Code
	if part.done {
		return nil
	}
	if attempt.why == Trial && answer.Ran == result.RanNo {
		machine.trials--
	}
	if answer.Ran != result.RanNo && !machine.plan.Kind.Repeatable {
		return machine.end(answer.Code, "the request may have run")
	}
	switch answer.Code {
	case result.Quarantined:
		machine.retryHint = answer.RetryAfter
		return machine.end(result.Quarantined, "the request crashed too many targets")
	case result.Suspect:
		return machine.enterTrial(now, "")
	case result.Broken:
		if attempt.why == Trial {
			return machine.end(result.Quarantined, "the request broke a second target")
		}
		if machine.verdict != quarantine.Clear {
			return machine.enterTrial(now, attempt.choice.Target)
		}
		machine.retry(now, part, false)
	case result.SnapshotGone, result.RangeNotHeld:
		return machine.repin(now, part)
	case result.Overloaded, result.Shed:
		machine.overload = true
		machine.retryHint = max(machine.retryHint, answer.RetryAfter)
		machine.retryLater(now, part, answer.RetryAfter)
	case result.TooLate:
		part.dead = part.live == 0
	case result.NotHolder, result.HolderLost:
		// The target itself is not at fault and may be reached through another holder.
		machine.router.AvoidHolder(now, attempt.choice.Holder.Name)
		part.tried = slices.DeleteFunc(part.tried, func(name string) bool { return name == attempt.choice.Target })
		machine.retry(now, part, false)
	case result.Draining, result.ConnectRefused, result.Paused, result.Stopping:
		machine.retry(now, part, false)
	default:
		machine.retry(now, part, true)
	}
	return nil
}

// retryLater plans another attempt after a refusal for load. Without budget a request that wants whole coverage
// moves to a replica that has not refused it, since the refusal cost no target anything; after the last one it
// comes back when the holder said, or when half of its time is left if that would be too late: the holder's word
// has a floor that is meant for callers.
func (machine *Machine) retryLater(now time.Time, part *part, after time.Duration) {
	machine.retry(now, part, true)
	// One shard alone has nothing to lose by a refusal that the caller sees at once.
	patient := machine.plan.Kind.Rule == document.Coverage && len(machine.parts) > 1 && part.tries < maxTries
	if !part.dead || !patient {
		return
	}
	if machine.canChoose(now, part) {
		part.dead = false
		part.retryAt = now
		return
	}
	comeBack := now.Add(max(min(after, machine.lastMoment().Sub(now)/2), part.backoff))
	if comeBack.Before(machine.lastMoment()) {
		part.dead = false
		part.retryAt = comeBack
	}
}

// retry plans another attempt at the shard, from the budget if the last one cost a target anything.
func (machine *Machine) retry(now time.Time, part *part, paid bool) {
	if part.live > 0 {
		return
	}
	if part.tries >= maxTries || paid && !machine.router.Spend() {
		part.dead = true
		return
	}
	part.retryAt = now
	if paid || part.tries > 2 {
		part.retryAt = now.Add(part.backoff)
		part.backoff = min(2*part.backoff, backoffMost)
	}
}

// enterTrial stops everything else and plans the one run of a suspect fingerprint.
func (machine *Machine) enterTrial(now time.Time, lost string) []Action {
	if lost != "" && !slices.Contains(machine.lost, lost) {
		machine.lost = append(machine.lost, lost)
	}
	if machine.mode == trial && machine.trials > 0 || len(machine.lost) >= quarantine.MaxLosses {
		return machine.endSuspect("the request is suspected to crash targets")
	}
	var actions []Action
	for _, part := range machine.parts {
		part.hedgeAt, part.retryAt = time.Time{}, time.Time{}
		actions = append(actions, machine.cancelPart(part)...)
	}
	machine.version = max(machine.version, 1)
	machine.mode = trial
	machine.trialAt = now.Add(trialDelay)
	machine.verdict = quarantine.Suspect
	if machine.trialAt.After(machine.lastMoment()) {
		return append(actions, machine.endSuspect("no time is left for a trial")...)
	}
	return actions
}

// repin starts the whole request again on a newer snapshot, if no other replica serves this one.
func (machine *Machine) repin(now time.Time, part *part) []Action {
	if _, ok := machine.router.Choose(now, machine.plan.Pin, part.index, part.tried); ok {
		part.retryAt = now
		return nil
	}
	pin, ok := machine.router.Pin(now)
	same := pin.Snapshot == machine.plan.Pin.Snapshot && pin.Map == machine.plan.Pin.Map
	if !ok || same || machine.restarts >= maxRestarts {
		part.dead = part.live == 0
		return nil
	}
	machine.restarts++
	var actions []Action
	for _, part := range machine.parts {
		actions = append(actions, machine.cancelPart(part)...)
	}
	machine.plan.Pin = pin
	machine.divide()
	return actions
}

// endSuspect answers with what was there before the suspicion, or not at all.
func (machine *Machine) endSuspect(detail string) []Action {
	if machine.covered() > 0 {
		return machine.endWithWhatIsThere(detail)
	}
	return machine.end(result.Suspect, detail)
}
