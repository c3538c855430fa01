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
	pauseThreshold     = time.Second            // a longer gap between two events means that the process was paused
	rampInterval       = 500 * time.Millisecond // the limit of a cold target doubles once per interval
	reportLifetime     = time.Second            // a reported load is ignored once it is older
	minBackoff         = 250 * time.Millisecond // delay after the first failure; each further one doubles it
	maxBackoff         = 2 * time.Second        // upper bound of the doubled delay
	bystanderWindow    = time.Second            // how long recordCrash exempts trusted fingerprints after a crash
	initialServiceTime = 10 * time.Millisecond  // estimate before the first reply
	serviceTimeGain    = 0.1                    // weight of the newest sample in the EWMA of the service time
	minQueueLimit      = 2                      // sub-requests that may wait even if the preset allows fewer
)

// FingerprintTracker decides how the requests of a fingerprint may run and records how their runs end. The
// host implements it with a quarantine.Tracker and replicates the marks that change.
type FingerprintTracker interface {
	// VerdictWithTrust returns the verdict on the fingerprint, given the trust that the entry sent with the
	// sub-request.
	VerdictWithTrust(now time.Time, fingerprint quarantine.Fingerprint, trust quarantine.Trust) quarantine.Verdict
	// RecordCrash records that the target crashed while it ran the fingerprint.
	RecordCrash(now time.Time, fingerprint quarantine.Fingerprint, target string)
	// RecordSuccess records that a run of the fingerprint succeeded.
	RecordSuccess(now time.Time, fingerprint quarantine.Fingerprint)
}

// Machine is the state machine that schedules the sub-requests of one target. It performs no I/O: the host passes
// in the time and the events, and performs the returned actions. It is not safe for concurrent use.
type Machine struct {
	name         string
	tracker      FingerprintTracker
	limits       Configured
	running      map[target.Attempt]*run
	queue        queue.Queue[SubRequest]
	blocked      map[quarantine.Fingerprint][]SubRequest   // waiting for an untried run of their fingerprint to end
	untriedRuns  map[quarantine.Fingerprint]target.Attempt // running attempts of fingerprints that are not trusted
	trials       []SubRequest                              // waiting for the target to be idle, because each runs alone
	runningAlone bool                                      // a trial is running
	lastEventAt  time.Time
	stale        bool // the process was paused and no report of the target has arrived since
	state        target.State
	known        bool // the target has replied or reported at least once
	snapshots    []uint64
	serviceTime  time.Duration // EWMA over the successful replies
	reportedLoad reportedLoad
	rampLimit    float64 // limit of a target that is warming up, +Inf otherwise
	rampedAt     time.Time
	backoff      backoff
	crashedAt    time.Time // last crash while an untried fingerprint was running
}

type run struct {
	sub       SubRequest
	startedAt time.Time
	canceled  bool
}

// reportedLoad is the load from the target's last report.
type reportedLoad struct {
	external int // requests in flight at the target that this machine did not send
	at       time.Time
}

// backoff is the period in which a target that did not answer gets no sub-requests.
type backoff struct {
	until time.Time
	delay time.Duration
}

// New returns the machine of the named target. Until the first Configured event it runs one sub-request at a time.
func New(name string, tracker FingerprintTracker) *Machine {
	return &Machine{
		name: name, tracker: tracker, serviceTime: initialServiceTime, state: target.Serving,
		limits:      Configured{Slots: 1, SlotFraction: 1, QueuePerSlot: 1, RetryAfter: time.Second},
		running:     map[target.Attempt]*run{},
		blocked:     map[quarantine.Fingerprint][]SubRequest{},
		untriedRuns: map[quarantine.Fingerprint]target.Attempt{},
		rampLimit:   math.Inf(1),
	}
}

// Handle processes one event and returns the actions that the host must perform, in order.
func (machine *Machine) Handle(now time.Time, event Event) []Action {
	actions := machine.detectPause(now)
	return append(actions, machine.dispatch(now, event)...)
}

func (machine *Machine) dispatch(now time.Time, event Event) []Action {
	switch event := event.(type) {
	case Offered:
		return machine.handleOffer(now, event.Sub)
	case Replied:
		return machine.handleReply(now, event.Reply)
	case Failed:
		return machine.handleFailure(now, event)
	case Canceled:
		return machine.handleCancel(now, event.Attempt)
	case Reported:
		return machine.handleReport(now, event)
	case Configured:
		machine.limits = event
		return machine.startWaiting(now)
	case MarkedLeaving:
		return machine.markLeaving(now)
	case Ticked:
		return machine.handleTick(now)
	}
	return nil
}

// detectPause refuses the waiting sub-requests if the process was paused since the last event, because the machine's
// knowledge of the target is out of date.
func (machine *Machine) detectPause(now time.Time) []Action {
	gap := now.Sub(machine.lastEventAt)
	paused := !machine.lastEventAt.IsZero() && gap > pauseThreshold
	machine.lastEventAt = now
	if !paused {
		return nil
	}
	machine.stale = true
	return machine.refuseWaiting(now, result.Paused, "process was paused")
}

// Status returns the current state and load of the target.
func (machine *Machine) Status(now time.Time) Status {
	return Status{
		Target: machine.name, State: machine.state, Down: now.Before(machine.backoff.until),
		InFlight: len(machine.running), Queued: machine.waitingCount(), Limit: machine.limit(now),
		Service: machine.serviceTime, Snapshots: machine.snapshots, Known: machine.known,
	}
}

// Idle reports whether the machine has no running and no waiting sub-requests.
func (machine *Machine) Idle() bool {
	return len(machine.running) == 0 && machine.waitingCount() == 0
}

func (machine *Machine) handleOffer(now time.Time, sub SubRequest) []Action {
	sub.arrivedAt = now
	sub.Alone = sub.Alone && !machine.isTrusted(now, sub)
	if code := machine.checkFingerprint(now, sub); code != result.OK {
		return machine.refuse(now, sub, code, "fingerprint is suspect or quarantined")
	}
	switch {
	case !sub.Request.Deadline.After(now):
		return machine.refuse(now, sub, result.TooLate, "deadline passed")
	case machine.stale:
		return machine.refuse(now, sub, result.Paused, "process was paused")
	case machine.state == target.Leaving:
		return machine.refuse(now, sub, result.Draining, "target is leaving")
	case now.Before(machine.backoff.until):
		return machine.refuse(now, sub, result.ConnectRefused, "target is down")
	case machine.expectedWait(now) >= sub.Request.Deadline.Sub(now):
		return machine.refuse(now, sub, result.Overloaded, "expected wait exceeds the deadline")
	}
	if machine.mustBlock(now, sub) {
		machine.blocked[sub.Fingerprint] = append(machine.blocked[sub.Fingerprint], sub)
		return nil
	}
	if sub.Alone {
		machine.trials = append(machine.trials, sub)
		return machine.startWaiting(now)
	}
	machine.queue.Push(sub.Request.Kind, sub.Weight, sub.Request.Deadline, sub)
	actions := machine.startWaiting(now)
	for machine.queue.Len() > machine.queueLimit(now) {
		evicted, _ := machine.queue.Evict()
		actions = append(actions, machine.refuse(now, evicted, result.Overloaded, "queue is full")...)
	}
	return actions
}

// startWaiting starts waiting sub-requests while slots are free; trials come first and each runs alone.
func (machine *Machine) startWaiting(now time.Time) []Action {
	var actions []Action
	for len(machine.trials) > 0 && len(machine.running) == 0 {
		trial := machine.trials[0]
		machine.trials = machine.trials[1:]
		actions = append(actions, machine.start(now, trial)...)
	}
	for len(machine.trials) == 0 && !machine.runningAlone && len(machine.running) < machine.limit(now) {
		sub, ok := machine.queue.Pop()
		if !ok {
			break
		}
		actions = append(actions, machine.start(now, sub)...)
	}
	return actions
}

// start sends the sub-request to the target. It checks the deadline and the fingerprint again, because the deadline may
// have passed and the verdict may have changed while the sub-request waited.
func (machine *Machine) start(now time.Time, sub SubRequest) []Action {
	if !sub.Request.Deadline.After(now) {
		return machine.refuse(now, sub, result.TooLate, "deadline passed in the queue")
	}
	if code := machine.checkFingerprint(now, sub); code != result.OK {
		return machine.refuse(now, sub, code, "fingerprint is suspect or quarantined")
	}
	if machine.mustBlock(now, sub) {
		machine.blocked[sub.Fingerprint] = append(machine.blocked[sub.Fingerprint], sub)
		return nil
	}
	if !machine.isTrusted(now, sub) {
		machine.untriedRuns[sub.Fingerprint] = sub.Request.Attempt
	}
	machine.runningAlone = sub.Alone
	machine.running[sub.Request.Attempt] = &run{sub: sub, startedAt: now}
	return []Action{Send{sub}}
}

func (machine *Machine) handleReply(now time.Time, reply target.Reply) []Action {
	run, ok := machine.running[reply.Attempt]
	if !ok {
		return nil
	}
	machine.removeRun(reply.Attempt)
	machine.known = true
	machine.backoff = backoff{}
	answer := Answer{Code: reply.Code, Ran: reply.Code.Ran(), Snapshot: reply.Snapshot,
		Range: reply.Range, Hits: reply.Hits, Waited: run.startedAt.Sub(run.sub.arrivedAt)}
	reason := "target answered"
	switch {
	case reply.Code == result.OK && (reply.Snapshot != run.sub.Request.Snapshot || reply.Range != run.sub.Request.Range):
		answer = Answer{Code: result.Mismatch, Ran: result.RanUnknown}
		reason = "target answered for another snapshot or range"
	case reply.Code == result.OK:
		machine.recordServiceTime(now.Sub(run.startedAt))
		machine.tracker.RecordSuccess(now, run.sub.Fingerprint)
	case reply.Code == result.Shed:
		answer.RetryAfter = machine.serviceTime
	case reply.Code == result.Canceled:
		answer.Ran = result.RanUnknown
	}
	actions := machine.applyReport(now, reply.Report)
	actions = append(actions, machine.finish(now, run.sub, answer, reason))
	actions = append(actions, machine.releaseBlocked(now, run.sub.Fingerprint)...)
	return append(actions, machine.startWaiting(now)...)
}

func (machine *Machine) handleFailure(now time.Time, failed Failed) []Action {
	run, ok := machine.running[failed.Attempt]
	if !ok {
		return nil
	}
	untried := len(machine.untriedRuns) > 0
	machine.removeRun(failed.Attempt)
	switch failed.Code {
	case result.Broken:
		machine.recordCrash(now, run.sub, untried)
	case result.ConnectRefused:
		machine.startBackoff(now)
	}
	answer := Answer{Code: failed.Code, Ran: failed.Ran}
	actions := []Action{machine.finish(now, run.sub, answer, "attempt failed")}
	actions = append(actions, machine.releaseBlocked(now, run.sub.Fingerprint)...)
	return append(actions, machine.startWaiting(now)...)
}

func (machine *Machine) handleCancel(now time.Time, attempt target.Attempt) []Action {
	if run, ok := machine.running[attempt]; ok {
		if run.canceled {
			return nil
		}
		run.canceled = true
		return []Action{Abort{attempt}}
	}
	match := func(sub SubRequest) bool { return sub.Request.Attempt == attempt }
	return machine.refuseMatching(now, match, result.Canceled, "entry canceled the attempt")
}

func (machine *Machine) handleReport(now time.Time, event Reported) []Action {
	if event.Failed {
		machine.startBackoff(now)
		return nil
	}
	machine.backoff = backoff{}
	machine.known = true
	machine.stale = false
	actions := machine.applyReport(now, event.Report)
	return append(actions, machine.startWaiting(now)...)
}

// markLeaving refuses all waiting sub-requests, so that the entries can send them to other targets.
func (machine *Machine) markLeaving(now time.Time) []Action {
	if machine.state == target.Leaving {
		return nil
	}
	machine.state = target.Leaving
	actions := []Action{AnnounceLeaving{machine.name}}
	return append(actions, machine.refuseWaiting(now, result.Draining, "target is leaving")...)
}

func (machine *Machine) refuseWaiting(now time.Time, code result.Code, reason string) []Action {
	return machine.refuseMatching(now, func(SubRequest) bool { return true }, code, reason)
}

func (machine *Machine) refuseMatching(now time.Time, match func(SubRequest) bool, code result.Code, reason string) []Action {
	removed := machine.queue.Remove(match)
	matchAndCollect := func(sub SubRequest) bool {
		if match(sub) {
			removed = append(removed, sub)
			return true
		}
		return false
	}
	machine.trials = slices.DeleteFunc(machine.trials, matchAndCollect)
	for _, fingerprint := range sortedKeys(machine.blocked) {
		machine.blocked[fingerprint] = slices.DeleteFunc(machine.blocked[fingerprint], matchAndCollect)
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

func (machine *Machine) removeRun(attempt target.Attempt) {
	run := machine.running[attempt]
	delete(machine.running, attempt)
	if machine.untriedRuns[run.sub.Fingerprint] == attempt {
		delete(machine.untriedRuns, run.sub.Fingerprint)
	}
	if run.sub.Alone {
		machine.runningAlone = false
	}
}

func (machine *Machine) refuse(now time.Time, sub SubRequest, code result.Code, reason string) []Action {
	answer := Answer{Code: code, Ran: result.RanNo}
	if code == result.Overloaded {
		answer.RetryAfter = max(machine.limits.RetryAfter, machine.expectedWait(now))
	}
	return []Action{machine.finish(now, sub, answer, reason)}
}

func (machine *Machine) finish(now time.Time, sub SubRequest, answer Answer, reason string) Action {
	answer.Attempt = sub.Request.Attempt
	answer.Target = machine.name
	answer.Status = machine.Status(now)
	return Finish{To: sub.From, Answer: answer, Reason: reason}
}
