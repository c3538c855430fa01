package choice

import (
	"math"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/quota"
)

const (
	// partTTL is the age above which this instance's part of a limit is computed again, since the candidates change too.
	partTTL = time.Second
	// renewalWait is the time after the end of a limit within which a new one allows no request at once, since the target may
	// name one in some of its answers only.
	renewalWait = 4 * time.Second
	// limitTTL is the time without a request to the target after which its limit is forgotten.
	limitTTL = time.Hour
	// reportedLimitChange is the least relative change of a limit that is reported.
	reportedLimitChange = 0.2
	// limitReportInterval is the least time between two reports on a target, which may name a limit in some answers only.
	limitReportInterval = time.Second
)

// Limit is a rate in requests a second that a target takes from all instances together.
type Limit float64

// NoLimit is the limit of a target that names none.
var NoLimit = Limit(math.Inf(1))

// limitState is the limit of a target and what this instance has used of its part.
type limitState struct {
	limit    Limit
	reported Limit // the value of the last reported change, -1 before
	named    attemptOfProcess
	bucket   *quota.Bucket
	partAt   time.Time // when the part was computed
	partSet  uint64    // number of calls of SetFleet at that time
}

// attemptOfProcess identifies an attempt at a process by the start of both.
type attemptOfProcess struct {
	born   int64
	sentAt time.Time
}

// before reports whether the attempt was sent before the other one or to an earlier process.
func (attempt attemptOfProcess) before(other attemptOfProcess) bool {
	if attempt.born != other.born {
		return attempt.born < other.born
	}
	return attempt.sentAt.Before(other.sentAt)
}

// noteLimit records the limit in the answer to an attempt. An answer to an attempt that was sent before the one that last
// told is out of date if it would lift the limit or bring back one that has ended.
func (selector *Selector) noteLimit(now time.Time, target catalogue.Target, targetHealth *targetHealth, sentAt time.Time, limit Limit) {
	attempt := attemptOfProcess{target.Born, sentAt}
	known := targetHealth.limit
	switch {
	case limit == NoLimit:
		if known == nil || attempt.before(known.named) {
			return
		}
		targetHealth.limit, targetHealth.limitEnded = nil, attempt
		selector.reportLimit(now, target, targetHealth, HealthChange{Kind: LimitEnded, Limit: known.limit})
		return
	case attempt.before(targetHealth.limitEnded), known != nil && attempt.born < known.named.born:
		return
	case known == nil || attempt.born != known.named.born:
		known = &limitState{reported: -1, bucket: quota.NewBucket(1)}
		if attempt.born == targetHealth.limitEnded.born && attempt.sentAt.Sub(targetHealth.limitEnded.sentAt) < renewalWait {
			known.bucket = quota.NewBucket(0)
		}
		targetHealth.limit = known
	}
	if known.limit != limit {
		known.limit, known.partAt = limit, time.Time{}
	}
	if known.named.before(attempt) {
		known.named = attempt
	}
}

// limitWait returns the time until this instance may send a request to the target, one of the candidates for its service,
// by the target's limit. It is 0 if it may send one now.
func (selector *Selector) limitWait(now time.Time, target catalogue.Target, candidates []catalogue.Target) time.Duration {
	targetHealth, ok := selector.targets[target.ID]
	if !ok || targetHealth.limit == nil {
		return 0
	}
	limit := targetHealth.limit
	if limit.named.born != target.Born {
		targetHealth.limit = nil // the process that named it has ended
		return 0
	}
	if limit.partSet != selector.fleetSet || now.Sub(limit.partAt) >= partTTL || limit.bucket.IsStale(now, limit.partAt) {
		limit.bucket.SetPart(now, selector.partOf(now, target, candidates, limit.limit))
		limit.partAt, limit.partSet = now, selector.fleetSet
	}
	change := math.Abs(float64(limit.limit - limit.reported))
	if change > reportedLimitChange*max(float64(limit.reported), 0) && selector.reportLimit(now, target, targetHealth,
		HealthChange{Kind: Limited, Limit: limit.limit, Part: limit.bucket.Part().Rate, Members: len(selector.fleet.Members)}) {
		limit.reported = limit.limit
	}
	return limit.bucket.Wait(now)
}

// reportLimit reports a change of the target's limit, unless another one was reported within limitReportInterval.
func (selector *Selector) reportLimit(now time.Time, target catalogue.Target, targetHealth *targetHealth, change HealthChange) bool {
	if now.Sub(targetHealth.limitReportedAt) < limitReportInterval {
		return false
	}
	targetHealth.limitReportedAt = now
	change.Subject, change.Service = target.ID, target.Service
	change.LatencyFactor, change.FailureRate = targetHealth.latencyFactor, targetHealth.failureRate
	selector.addHealthChange(change)
	return true
}

// partOf returns this instance's part of the limit of the target.
func (selector *Selector) partOf(now time.Time, target catalogue.Target, candidates []catalogue.Target, limit Limit) quota.Part {
	near := map[string]bool{}
	members := make([]quota.Member, 0, len(selector.fleet.Members))
	for _, member := range selector.fleet.Members {
		if _, ok := near[member.DataCentre]; !ok {
			near[member.DataCentre] = isNear(member.DataCentre, target, candidates)
		}
		members = append(members, quota.Member{Name: member.Name, Near: near[member.DataCentre], Idle: member.Idle})
	}
	return quota.Of(now, float64(limit), target.ID, selector.fleet.Name, members)
}
