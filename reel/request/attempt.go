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

func (machine *Machine) advance(now time.Time, part *part) []Action {
	switch {
	case part.done || part.dead:
		return nil
	case !part.begun:
		return machine.try(now, part, First)
	case !part.retryAt.IsZero() && !now.Before(part.retryAt):
		return machine.try(now, part, Retry)
	case !part.hedgeAt.IsZero() && !now.Before(part.hedgeAt):
		part.hedgeAt = time.Time{}
		if part.live == 1 && machine.mayHedge() && machine.canChoose(now, part) && machine.router.Spend() {
			return machine.try(now, part, Hedge)
		}
	}
	return nil
}

func (machine *Machine) mayHedge() bool {
	return machine.plan.Kind.Repeatable && machine.mode != trial
}

func (machine *Machine) canChoose(now time.Time, part *part) bool {
	_, ok := machine.router.Choose(now, machine.plan.Pin, part.index, part.tried)
	return ok
}

// advanceCanary keeps to one shard, the next one if the first cannot be answered.
func (machine *Machine) advanceCanary(now time.Time) []Action {
	part := machine.firstOpen()
	if part.dead {
		return nil
	}
	return machine.advance(now, part)
}

// firstOpen returns the first unanswered shard in the order of the fingerprint, which is the same at all entries.
func (machine *Machine) firstOpen() *part {
	first := int(uint64(machine.plan.Fingerprint) % uint64(len(machine.parts)))
	for i := range machine.parts {
		part := machine.parts[(first+i)%len(machine.parts)]
		if !part.dead && !part.done {
			return part
		}
	}
	return machine.parts[first]
}

func (machine *Machine) advanceTrial(now time.Time) []Action {
	if now.Before(machine.trialAt) || machine.trials > 0 && len(machine.attempts) > 0 {
		return nil
	}
	if machine.trials > 0 {
		return machine.endSuspect("the trial of the request brought no answer")
	}
	machine.consult(now)
	if machine.verdict == quarantine.Quarantined || len(machine.lost) >= quarantine.MaxLosses {
		return machine.end(result.Quarantined, "the request crashed too many targets")
	}
	if now.Before(machine.trialAt) {
		return nil
	}
	machine.trials++
	actions := machine.try(now, machine.firstOpen(), Trial)
	if len(actions) == 0 {
		return machine.endSuspect("no target is left for a trial")
	}
	return actions
}

// try sends one attempt at the shard to a target that has not been tried.
func (machine *Machine) try(now time.Time, part *part, why Why) []Action {
	part.retryAt = time.Time{}
	if machine.mode == canary && why == First {
		why = Canary
	}
	choice, ok := machine.choose(now, part, why)
	if !ok && why == Retry {
		part.tried = nil
		choice, ok = machine.choose(now, part, why)
	}
	if !ok {
		part.dead = part.live == 0
		return nil
	}
	part.begun = true
	part.tries++
	part.live++
	part.tried = append(part.tried, choice.Target)
	if why != Trial {
		delay := machine.router.HedgeDelay(now, part.shard, machine.plan.Preset.HedgeQuantile)
		part.hedgeAt = now.Add(delay)
	}
	id := machine.newID()
	machine.attempts[id] = &attempt{part: part, choice: choice, why: why, sent: now}
	machine.sent++
	machine.router.Started(choice.Target, why == First || why == Canary, machine.plan.Preset.ExtraLoad)
	return []Action{Send{Sub: machine.sub(id, part, choice, why), Choice: choice, Why: why}}
}

func (machine *Machine) choose(now time.Time, part *part, why Why) (route.Choice, bool) {
	if why == Trial {
		not := slices.Concat(machine.lost, part.tried)
		return machine.router.ChooseFor(now, machine.plan.Pin, part.index, machine.plan.Fingerprint, not)
	}
	if machine.verdict == quarantine.Untried && machine.mode == canary {
		return machine.router.ChooseFor(now, machine.plan.Pin, part.index, machine.plan.Fingerprint, part.tried)
	}
	return machine.router.Choose(now, machine.plan.Pin, part.index, part.tried)
}

func (machine *Machine) sub(id target.Attempt, part *part, choice route.Choice, why Why) holder.SubRequest {
	return holder.SubRequest{
		Request: target.Request{
			Attempt: id, RequestID: machine.plan.RequestID, Kind: machine.plan.Kind.Name,
			Operation: machine.plan.Kind.Operation, Query: machine.plan.Query,
			Snapshot: machine.plan.Pin.Snapshot, Range: part.shard.Range, Deadline: machine.plan.Deadline,
		},
		From: machine.plan.From, Target: choice.Target, Weight: machine.plan.Kind.Weight,
		Fingerprint: machine.plan.Fingerprint, Alone: why == Trial,
		Trust: quarantine.Trust{
			Passed:  machine.verdict == quarantine.Clear || machine.covered() > 0,
			Version: machine.version,
		},
	}
}

// Shard returns the shard that an open attempt asks.
func (machine *Machine) Shard(id target.Attempt) route.Shard {
	if attempt, ok := machine.attempts[id]; ok {
		return attempt.part.shard
	}
	return route.Shard{}
}
