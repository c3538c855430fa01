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
	maxRestarts  = 3
	maxTries     = 6                      // attempts for one shard
	trialDelay   = 250 * time.Millisecond // after the last change of a mark, for it to reach all instances
	backoffFirst = 20 * time.Millisecond
	backoffMost  = 500 * time.Millisecond
	answerMargin = 5 * time.Millisecond // between the last moment to answer and the deadline
)

// Machine runs one request; it has no clock, socket or goroutine.
type Machine struct {
	plan      Plan
	router    Router
	newID     func() target.Attempt
	parts     []*part
	attempts  map[target.Attempt]*attempt
	mode      mode
	trialAt   time.Time
	trials    int
	verdict   quarantine.Verdict
	version   uint64   // mark up to which the fingerprint is known to run well
	lost      []string // targets that the fingerprint is suspected to have crashed
	restarts  int
	sent      int
	mayRun    bool // an attempt was sent that is not proved not to have run
	overload  bool
	congested bool
	retryHint time.Duration
	lastCode  result.Code
	finished  bool
}

// Reasons why a request ends before all shards have answered.
const (
	reasonDeadline = "deadline"
	reasonPatience = "patience"
)

// mode says how freely the request may fan out.
type mode int

const (
	open   mode = iota // all shards at once
	canary             // one shard first, because the fingerprint is untried
	trial              // one shard alone, because the fingerprint is suspect
)

type part struct {
	index   int
	shard   route.Shard
	live    int
	tried   []string
	tries   int
	begun   bool
	done    bool
	dead    bool // cannot be answered any more
	hits    []target.Hit
	hedgeAt time.Time
	retryAt time.Time
	backoff time.Duration
}

type attempt struct {
	part   *part
	choice route.Choice
	why    Why
	sent   time.Time
	ended  bool // canceled by this machine
}

// New returns the machine of a request.
func New(plan Plan, router Router, newID func() target.Attempt) *Machine {
	machine := &Machine{plan: plan, router: router, newID: newID, attempts: map[target.Attempt]*attempt{}}
	machine.divide()
	return machine
}

// divide makes the parts of the pin that the operation asks.
func (machine *Machine) divide() {
	machine.parts = nil
	for i, shard := range machine.plan.Pin.Shards {
		whole := machine.plan.Kind.Operation == document.Search
		if whole || shard.Range.Contains(machine.plan.Key) {
			machine.parts = append(machine.parts, &part{index: i, shard: shard, backoff: backoffFirst})
		}
	}
}

// Begin starts the request.
func (machine *Machine) Begin(now time.Time) []Action {
	machine.mode = open
	machine.consult(now)
	switch machine.verdict {
	case quarantine.Quarantined:
		return machine.end(result.Quarantined, "the request crashed too many targets")
	case quarantine.Suspect:
		machine.mode = trial
	case quarantine.Untried:
		if machine.plan.Preset.Canary && len(machine.parts) > 1 {
			machine.mode = canary
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
	next := machine.lastMoment()
	if !machine.plan.Patience.IsZero() && machine.covered() > 0 {
		next = earliest(next, machine.plan.Patience)
	}
	if machine.mode == trial && machine.trials == 0 {
		next = earliest(next, machine.trialAt)
	}
	for _, part := range machine.parts {
		if !part.done && !part.dead {
			next = earliest(next, part.hedgeAt)
			next = earliest(next, part.retryAt)
		}
	}
	return next
}

// HangUp cancels everything, because the caller is gone.
func (machine *Machine) HangUp() []Action {
	return machine.end(result.Canceled, "the caller hung up")
}

// Answered takes the answer to an attempt; one that is unknown or over is dropped.
func (machine *Machine) Answered(now time.Time, answer holder.Answer) ([]Action, bool) {
	attempt, ok := machine.attempts[answer.Attempt]
	if !ok || answer.Target != attempt.choice.Target {
		return nil, false
	}
	delete(machine.attempts, answer.Attempt)
	attempt.part.live--
	machine.router.Ended(now, attempt.part.shard, answer, now.Sub(attempt.sent))
	if machine.finished {
		return nil, true
	}
	if answer.Ran != result.RanNo {
		machine.mayRun = true
	}
	if answer.Code == result.OK {
		machine.congested = machine.congested || answer.Waited > answer.Status.Service
		return append(machine.succeed(now, attempt, answer), machine.step(now)...), true
	}
	actions := machine.fail(now, attempt, answer)
	if machine.finished {
		return actions, true
	}
	return append(actions, machine.step(now)...), true
}

func (machine *Machine) succeed(now time.Time, attempt *attempt, answer holder.Answer) []Action {
	part := attempt.part
	echoed := answer.Snapshot == machine.plan.Pin.Snapshot && answer.Range == part.shard.Range
	if part.done || !echoed {
		return nil
	}
	part.done = true
	part.hits = answer.Hits
	if attempt.why == Trial {
		machine.version++
		machine.restartPatience(now)
	}
	machine.verdict = quarantine.Clear
	if machine.mode != open {
		machine.fanOut()
	}
	return machine.cancelPart(part)
}

// step starts, hedges and retries what is due, and ends the request when nothing is left to do.
func (machine *Machine) step(now time.Time) []Action {
	if machine.finished {
		return nil
	}
	if !now.Before(machine.lastMoment()) {
		return machine.endWithWhatIsThere(reasonDeadline)
	}
	if machine.patienceOver(now) {
		return machine.endWithWhatIsThere(reasonPatience)
	}
	var actions []Action
	switch machine.mode {
	case open:
		for _, part := range machine.parts {
			actions = append(actions, machine.advance(now, part)...)
		}
	case canary:
		actions = machine.advanceCanary(now)
	case trial:
		actions = machine.advanceTrial(now)
	}
	if machine.settled() {
		return append(actions, machine.endWithWhatIsThere("no replica left")...)
	}
	return actions
}
