package route

import (
	"time"

	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/target"
)

const (
	statusLifetime         = time.Second            // age from which a holder's status is ignored
	latencyDecayTime       = 10 * time.Second       // time after which an idle replica's high latency no longer lowers its rank
	latencyEWMAWeight      = 0.2                    // weight of a new sample in the moving average
	initialLatency         = 10 * time.Millisecond  // estimate before the first sample
	remoteDataCentreFactor = 1.25                   // score penalty for a target in another data centre
	equalLatencyFactor     = 2.0                    // latencies up to this multiple of the fastest count as equal
	holderCandidates       = 3                      // ranked holders kept for each replica
	holderAvoidTime        = 500 * time.Millisecond // time without attempts through an unreachable holder
	scoreJitter            = 0.1                    // largest fraction of a score that is added at random
	initialDownTime        = 250 * time.Millisecond // backoff after the first failure; it doubles up to maxDownTime
	maxDownTime            = 2 * time.Second
	leavingLifetime        = 10 * time.Second // time for which a report that a target is leaving stays valid
)

// replica is the state that the instance keeps for one target: its load, latency and health.
type replica struct {
	server         target.Server
	local          bool
	inFlight       int
	latency        time.Duration
	lastUsedAt     time.Time
	status         holder.Status
	statusAt       time.Time
	downUntil      time.Time
	downBackoff    time.Duration
	leavingUntil   time.Time       // end of the time for which a peer's report of leaving is valid
	holders        []member.Member // most preferred first
	holdersVersion uint64          // version of the Holders view that holders was computed from
}

// isLeaving reports whether the target is shutting down and must get no new sub-requests.
func (replica *replica) isLeaving(now time.Time) bool {
	if replica.server.Leaving || now.Before(replica.leavingUntil) {
		return true
	}
	return replica.status.State == target.Leaving && now.Sub(replica.statusAt) < leavingLifetime
}

// isDown reports whether the target is in backoff after a failure or its holder reports it as down.
func (replica *replica) isDown(now time.Time) bool {
	if now.Before(replica.downUntil) {
		return true
	}
	return replica.status.Down && now.Sub(replica.statusAt) < statusLifetime
}

func (replica *replica) servesSnapshot(snapshot uint64) bool {
	for _, served := range replica.status.Snapshots {
		if served == snapshot {
			return true
		}
	}
	return false
}

// score estimates the duration of a sub-request sent now, in nanoseconds; lower is better. The estimate grows with
// the load per slot. fastest is the lowest latency among the replicas of the shard, and random is in [0,1).
func (replica *replica) score(now time.Time, fastest time.Duration, random float64) float64 {
	latency := float64(replica.latency)
	if idle := now.Sub(replica.lastUsedAt); replica.latency > fastest && idle > 0 {
		remaining := max(0, 1-float64(idle)/float64(latencyDecayTime))
		latency = float64(fastest) + remaining*float64(replica.latency-fastest)
	}
	load, limit := replica.inFlight, 1
	if now.Sub(replica.statusAt) < statusLifetime {
		load = max(load, replica.status.InFlight+replica.status.Queued)
		limit = max(1, replica.status.Limit)
	}
	score := max(latency, equalLatencyFactor*float64(fastest)) * (1 + float64(load)/float64(limit))
	if !replica.local {
		score *= remoteDataCentreFactor
	}
	return score * (1 + scoreJitter*random)
}

// observe stores the holder's status. A target that serves again is no longer treated as leaving.
func (replica *replica) observe(now time.Time, status holder.Status) {
	replica.status = status
	replica.statusAt = now
	if status.State == target.Serving && !status.Down {
		replica.leavingUntil = time.Time{}
	}
}

// recordLatency adds the duration of a successful attempt to the moving average and ends the backoff.
func (replica *replica) recordLatency(now time.Time, elapsed time.Duration) {
	replica.lastUsedAt = now
	replica.downUntil, replica.downBackoff = time.Time{}, 0
	replica.latency += time.Duration(latencyEWMAWeight * float64(elapsed-replica.latency))
}

// recordMinLatency raises the latency estimate after a canceled attempt, whose elapsed time is a lower bound. Its
// weight is twice that of a completed attempt.
func (replica *replica) recordMinLatency(now time.Time, elapsed time.Duration) {
	if elapsed > replica.latency {
		replica.lastUsedAt = now
		replica.latency += time.Duration(2 * latencyEWMAWeight * float64(elapsed-replica.latency))
	}
}

// recordFailure puts the replica into exponential backoff.
func (replica *replica) recordFailure(now time.Time) {
	replica.downBackoff = min(max(2*replica.downBackoff, initialDownTime), maxDownTime)
	replica.downUntil = now.Add(replica.downBackoff)
}
