package holder

import (
	"slices"
	"time"

	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
)

// checkFingerprint returns OK if the verdict on the fingerprint lets the sub-request run, else the code of the refusal.
// A suspect fingerprint may run only as a trial, that is, alone.
func (machine *Machine) checkFingerprint(now time.Time, sub SubRequest) result.Code {
	switch machine.tracker.VerdictWithTrust(now, sub.Fingerprint, sub.Trust) {
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

func (machine *Machine) isTrusted(now time.Time, sub SubRequest) bool {
	return machine.tracker.VerdictWithTrust(now, sub.Fingerprint, sub.Trust) == quarantine.Clear
}

// mustBlock reports whether the sub-request must wait for another run of its fingerprint to end. A fingerprint that is
// not trusted has at most one run on the target at a time.
func (machine *Machine) mustBlock(now time.Time, sub SubRequest) bool {
	_, busy := machine.untriedRuns[sub.Fingerprint]
	return busy && !machine.isTrusted(now, sub)
}

// recordCrash attributes the crash to the fingerprint, unless the fingerprint is trusted and an untried one, which is
// the likelier cause, was running at this crash or at one within bystanderWindow before it.
func (machine *Machine) recordCrash(now time.Time, sub SubRequest, untriedRan bool) {
	trusted := machine.isTrusted(now, sub)
	if untriedRan {
		machine.crashedAt = now
	}
	bystander := untriedRan || now.Sub(machine.crashedAt) < bystanderWindow
	if trusted && bystander {
		return
	}
	machine.tracker.RecordCrash(now, sub.Fingerprint, machine.name)
}

// releaseBlocked offers the sub-requests again that waited for an untried run of the fingerprint to end.
func (machine *Machine) releaseBlocked(now time.Time, fingerprint quarantine.Fingerprint) []Action {
	if _, busy := machine.untriedRuns[fingerprint]; busy {
		return nil
	}
	blocked := machine.blocked[fingerprint]
	delete(machine.blocked, fingerprint)
	var actions []Action
	for _, sub := range blocked {
		actions = append(actions, machine.handleOffer(now, sub)...)
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
