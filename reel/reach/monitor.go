package reach

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// doubtProbes is the number of targets that are probed at once while the path is in doubt. Most targets of some services may be
	// dead at the same time, which is no lost path.
	doubtProbes = 8
	// returnProbes is that number while the path is lost.
	returnProbes = 2
	// maxAnswering is the number of these targets that are chosen because they answered last.
	maxAnswering = 4
	// minAnswering is the number of such targets that must run for new connections in general to be in doubt.
	minAnswering = 2
	// probeGap is the least time between two rounds of probes while the path is not lost.
	probeGap = 200 * time.Millisecond
	// minSilence is the least time without a sign of life after which a failed attempt puts the path in doubt.
	minSilence = 100 * time.Millisecond
	// returnPeriod is the time between two rounds while the path is lost.
	returnPeriod = 250 * time.Millisecond
	// minUnopened is the number of targets without a new connection from which new connections in general are in doubt.
	minUnopened = 2
	// minReturnRounds is the number of successful rounds in a row after which a lost path is back. It doubles, up to
	// maxReturnRounds, with each loss that follows within flapTime.
	minReturnRounds = 2
	maxReturnRounds = 16
	flapTime        = 5 * time.Second
	// pauseThreshold is the time between two calls of Tick that shows that this process was paused.
	pauseThreshold = 250 * time.Millisecond
	// memory is how long answers of targets, and connections that could not be opened, are kept at least.
	memory = 2 * time.Second
)

// Cause says how a path was lost.
type Cause string

// Causes.
const (
	Silence  Cause = "no target gives a sign of life"
	Unopened Cause = "no target accepts a new connection"
)

// Round asks for a connection to each of some targets.
type Round struct {
	Cause   Cause            // in doubt
	Count   int              // number of targets, if there are as many
	Targets []netip.AddrPort // some of them; the others are random ones
}

// Change is a lost path, or one that is back.
type Change struct {
	Lost    bool
	Cause   Cause
	Since   time.Time // newest sign of life before the loss; the loss, for a path that is back
	Pending int       // attempts without an answer
	Failed  int       // targets of which an attempt failed since the newest sign of life
}

// Monitor is the belief of one instance about its path to the targets. It is not safe for concurrent use.
type Monitor struct {
	lost         bool
	cause        Cause
	changedAt    time.Time
	aliveAt      time.Time // newest sign of life of any target
	acceptedAt   time.Time // when a target last accepted a connection
	pending      map[uint64]attempt
	failed       map[netip.AddrPort]bool      // targets of which an attempt failed since aliveAt
	unopened     map[netip.AddrPort]time.Time // targets to which no connection could be opened, since one could to any
	answered     map[netip.AddrPort]time.Time // newest answer of each target
	round        *Round                       // in progress
	roundBegan   time.Time
	roundEnded   time.Time
	roundInvalid bool // whether this process was paused during the round
	returned     int  // successful rounds in a row while the path is lost
	returnRounds int
	tickedAt     time.Time
	sweptAt      time.Time
}

// attempt is an attempt without an answer.
type attempt struct {
	sentAt    time.Time
	suspicion time.Duration
}

// New returns a Monitor that believes that targets can be reached.
func New(now time.Time) *Monitor {
	return &Monitor{aliveAt: now, tickedAt: now, returnRounds: minReturnRounds, pending: map[uint64]attempt{},
		failed: map[netip.AddrPort]bool{}, unopened: map[netip.AddrPort]time.Time{}, answered: map[netip.AddrPort]time.Time{}}
}

// Lost reports whether the path is lost.
func (monitor *Monitor) Lost() bool { return monitor.lost }

// InDoubt reports whether the path is lost or may be lost.
func (monitor *Monitor) InDoubt(now time.Time) bool {
	return monitor.lost || monitor.round != nil || monitor.isSilent(now)
}

// NoHelper records that no other instance serves requests meanwhile, so that a lost path is used again at its first sign of life.
func (monitor *Monitor) NoHelper() {
	monitor.returnRounds = 1
}

// LostFor returns for how long the path has been lost, or 0 if it is not.
func (monitor *Monitor) LostFor(now time.Time) time.Duration {
	if !monitor.lost {
		return 0
	}
	return now.Sub(monitor.changedAt)
}

// AcceptedSince reports whether any target has accepted a connection after the given time.
func (monitor *Monitor) AcceptedSince(at time.Time) bool { return monitor.acceptedAt.After(at) }

// AliveSince reports whether any target has given a sign of life after the given time. Without one, silence says nothing
// of a target.
func (monitor *Monitor) AliveSince(at time.Time) bool { return monitor.aliveAt.After(at) }

// Sent records an attempt; it is overdue if it has no answer after the suspicion time.
func (monitor *Monitor) Sent(now time.Time, id uint64, suspicion time.Duration) {
	monitor.pending[id] = attempt{now, suspicion}
}

// Answered records an answer of the target, to the attempt with the ID.
func (monitor *Monitor) Answered(now time.Time, id uint64, target netip.AddrPort) {
	delete(monitor.pending, id)
	monitor.answered[target] = now
	monitor.alive(now)
}

// Abandoned records that the attempt was given up without an answer.
func (monitor *Monitor) Abandoned(now time.Time, id uint64, target netip.AddrPort) {
	if monitor.isOverdue(now, monitor.pending[id]) {
		monitor.failed[target] = true
	}
	delete(monitor.pending, id)
}

// Failed records that the attempt failed without an answer; opened is false if no connection could be opened.
func (monitor *Monitor) Failed(now time.Time, id uint64, target netip.AddrPort, opened bool) {
	delete(monitor.pending, id)
	monitor.failed[target] = true
	if !opened {
		monitor.unopened[target] = now
	}
}

// Accepted records that a target accepted a connection.
func (monitor *Monitor) Accepted(now time.Time) {
	clear(monitor.unopened)
	monitor.acceptedAt = now
	monitor.alive(now)
}

func (monitor *Monitor) alive(now time.Time) {
	monitor.aliveAt = now
	clear(monitor.failed)
}

// isOverdue reports whether neither the attempt was answered within its suspicion time, nor any other one.
func (monitor *Monitor) isOverdue(now time.Time, attempt attempt) bool {
	return !attempt.sentAt.IsZero() && now.Sub(attempt.sentAt) > attempt.suspicion && now.Sub(monitor.aliveAt) > attempt.suspicion
}

// Tick returns the round of probes that is due, or false. It must be called several times within pauseThreshold; a longer time
// between two calls shows that this process was paused, so that nothing follows from the silence meanwhile.
func (monitor *Monitor) Tick(now time.Time) (Round, bool) {
	if now.Sub(monitor.tickedAt) > pauseThreshold {
		monitor.roundInvalid = monitor.round != nil
		monitor.alive(now)
	}
	monitor.tickedAt = now
	monitor.sweep(now)
	round, due := monitor.dueRound(now)
	if !due {
		return Round{}, false
	}
	monitor.round, monitor.roundBegan, monitor.roundInvalid = &round, now, false
	return round, true
}

// sweep removes what is older than memory, at most once in that time.
func (monitor *Monitor) sweep(now time.Time) {
	if now.Sub(monitor.sweptAt) < memory {
		return
	}
	monitor.sweptAt = now
	isOld := func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > memory }
	maps.DeleteFunc(monitor.answered, isOld)
	maps.DeleteFunc(monitor.unopened, isOld)
}

func (monitor *Monitor) dueRound(now time.Time) (Round, bool) {
	switch waited := now.Sub(monitor.roundEnded); {
	case monitor.round != nil:
		return Round{}, false
	case monitor.lost:
		return Round{Cause: monitor.cause, Count: returnProbes}, waited >= returnPeriod
	case waited < probeGap:
		return Round{}, false
	case monitor.isSilent(now):
		return monitor.Doubt(), true
	case len(monitor.unopened) >= minUnopened:
		targets := monitor.answeringSince(monitor.firstUnopened())
		return Round{Cause: Unopened, Count: doubtProbes, Targets: targets}, len(targets) >= minAnswering
	}
	return Round{}, false
}

// isSilent reports whether an attempt failed, or is overdue, and no target has given a sign of life since.
func (monitor *Monitor) isSilent(now time.Time) bool {
	if len(monitor.failed) > 0 && now.Sub(monitor.aliveAt) > minSilence {
		return true
	}
	for _, attempt := range monitor.pending {
		if monitor.isOverdue(now, attempt) {
			return true
		}
	}
	return false
}

// Doubt returns a round for a path on which no target gives a sign of life.
func (monitor *Monitor) Doubt() Round {
	return Round{Cause: Silence, Count: doubtProbes, Targets: monitor.answeringSince(time.Time{})}
}

// firstUnopened returns when the first connection could not be opened.
func (monitor *Monitor) firstUnopened() time.Time {
	first := time.Time{}
	for _, at := range monitor.unopened {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// answeringSince returns the targets that answered last, after the given time, so that they run and should accept a connection.
func (monitor *Monitor) answeringSince(since time.Time) []netip.AddrPort {
	var targets []netip.AddrPort
	for target, at := range monitor.answered {
		if at.After(since) {
			targets = append(targets, target)
		}
	}
	slices.SortFunc(targets, func(a, b netip.AddrPort) int { return monitor.answered[b].Compare(monitor.answered[a]) })
	return targets[:min(len(targets), maxAnswering)]
}

// RoundEnded records how many connections of the round in progress were accepted and how many were not. It returns the change
// of the path that follows, or false.
func (monitor *Monitor) RoundEnded(now time.Time, accepted, failed int) (Change, bool) {
	round := *monitor.round
	monitor.round, monitor.roundEnded = nil, now
	failedTargets := len(monitor.failed)
	if accepted > 0 {
		monitor.Accepted(now)
	}
	switch {
	case monitor.lost:
		return monitor.checkReturn(now, accepted > 0)
	case monitor.roundInvalid || accepted > 0 || failed == 0:
		return Change{}, false
	case round.Cause == Silence && monitor.aliveAt.After(monitor.roundBegan):
		return Change{}, false
	}
	return monitor.lose(now, round.Cause, failedTargets), true
}

// Verified records the result of probes that began at the given time, out of turn, because an attempt failed. It returns the loss of
// the path that follows, or false.
func (monitor *Monitor) Verified(now, began time.Time, accepted, failed int) (Change, bool) {
	failedTargets := len(monitor.failed)
	if accepted > 0 {
		monitor.Accepted(now)
	}
	if monitor.lost || accepted > 0 || failed == 0 || monitor.aliveAt.After(began) {
		return Change{}, false
	}
	return monitor.lose(now, Silence, failedTargets), true
}

// lose changes the path to lost.
func (monitor *Monitor) lose(now time.Time, cause Cause, failedTargets int) Change {
	if now.Sub(monitor.changedAt) < flapTime {
		monitor.returnRounds = min(2*monitor.returnRounds, maxReturnRounds)
	} else {
		monitor.returnRounds = minReturnRounds
	}
	monitor.lost, monitor.cause, monitor.changedAt, monitor.returned = true, cause, now, 0
	return Change{Lost: true, Cause: cause, Since: monitor.aliveAt, Pending: len(monitor.pending), Failed: failedTargets}
}

// checkReturn counts the successful rounds in a row.
func (monitor *Monitor) checkReturn(now time.Time, successful bool) (Change, bool) {
	if !successful {
		monitor.returned = 0
		return Change{}, false
	}
	monitor.returned++
	if monitor.returned < monitor.returnRounds {
		return Change{}, false
	}
	change := Change{Cause: monitor.cause, Since: monitor.changedAt, Pending: len(monitor.pending)}
	monitor.lost, monitor.changedAt = false, now
	clear(monitor.pending)
	return change, true
}
