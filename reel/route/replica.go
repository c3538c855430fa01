package route

import (
	"time"

	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/target"
)

const (
	statusTerm     = time.Second      // how long a holder's status counts
	forgetTerm     = 10 * time.Second // how long a bad latency is held against an unused replica
	latencyGain    = 0.2
	startLatency   = 10 * time.Millisecond
	crossingFactor = 1.25 // price of leaving the data centre
	slowFactor     = 2.0  // up to which latencies count as equal
	ranksKept      = 3
	holderAvoided  = 500 * time.Millisecond
	jitter         = 0.1
	downFirst      = 250 * time.Millisecond
	downMost       = 2 * time.Second
	leavingTerm    = 10 * time.Second
)

// replica is what an entry knows of one target.
type replica struct {
	server    target.Server
	local     bool
	inFlight  int
	latency   time.Duration
	usedAt    time.Time
	status    holder.Status
	statusAt  time.Time
	downUntil time.Time
	downWait  time.Duration
	leaving   time.Time       // until when the target counts as leaving
	holders   []member.Member // best first
	view      uint64          // version of the view that the holders were ranked from
}

func (replica *replica) leavingAt(now time.Time) bool {
	if replica.server.Leaving || now.Before(replica.leaving) {
		return true
	}
	return replica.status.State == target.Leaving && now.Sub(replica.statusAt) < leavingTerm
}

func (replica *replica) downAt(now time.Time) bool {
	if now.Before(replica.downUntil) {
		return true
	}
	return replica.status.Down && now.Sub(replica.statusAt) < statusTerm
}

func (replica *replica) holds(snapshot uint64) bool {
	for _, held := range replica.status.Snapshots {
		if held == snapshot {
			return true
		}
	}
	return false
}

// score estimates how long a sub-request sent now would take; lower is better.
func (replica *replica) score(now time.Time, best time.Duration, random float64) float64 {
	latency := float64(replica.latency)
	if idle := now.Sub(replica.usedAt); replica.latency > best && idle > 0 {
		remembered := max(0, 1-float64(idle)/float64(forgetTerm))
		latency = float64(best) + remembered*float64(replica.latency-best)
	}
	load, limit := replica.inFlight, 1
	if now.Sub(replica.statusAt) < statusTerm {
		load = max(load, replica.status.InFlight+replica.status.Queued)
		limit = max(1, replica.status.Limit)
	}
	score := max(latency, slowFactor*float64(best)) * (1 + float64(load)/float64(limit))
	if !replica.local {
		score *= crossingFactor
	}
	return score * (1 + jitter*random)
}

func (replica *replica) observe(now time.Time, status holder.Status) {
	replica.status = status
	replica.statusAt = now
	if status.State == target.Serving && !status.Down {
		replica.leaving = time.Time{}
	}
}

func (replica *replica) took(now time.Time, took time.Duration) {
	replica.usedAt = now
	replica.downUntil, replica.downWait = time.Time{}, 0
	replica.latency += time.Duration(latencyGain * float64(took-replica.latency))
}

// atLeast takes the time an unfinished attempt has lasted as a lower bound.
func (replica *replica) atLeast(now time.Time, lasted time.Duration) {
	if lasted > replica.latency {
		replica.usedAt = now
		replica.latency += time.Duration(2 * latencyGain * float64(lasted-replica.latency))
	}
}

func (replica *replica) failed(now time.Time) {
	replica.downWait = min(max(2*replica.downWait, downFirst), downMost)
	replica.downUntil = now.Add(replica.downWait)
}
