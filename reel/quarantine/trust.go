package quarantine

import (
	"slices"
	"time"
)

const (
	// TrustLifetime is how long a fingerprint is trusted after it ran without a crash.
	TrustLifetime = 10 * time.Minute
	// MaxTrusted is the number of trusted fingerprints that a Tracker keeps at most.
	MaxTrusted = 1 << 16
)

// Trust states, on behalf of the instance that received a request, whether the fingerprint ran without a crash.
// It is valid for marks up to and including Version.
type Trust struct {
	Passed  bool
	Version uint64
}

// IsProven reports whether the fingerprint ran without a crash, as far as this instance knows, so that only crashes that
// were noticed at once count against it.
func (tracker *Tracker) IsProven(now time.Time, fingerprint Fingerprint) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.marks[fingerprint].Proven || tracker.isTrusted(now, fingerprint)
}

// trust is what this instance knows of a fingerprint that ran without a crash.
type trust struct {
	until    time.Time
	complete bool // whether a request with it was answered by all its services
}

// isComplete reports whether a request with the fingerprint was answered by all its services, as far as the trust in it
// says. The caller must hold the lock.
func (tracker *Tracker) isComplete(now time.Time, fingerprint Fingerprint) bool {
	return tracker.isTrusted(now, fingerprint) && tracker.trusted[fingerprint].complete
}

// isTrusted reports whether the fingerprint is trusted at now. The caller must hold the lock.
func (tracker *Tracker) isTrusted(now time.Time, fingerprint Fingerprint) bool {
	return now.Before(tracker.trusted[fingerprint].until)
}

// withdrawTrust removes the trust in the fingerprint. The caller must hold the lock.
func (tracker *Tracker) withdrawTrust(fingerprint Fingerprint) {
	if _, trusted := tracker.trusted[fingerprint]; !trusted {
		return
	}
	delete(tracker.trusted, fingerprint)
	tracker.trustOrder = slices.DeleteFunc(tracker.trustOrder, func(other Fingerprint) bool { return other == fingerprint })
}

// addTrusted trusts the fingerprint for TrustLifetime and evicts the oldest entries beyond MaxTrusted.
func (tracker *Tracker) addTrusted(now time.Time, fingerprint Fingerprint) {
	old, trusted := tracker.trusted[fingerprint]
	if !trusted {
		tracker.trustOrder = append(tracker.trustOrder, fingerprint)
	}
	tracker.trusted[fingerprint] = trust{now.Add(TrustLifetime), old.complete || tracker.marks[fingerprint].Complete}
	for len(tracker.trustOrder) > MaxTrusted {
		delete(tracker.trusted, tracker.trustOrder[0])
		tracker.trustOrder = tracker.trustOrder[1:]
	}
}
