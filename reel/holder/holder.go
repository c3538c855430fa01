package holder

import (
	"math"
	"slices"
	"time"

	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/queue"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

const (
	pauseGap       = time.Second
	rampStep       = 500 * time.Millisecond
	reportTerm     = time.Second
	shortestDown   = 250 * time.Millisecond
	longestDown    = 2 * time.Second
	bystanderTerm  = time.Second
	defaultService = 10 * time.Millisecond
	serviceGain    = 0.1
	queueFloor     = 2 // sub-requests that may wait even when the preset allows fewer
)

// Judge tells how a fingerprint may run and hears how its runs ended.
type Judge interface {
	JudgeFor(now time.Time, fingerprint quarantine.Fingerprint, trust quarantine.Trust) quarantine.Verdict
	RecordCrash(now time.Time, fingerprint quarantine.Fingerprint, target string)
	RecordSuccess(now time.Time, fingerprint quarantine.Fingerprint)
}

// Machine keeps one target's slots, queue and state; it has no clock, socket or goroutine.
type Machine struct {
	name     string
	judge    Judge
	limits   Configured
	running  map[target.Attempt]*run
	queue    queue.Queue[Sub]
	blocked  map[quarantine.Fingerprint][]Sub // wait for an untried run of their fingerprint
	untried  map[quarantine.Fingerprint]target.Attempt
	trials   []Sub // wait for the target to be idle, so that they run alone
	alone    bool
	seen     time.Time // last event
	stale    bool      // woke from a pause and has not heard the target since
	state    target.State
	known    bool
	held     []uint64
	service  time.Duration
	reported reported
	ramp     float64
	rampAt   time.Time
	down     down
	brokeAt  time.Time // last break while an untried fingerprint ran
}

type run struct {
	sub      Sub
	start    time.Time
	canceled bool
}

type reported struct {
	foreign int
	at      time.Time
}

type down struct {
	until time.Time
	wait  time.Duration
}

// New returns the machine of the named target; limits arrive with the first Configured event.
func New(name string, judge Judge) *Machine {
	return &Machine{
		name: name, judge: judge, service: defaultService, state: target.Serving,
		limits:  Configured{Slots: 1, SlotFraction: 1, QueuePerSlot: 1, RetryAfter: time.Second},
		running: map[target.Attempt]*run{},
		blocked: map[quarantine.Fingerprint][]Sub{},
		untried: map[quarantine.Fingerprint]target.Attempt{},
		ramp:    math.Inf(1),
	}
}

// On takes one event and returns what the host has to do.
func (machine *Machine) On(now time.Time, event Event) []Action {
	actions := machine.wake(now)
	return append(actions, machine.handle(now, event)...)
}

func (machine *Machine) handle(now time.Time, event Event) []Action {
	switch event := event.(type) {
	case Offered:
		return machine.offer(now, event.Sub)
	case Replied:
		return machine.reply(now, event.Reply)
	case Failed:
		return machine.fail(now, event)
	case Canceled:
		return machine.cancel(now, event.Attempt)
	case Reported:
		return machine.report(now, event)
	case Configured:
		machine.limits = event
		return machine.next(now)
	case Marked:
		return machine.leave(now)
	case Ticked:
		return machine.tick(now)
	}
	return nil
}

// wake refuses what waited through a pause of the process, because its facts are old.
func (machine *Machine) wake(now time.Time) []Action {
	gap := now.Sub(machine.seen)
	paused := !machine.seen.IsZero() && gap > pauseGap
	machine.seen = now
	if !paused {
		return nil
	}
	machine.stale = true
	return machine.refuseWaiting(now, result.Paused, "process was paused")
}

// Status returns what the machine knows of its target.
func (machine *Machine) Status(now time.Time) Status {
	return Status{
		Target: machine.name, State: machine.state, Down: now.Before(machine.down.until),
		InFlight: len(machine.running), Queued: machine.waiting(), Limit: machine.limit(now),
		Service: machine.service, Snapshots: machine.held, Known: machine.known,
	}
}

// Idle reports whether nothing runs on or waits for the target.
func (machine *Machine) Idle() bool {
	return len(machine.running) == 0 && machine.waiting() == 0
}

func (machine *Machine) offer(now time.Time, sub Sub) []Action {
	sub.arrived = now
	sub.Alone = sub.Alone && !machine.trusted(now, sub)
	if verdict := machine.verdict(now, sub); verdict != result.OK {
		return machine.refuse(now, sub, verdict, "fingerprint is held back")
	}
	switch {
	case !sub.Request.Deadline.After(now):
		return machine.refuse(now, sub, result.TooLate, "deadline passed")
	case machine.stale:
		return machine.refuse(now, sub, result.Paused, "process was paused")
	case machine.state == target.Leaving:
		return machine.refuse(now, sub, result.Draining, "target is leaving")
	case now.Before(machine.down.until):
		return machine.refuse(now, sub, result.ConnectRefused, "target is down")
	case machine.expectedWait(now) >= sub.Request.Deadline.Sub(now):
		return machine.refuse(now, sub, result.Overloaded, "would wait past its deadline")
	}
	if machine.mustBlock(now, sub) {
		machine.blocked[sub.Fingerprint] = append(machine.blocked[sub.Fingerprint], sub)
		return nil
	}
	if sub.Alone {
		machine.trials = append(machine.trials, sub)
		return machine.next(now)
	}
	machine.queue.Push(sub.Request.Kind, sub.Weight, sub.Request.Deadline, sub)
	actions := machine.next(now)
	for machine.queue.Len() > machine.queueLimit(now) {
		evicted, _ := machine.queue.Evict()
		actions = append(actions, machine.refuse(now, evicted, result.Overloaded, "queue is full")...)
	}
	return actions
}

func (machine *Machine) next(now time.Time) []Action {
	var actions []Action
	for len(machine.trials) > 0 && len(machine.running) == 0 {
		trial := machine.trials[0]
		machine.trials = machine.trials[1:]
		actions = append(actions, machine.start(now, trial)...)
	}
	for len(machine.trials) == 0 && !machine.alone && len(machine.running) < machine.limit(now) {
		sub, ok := machine.queue.Pop()
		if !ok {
			break
		}
		actions = append(actions, machine.start(now, sub)...)
	}
	return actions
}

// start checks the deadline and the verdict once more, because both may have changed in the queue.
func (machine *Machine) start(now time.Time, sub Sub) []Action {
	if !sub.Request.Deadline.After(now) {
		return machine.refuse(now, sub, result.TooLate, "deadline passed in the queue")
	}
	if verdict := machine.verdict(now, sub); verdict != result.OK {
		return machine.refuse(now, sub, verdict, "fingerprint is held back")
	}
	if machine.mustBlock(now, sub) {
		machine.blocked[sub.Fingerprint] = append(machine.blocked[sub.Fingerprint], sub)
		return nil
	}
	if !machine.trusted(now, sub) {
		machine.untried[sub.Fingerprint] = sub.Request.Attempt
	}
	machine.alone = sub.Alone
	machine.running[sub.Request.Attempt] = &run{sub: sub, start: now}
	return []Action{Send{sub}}
}

func (machine *Machine) reply(now time.Time, reply target.Reply) []Action {
	run, ok := machine.running[reply.Attempt]
	if !ok {
		return nil
	}
	machine.end(reply.Attempt)
	machine.known = true
	machine.down = down{}
	answer := Answer{Code: reply.Code, Ran: reply.Code.Ran(), Snapshot: reply.Snapshot,
		Range: reply.Range, Hits: reply.Hits, Waited: run.start.Sub(run.sub.arrived)}
	reason := "target answered"
	switch {
	case reply.Code == result.OK && (reply.Snapshot != run.sub.Request.Snapshot || reply.Range != run.sub.Request.Range):
		answer = Answer{Code: result.Mismatch, Ran: result.RanUnknown}
		reason = "target answered another snapshot or range"
	case reply.Code == result.OK:
		machine.measure(now.Sub(run.start))
		machine.judge.RecordSuccess(now, run.sub.Fingerprint)
	case reply.Code == result.Shed:
		answer.RetryAfter = machine.service
	case reply.Code == result.Canceled:
		answer.Ran = result.RanUnknown
	}
	actions := machine.absorb(now, reply.Report)
	actions = append(actions, machine.finish(now, run.sub, answer, reason))
	actions = append(actions, machine.release(now, run.sub.Fingerprint)...)
	return append(actions, machine.next(now)...)
}

func (machine *Machine) fail(now time.Time, failed Failed) []Action {
	run, ok := machine.running[failed.Attempt]
	if !ok {
		return nil
	}
	untried := len(machine.untried) > 0
	machine.end(failed.Attempt)
	switch failed.Code {
	case result.Broken:
		machine.broke(now, run.sub, untried)
	case result.ConnectRefused:
		machine.backOff(now)
	}
	answer := Answer{Code: failed.Code, Ran: failed.Ran}
	actions := []Action{machine.finish(now, run.sub, answer, "attempt failed")}
	actions = append(actions, machine.release(now, run.sub.Fingerprint)...)
	return append(actions, machine.next(now)...)
}

func (machine *Machine) cancel(now time.Time, attempt target.Attempt) []Action {
	if run, ok := machine.running[attempt]; ok {
		if run.canceled {
			return nil
		}
		run.canceled = true
		return []Action{Abort{attempt}}
	}
	match := func(sub Sub) bool { return sub.Request.Attempt == attempt }
	return machine.refuseMatching(now, match, result.Canceled, "entry canceled")
}

func (machine *Machine) report(now time.Time, event Reported) []Action {
	if event.Failed {
		machine.backOff(now)
		return nil
	}
	machine.down = down{}
	machine.known = true
	machine.stale = false
	actions := machine.absorb(now, event.Report)
	return append(actions, machine.next(now)...)
}

// leave refuses all that waits, so that entries move it before it is sent.
func (machine *Machine) leave(now time.Time) []Action {
	if machine.state == target.Leaving {
		return nil
	}
	machine.state = target.Leaving
	actions := []Action{Leave{machine.name}}
	return append(actions, machine.refuseWaiting(now, result.Draining, "target is leaving")...)
}

func (machine *Machine) refuseWaiting(now time.Time, code result.Code, reason string) []Action {
	return machine.refuseMatching(now, func(Sub) bool { return true }, code, reason)
}

func (machine *Machine) refuseMatching(now time.Time, match func(Sub) bool, code result.Code, reason string) []Action {
	removed := machine.queue.Remove(match)
	take := func(sub Sub) bool {
		if match(sub) {
			removed = append(removed, sub)
			return true
		}
		return false
	}
	machine.trials = slices.DeleteFunc(machine.trials, take)
	for _, fingerprint := range sortedKeys(machine.blocked) {
		machine.blocked[fingerprint] = slices.DeleteFunc(machine.blocked[fingerprint], take)
		if len(machine.blocked[fingerprint]) == 0 {
			delete(machine.blocked, fingerprint)
		}
	}
	var actions []Action
	for _, sub := range removed {
		actions = append(actions, machine.refuse(now, sub, code, reason)...)
	}
	return actions
}

func (machine *Machine) end(attempt target.Attempt) {
	run := machine.running[attempt]
	delete(machine.running, attempt)
	if machine.untried[run.sub.Fingerprint] == attempt {
		delete(machine.untried, run.sub.Fingerprint)
	}
	if run.sub.Alone {
		machine.alone = false
	}
}

func (machine *Machine) refuse(now time.Time, sub Sub, code result.Code, reason string) []Action {
	answer := Answer{Code: code, Ran: result.RanNo}
	if code == result.Overloaded {
		answer.RetryAfter = max(machine.limits.RetryAfter, machine.expectedWait(now))
	}
	return []Action{machine.finish(now, sub, answer, reason)}
}

func (machine *Machine) finish(now time.Time, sub Sub, answer Answer, reason string) Action {
	answer.Attempt = sub.Request.Attempt
	answer.Target = machine.name
	answer.Status = machine.Status(now)
	return Finish{To: sub.From, Answer: answer, Reason: reason}
}
