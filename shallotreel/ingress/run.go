package ingress

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"shallotreel.example/platform"
	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/choice"
	"shallotreel.example/reel/crash"
	"shallotreel.example/reel/query"
	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/connpool"
	"shallotreel.example/shallotreel/crashwatch"
	"shallotreel.example/shallotreel/intake"
)

const (
	// lateAnswerWait is how long attempts continue after their request has ended, because late answers still show how
	// well their targets perform.
	lateAnswerWait = 300 * time.Millisecond
	// answerBufferPerService is the number of ended attempts for each service that the answers channel buffers.
	answerBufferPerService = 8
	// minMaxPart is the least limit of a part's body in bytes.
	minMaxPart = 256 << 10
	// maxPartFactor is that limit as a multiple of the records that count, of which maxPartRecords are considered.
	maxPartFactor  = 64
	maxPartRecords = 8 << 10
)

// run is one request in progress. Only the goroutine that serves the caller uses it, except for handleResult.
type run struct {
	handler        *Handler
	hold           *intake.Hold
	start          time.Time
	request        incoming
	plan           query.Plan
	outbound       *platform.OutboundRequest
	record         Record
	machine        *query.Machine
	calls          map[uint64]*connpool.Call // open calls by attempt id
	history        connpool.History          // of all attempts
	answers        chan *query.Answer
	attemptIndexes map[uint64]int // index in record.Attempts by attempt id
	answered       atomic.Bool    // whether any target has run the request
	overloaded     atomic.Bool    // whether the group of the route was overloaded when the request ended
	wave           uint64         // identifies the first attempts; those of later generations follow
	isRelayed      bool           // whether another instance has handed the request over
	pathLost       bool           // whether a relayed request ended because this instance lost its path
	helpersSpent   query.Spending // what was spent on the request when the helpers had ended, empty if it was not handed over
	ticket         *ticket        // nil before the request is admitted
}

const reasonDisconnected = "the caller disconnected"

// decisions joins what the machine of a request asks for.
type decisions struct {
	*admittedRouter
	*crashwatch.Watch
}

// run serves the request until the machine ends it or the caller disconnects.
func (run *run) run(ctx context.Context) query.Finish {
	if err := run.hold.Grow(intake.Work, attemptBytes*len(run.plan.Services)); err != nil { // for the first attempts
		return *noMemory()
	}
	if refusal := run.admit(ctx); refusal != nil {
		return *refusal
	}
	run.machine = query.New(run.plan, decisions{&admittedRouter{run.handler.router, run.ticket, &run.history}, run.handler.crashes}, run.handler.router.NextAttemptID)
	run.wave = rand.Uint64()
	run.answers = make(chan *query.Answer, answerBufferPerService*(len(run.plan.Services)+1))
	run.attemptIndexes = map[uint64]int{}
	now := time.Now()
	finish := run.perform(now, run.machine.Begin(now))
	if finish == nil {
		finish = run.wait(ctx)
	}
	run.overloaded.Store(run.handler.router.Overloaded(time.Now(), run.plan.Route))
	settled := run.settle(finish)
	if run.failedWithoutPath(finish) {
		if served := run.leavePath(ctx); served != nil {
			settled = served
		}
	}
	finish = settled
	if finish.Code != result.OK && finish.Code != result.Canceled && finish.Code != result.Quarantined && run.record.HandedOver == "" {
		run.record.Gaps = run.machine.Gaps(time.Now())
	}
	if finish.Code == result.Quarantined && run.record.HandedOver == "" {
		run.handler.crashes.RecordRefusal(time.Now(), run.record.ID, run.record.Fingerprint)
	}
	if finish.Code == result.OK && run.record.HandedOver == "" {
		run.handler.crashes.Completed(time.Now(), run.plan.Fingerprint, run.plan.Route)
	}
	run.record.Suspect = run.machine.Suspect()
	run.leave(finish)
	run.cancelOpenCalls(finish.Code)
	return *finish
}

// wait passes answers and timeouts to the machine until the request ends.
func (run *run) wait(ctx context.Context) *query.Finish {
	timer := time.NewTimer(time.Until(run.machine.NextWake(time.Now())))
	defer timer.Stop()
	lost := run.handler.path.Lost()
	for {
		var actions []query.Action
		select {
		case answer := <-run.answers:
			actions = run.handleAnswer(answer)
		case <-timer.C:
			actions = run.wake()
		case <-lost:
			if finish := run.leavePath(ctx); finish != nil {
				return finish
			}
			lost = nil
		case <-run.handler.lifetime.Done():
			actions = run.machine.Expire(time.Now())
		case <-ctx.Done():
			run.machine.Cancel()
			return &query.Finish{Code: result.Canceled, Reason: reasonDisconnected}
		}
		now := time.Now()
		if finish := run.perform(now, actions); finish != nil {
			return finish
		}
		timer.Reset(max(run.machine.NextWake(now).Sub(now), time.Millisecond))
	}
}

// handleAnswer passes the end of an attempt to the machine.
func (run *run) handleAnswer(answer *query.Answer) []query.Action {
	now := time.Now()
	run.recordAnswer(now, answer)
	actions, _ := run.machine.HandleAnswer(now, answer)
	return actions
}

// wake passes a timeout to the machine, or an answer that is ready, which must not be lost to a deadline.
func (run *run) wake() []query.Action {
	select {
	case answer := <-run.answers:
		return run.handleAnswer(answer)
	default:
		return run.machine.Wake(time.Now())
	}
}

// perform returns the end of the request if it is one of the actions, and otherwise sends the attempts among them.
func (run *run) perform(now time.Time, actions []query.Action) *query.Finish {
	for _, action := range actions {
		if finish, ended := action.(query.Finish); ended {
			return &finish
		}
	}
	for _, action := range actions {
		if send, ok := action.(query.Send); ok {
			run.send(now, send)
		}
	}
	return nil
}

// send starts an attempt and adds it to the record.
func (run *run) send(now time.Time, send query.Send) {
	target := send.Pick.Target
	send.Deadline = run.handler.limit(send.Deadline)
	run.attemptIndexes[send.AttemptID] = len(run.record.Attempts)
	run.record.Attempts = append(run.record.Attempts, Attempt{Target: target.ID, Service: send.Service,
		Kind: send.Kind, Grade: send.Pick.Grade, Limited: send.Pick.Limited, After: now.Sub(run.start)})
	run.handler.router.recordSent(now, target.ID, choice.Attempt{ID: send.AttemptID, Route: run.plan.Route.Name,
		DataCentre: target.DataCentre, SentAt: now})
	suspicion := run.handler.router.suspicionTimeout(run.plan.Route)
	run.handler.path.Sent(now, send.AttemptID, suspicion)
	run.handler.crashes.Sent(crash.Attempt{ID: send.AttemptID, Request: run.record.ID, Fingerprint: run.plan.Fingerprint,
		Target: target, Wave: run.wave + uint64(send.Generation), SentAt: now,
		Suspicion: suspicion})
	call := &connpool.Call{Address: target.Address, Method: run.outbound.Method, MaxBody: maxBody(run.plan.Route), RequireFresh: !run.plan.Repeatable(),
		Request: run.outbound.EncodeAttempt(target.ID, send.Deadline.Sub(now)), ID: run.outbound.ID, EchoedID: platform.EchoedID,
		History: &run.history, Hold: run.hold}
	run.hold.Retain() // until handleResult
	if len(run.record.Attempts) > len(run.plan.Services) {
		run.hold.Count(intake.Work, attemptBytes)
	}
	call.Refresh = func(now time.Time) (net.Buffers, bool) {
		left := send.Deadline.Sub(now)
		return run.outbound.EncodeAttempt(target.ID, left), left > 0
	}
	call.Done = func(ended connpool.Result) { run.handleResult(send, ended) }
	run.calls[send.AttemptID] = call
	run.handler.pool.Start(call)
}

// maxBody returns the limit of a response body in bytes, or 0 for the default. The records of a part are merged, so parts are
// far smaller than other responses may be.
func maxBody(route *catalogue.Route) int64 {
	if len(route.Shards) == 0 {
		return 0
	}
	records := min(int64(route.Top), maxPartRecords)
	return max(minMaxPart, maxPartFactor*records*query.RecordSize)
}

// handleResult records the end of a call for its target and passes it to the request. It may run on any
// goroutine, usually that of the connection.
func (run *run) handleResult(send query.Send, ended connpool.Result) {
	defer run.hold.Release()
	answer, report, outcome := run.classify(ended)
	if (outcome == choice.Failed || outcome == choice.Abandoned) && run.handler.path.IsLost() {
		outcome, report.Broken = choice.Inconclusive, false
	}
	if outcome == choice.Abandoned && ended.Sent && run.overloaded.Load() {
		outcome = choice.Inconclusive // the load delays the answer
	}
	answer.AttemptID, answer.Connection = send.AttemptID, ended.Connection
	now := time.Now()
	run.handler.path.Ended(now, send.AttemptID, send.Pick.Target.Address, ended)
	run.handler.router.recordEnd(now, send.Pick.Target, send.AttemptID, outcome, report)
	run.ticket.attemptEnded(now, send.Service, outcome, report)
	if outcome == choice.Answered {
		run.handler.router.recordAnswered(now, run.plan.Route.Name)
	}
	if report.Leaving {
		run.handler.catalogue.RecordLeaving(send.Pick.Target)
	}
	answer.Refused = ended.Listens == connpool.Refused && run.handler.confirmRefusal(now, send.Pick.Target, ended.Sent)
	run.watchForCrash(now, send, ended, answer)
	select {
	case run.answers <- answer:
	default: // the request has ended and reads no more answers
	}
}

// classify translates the end of a call for the machine and for the selection of targets.
func (run *run) classify(ended connpool.Result) (*query.Answer, choice.Report, choice.Outcome) {
	if ended.Err != nil {
		answer := &query.Answer{Sent: ended.Sent, Cause: ended.Err.Error()}
		if ended.Sent {
			answer.Execution = query.MayHaveRun
		}
		if ended.IsOwnShortage() {
			return answer, choice.Report{}, choice.Inconclusive
		}
		switch ended.Err {
		case connpool.ErrCanceled:
			return answer, choice.Report{}, choice.Abandoned
		case connpool.ErrTooLate:
			return answer, choice.Report{}, choice.Abandoned
		case connpool.ErrExcluded:
			return answer, choice.Report{}, choice.Inconclusive
		case connpool.ErrConnectionLimit:
			return answer, choice.Report{}, choice.ConnectionsExhausted
		default:
			return answer, choice.Report{Broken: ended.Sent || ended.Listens == connpool.Refused}, choice.Failed
		}
	}
	answer, report := run.outbound.ParseResponse(ended.Response, ended.Body)
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		return answer, report, choice.Misdirected
	case answer.Execution == query.NotRun:
		return answer, report, choice.Refused
	case answer.Status == 0 || answer.Status >= http.StatusInternalServerError || answer.IsUnsigned():
		return answer, report, choice.Failed
	default:
		return answer, report, choice.Answered
	}
}

// recordAnswer completes the attempt in the record.
func (run *run) recordAnswer(now time.Time, answer *query.Answer) {
	attempt := &run.record.Attempts[run.attemptIndexes[answer.AttemptID]]
	attempt.Took = now.Sub(run.start) - attempt.After
	attempt.Status, attempt.Cause, attempt.Refused, attempt.Connection = answer.Status, answer.Cause, answer.Refused, answer.Connection
	delete(run.calls, answer.AttemptID)
}
