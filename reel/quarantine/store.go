package quarantine

import (
	"slices"
	"time"
)

// MaxMarks is the number of marks of each class that a Tracker keeps at most. The classes are those with no crash, with
// one, and with MaxLosses or more.
const MaxMarks = 1 << 10

// setMark stores the mark. Beyond the maximum of its class it removes the mark that would expire first.
func (tracker *Tracker) setMark(now time.Time, mark Mark) {
	old := tracker.marks[mark.Fingerprint]
	tracker.unindex(old)
	tracker.marks[mark.Fingerprint] = mark
	for _, loss := range mark.Losses {
		tracker.lost[loss.process()] = append(tracker.lost[loss.process()], mark.Fingerprint)
	}
	tracker.changedAt[mark.Fingerprint] = now
	if crashes := mark.Crashes(); crashes != old.Crashes() {
		tracker.lostAt[mark.Fingerprint] = now
	}
	if len(mark.Losses) > len(old.Losses) || mark.Tried != old.Tried || !slices.Equal(mark.Trials, old.Trials) {
		tracker.evidenceAt[mark.Fingerprint] = now
	}
	tracker.replicatedUntil[mark.Fingerprint] = mark.Until
	tracker.changes++
	if len(tracker.marks) <= MaxMarks {
		return
	}
	count, oldest := 0, mark
	for _, other := range tracker.marks {
		if other.class() != mark.class() {
			continue
		}
		count++
		if other.Until.Before(oldest.Until) {
			oldest = other
		}
	}
	if count > MaxMarks {
		tracker.removeMark(oldest.Fingerprint)
	}
}

// class returns the number of crashes, up to MaxLosses. Each class of marks has a maximum of its own, so that many requests
// with fewer crashes do not displace one with more.
func (mark Mark) class() int {
	return min(mark.Crashes(), MaxLosses)
}

func (tracker *Tracker) removeMark(fingerprint Fingerprint) {
	tracker.unindex(tracker.marks[fingerprint])
	delete(tracker.marks, fingerprint)
	delete(tracker.changedAt, fingerprint)
	delete(tracker.lostAt, fingerprint)
	delete(tracker.evidenceAt, fingerprint)
	delete(tracker.replicatedUntil, fingerprint)
	tracker.changes++
}

// unindex removes the losses of the mark from the index.
func (tracker *Tracker) unindex(mark Mark) {
	for _, loss := range mark.Losses {
		process := loss.process()
		tracker.lost[process] = slices.DeleteFunc(tracker.lost[process], func(other Fingerprint) bool { return other == mark.Fingerprint })
		if len(tracker.lost[process]) == 0 {
			delete(tracker.lost, process)
		}
	}
}

func (tracker *Tracker) ensureMaps() {
	if tracker.marks == nil {
		tracker.marks = map[Fingerprint]Mark{}
		tracker.lostAt = map[Fingerprint]time.Time{}
		tracker.evidenceAt = map[Fingerprint]time.Time{}
		tracker.lost = map[process][]Fingerprint{}
		tracker.changedAt = map[Fingerprint]time.Time{}
		tracker.replicatedUntil = map[Fingerprint]time.Time{}
		tracker.trusted = map[Fingerprint]trust{}
	}
}
