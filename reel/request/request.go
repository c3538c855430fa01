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
	maxRepins           = 3 // restarts of one request on a newer snapshot or partition map
	maxAttemptsPerShard = 6
	trialDelay          = 250 * time.Millisecond // wait after the last change of a mark, so that it reaches all instances
	initialBackoff      = 20 * time.Millisecond
	maxBackoff          = 500 * time.Millisecond
	deadlineMargin      = 5 * time.Millisecond // time reserved before the deadline for sending the answer
)

// Machine is the state machine of one request. It has no clock, socket or goroutine and is not safe for concurrent
// use.
type Machine struct {
	plan           Plan
	router         Router
	newAttemptID   func() target.Attempt
	parts          []*part
	attempts       map[target.Attempt]*attempt
	mode           mode
	trialAt        time.Time
	trialsSent     int
	verdict        quarantine.Verdict
	markVersion    uint64   // sent to holders as Trust.Version; the trust is valid for marks up to it
	crashedTargets []string // targets that the fingerprint may have crashed
	repins         int
	attemptsSent   int
	possiblyRan    bool // at least one answered attempt may have run
	overloaded     bool
	congested      bool
	retryAfter     time.Duration
	lastCode       result.Code
	finished       bool
}

// Reasons for finishing before all shards have answered; they are part of the detail text.
// reasonSoftDeadline is the key of the setting that determines the soft deadline, document.Kind.Patience.
const (
	reasonDeadline     = "deadline"
	reasonSoftDeadline = "patience"
)

// mode limits on how many shards the request runs at once.
type mode int

const (
	fanOutMode mode = iota // attempts on all shards at once
	canaryMode             // attempts on one shard until it answers, because the fingerprint is untried
	trialMode              // a single attempt on one shard, because the fingerprint is suspect
)

// part is the state of the request on one shard.
type part struct {
	index        int
	shard        route.Shard
	inFlight     int
	triedTargets []string
	attempts     int
	started      bool
	answered     bool
	failed       bool // no further attempt will be made
	hits         []target.Hit
	hedgeAt      time.Time
	retryAt      time.Time
	backoff      time.Duration
}

// attempt is an attempt that has been sent and has not been answered.
type attempt struct {
	part     *part
	choice   route.Choice
	kind     AttemptKind
	sentAt   time.Time
	canceled bool
}

// New returns the machine of a request; newAttemptID generates the unique ids of its attempts.
func New(plan Plan, router Router, newAttemptID func() target.Attempt) *Machine {
	machine := &Machine{plan: plan, router: router, newAttemptID: newAttemptID, attempts: map[target.Attempt]*attempt{}}
	machine.makeParts()
	return machine
}

// makeParts creates a part for each shard that the operation needs: all for a search, else the one with the key.
func (machine *Machine) makeParts() {
	machine.parts = nil
	for i, shard := range machine.plan.Pin.Shards {
		allShards := machine.plan.Kind.Operation == document.Search
		if allShards || shard.Range.Contains(machine.plan.Key) {
			machine.parts = append(machine.parts, &part{index: i, shard: shard, backoff: initialBackoff})
		}
	}
}

// Start begins the request and returns its first actions.
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

// Wake performs the work that is due at now, such as hedges, retries and timeouts.
func (machine *Machine) Wake(now time.Time) []Action {
	return machine.step(now)
}

// NextWake returns the time at which the host must call Wake at the latest.
func (machine *Machine) NextWake() time.Time {
	next := machine.answerDeadline()
	if !machine.plan.SoftDeadline.IsZero() && machine.answeredParts() > 0 {
		next = earliest(next, machine.plan.SoftDeadline)
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

// Cancel cancels all attempts and finishes the request, because the caller closed the connection.
func (machine *Machine) Cancel() []Action {
	return machine.finish(result.Canceled, "the caller closed the connection")
}

// HandleAnswer processes the answer to an attempt. It returns false if the attempt is unknown or was answered before,
// and the answer is then ignored.
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

// handleSuccess records the result of a shard unless the shard has one already or the answer is for another snapshot
// or range. A success clears the verdict and releases the shards that wait for a canary or a trial.
func (machine *Machine) handleSuccess(now time.Time, attempt *attempt, answer holder.Answer) []Action {
	part := attempt.part
	matches := answer.Snapshot == machine.plan.Pin.Snapshot && answer.Range == part.shard.Range
	if part.answered || !matches {
		return nil
	}
	part.answered = true
	part.hits = answer.Hits
	if attempt.kind == Trial {
		machine.markVersion++
		machine.restartSoftDeadline(now)
	}
	machine.verdict = quarantine.Clear
	if machine.mode != fanOutMode {
		machine.startFanOut()
	}
	return machine.cancelPart(part)
}

// step sends the first attempts, hedges and retries that are due, and finishes the request once no part can change.
func (machine *Machine) step(now time.Time) []Action {
	if machine.finished {
		return nil
	}
	if !now.Before(machine.answerDeadline()) {
		return machine.finishWithAnsweredParts(reasonDeadline)
	}
	if machine.softDeadlinePassed(now) {
		return machine.finishWithAnsweredParts(reasonSoftDeadline)
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
		return append(actions, machine.finishWithAnsweredParts("no replica is left")...)
	}
	return actions
}
