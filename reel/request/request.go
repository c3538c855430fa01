package request

import (
	"time"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/route"
	"shallotreel.example/reel/target"
)

const (
	maxSnapshotRestarts = 3
	maxAttemptsPerShard = 6                      // attempts for one shard
	trialDelay          = 250 * time.Millisecond // after the last change of a mark, for it to reach all instances
	initialBackoff      = 20 * time.Millisecond
	maxBackoff          = 500 * time.Millisecond
	deadlineMargin      = 5 * time.Millisecond // between the last moment to answer and the deadline
)

// Machine runs one request; it has no clock, socket or goroutine.
type Machine struct {
	plan             Plan
	router           Router
	newAttempt       func() target.Attempt
	parts            []*part
	attempts         map[target.Attempt]*attempt
	mode             mode
	trialAt          time.Time
	trialsSent       int
	verdict          quarantine.Verdict
	markVersion      uint64   // mark up to which the fingerprint is known to run well
	crashedTargets   []string // targets that the fingerprint is suspected to have crashed
	snapshotRestarts int
	attemptsSent     int
	possiblyRan      bool // an attempt was sent that is not proved not to have run
	overloaded       bool
	congested        bool
	retryAfter       time.Duration
	lastCode         result.Code
	finished         bool
}

// Reasons why a request ends before all shards have answered.
const (
	reasonDeadline = "deadline"
	reasonPatience = "patience"
)

// mode says how freely the request may fan out.
type mode int

const (
	fanOutMode mode = iota // all shards at once
	canaryMode             // one shard first, because the fingerprint is untried
	trialMode              // one shard alone, because the fingerprint is suspect
)

type part struct {
	index        int
	shard        route.Shard
	inFlight     int
	triedTargets []string
	attempts     int
	started      bool
	answered     bool
	failed       bool // cannot be answered any more
	hits         []target.Hit
	hedgeAt      time.Time
	retryAt      time.Time
	backoff      time.Duration
}

type attempt struct {
	part     *part
	choice   route.Choice
	kind     AttemptKind
	sentAt   time.Time
	canceled bool // canceled by this machine
}

// New returns the machine of a request.
func New(plan Plan, router Router, newID func() target.Attempt) *Machine {
	machine := &Machine{plan: plan, router: router, newAttempt: newID, attempts: map[target.Attempt]*attempt{}}
	machine.makeParts()
	return machine
}

// makeParts makes the parts of the pin that the operation asks.
func (machine *Machine) makeParts() {
	machine.parts = nil
	for i, shard := range machine.plan.Pin.Shards {
		whole := machine.plan.Kind.Operation == document.Search
		if whole || shard.Range.Contains(machine.plan.Key) {
			machine.parts = append(machine.parts, &part{index: i, shard: shard, backoff: initialBackoff})
		}
	}
}

// Start starts the request.
func (machine *Machine) Start(now time.Time) []Action {
	machine.mode = fanOutMode
	machine.refreshVerdict(now)
	switch machine.verdict {
	case quarantine.Quarantined:
		return machine.finish(result.Quarantined, "the request crashed too many targets")
	case quarantine.Suspect:
		machine.mode = trialMode
	case quarantine.Untried:
		if machine.plan.Preset.Canary && len(machine.parts) > 1 {
			machine.mode = canaryMode
		}
	case quarantine.Clear:
	}
	return machine.step(now)
}

// Wake lets time pass.
func (machine *Machine) Wake(now time.Time) []Action {
	return machine.step(now)
}

// NextWake returns when Wake is due at the latest.
func (machine *Machine) NextWake() time.Time {
	next := machine.answerDeadline()
	if !machine.plan.Patience.IsZero() && machine.answeredParts() > 0 {
		next = earliest(next, machine.plan.Patience)
	}
	if machine.mode == trialMode && machine.trialsSent == 0 {
		next = earliest(next, machine.trialAt)
	}
	for _, part := range machine.parts {
		if !part.answered && !part.failed {
			next = earliest(next, part.hedgeAt)
			next = earliest(next, part.retryAt)
		}
	}
	return next
}

// Cancel cancels everything, because the caller is gone.
func (machine *Machine) Cancel() []Action {
	return machine.finish(result.Canceled, "the caller hung up")
}

// HandleAnswer takes the answer to an attempt; one that is unknown or over is dropped.
func (machine *Machine) HandleAnswer(now time.Time, answer holder.Answer) ([]Action, bool) {
	attempt, ok := machine.attempts[answer.Attempt]
	if !ok || answer.Target != attempt.choice.Target {
		return nil, false
	}
	delete(machine.attempts, answer.Attempt)
	attempt.part.inFlight--
	machine.router.AttemptEnded(now, attempt.part.shard, answer, now.Sub(attempt.sentAt))
	if machine.finished {
		return nil, true
	}
	if answer.Ran != result.RanNo {
		machine.possiblyRan = true
	}
	if answer.Code == result.OK {
		machine.congested = machine.congested || answer.Waited > answer.Status.Service
		return append(machine.handleSuccess(now, attempt, answer), machine.step(now)...), true
	}
	actions := machine.handleFailure(now, attempt, answer)
	if machine.finished {
		return actions, true
	}
	return append(actions, machine.step(now)...), true
}

func (machine *Machine) handleSuccess(now time.Time, attempt *attempt, answer holder.Answer) []Action {
	part := attempt.part
	echoed := answer.Snapshot == machine.plan.Pin.Snapshot && answer.Range == part.shard.Range
	if part.answered || !echoed {
		return nil
	}
	part.answered = true
	part.hits = answer.Hits
	if attempt.kind == Trial {
		machine.markVersion++
		machine.restartPatience(now)
	}
	machine.verdict = quarantine.Clear
	if machine.mode != fanOutMode {
		machine.startFanOut()
	}
	return machine.cancelPart(part)
}

// step starts, hedges and retries what is due, and ends the request when nothing is left to do.
func (machine *Machine) step(now time.Time) []Action {
	if machine.finished {
		return nil
	}
	if !now.Before(machine.answerDeadline()) {
		return machine.finishWithAnsweredParts(reasonDeadline)
	}
	if machine.patienceExpired(now) {
		return machine.finishWithAnsweredParts(reasonPatience)
	}
	var actions []Action
	switch machine.mode {
	case fanOutMode:
		for _, part := range machine.parts {
			actions = append(actions, machine.advancePart(now, part)...)
		}
	case canaryMode:
		actions = machine.advanceCanary(now)
	case trialMode:
		actions = machine.advanceTrial(now)
	}
	if machine.allPartsFinished() {
		return append(actions, machine.finishWithAnsweredParts("no replica left")...)
	}
	return actions
}
