package quarantine

import (
	"slices"
	"time"
)

const (
	// recentLoss is the age up to which losses of other requests raise a doubt, since targets then crash for other reasons.
	recentLoss = time.Minute
	// settleTime is how long MaxLosses crashes must stand before they quarantine a request, so that instances can learn
	// that another request was running at both crashes too.
	settleTime = 150 * time.Millisecond
	// completeSettleTime is the same for a request that was answered by all its services before, for any number of crashes.
	// It is longer because such a request is hardly the cause, and under load the marks of others arrive late.
	completeSettleTime = time.Second
)

// process identifies the process of a target that crashed.
type process struct {
	target string
	born   int64
}

func (loss Loss) process() process {
	return process{loss.Target, loss.Born}
}

// quarantinedUntil returns until when the fingerprint of the mark is quarantined, and false if it is not. Losses without
// evidence count only beside one with evidence, since all requests lose attempts in an outage, and until they expire.
func (tracker *Tracker) quarantinedUntil(now time.Time, mark Mark) (time.Time, bool) {
	confirmed := mark.confirmed()
	if tracker.quarantines(now, mark, confirmed) {
		return mark.Until, true
	}
	suspected := mark.suspected(now)
	if len(confirmed) == 0 || !tracker.quarantines(now, mark, suspected) {
		return time.Time{}, false
	}
	until := mark.Until
	for _, loss := range suspected {
		if loss.Pending {
			until = earlier(until, loss.At.Add(PendingLifetime))
		}
	}
	return until, true
}

// quarantines reports whether the losses of the mark quarantine its fingerprint. Of the requests that were running on a
// crashed target at most one is the cause, so a loss does not count that is also one of a likelier request. One
// crash more than MaxLosses is required if there is a doubt, two if another request was running at all of the crashes, and
// only a crash that was noticed at once counts for a request that ran before.
func (tracker *Tracker) quarantines(now time.Time, mark Mark, losses []Loss) bool {
	crashes := countWaves(losses)
	if crashes < MaxLosses {
		return false
	}
	if !mark.hasWaves() {
		return true
	}
	limit := MaxLosses
	switch {
	case tracker.hasRival(now, mark, losses):
		limit += 2 // the harmless one of them can run in the meantime, which clears it
	case mark.Proven || hasSilent(losses) || tracker.othersCrash(now, mark):
		limit++
	}
	counted := slices.DeleteFunc(slices.Clone(losses), func(loss Loss) bool {
		return mark.Proven && loss.Silent || tracker.isExplained(mark, loss, crashes)
	})
	if countWaves(counted) < limit {
		return false
	}
	if mark.Complete {
		return tracker.isSettled(now, mark.Fingerprint, losses, completeSettleTime)
	}
	return crashes > MaxLosses || tracker.isSettled(now, mark.Fingerprint, losses, settleTime)
}

// isSettled reports whether the losses have stood for the duration, here or at the instance that recorded them.
func (tracker *Tracker) isSettled(now time.Time, fingerprint Fingerprint, losses []Loss, duration time.Duration) bool {
	if now.Sub(tracker.lostAt[fingerprint]) >= duration {
		return true
	}
	return !slices.ContainsFunc(losses, func(loss Loss) bool { return now.Sub(loss.At) < duration })
}

// isExplained reports whether a likelier cause was running at the crash too: a request with more than the given number
// of crashes. One that was never answered by all its services is likelier than one that was, whatever their numbers: in
// an overload a popular harmless request runs on each target that crashes.
func (tracker *Tracker) isExplained(mark Mark, loss Loss, crashes int) bool {
	return slices.ContainsFunc(tracker.lost[loss.process()], func(fingerprint Fingerprint) bool {
		other := tracker.marks[fingerprint]
		switch {
		case fingerprint == mark.Fingerprint:
			return false
		case other.Complete != mark.Complete:
			return mark.Complete
		}
		return other.Crashes() > crashes
	})
}

// hasSilent reports whether any of the crashes was found only later.
func hasSilent(losses []Loss) bool {
	return slices.ContainsFunc(losses, func(loss Loss) bool { return loss.Silent })
}

// hasRival reports whether another request that can be the cause was running at all of the crashes too.
func (tracker *Tracker) hasRival(now time.Time, mark Mark, losses []Loss) bool {
	shared := map[Fingerprint][]Loss{}
	for _, loss := range losses {
		for _, other := range tracker.lost[loss.process()] {
			if other != mark.Fingerprint && (mark.Complete || !tracker.marks[other].Complete) {
				shared[other] = append(shared[other], loss)
			}
		}
	}
	crashes := countWaves(losses)
	for other, common := range shared {
		if countWaves(common) >= crashes && countWaves(tracker.marks[other].suspected(now)) >= crashes {
			return true
		}
	}
	return false
}

// othersCrash reports whether a target crashed recently while this request was not running on it.
func (tracker *Tracker) othersCrash(now time.Time, mark Mark) bool {
	for _, other := range tracker.marks {
		for _, loss := range other.Losses {
			if loss.Wave != 0 && !loss.Pending && now.Sub(loss.At) < recentLoss && !slices.Contains(tracker.lost[loss.process()], mark.Fingerprint) {
				return true
			}
		}
	}
	return false
}
