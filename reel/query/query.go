package query

import (
	"time"

	"shallotreel.example/reel/extra"
)

const (
	hedgeShare     = 0.94                  // of usual answers that arrive before another target is asked
	hedgeRoomShare = 0.9                   // of usual answers that a hedge's time suffices for
	hedgeRoom      = 1.5                   // times that time is left to a hedge
	hedgeLeast     = 5 * time.Millisecond  // hedges sooner than this race usual answers
	roomDelay      = 10 * time.Millisecond // between two looks for a free connection
	roomShare      = 4                     // the part of the goal for which a request waits for its first connection
	backMost       = 8                     // refusals that one part takes
	returnSoon     = 150 * time.Millisecond
	returnLater    = 500 * time.Millisecond // while no target is registered: processes take about that to start
	returnMost     = 3 * time.Second        // what has lasted so long is likely to last about as long again
	answerSlip     = 5 * time.Millisecond   // between the last moment to answer and the deadline
)

// Machine runs one request.
type Machine struct {
	plan     Plan
	router   Router
	parts    []*part
	attempts map[uint64]*part // the open ones
	serial   func() uint64
	relay    *Answer // the newest failure that a target signed
	mayRun   bool
	finished bool
}

type part struct {
	service  string
	tried    []string
	runs     int // attempts that are not proved not to have run
	live     int
	refused  int
	arrived  bool // whether the service may have seen the request
	answer   *Answer
	dead     bool
	hedgeAt  time.Time
	retryAt  time.Time
	lastSent time.Time
	held     string // why no other target was asked
}

// New returns the machine of a request; serial numbers its attempts.
func New(plan Plan, router Router, serial func() uint64) *Machine {
	machine := &Machine{plan: plan, router: router, serial: serial, attempts: map[uint64]*part{}}
	for _, service := range plan.Services {
		machine.parts = append(machine.parts, &part{service: service})
	}
	return machine
}

// Begin starts the request, unless it cannot be served as things are.
func (machine *Machine) Begin(now time.Time) []Action {
	if finish, hopeless := machine.hopeless(now); hopeless {
		return machine.end(finish)
	}
	var actions []Action
	for _, part := range machine.parts {
		if part.dead {
			continue
		}
		machine.router.First(now, part.service)
		actions = append(actions, machine.try(now, part, "first")...)
	}
	return append(actions, machine.judge(now)...)
}

// Wake lets time pass.
func (machine *Machine) Wake(now time.Time) []Action {
	if machine.finished {
		return nil
	}
	var actions []Action
	for _, part := range machine.parts {
		actions = append(actions, machine.advance(now, part)...)
	}
	return append(actions, machine.judge(now)...)
}

// NextWake returns when Wake is due at the latest.
func (machine *Machine) NextWake(now time.Time) time.Time {
	next := machine.last()
	if machine.gathers() && machine.plan.Goal.After(now) {
		next = earliest(next, machine.plan.Goal)
	}
	for _, part := range machine.parts {
		if part.answer == nil && !part.dead {
			next = earliest(next, part.hedgeAt)
			next = earliest(next, part.retryAt)
		}
	}
	return next
}

// Answered takes the end of an attempt; it reports false for one that is not awaited.
func (machine *Machine) Answered(now time.Time, answer *Answer) ([]Action, bool) {
	part, ok := machine.attempts[answer.Serial]
	if !ok || machine.finished {
		return nil, false
	}
	delete(machine.attempts, answer.Serial)
	part.live--
	part.arrived = part.arrived || answer.Sent
	if answer.Fate == NotRun {
		part.runs--
	} else {
		machine.mayRun = true
	}
	var actions []Action
	if part.answer == nil {
		actions = machine.take(now, part, answer)
	}
	return append(actions, machine.judge(now)...), true
}

// take uses the end of an attempt for a part that has no answer yet.
func (machine *Machine) take(now time.Time, part *part, answer *Answer) []Action {
	if answer.Success() || !machine.gathers() && answer.Final() {
		part.answer = answer
		return nil
	}
	if answer.Status >= 300 && answer.Fate != NotRun {
		machine.relay = answer
	}
	if answer.Fate == NotRun {
		part.refused++
	}
	if part.live > 0 {
		return nil
	}
	if answer.Fate != NotRun && !machine.plan.Route.Idempotent {
		part.dead = true
		return nil
	}
	return machine.again(now, part)
}

// again asks another target after a failure, if the attempts and the budget allow it.
func (machine *Machine) again(now time.Time, part *part) []Action {
	if part.runs >= machine.attemptsMost() || part.refused > backMost {
		part.dead = true
		return nil
	}
	if part.arrived && !machine.router.Spend(now, part.service, extra.Retry) {
		part.held = "the bound on extra arrivals is reached"
		part.dead = true
		return nil
	}
	return machine.try(now, part, "retry")
}

func (machine *Machine) advance(now time.Time, part *part) []Action {
	switch {
	case part.answer != nil || part.dead:
		return nil
	case !part.retryAt.IsZero() && !now.Before(part.retryAt):
		return machine.try(now, part, "room")
	case !part.hedgeAt.IsZero() && !now.Before(part.hedgeAt):
		part.hedgeAt = time.Time{}
		return machine.hedge(now, part)
	}
	return nil
}

// hedge asks a second target for a part that is later than usual.
func (machine *Machine) hedge(now time.Time, part *part) []Action {
	if part.live != 1 || part.runs >= machine.attemptsMost() {
		return nil
	}
	if _, ok := machine.router.Choose(now, machine.plan.Route, part.service, part.tried); !ok {
		part.held = "no other target has room"
		return nil
	}
	if !machine.router.Spend(now, part.service, extra.Hedge) {
		part.held = "the bound on extra arrivals is reached"
		return nil
	}
	return machine.try(now, part, "hedge")
}

// try sends an attempt for the part, or waits a moment for a connection.
func (machine *Machine) try(now time.Time, part *part, why string) []Action {
	part.retryAt = time.Time{}
	pick, ok := machine.router.Choose(now, machine.plan.Route, part.service, part.tried)
	if !ok {
		part.tried = nil // all have been tried, or have no room: any of them may serve in a moment
		return machine.lookAgain(now, part)
	}
	if len(part.tried) == 0 {
		machine.router.Waited(now, part.service, false)
	}
	part.tried = append(part.tried, pick.Target.ID)
	part.runs++
	part.live++
	part.lastSent = now
	serial := machine.serial()
	machine.attempts[serial] = part
	if machine.plan.Route.Idempotent {
		part.hedgeAt = now.Add(machine.hedgeDelay(now))
	}
	return []Action{Send{Serial: serial, Service: part.service, Pick: pick, Why: why, Until: machine.plan.Deadline}}
}

// lookAgain waits a moment for a connection: a part of a gathered request as long as the answer is worth most,
// another request only briefly, since its caller can try elsewhere.
func (machine *Machine) lookAgain(now time.Time, part *part) []Action {
	if part.live > 0 {
		return nil
	}
	if !machine.router.Serves(part.service) {
		part.held, part.dead = noTarget, true
		return nil
	}
	patience := machine.plan.Goal
	if !machine.gathers() {
		patience = machine.plan.Begun.Add(machine.plan.Goal.Sub(machine.plan.Begun) / roomShare)
	}
	if !now.Before(patience) {
		part.dead = true
		machine.router.Waited(now, part.service, true)
		return nil
	}
	part.retryAt = now.Add(roomDelay)
	return nil
}

// hedgeDelay is how long an answer may take before another target is asked: longer than most answers take, and
// as late as the second target can still be in time.
func (machine *Machine) hedgeDelay(now time.Time) time.Duration {
	delay := machine.router.Usual(machine.plan.Route, hedgeShare)
	left := machine.plan.Goal.Sub(now)
	if left > 0 {
		late := left - time.Duration(hedgeRoom*float64(machine.router.Usual(machine.plan.Route, hedgeRoomShare)))
		delay = min(max(delay, late), max(left/2, late))
	}
	return max(delay, hedgeLeast)
}

func (machine *Machine) attemptsMost() int {
	if !machine.plan.Route.Idempotent {
		return 1
	}
	return max(machine.plan.Route.Attempts, 1)
}

func (machine *Machine) gathers() bool {
	return len(machine.plan.Route.Shards) > 0
}

// last is the last moment to answer.
func (machine *Machine) last() time.Time {
	return machine.plan.Deadline.Add(-answerSlip)
}

func earliest(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
