package request

import (
	"cmp"
	"slices"
	"time"

	"shallotreel.example/reel/coverage"
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

// consult asks what is known against the fingerprint now.
func (machine *Machine) consult(now time.Time) {
	machine.verdict = max(machine.verdict, machine.plan.Marks.Judge(now, machine.plan.Fingerprint))
	machine.version = max(machine.version, machine.plan.Marks.Version(machine.plan.Fingerprint))
	if ready := machine.plan.Marks.Changed(machine.plan.Fingerprint).Add(trialDelay); ready.After(machine.trialAt) {
		machine.trialAt = ready
	}
	for _, target := range machine.plan.Marks.Lost(machine.plan.Fingerprint) {
		if !slices.Contains(machine.lost, target) {
			machine.lost = append(machine.lost, target)
		}
	}
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

// restartPatience gives the other shards their time after a trial has used it up.
func (machine *Machine) restartPatience(now time.Time) {
	if !machine.plan.Patience.IsZero() {
		machine.plan.Patience = now.Add(machine.plan.Kind.Patience.D())
	}
}

// fanOut frees the shards that were not asked or given up while the fingerprint was not trusted.
func (machine *Machine) fanOut() {
	machine.mode = open
	for _, part := range machine.parts {
		if part.dead && part.live == 0 && part.tries < maxTries {
			part.dead, part.begun = false, false
		}
	}
}

// fail decides what a failed attempt means for its shard and for the whole request.
func (machine *Machine) fail(now time.Time, attempt *attempt, answer holder.Answer) []Action {
	part := attempt.part
	machine.lastCode = answer.Code
	if part.done {
		return nil
	}
	if attempt.why == Trial && answer.Ran == result.RanNo {
		machine.trials--
	}
	if answer.Ran != result.RanNo && !machine.plan.Kind.Repeatable {
		return machine.end(answer.Code, "the request may have run")
	}
	switch answer.Code {
	case result.Quarantined:
		machine.retryHint = answer.RetryAfter
		return machine.end(result.Quarantined, "the request crashed too many targets")
	case result.Suspect:
		return machine.enterTrial(now, "")
	case result.Broken:
		if attempt.why == Trial {
			return machine.end(result.Quarantined, "the request broke a second target")
		}
		if machine.verdict != quarantine.Clear {
			return machine.enterTrial(now, attempt.choice.Target)
		}
		machine.retry(now, part, false)
	case result.SnapshotGone, result.RangeNotHeld:
		return machine.repin(now, part)
	case result.Overloaded, result.Shed:
		machine.overload = true
		machine.retryHint = max(machine.retryHint, answer.RetryAfter)
		machine.retry(now, part, true)
	case result.TooLate:
		part.dead = part.live == 0
	case result.NotHolder, result.HolderLost:
		// The target itself is not at fault and may be reached through another holder.
		machine.router.AvoidHolder(now, attempt.choice.Holder.Name)
		part.tried = slices.DeleteFunc(part.tried, func(name string) bool { return name == attempt.choice.Target })
		machine.retry(now, part, false)
	case result.Draining, result.ConnectRefused, result.Paused, result.Stopping:
		machine.retry(now, part, false)
	default:
		machine.retry(now, part, true)
	}
	return nil
}

// retry plans another attempt at the shard, from the budget if the last one cost a target anything.
func (machine *Machine) retry(now time.Time, part *part, paid bool) {
	if part.live > 0 {
		return
	}
	if part.tries >= maxTries || paid && !machine.router.Spend() {
		part.dead = true
		return
	}
	part.retryAt = now
	if paid || part.tries > 2 {
		part.retryAt = now.Add(part.backoff)
		part.backoff = min(2*part.backoff, backoffMost)
	}
}

// enterTrial stops everything else and plans the one run of a suspect fingerprint.
func (machine *Machine) enterTrial(now time.Time, lost string) []Action {
	if lost != "" && !slices.Contains(machine.lost, lost) {
		machine.lost = append(machine.lost, lost)
	}
	if machine.mode == trial && machine.trials > 0 || len(machine.lost) >= quarantine.MaxLosses {
		return machine.endSuspect("the request is suspected to crash targets")
	}
	var actions []Action
	for _, part := range machine.parts {
		part.hedgeAt, part.retryAt = time.Time{}, time.Time{}
		actions = append(actions, machine.cancelPart(part)...)
	}
	machine.version = max(machine.version, 1)
	machine.mode = trial
	machine.trialAt = now.Add(trialDelay)
	machine.verdict = quarantine.Suspect
	if machine.trialAt.After(machine.lastMoment()) {
		return append(actions, machine.endSuspect("no time is left for a trial")...)
	}
	return actions
}

// repin starts the whole request again on a newer snapshot, if no other replica serves this one.
func (machine *Machine) repin(now time.Time, part *part) []Action {
	if _, ok := machine.router.Choose(now, machine.plan.Pin, part.index, part.tried); ok {
		part.retryAt = now
		return nil
	}
	pin, ok := machine.router.Pin(now)
	same := pin.Snapshot == machine.plan.Pin.Snapshot && pin.Map == machine.plan.Pin.Map
	if !ok || same || machine.restarts >= maxRestarts {
		part.dead = part.live == 0
		return nil
	}
	machine.restarts++
	var actions []Action
	for _, part := range machine.parts {
		actions = append(actions, machine.cancelPart(part)...)
	}
	machine.plan.Pin = pin
	machine.divide()
	return actions
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

func (machine *Machine) advance(now time.Time, part *part) []Action {
	switch {
	case part.done || part.dead:
		return nil
	case !part.begun:
		return machine.try(now, part, First)
	case !part.retryAt.IsZero() && !now.Before(part.retryAt):
		return machine.try(now, part, Retry)
	case !part.hedgeAt.IsZero() && !now.Before(part.hedgeAt):
		part.hedgeAt = time.Time{}
		if part.live == 1 && machine.mayHedge() && machine.canChoose(now, part) && machine.router.Spend() {
			return machine.try(now, part, Hedge)
		}
	}
	return nil
}

func (machine *Machine) mayHedge() bool {
	return machine.plan.Kind.Repeatable && machine.mode != trial
}

func (machine *Machine) canChoose(now time.Time, part *part) bool {
	_, ok := machine.router.Choose(now, machine.plan.Pin, part.index, part.tried)
	return ok
}

// advanceCanary keeps to one shard, the next one if the first cannot be answered.
func (machine *Machine) advanceCanary(now time.Time) []Action {
	part := machine.firstOpen()
	if part.dead {
		return nil
	}
	return machine.advance(now, part)
}

// firstOpen returns the first unanswered shard in the order of the fingerprint, which is the same at all entries.
func (machine *Machine) firstOpen() *part {
	first := int(uint64(machine.plan.Fingerprint) % uint64(len(machine.parts)))
	for i := range machine.parts {
		part := machine.parts[(first+i)%len(machine.parts)]
		if !part.dead && !part.done {
			return part
		}
	}
	return machine.parts[first]
}

// endSuspect answers with what was there before the suspicion, or not at all.
func (machine *Machine) endSuspect(detail string) []Action {
	if machine.covered() > 0 {
		return machine.endWithWhatIsThere(detail)
	}
	return machine.end(result.Suspect, detail)
}

func (machine *Machine) advanceTrial(now time.Time) []Action {
	if now.Before(machine.trialAt) || machine.trials > 0 && len(machine.attempts) > 0 {
		return nil
	}
	if machine.trials > 0 {
		return machine.endSuspect("the trial of the request brought no answer")
	}
	machine.consult(now)
	if machine.verdict == quarantine.Quarantined || len(machine.lost) >= quarantine.MaxLosses {
		return machine.end(result.Quarantined, "the request crashed too many targets")
	}
	if now.Before(machine.trialAt) {
		return nil
	}
	machine.trials++
	actions := machine.try(now, machine.firstOpen(), Trial)
	if len(actions) == 0 {
		return machine.endSuspect("no target is left for a trial")
	}
	return actions
}

// try sends one attempt at the shard to a target that has not been tried.
func (machine *Machine) try(now time.Time, part *part, why Why) []Action {
	part.retryAt = time.Time{}
	if machine.mode == canary && why == First {
		why = Canary
	}
	choice, ok := machine.choose(now, part, why)
	if !ok && why == Retry {
		part.tried = nil
		choice, ok = machine.choose(now, part, why)
	}
	if !ok {
		part.dead = part.live == 0
		return nil
	}
	part.begun = true
	part.tries++
	part.live++
	part.tried = append(part.tried, choice.Target)
	if why != Trial {
		delay := machine.router.HedgeDelay(now, part.shard, machine.plan.Preset.HedgeQuantile)
		part.hedgeAt = now.Add(delay)
	}
	id := machine.newID()
	machine.attempts[id] = &attempt{part: part, choice: choice, why: why, sent: now}
	machine.sent++
	machine.router.Started(choice.Target, why == First || why == Canary, machine.plan.Preset.ExtraLoad)
	return []Action{Send{Sub: machine.sub(id, part, choice, why), Choice: choice, Why: why}}
}

func (machine *Machine) choose(now time.Time, part *part, why Why) (route.Choice, bool) {
	if why == Trial {
		not := slices.Concat(machine.lost, part.tried)
		return machine.router.ChooseFor(now, machine.plan.Pin, part.index, machine.plan.Fingerprint, not)
	}
	if machine.verdict == quarantine.Untried && machine.mode == canary {
		return machine.router.ChooseFor(now, machine.plan.Pin, part.index, machine.plan.Fingerprint, part.tried)
	}
	return machine.router.Choose(now, machine.plan.Pin, part.index, part.tried)
}

func (machine *Machine) sub(id target.Attempt, part *part, choice route.Choice, why Why) holder.Sub {
	return holder.Sub{
		Request: target.Request{
			Attempt: id, RequestID: machine.plan.RequestID, Kind: machine.plan.Kind.Name,
			Operation: machine.plan.Kind.Operation, Query: machine.plan.Query,
			Snapshot: machine.plan.Pin.Snapshot, Range: part.shard.Range, Deadline: machine.plan.Deadline,
		},
		From: machine.plan.From, Target: choice.Target, Weight: machine.plan.Kind.Weight,
		Fingerprint: machine.plan.Fingerprint, Alone: why == Trial,
		Trust: quarantine.Trust{
			Passed:  machine.verdict == quarantine.Clear || machine.covered() > 0,
			Version: machine.version,
		},
	}
}

func (machine *Machine) cancelPart(part *part) []Action {
	var actions []Action
	for id, attempt := range machine.attempts {
		if attempt.part == part && !attempt.ended {
			attempt.ended = true
			actions = append(actions, Cancel{id, attempt.choice})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int {
		return cmp.Compare(a.(Cancel).Attempt.String(), b.(Cancel).Attempt.String())
	})
	return actions
}

func (machine *Machine) settled() bool {
	if machine.mode == trial && machine.trials == 0 {
		return false
	}
	for _, part := range machine.parts {
		if !part.done && !part.dead {
			return false
		}
	}
	return true
}

func (machine *Machine) covered() int {
	done := 0
	for _, part := range machine.parts {
		if part.done {
			done++
		}
	}
	return done
}

func (machine *Machine) patienceOver(now time.Time) bool {
	return !machine.plan.Patience.IsZero() && !now.Before(machine.plan.Patience) && machine.covered() > 0
}

func (machine *Machine) lastMoment() time.Time {
	return machine.plan.Deadline.Add(-answerMargin)
}

// endWithWhatIsThere answers with the shards that answered, or fails truly if none did.
func (machine *Machine) endWithWhatIsThere(reason string) []Action {
	switch covered := machine.covered(); {
	case covered > 0 && covered == len(machine.parts):
		return machine.end(result.OK, "")
	case covered > 0:
		return machine.end(result.Partial, "shards are missing: "+reason)
	case machine.overload && !machine.mayHaveRun():
		return machine.end(result.Overloaded, "targets are overloaded")
	case machine.mayHaveRun():
		return machine.end(result.DeadlineExceeded, "no shard answered: "+reason)
	case machine.sent == 0 && reason == reasonDeadline:
		return machine.end(result.TooLate, "no time was left")
	case machine.sent == 0:
		return machine.end(result.NoTarget, "no target serves the snapshot")
	default:
		return machine.end(cmp.Or(machine.lastCode, result.TooLate), "no attempt ran: "+reason)
	}
}

func (machine *Machine) mayHaveRun() bool {
	return machine.mayRun || len(machine.attempts) > 0
}

func (machine *Machine) end(code result.Code, detail string) []Action {
	if machine.finished {
		return nil
	}
	machine.finished = true
	var actions []Action
	for _, part := range machine.parts {
		actions = append(actions, machine.cancelPart(part)...)
	}
	return append(actions, Finish{machine.outcome(code, detail)})
}

func (machine *Machine) outcome(code result.Code, detail string) Outcome {
	outcome := Outcome{Code: code, Snapshot: machine.plan.Pin.Snapshot, RetryAfter: machine.retryHint,
		Overloaded: machine.overload, Congested: machine.congested, Attempts: machine.sent, Detail: detail}
	var answered []coverage.Range
	for _, part := range machine.parts {
		if part.done {
			answered = append(answered, part.shard.Range)
			outcome.Hits = append(outcome.Hits, part.hits...)
		}
	}
	outcome.Coverage = coverage.Count(machine.wanted(), answered)
	slices.SortStableFunc(outcome.Hits, func(a, b target.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	switch {
	case code == result.OK || code == result.Partial:
		outcome.Ran = result.RanYes
	case machine.mayHaveRun():
		outcome.Ran = result.RanUnknown
	default:
		outcome.Ran = result.RanNo
	}
	return outcome
}

func (machine *Machine) wanted() coverage.Range {
	if machine.plan.Kind.Operation != document.Search && len(machine.parts) > 0 {
		return machine.parts[0].shard.Range
	}
	return coverage.Range{From: 0, To: coverage.KeySpace}
}

func earliest(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// Shard returns the shard that an open attempt asks.
func (machine *Machine) Shard(id target.Attempt) route.Shard {
	if attempt, ok := machine.attempts[id]; ok {
		return attempt.part.shard
	}
	return route.Shard{}
}
