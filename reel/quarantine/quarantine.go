package quarantine

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// MarkLifetime is how long a mark is valid after its last change or refusal. Each expiry allows further crashes, so it
	// is half a day.
	MarkLifetime = 12 * time.Hour
	// renewalStep is the least extension of a mark's lifetime that is replicated.
	renewalStep = time.Hour
	// clearedLifetime is how long a mark without losses is kept, so that all instances learn of the success.
	clearedLifetime = time.Minute
)

// Fingerprint is a hash that identifies requests of the same kind and content.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (fingerprint Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(fingerprint))
}

// Verdict is the restriction under which requests with a fingerprint may run.
type Verdict int

// The verdicts, from the least to the most restrictive; their order is compared.
const (
	Clear       Verdict = iota // the fingerprint ran without a crash and may run on all shards at once
	Untried                    // the fingerprint has neither a mark nor a recorded success
	Suspect                    // a target crashed while the fingerprint ran on it
	Quarantined                // the fingerprint reached MaxLosses and is rejected
	TrialDue                   // the fingerprint is quarantined, and one request with it is to be tried now; a Tracker never returns it
)

// String returns the name of the verdict.
func (verdict Verdict) String() string {
	return [...]string{"clear", "untried", "suspect", "quarantined", "trial due"}[verdict]
}

// Tracker stores the marks and the trusted fingerprints of one instance. The zero value is ready to use, and a
// Tracker is safe for concurrent use.
type Tracker struct {
	mutex           sync.Mutex
	marks           map[Fingerprint]Mark
	lost            map[process][]Fingerprint // fingerprints with a loss, by the process that crashed
	trusted         map[Fingerprint]trust
	changedAt       map[Fingerprint]time.Time // when each mark last changed on this instance
	lostAt          map[Fingerprint]time.Time // when the number of crashes in each mark last changed on this instance
	evidenceAt      map[Fingerprint]time.Time // when this instance learned of the last crash or trial in each mark
	replicatedUntil map[Fingerprint]time.Time // expiry of each mark as the other instances know it
	trustOrder      []Fingerprint             // trusted fingerprints, oldest first
	changes         uint64                    // incremented whenever a mark changes or is removed
	digest          uint64                    // hash of all marks after digestChanges
	digestChanges   uint64
}

// Verdict returns the verdict on the fingerprint at now, using only the state of this instance.
func (tracker *Tracker) Verdict(now time.Time, fingerprint Fingerprint) Verdict {
	return tracker.VerdictWithTrust(now, fingerprint, Trust{})
}

// VerdictWithTrust returns the verdict on the fingerprint at now, taking into account the trust that the instance which
// received the request sent with it.
func (tracker *Tracker) VerdictWithTrust(now time.Time, fingerprint Fingerprint, trust Trust) Verdict {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	mark, marked := tracker.marks[fingerprint]
	if marked && now.Before(mark.Until) && len(mark.suspected(now)) > 0 {
		_, quarantined := tracker.quarantinedUntil(now, mark)
		switch {
		case quarantined:
			return Quarantined
		case !trust.Passed || trust.Version < mark.Version:
			return Suspect
		}
		return Clear
	}
	if trust.Passed || tracker.isTrusted(now, fingerprint) {
		return Clear
	}
	return Untried
}

// ChangedAt returns when the mark on the fingerprint last changed on this instance, or the zero time without a mark.
func (tracker *Tracker) ChangedAt(fingerprint Fingerprint) time.Time {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.changedAt[fingerprint]
}

// Version returns the version of the mark on the fingerprint, or 0 without a mark.
func (tracker *Tracker) Version(fingerprint Fingerprint) uint64 {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.marks[fingerprint].Version
}

// CrashedTargets returns the names of the targets that crashed while the fingerprint ran on them.
func (tracker *Tracker) CrashedTargets(fingerprint Fingerprint) []string {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var targets []string
	for _, loss := range tracker.marks[fingerprint].Losses {
		targets = append(targets, loss.Target)
	}
	return targets
}

// Remaining returns the time until the mark on the fingerprint expires, or until a quarantine ends that has no evidence
// yet. It is 0 without a mark.
func (tracker *Tracker) Remaining(now time.Time, fingerprint Fingerprint) time.Duration {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	mark := tracker.marks[fingerprint]
	if until, quarantined := tracker.quarantinedUntil(now, mark); quarantined {
		return max(0, until.Sub(now))
	}
	return max(0, mark.Until.Sub(now))
}

// RecordCrash records that a target crashed while the fingerprint ran on it and returns the new mark.
func (tracker *Tracker) RecordCrash(now time.Time, fingerprint Fingerprint, target string) Mark {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.addLoss(now, tracker.currentMark(now, fingerprint), Loss{Target: target, At: now})
}

// RecordLoss records a crash of a target while the fingerprint ran on it.
func (tracker *Tracker) RecordLoss(now time.Time, fingerprint Fingerprint, loss Loss) Mark {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	mark := tracker.currentMark(now, fingerprint)
	mark.Proven = mark.Proven || tracker.isTrusted(now, fingerprint)
	mark.Complete = mark.Complete || tracker.isComplete(now, fingerprint)
	return tracker.addLoss(now, mark, loss)
}

// addLoss adds the loss to the mark and withdraws the trust in its fingerprint. The caller must hold the lock.
func (tracker *Tracker) addLoss(now time.Time, mark Mark, loss Loss) Mark {
	tracker.ensureMaps()
	tracker.withdrawTrust(mark.Fingerprint)
	mark.Losses = mergeLosses(mark.Losses, []Loss{loss})
	mark.Version++
	mark.Until = now.Add(MarkLifetime)
	tracker.setMark(now, mark)
	return mark
}

// RecordSuccess records that the fingerprint ran without a crash. If this clears the losses of a mark, it returns
// the new mark and true. A quarantined fingerprint stays quarantined until its mark expires, unless its losses have waves.
func (tracker *Tracker) RecordSuccess(now time.Time, fingerprint Fingerprint) (Mark, bool) {
	return tracker.RecordServiceSuccess(now, fingerprint, "")
}

// RecordServiceSuccess records that the fingerprint ran at a service without a crash. It clears only the losses at that
// service, or all for an empty name, because a request may crash the targets of some services only.
func (tracker *Tracker) RecordServiceSuccess(now time.Time, fingerprint Fingerprint, service string) (Mark, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.ensureMaps()
	mark, marked := tracker.marks[fingerprint]
	if _, quarantined := tracker.quarantinedUntil(now, mark); quarantined && !mark.hasWaves() && now.Before(mark.Until) {
		return Mark{}, false
	}
	tracker.addTrusted(now, fingerprint)
	if !marked || len(mark.Losses) == 0 {
		return Mark{}, false
	}
	kept := slices.DeleteFunc(slices.Clone(mark.Losses), func(loss Loss) bool { return service == "" || loss.Service == service })
	if len(kept) == len(mark.Losses) && mark.Proven {
		return Mark{}, false
	}
	mark.Losses, mark.Proven = kept, mark.Proven || service != ""
	mark.Version++
	mark.Until = now.Add(MarkLifetime)
	if len(kept) == 0 {
		mark.Tried, mark.Trials = 0, nil
	}
	if len(kept) == 0 && service != "" {
		mark.Until = now.Add(clearedLifetime)
	}
	tracker.setMark(now, mark)
	return mark, true
}

// RecordCompletion records that a request with the fingerprint was answered by all its services. That clears the losses at services to which such a
// request doesn't go any more, as the function reports. It returns the mark on the fingerprint, and true if the mark changed.
func (tracker *Tracker) RecordCompletion(now time.Time, fingerprint Fingerprint, goesTo func(service string) bool) (Mark, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.ensureMaps()
	if trust, trusted := tracker.trusted[fingerprint]; trusted {
		trust.complete = true
		tracker.trusted[fingerprint] = trust
	}
	mark := tracker.currentMark(now, fingerprint)
	kept := slices.DeleteFunc(slices.Clone(mark.Losses), func(loss Loss) bool { return loss.Service != "" && !goesTo(loss.Service) })
	cleared := len(kept) < len(mark.Losses)
	if mark.Version == 0 || mark.Complete && !cleared {
		return mark, false
	}
	if cleared {
		mark.Losses, mark.Proven = kept, true
		if len(kept) == 0 {
			mark.Tried, mark.Trials, mark.Until = 0, nil, now.Add(clearedLifetime)
			tracker.addTrusted(now, fingerprint)
		}
	}
	// A mark without losses changes too: the next crash may be recorded by an instance that never completed the request.
	mark.Complete = true
	mark.Version++
	tracker.setMark(now, mark)
	return mark, true
}

// RecordRefusal records that a request with the quarantined fingerprint was refused, which renews its mark. It returns
// the renewed mark, and true if the renewal must be replicated.
func (tracker *Tracker) RecordRefusal(now time.Time, fingerprint Fingerprint) (Mark, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	mark, marked := tracker.marks[fingerprint]
	if !marked || !now.Before(mark.Until) {
		return Mark{}, false
	}
	due := now.Add(MarkLifetime).Sub(tracker.replicatedUntil[fingerprint]) >= renewalStep
	mark.Until = now.Add(MarkLifetime)
	tracker.marks[fingerprint] = mark
	if due {
		tracker.replicatedUntil[fingerprint] = mark.Until
	}
	return mark, due
}

// Merge applies a mark received from another instance and reports whether it changed the state. The higher
// version replaces the lower one and equal versions combine their losses, but a mark with MaxLosses keeps its losses
// unless the higher version is that of a success.
// The mark expires after MarkLifetime at the latest.
func (tracker *Tracker) Merge(now time.Time, received Mark) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.ensureMaps()
	if !now.Before(received.Until) {
		return false
	}
	received.Until = earlier(received.Until, now.Add(MarkLifetime))
	current := tracker.currentMark(now, received.Fingerprint)
	if received.Version < current.Version {
		return false
	}
	received.Proven = received.Proven || current.Proven
	received.Complete = received.Complete || current.Complete
	if !received.Proven && received.hasWaves() && tracker.isTrusted(now, received.Fingerprint) {
		received.Proven = true
		received.Version++ // tells the sender that the request ran here
	}
	if !received.Complete && received.hasWaves() && tracker.isComplete(now, received.Fingerprint) {
		received.Complete = true
		received.Version++
	}
	if trials := mergeTrials(current.Trials, received.Trials); len(received.Losses) > 0 && len(trials) > len(received.Trials) {
		received.Trials = trials
		if received.Version > current.Version {
			received.Version++ // makes the sender take over the trials that it does not have
		}
	}
	merged := mergeLosses(current.Losses, received.Losses)
	switch {
	case received.Version == current.Version:
		received.Losses, received.Tried = merged, max(received.Tried, current.Tried)
		if received.hash() == current.hash() && received.Until.Sub(current.Until) < renewalStep {
			return false
		}
	case current.Crashes() >= MaxLosses && len(merged) > len(received.Losses) && !(received.Proven && current.hasWaves()):
		received.Losses = merged
		received.Version++ // makes the sender take over the losses that it does not have
	}
	if received.Until.Before(current.Until) {
		received.Until = current.Until
	}
	if len(received.Losses) > 0 {
		tracker.withdrawTrust(received.Fingerprint)
	}
	tracker.setMark(now, received)
	return true
}

// Mark returns the mark on the fingerprint, or false if there is none or it has expired at now.
func (tracker *Tracker) Mark(now time.Time, fingerprint Fingerprint) (Mark, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	mark, ok := tracker.marks[fingerprint]
	return mark, ok && now.Before(mark.Until)
}

// Marks returns the marks that have not expired at now, ordered by fingerprint.
func (tracker *Tracker) Marks(now time.Time) []Mark {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var marks []Mark
	for _, mark := range tracker.marks {
		if now.Before(mark.Until) {
			marks = append(marks, mark)
		}
	}
	slices.SortFunc(marks, func(a, b Mark) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return marks
}

// Digest returns a hash of all marks without their expiry, by which two instances notice that their marks differ.
func (tracker *Tracker) Digest() uint64 {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.digestChanges == tracker.changes {
		return tracker.digest
	}
	tracker.digest, tracker.digestChanges = 0, tracker.changes
	for _, mark := range tracker.marks {
		tracker.digest ^= mark.hash()
	}
	return tracker.digest
}

// RemoveExpired deletes the marks and the trusted fingerprints that have expired at now.
func (tracker *Tracker) RemoveExpired(now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for fingerprint, mark := range tracker.marks {
		if !now.Before(mark.Until) {
			tracker.removeMark(fingerprint)
		}
	}
	for fingerprint, trust := range tracker.trusted {
		if !now.Before(trust.until) {
			delete(tracker.trusted, fingerprint)
		}
	}
	tracker.trustOrder = slices.DeleteFunc(tracker.trustOrder, func(fingerprint Fingerprint) bool {
		_, trusted := tracker.trusted[fingerprint]
		return !trusted
	})
}

// currentMark returns the unexpired mark on the fingerprint, or an empty mark.
func (tracker *Tracker) currentMark(now time.Time, fingerprint Fingerprint) Mark {
	mark, ok := tracker.marks[fingerprint]
	if !ok || !now.Before(mark.Until) {
		return Mark{Fingerprint: fingerprint}
	}
	return mark
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
