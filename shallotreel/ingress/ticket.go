package ingress

import (
	"sync"
	"sync/atomic"
	"time"

	"shallotreel.example/reel/admit"
	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/choice"
	"shallotreel.example/reel/query"
)

// queuedShare is the least number of waiting requests for each slot of a target at which its answer counts as queued.
const queuedShare = 0.5

// ticket is the admission of one request. Its counters may be changed by any goroutine.
type ticket struct {
	group      *group
	route      *catalogue.Route
	admittedAt time.Time
	mutex      sync.Mutex
	loaded     map[string]bool // services that refused attempts or had no free capacity; guarded by the mutex
	attempts   atomic.Int32
	refused    atomic.Int32
	noRoom     atomic.Int32
	queued     atomic.Int32
}

// attemptEnded records the end of an attempt at the service for an admitted request, and what its target reported.
func (ticket *ticket) attemptEnded(now time.Time, service string, outcome choice.Outcome, report choice.Report) {
	queue, turnedAway := 0.0, false
	if report.Load != nil {
		queue = float64(report.Load.Waiting) / float64(max(report.Load.Slots, 1))
	}
	switch outcome {
	case choice.Answered:
	case choice.Refused:
		isFull := report.Load == nil || report.Load.Waiting > 0 || report.Load.Running >= report.Load.Slots
		if report.Leaving || !isFull {
			return
		}
		turnedAway, queue = true, 1
	case choice.ConnectionsExhausted:
		turnedAway, queue = true, 1
	default:
		ticket.attempts.Add(1)
		return
	}
	ticket.attempts.Add(1)
	switch {
	case turnedAway:
		ticket.setLoaded(service)
		ticket.refused.Add(1)
	case queue >= queuedShare:
		ticket.queued.Add(1)
	}
	ticket.group.attempt(now, service, queue, turnedAway)
}

// noRoomAt records that no target of the service had free capacity.
func (ticket *ticket) noRoomAt(now time.Time, service string) {
	if !ticket.setLoaded(service) {
		return
	}
	ticket.attempts.Add(1)
	ticket.noRoom.Add(1)
	ticket.group.attempt(now, service, 1, true)
}

// setLoaded records that the service showed load; it returns false if that was known.
func (ticket *ticket) setLoaded(service string) bool {
	ticket.mutex.Lock()
	defer ticket.mutex.Unlock()
	known := ticket.loaded[service]
	ticket.loaded[service] = true
	return !known
}

// evidence returns what the request observed, of which the services in gaps gave no answer.
func (ticket *ticket) evidence(gaps []query.Gap) admit.Evidence {
	evidence := admit.Evidence{Attempts: int(ticket.attempts.Load()), Refused: int(ticket.refused.Load()), NoRoom: int(ticket.noRoom.Load()),
		Queued: int(ticket.queued.Load()), Goal: ticket.route.Goal, Missing: len(gaps)}
	ticket.mutex.Lock()
	defer ticket.mutex.Unlock()
	for _, gap := range gaps {
		if ticket.loaded[gap.Service] {
			evidence.Loaded++
		}
	}
	return evidence
}
