package warmup

import (
	"time"

	"shallotreel.example/reel/quota"
)

// Evidence says by what a target is believed to be cold or warm.
type Evidence string

// Kinds of evidence.
const (
	Registered Evidence = "registration"
	Answered   Evidence = "answer"
	Returned   Evidence = "its data centre has returned to service"
	Broken     Evidence = "a connection broke, so that it may have restarted"
	Started    Evidence = "a new process that has not reported"
	Elapsed    Evidence = "the time is over"
)

// process is what is known of the process of a target.
type process struct {
	service     string
	dataCentre  string
	born        int64
	warmUp      time.Duration
	rate        float64
	registered  time.Time // when the newest registration was read
	coldUntil   time.Time // as reported
	evidence    Evidence
	evidenceAt  time.Time // when the process last said whether it is cold
	suspicion   Evidence  // why the process may be cold, empty if its state is known
	suspectedAt time.Time // when the suspicion arose
	usedAt      time.Time // when the process was last considered for a request
	sentAt      time.Time // when a request was last sent to it while it was cold
	isCold      bool      // whether it was treated as cold when last considered
	bucket      *quota.Bucket
	part        float64
	partVersion uint64 // version of the senders by which the part was computed
	partMayHold bool   // whether the part was computed while this instance may hold parts
}

// report records that the process said, at a moment and by the evidence, for how long it is still cold.
func (process *process) report(at time.Time, left time.Duration, evidence Evidence) {
	if at.Before(process.evidenceAt) {
		return
	}
	process.evidence, process.evidenceAt = evidence, at
	process.coldUntil = time.Time{}
	if left > 0 {
		process.coldUntil = at.Add(left)
	}
	process.endSuspicion(at)
}

// endSuspicion ends a suspicion that arose before the moment.
func (process *process) endSuspicion(at time.Time) {
	if at.After(process.suspectedAt) {
		process.suspicion = ""
	}
}

// suspect records that the process may be cold since the moment, unless it said more recently whether it is.
func (process *process) suspect(at time.Time, reason Evidence) {
	if at.After(process.evidenceAt) && at.After(process.suspectedAt) {
		process.suspicion, process.suspectedAt = reason, at
	}
}

// coldEnd returns until when the process is treated as cold without further evidence. A suspicion lasts for the warm-up
// and suspicionMargin.
func (process *process) coldEnd() time.Time {
	end := process.coldUntil
	if process.suspicion != "" {
		if suspectedEnd := process.suspectedAt.Add(process.warmUp + suspicionMargin); suspectedEnd.After(end) {
			return suspectedEnd
		}
	}
	return end
}

// reason returns the evidence by which the process is cold at now, and when it was got.
func (process *process) reason(now time.Time) (Evidence, time.Time) {
	if now.Before(process.coldUntil) || process.suspicion == "" {
		return process.evidence, process.evidenceAt
	}
	return process.suspicion, process.suspectedAt
}

// warmth returns how far the warm-up has got at now, from leastWarmth to 1.
func (process *process) warmth(now time.Time) float64 {
	left := process.coldEnd().Sub(now)
	return max(leastWarmth, 1-left.Seconds()/(process.warmUp+suspicionMargin).Seconds())
}
