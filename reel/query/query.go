package query

import (
	"time"

	"shallotreel.example/reel/extra"
)

const (
	// hedgeQuantile is the quantile of the route's latency after which a hedge is considered.
	hedgeQuantile = 0.94
	// hedgeCompletionQuantile is the quantile of the route's latency from which the time that a hedge needs is derived.
	hedgeCompletionQuantile = 0.9
	// hedgeCompletionFactor scales that quantile to the time that a hedge leaves for its answer before the soft
	// deadline.
	hedgeCompletionFactor = 1.5
	// minHedgeDelay keeps hedges from racing answers of ordinary latency.
	minHedgeDelay = 5 * time.Millisecond
	// capacityPollInterval is the interval between two checks for a target with free capacity.
	capacityPollInterval = 10 * time.Millisecond
	// capacityWaitDivisor divides the time until the soft deadline; a request to a single service fails if no target
	// has free capacity for the resulting duration.
	capacityWaitDivisor = 4
	// maxRefusals is the number of refused attempts that a part tolerates; one more fails it.
	maxRefusals = 8
	// retryAfterShort is the Retry-After of a request that no target accepted.
	retryAfterShort = 150 * time.Millisecond
	// retryAfterNoTargets is the least Retry-After for services that cannot be used at all, such as those without a
	// registered target; a target process takes about this long to start.
	retryAfterNoTargets = 500 * time.Millisecond
	// maxRetryAfter caps the Retry-After for a saturated service, which is the time for which the service has been
	// saturated: saturation is likely to last about as long again.
	maxRetryAfter = 3 * time.Second
	// answerMargin is the time before the deadline at which the request ends, so that its answer arrives in time.
	answerMargin = 5 * time.Millisecond
)

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	plan            Plan
	router          Router
	parts           []*part
	attempts        map[uint64]*attempt // attempts in flight by ID
	nextAttemptID   func() uint64
	targetError     *Answer // newest error response of a target that may have run the request
	endedMayHaveRun bool    // whether an attempt that has ended, or was withdrawn, ran or may have run
	finished        bool
	proven          bool          // whether any target ran the request, which shows that it does not crash each one
	extras          int           // extra attempts in flight
	trial           bool          // whether the request may have crashed a target before and has only one attempt until it is proven
	suspect         bool          // whether the request began as a trial
	retrial         bool          // whether it was quarantined then, so that it shows whether that lasts
	trialUntil      time.Time     // when a trial without an answer ends
	unsentReason    string        // why no attempt was sent yet, empty once one may be
	quietRetryAfter time.Duration // until a service takes requests again whose targets want none now
	latestSend      time.Time     // when the last attempt may be sent whose answer can arrive in time, zero if unknown
}

// attempt is an attempt in flight.
type attempt struct {
	part  *part
	extra bool // whether it follows an earlier attempt of its part that may have run
}

// part is the share of a request that goes to one service.
type part struct {
	service         string
	tried           []string // IDs of the targets that were tried
	possibleRuns    int      // attempts that ran, may have run or may still run, with those of earlier instances
	inFlight        int
	refusals        int  // attempts that ended without running
	mayHaveArrived  bool // whether the service may have received an attempt
	answer          *Answer
	failed          bool      // whether no more attempts will be made
	hedgeAt         time.Time // when to consider a hedge, zero if never
	capacityCheckAt time.Time // when to check for free capacity again, zero if not waiting for it
	lastSent        time.Time
	skipReason      string // why no further target was tried, for the log
	generation      int    // number of extra attempts so far
	held            bool   // whether its next attempt waits until the request is proven or another extra attempt has ended
}

// New returns the machine of a request; nextAttemptID returns a unique ID for each attempt.
func New(plan Plan, router Router, nextAttemptID func() uint64) *Machine {
	machine := &Machine{plan: plan, router: router, nextAttemptID: nextAttemptID, attempts: map[uint64]*attempt{}}
	for _, service := range plan.Services {
		machine.parts = append(machine.parts, &part{service: service, possibleRuns: plan.spentOn(service)})
	}
	return machine
}

// Begin starts the request and returns its first attempts, or its end if it cannot succeed now.
func (machine *Machine) Begin(now time.Time) []Action {
	machine.setLatestSend(now)
	if finish, refused := machine.refuseEarly(now); refused {
		return machine.finish(finish)
	}
	for _, part := range machine.parts {
		if !part.failed && !machine.plan.Counted {
			machine.router.CountRequest(now, part.service)
		}
	}
	return append(machine.startParts(now), machine.checkFinished(now)...)
}

// startParts sends the first attempts, of which a trial has one, unless the request has to wait for another trial or for
// targets of enough services.
func (machine *Machine) startParts(now time.Time) []Action {
	machine.unsentReason = ""
	if !machine.hasWillingTargets(now) {
		machine.unsentReason = reasonUnwilling
		return nil
	}
	if !machine.beginTrial(now) {
		machine.unsentReason = reasonQueued
		return nil
	}
	var actions []Action
	for _, part := range machine.parts {
		if !part.failed && !part.held {
			actions = append(actions, machine.startAttempt(now, part, "first")...)
		}
	}
	return actions
}

// Wake performs the capacity checks, hedges and timeouts that are due at the given time.
func (machine *Machine) Wake(now time.Time) []Action {
	if machine.finished {
		return nil
	}
	var actions []Action
	if machine.unsentReason != "" {
		if finish, ended := machine.checkUnsent(now); ended {
			return machine.finish(finish)
		}
		actions = machine.startParts(now)
	}
	for _, part := range machine.parts {
		actions = append(actions, machine.advance(now, part)...)
	}
	return append(actions, machine.checkFinished(now)...)
}

// NextWake returns the time by which the host must call Wake.
func (machine *Machine) NextWake(now time.Time) time.Time {
	next := machine.answerBy()
	if machine.unsentReason != "" {
		next = earliest(next, now.Add(capacityPollInterval))
	}
	if machine.trial && machine.plan.Repeatable() {
		next = earliest(next, machine.trialUntil)
	}
	if machine.isScatterGather() && machine.plan.SoftDeadline.After(now) {
		next = earliest(next, machine.plan.SoftDeadline)
	}
	for _, part := range machine.parts {
		if part.answer == nil && !part.failed {
			next = earliest(next, part.hedgeAt)
			next = earliest(next, part.capacityCheckAt)
			if part.inFlight == 0 {
				next = earliest(next, machine.latestSend)
			}
		}
	}
	return next
}

// HandleAnswer handles the end of an attempt; it reports false if the attempt is unknown or the request has ended.
func (machine *Machine) HandleAnswer(now time.Time, answer *Answer) ([]Action, bool) {
	ended, ok := machine.attempts[answer.AttemptID]
	if !ok || machine.finished {
		return nil, false
	}
	part := ended.part
	delete(machine.attempts, answer.AttemptID)
	part.inFlight--
	if ended.extra {
		machine.extras--
	}
	part.mayHaveArrived = part.mayHaveArrived || answer.Sent
	if answer.Execution == NotRun {
		part.possibleRuns--
	} else {
		machine.endedMayHaveRun = true
	}
	machine.proven = machine.proven || answer.Execution == Ran
	if finish, quarantined := machine.checkQuarantine(now, ended, answer); quarantined {
		return machine.finish(finish), true
	}
	var actions []Action
	if part.answer == nil {
		actions = machine.applyAnswer(now, part, ended, answer)
	}
	actions = append(actions, machine.release(now)...)
	return append(actions, machine.checkFinished(now)...), true
}

// applyAnswer handles the end of an attempt for a part without an answer: it accepts the answer, fails the part, or
// retries unless another attempt is in flight.
func (machine *Machine) applyAnswer(now time.Time, part *part, ended *attempt, answer *Answer) []Action {
	if answer.Success() || !machine.isScatterGather() && answer.PermanentFailure() {
		part.answer = answer
		return nil
	}
	if answer.Status >= 300 && answer.Execution != NotRun {
		machine.targetError = answer
	}
	if answer.Execution == NotRun {
		part.refusals++
	}
	if part.inFlight > 0 {
		return nil
	}
	if answer.Execution != NotRun && !machine.plan.Repeatable() {
		part.failed = true
		return nil
	}
	if answer.Execution == NotRun {
		return machine.retry(now, part, ended.extra)
	}
	return machine.retry(now, part, true)
}

// retry starts another attempt after a failure, if the limit of attempts and the budget allow it; otherwise the part
// fails. An attempt that the service cannot have received costs no budget. An extra attempt waits while mayAddExtra does
// not allow it.
func (machine *Machine) retry(now time.Time, part *part, isExtra bool) []Action {
	if part.possibleRuns >= machine.maxAttempts() || part.refusals > maxRefusals {
		part.failed = true
		return nil
	}
	if machine.failLate(now, part) {
		return nil
	}
	if part.mayHaveArrived && machine.decideExtra(now, extra.Retry) == sendNever {
		part.skipReason, part.failed = reasonLoad, true
		return nil
	}
	if isExtra && !machine.mayAddExtra() {
		part.held = true
		return nil
	}
	if part.mayHaveArrived && !machine.router.SpendExtra(now, part.service, extra.Retry) {
		part.skipReason = "the budget for retries and hedges is exhausted"
		part.failed = true
		return nil
	}
	if isExtra {
		part.generation++
	}
	return machine.startAttempt(now, part, "retry")
}

// advance performs the capacity check or the hedge of the part that is due.
func (machine *Machine) advance(now time.Time, part *part) []Action {
	switch {
	case part.answer != nil || part.failed:
		return nil
	case part.inFlight == 0 && machine.failLate(now, part):
		return nil
	case !part.capacityCheckAt.IsZero() && !now.Before(part.capacityCheckAt):
		if part.generation > 0 && !machine.mayAddExtra() {
			part.capacityCheckAt = now.Add(capacityPollInterval)
			return nil
		}
		return machine.startAttempt(now, part, "room")
	case !part.hedgeAt.IsZero() && !now.Before(part.hedgeAt) && !machine.mayAddExtra():
		part.hedgeAt, part.held = time.Time{}, true
	case !part.hedgeAt.IsZero() && !now.Before(part.hedgeAt):
		part.hedgeAt = time.Time{}
		return machine.hedge(now, part)
	}
	return nil
}

// startAttempt sends an attempt of the given kind for the part, or waits if no untried target has free capacity.
func (machine *Machine) startAttempt(now time.Time, part *part, kind string) []Action {
	part.capacityCheckAt, part.held = time.Time{}, false
	if !machine.mayStart(part) && machine.isQuarantined(now) {
		part.skipReason, part.failed = reasonQuarantined, part.inFlight == 0
		return nil
	}
	if machine.failLate(now, part) {
		return nil
	}
	pick, ok := machine.router.Choose(now, machine.plan.Route, part.service, part.tried)
	if !ok {
		part.tried = nil // every target was tried or is at capacity; at the next check any of them may have free capacity
		return machine.waitForCapacity(now, part)
	}
	if len(part.tried) == 0 {
		machine.router.RecordWait(now, part.service, false)
	}
	part.tried = append(part.tried, pick.Target.ID)
	part.possibleRuns++
	part.inFlight++
	part.lastSent = now
	attemptID := machine.nextAttemptID()
	isExtra := part.generation > 0
	machine.attempts[attemptID] = &attempt{part, isExtra}
	if isExtra {
		machine.extras++
	}
	if machine.plan.Repeatable() {
		part.hedgeAt = now.Add(machine.hedgeDelay(now))
	}
	return []Action{Send{AttemptID: attemptID, Service: part.service, Pick: pick, Kind: kind, Generation: part.generation,
		Deadline: machine.plan.Deadline}}
}

// waitForCapacity schedules the next check for a target with free capacity. A part of a scatter-gather request waits
// until the soft deadline; a request to a single service waits for a fraction of that time only, since its caller can
// retry elsewhere.
func (machine *Machine) waitForCapacity(now time.Time, part *part) []Action {
	if part.inFlight > 0 {
		return nil
	}
	if !machine.router.HasTargets(part.service) {
		part.skipReason, part.failed = reasonNoTargets, true
		return nil
	}
	if machine.isQuiet(now, part) {
		return nil
	}
	if !now.Before(machine.waitUntil()) {
		part.failed = true
		machine.router.RecordWait(now, part.service, true)
		return nil
	}
	part.capacityCheckAt = now.Add(capacityPollInterval)
	return nil
}

// waitUntil returns until when a part may wait for a target with free capacity.
func (machine *Machine) waitUntil() time.Time {
	if machine.isScatterGather() {
		return machine.plan.SoftDeadline
	}
	return machine.plan.Start.Add(machine.plan.SoftDeadline.Sub(machine.plan.Start) / capacityWaitDivisor)
}

// maxAttempts returns how many attempts of a part may run; a request that must not be repeated may run only once.
func (machine *Machine) maxAttempts() int {
	if !machine.plan.Repeatable() {
		return 1
	}
	return max(machine.plan.Route.Attempts, 1)
}

// isScatterGather reports whether the request goes to all shards of its route (scatter-gather).
func (machine *Machine) isScatterGather() bool {
	return len(machine.plan.Route.Shards) > 0
}

// answerBy returns the last moment to send an answer that arrives before the deadline.
func (machine *Machine) answerBy() time.Time {
	return machine.plan.Deadline.Add(-answerMargin)
}

// earliest returns the earlier time and ignores b if it is zero.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
