package holder

import (
	"slices"
	"time"

	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
)

// verdict returns OK when the fingerprint may run here in the way the sub-request asks.
func (machine *Machine) verdict(now time.Time, sub Sub) result.Code {
	switch machine.judge.JudgeFor(now, sub.Fingerprint, sub.Trust) {
	case quarantine.Quarantined:
		return result.Quarantined
	case quarantine.Suspect:
		if !sub.Alone {
			return result.Suspect
		}
	case quarantine.Clear, quarantine.Untried:
	}
	return result.OK
}

func (machine *Machine) trusted(now time.Time, sub Sub) bool {
	return machine.judge.JudgeFor(now, sub.Fingerprint, sub.Trust) == quarantine.Clear
}

func (machine *Machine) mustBlock(now time.Time, sub Sub) bool {
	_, busy := machine.untried[sub.Fingerprint]
	return busy && !machine.trusted(now, sub)
}

// broke marks the fingerprint, unless it is a trusted one beside an untried one.
func (machine *Machine) broke(now time.Time, sub Sub, untried bool) {
	trusted := machine.trusted(now, sub)
	if untried {
		machine.brokeAt = now
	}
	bystander := untried || now.Sub(machine.brokeAt) < bystanderTerm
	if trusted && bystander {
		return
	}
	machine.judge.RecordCrash(now, sub.Fingerprint, machine.name)
}

// release decides on the sub-requests that waited for the end of an untried run.
func (machine *Machine) release(now time.Time, fingerprint quarantine.Fingerprint) []Action {
	if _, busy := machine.untried[fingerprint]; busy {
		return nil
	}
	blocked := machine.blocked[fingerprint]
	delete(machine.blocked, fingerprint)
	var actions []Action
	for _, sub := range blocked {
		actions = append(actions, machine.offer(now, sub)...)
	}
	return actions
}

func sortedKeys[T any](items map[quarantine.Fingerprint]T) []quarantine.Fingerprint {
	keys := make([]quarantine.Fingerprint, 0, len(items))
	for key := range items {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
