package door

import (
	"context"
	"net/http"
	"time"

	"shallotreel.example/platform"
	"shallotreel.example/reel/choice"
	"shallotreel.example/reel/query"
	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/line"
)

const (
	lingerMost      = 300 * time.Millisecond // for which late answers may still show how their targets fare
	endsForEachPart = 8                      // ends of attempts that wait to be taken
)

// run is one request in progress; it belongs to the caller's goroutine.
type run struct {
	door    *Door
	begun   time.Time
	plan    query.Plan
	forward *platform.Forward
	record  Record
	machine *query.Machine
	calls   map[uint64]*line.Call
	ends    chan *query.Answer
	places  map[uint64]int // of attempts in the record
}

// run serves the request until its machine ends it or the caller leaves.
func (run *run) run(ctx context.Context) query.Finish {
	run.machine = query.New(run.plan, run.door.router, run.door.router.Serial)
	run.ends = make(chan *query.Answer, endsForEachPart*(len(run.plan.Services)+1))
	run.places = map[uint64]int{}
	now := time.Now()
	finish := run.perform(now, run.machine.Begin(now))
	if finish == nil {
		finish = run.wait(ctx)
	}
	if finish.Code != result.OK && finish.Code != result.Canceled {
		run.record.Gaps = run.machine.Missing(time.Now())
	}
	run.abandon(finish.Code == result.Canceled)
	return *finish
}

func (run *run) wait(ctx context.Context) *query.Finish {
	timer := time.NewTimer(time.Until(run.machine.NextWake(time.Now())))
	defer timer.Stop()
	for {
		var actions []query.Action
		select {
		case answer := <-run.ends:
			now := time.Now()
			run.noteEnd(now, answer)
			actions, _ = run.machine.Answered(now, answer)
		case <-timer.C:
			actions = run.machine.Wake(time.Now())
		case <-ctx.Done():
			return &query.Finish{Code: result.Canceled, Reason: "the caller left"}
		}
		now := time.Now()
		if finish := run.perform(now, actions); finish != nil {
			return finish
		}
		timer.Reset(max(run.machine.NextWake(now).Sub(now), time.Millisecond))
	}
}

func (run *run) perform(now time.Time, actions []query.Action) *query.Finish {
	for _, action := range actions {
		switch action := action.(type) {
		case query.Send:
			run.send(now, action)
		case query.Finish:
			return &action
		}
	}
	return nil
}

func (run *run) send(now time.Time, send query.Send) {
	target := send.Pick.Target
	run.places[send.Serial] = len(run.record.Attempts)
	run.record.Attempts = append(run.record.Attempts, Attempt{Target: target.ID, Service: send.Service,
		Why: send.Why, Grade: send.Pick.Reason, After: now.Sub(run.begun)})
	run.door.router.sent(now, target.ID, choice.Attempt{Serial: send.Serial, Route: run.plan.Route.Name, SentAt: now})
	call := &line.Call{Address: target.Address, Method: run.forward.Method, RequireFresh: !run.plan.Route.Idempotent,
		Request: run.forward.Attempt(target.ID, send.Until.Sub(now)), MatchesResponse: run.forward.Echoes}
	call.Done = func(ended line.Result) { run.ended(send, ended) }
	run.calls[send.Serial] = call
	run.door.pool.Start(call)
}

// ended takes the end of a call on the connection's goroutine.
func (run *run) ended(send query.Send, ended line.Result) {
	answer, load, verdict := run.judge(ended)
	answer.Serial = send.Serial
	run.door.router.ended(time.Now(), send.Pick.Target, send.Serial, verdict, load)
	select {
	case run.ends <- answer:
	default: // the request has ended and takes no more
	}
}

func (run *run) judge(ended line.Result) (*query.Answer, *choice.Load, choice.Outcome) {
	if ended.Err != nil {
		answer := &query.Answer{Sent: ended.Sent, Cause: ended.Err.Error()}
		if ended.Sent {
			answer.Fate = query.MayHaveRun
		}
		switch ended.Err {
		case line.ErrCanceled:
			return answer, nil, choice.Abandoned
		case line.ErrConnectionLimit:
			return answer, nil, choice.ConnectionsExhausted
		default:
			return answer, nil, choice.Failed
		}
	}
	answer, load := run.forward.Answer(ended.Response, ended.Body)
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		return answer, load, choice.Misdirected
	case answer.Fate == query.NotRun:
		return answer, load, choice.Refused
	case answer.Status == 0 || answer.Status >= http.StatusInternalServerError:
		return answer, load, choice.Failed
	default:
		return answer, load, choice.Answered
	}
}

func (run *run) noteEnd(now time.Time, answer *query.Answer) {
	attempt := &run.record.Attempts[run.places[answer.Serial]]
	attempt.Took = now.Sub(run.begun) - attempt.After
	attempt.Status, attempt.Cause = answer.Status, answer.Cause
	delete(run.calls, answer.Serial)
}

// abandon ends the attempts that are still open: at once if the caller left, else a little later.
func (run *run) abandon(now bool) {
	if len(run.calls) == 0 {
		return
	}
	open := run.calls
	giveUp := func() {
		for _, call := range open {
			run.door.pool.Cancel(call)
		}
	}
	if now {
		giveUp()
		return
	}
	time.AfterFunc(lingerMost, giveUp)
}
