package quarantine

import (
	"slices"
	"time"
)

// trialDelays are the times between the last evidence against a quarantined fingerprint, or its last trial, and the next one, by the number of trials that
// failed. Without a trial nothing could show that it is harmless, since nothing of it is sent. Two may fail soon after each other, and a further
// one each MarkLifetime: the platform allows three repeats of a request that crashes its targets, and one of them is left for instances that learn of a
// mark late.
var trialDelays = [...]time.Duration{5 * time.Second, 30 * time.Second}

// maxTrials is the number of failed trials that a mark names at most. It takes a fortnight to reach it.
const maxTrials = 32

// NextTrial returns when a request with the quarantined fingerprint may be tried again, or false if it is not quarantined.
// The time is one of this instance, counted from when it learned of the last crash or trial.
func (tracker *Tracker) NextTrial(now time.Time, fingerprint Fingerprint) (time.Time, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	mark := tracker.marks[fingerprint]
	if _, quarantined := tracker.quarantinedUntil(now, mark); !quarantined || !now.Before(mark.Until) {
		return time.Time{}, false
	}
	delay := MarkLifetime
	if failed := len(mark.Trials); failed < len(trialDelays) {
		delay = trialDelays[failed]
	}
	return tracker.evidenceAt[fingerprint].Add(delay), true
}

// RecordTrial records that a request with the quarantined fingerprint is being tried; the id tells trials apart. It returns the new mark, and false if
// there is none.
func (tracker *Tracker) RecordTrial(now time.Time, fingerprint Fingerprint, id uint64) (Mark, bool) {
	return tracker.changeMark(now, fingerprint, func(mark *Mark) { mark.Tried = id })
}

// RecordFailedTrial records that a target crashed, or may have, under the trial. Other trials cost nothing, such as one whose targets are all gone.
func (tracker *Tracker) RecordFailedTrial(now time.Time, fingerprint Fingerprint, id uint64) (Mark, bool) {
	return tracker.changeMark(now, fingerprint, func(mark *Mark) { mark.Trials = mergeTrials(mark.Trials, []uint64{id}) })
}

// changeMark applies the change to the mark on the fingerprint, which is renewed, and returns it, or false if there is none.
func (tracker *Tracker) changeMark(now time.Time, fingerprint Fingerprint, change func(*Mark)) (Mark, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	mark, marked := tracker.marks[fingerprint]
	if !marked || !now.Before(mark.Until) {
		return Mark{}, false
	}
	change(&mark)
	mark.Version++
	mark.Until = now.Add(MarkLifetime)
	tracker.setMark(now, mark)
	return mark, true
}

// mergeTrials returns the union of both lists in ascending order, at most maxTrials.
func mergeTrials(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxTrials)]
}
