package crashwatch

import (
	"slices"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/crash"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/query"
	"shallotreel.example/reel/result"
)

// session is one request at an instance.
type session struct {
	instance    *instance
	incarnation int
	request     string
	fingerprint quarantine.Fingerprint
	crashes     bool // whether it crashes each target that begins to run it
	machine     *query.Machine
	wave        uint64
	ended       func(result.Code)
	finished    bool
	answered    bool // whether any target has run the request
	open        []*attempt
}

// attempt is one attempt of a session at a target.
type attempt struct {
	session *session
	id      uint64
	target  catalogue.Target
	done    bool
}

type attemptInFlight = attempt

// request starts a request at a random instance.
func (simulation *simulation) request(name string, fingerprint quarantine.Fingerprint, crashes bool, ended func(result.Code)) {
	instance := simulation.instances[simulation.random.IntN(len(simulation.instances))]
	session := &session{instance: instance, incarnation: instance.incarnation, request: name, fingerprint: fingerprint,
		crashes: crashes, wave: simulation.random.Uint64(), ended: ended}
	plan := query.Plan{Route: simulation.route, Services: simulation.route.ServiceNames(), Fingerprint: fingerprint,
		Start: simulation.Now, SoftDeadline: simulation.Now.Add(simulation.route.Goal), Deadline: simulation.Now.Add(requestTimeout)}
	session.machine = query.New(plan, instance, simulation.nextID)
	session.perform(session.machine.Begin(simulation.Now))
}

func (session *session) perform(actions []query.Action) {
	simulation := session.instance.simulation
	for _, action := range actions {
		switch action := action.(type) {
		case query.Send:
			session.send(action)
		case query.Finish:
			session.finish(action)
			return
		}
	}
	if session.finished {
		return
	}
	wait := max(session.machine.NextWake(simulation.Now).Sub(simulation.Now), time.Millisecond) + simulation.stalled()
	simulation.Schedule(wait, func() {
		if !session.finished && session.lives() {
			session.perform(session.machine.Wake(simulation.Now))
		}
	})
}

// lives reports whether the process that serves the request still runs.
func (session *session) lives() bool {
	return session.incarnation == session.instance.incarnation
}

func (session *session) send(send query.Send) {
	simulation := session.instance.simulation
	attempt := &attempt{session: session, id: send.AttemptID, target: send.Pick.Target}
	session.open = append(session.open, attempt)
	if since := session.instance.waitingSince; since[attempt.target.ID].IsZero() {
		since[attempt.target.ID] = simulation.Now
	}
	session.instance.watch.Sent(crash.Attempt{ID: send.AttemptID, Request: session.request, Fingerprint: session.fingerprint,
		Target: send.Pick.Target, Wave: session.wave + uint64(send.Generation), SentAt: simulation.Now,
		Suspicion: suspicionTimeout})
	index := slices.IndexFunc(simulation.targets, func(target *target) bool {
		return target.ID == send.Pick.Target.ID && target.Address == send.Pick.Target.Address
	})
	switch {
	case index >= 0:
		receiver := simulation.targets[index]
		simulation.Schedule(hop, func() { receiver.receive(attempt) })
	case !simulation.silent:
		simulation.Schedule(2*hop, func() { attempt.end(query.NotRun, true) })
	}
}

// end tells the instance of the end of the attempt.
func (attempt *attempt) end(execution query.Execution, refused bool) {
	simulation := attempt.session.instance.simulation
	if stalled := simulation.stalled(); stalled > 0 {
		simulation.Schedule(stalled, func() { attempt.handleEnd(execution, refused) })
		return
	}
	attempt.handleEnd(execution, refused)
}

// handleEnd handles the end of an attempt as package ingress does.
func (attempt *attempt) handleEnd(execution query.Execution, refused bool) {
	session := attempt.session
	instance, now := session.instance, session.instance.simulation.Now
	if attempt.done || !session.lives() {
		return
	}
	attempt.done = true
	delete(instance.waitingSince, attempt.target.ID)
	answer := &query.Answer{AttemptID: attempt.id, Execution: execution, Sent: execution != query.NotRun,
		Refused: refused}
	switch execution {
	case query.Ran:
		answer.Status, answer.Signature = 200, "signature"
		session.answered = true
		instance.watch.Ran(now, attempt.id)
	case query.NotRun:
		instance.watch.NotRun(attempt.id)
	case query.MayHaveRun:
		if refused {
			instance.watch.Broken(attempt.id)
		} else {
			instance.watch.NotRun(attempt.id) // the target still accepts connections
		}
	}
	if execution == query.Ran || !refused {
		instance.watch.Answered(attempt.target.ID)
	}
	if execution != query.Ran {
		instance.failedAt[attempt.target.ID] = now
	}
	if refused {
		instance.watch.Refused(now, attempt.target)
	}
	if session.finished {
		return
	}
	if actions, ok := session.machine.HandleAnswer(now, answer); ok {
		session.perform(actions)
	}
}

func (session *session) finish(finish query.Finish) {
	simulation := session.instance.simulation
	session.finished = true
	if finish.Code == result.OK {
		session.instance.watch.Completed(simulation.Now, session.fingerprint, simulation.route)
	}
	if finish.Code == result.Quarantined {
		session.instance.watch.RecordRefusal(simulation.Now, session.request, session.fingerprint)
	}
	simulation.Schedule(lateAnswerWait+simulation.stalled(), func() {
		for _, attempt := range session.open {
			if !attempt.done && session.lives() {
				attempt.done = true
				session.instance.watch.Abandoned(simulation.Now, attempt.id, session.answered)
			}
		}
	})
	session.ended(finish.Code)
}
