package crashwatch

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"shallotreel.example/reel/crash"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
)

const (
	// rankStep is how much later than the one before it each instance may try a quarantined request again. It is longer than a mark
	// takes to arrive, and than most trials take.
	rankStep = 3 * time.Second
	// outcomeTime is how long a crash may be found after the trial under which it came. It is longer than attempts are attributed.
	outcomeTime = 30 * time.Second
	// minRetryAfter is the least time after which the caller of a quarantined request should ask again.
	minRetryAfter = time.Second
)

// retrial is the trial of a quarantined request at this instance.
type retrial struct {
	beganAt time.Time
	spent   bool // whether an attempt was sent
}

// SetMembers names this instance and the members of the fleet, among which the fingerprint of a quarantined request decides who tries it first.
// Until then, this instance takes itself for the only one.
func (watch *Watch) SetMembers(self string, members []member.Member) {
	var others []string
	for _, member := range members {
		if member.Name != self && member.Reaches() {
			others = append(others, member.Name)
		}
	}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.self, watch.others = self, others
}

// rank returns how many other instances come before this one in trying a request with the fingerprint. All instances that know the same members have
// the same order, by rendezvous hashing. The caller must hold the lock.
func (watch *Watch) rank(fingerprint quarantine.Fingerprint) int {
	own, before := trialHash(watch.self, fingerprint), 0
	for _, other := range watch.others {
		if trialHash(other, fingerprint) < own {
			before++
		}
	}
	return before
}

func trialHash(instance string, fingerprint quarantine.Fingerprint) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(instance), uint64(fingerprint)))
}

// quarantineVerdict returns the verdict on a quarantined request and for how long it lasts.
func (watch *Watch) quarantineVerdict(now time.Time, fingerprint quarantine.Fingerprint) (quarantine.Verdict, time.Duration) {
	due, ok := watch.tracker.NextTrial(now, fingerprint)
	if !ok { // it has ended meanwhile
		return quarantine.Quarantined, minRetryAfter
	}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if now.Before(due) {
		return quarantine.Quarantined, max(minRetryAfter, due.Sub(now))
	}
	if watch.mayTry(now, fingerprint) && !now.Before(due.Add(time.Duration(watch.rank(fingerprint))*rankStep)) {
		return quarantine.TrialDue, 0
	}
	return quarantine.Quarantined, minRetryAfter
}

// mayTry reports whether no request with the fingerprint is on trial here, and the time after the last one is over. The caller must hold
// the lock.
func (watch *Watch) mayTry(now time.Time, fingerprint quarantine.Fingerprint) bool {
	next, tried := watch.trials[fingerprint]
	return !tried || !next.IsZero() && !now.Before(next)
}

// spendRetrial reports whether an attempt is the first of a trial of a quarantined request. The caller must hold the lock.
func (watch *Watch) spendRetrial(fingerprint quarantine.Fingerprint) bool {
	retrial, ok := watch.retrials[fingerprint]
	if !ok || retrial.spent {
		return false
	}
	retrial.spent = true
	return true
}

// endRetrial ends the trial of a quarantined request, and returns when the next trial may begin. The caller must hold the lock.
func (watch *Watch) endRetrial(fingerprint quarantine.Fingerprint, next time.Time) time.Time {
	retrial, ok := watch.retrials[fingerprint]
	if !ok {
		return next
	}
	delete(watch.retrials, fingerprint)
	if spaced := retrial.beganAt.Add(rankStep); spaced.After(next) {
		return spaced
	}
	return next
}

// recordRetrial tells all instances that a quarantined request is being tried.
func (watch *Watch) recordRetrial(attempt crash.Attempt) {
	mark, ok := watch.tracker.RecordTrial(attempt.SentAt, attempt.Fingerprint, trialID(attempt))
	if !ok {
		return
	}
	watch.mutex.Lock()
	watch.retried[attempt.Request] = attempt.SentAt
	watch.mutex.Unlock()
	watch.counters.retried.Inc(1)
	watch.write(attempt.SentAt, "quarantined request is tried again", logrus.Fields{"request": attempt.Request,
		"fingerprint": attempt.Fingerprint.String(), "target": attempt.Target.ID, "service": attempt.Target.Service,
		"crashes": mark.Crashes(), "trials": len(mark.Trials) + 1, "mark_version": mark.Version})
	watch.replicate(attempt.Fingerprint)
}

// failRetrial tells all instances if the attempt, under which a target crashed or may have, was that of a trial.
func (watch *Watch) failRetrial(now time.Time, attempt crash.Attempt) {
	watch.mutex.Lock()
	_, retried := watch.retried[attempt.Request]
	delete(watch.retried, attempt.Request)
	watch.mutex.Unlock()
	if !retried {
		return
	}
	if _, ok := watch.tracker.RecordFailedTrial(now, attempt.Fingerprint, trialID(attempt)); ok {
		watch.replicate(attempt.Fingerprint)
	}
}

// trialID returns an id of the trial to which the attempt belongs.
func trialID(attempt crash.Attempt) uint64 { return xxhash.Sum64String(attempt.Request) }
