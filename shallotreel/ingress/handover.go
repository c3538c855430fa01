package ingress

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"shallotreel.example/platform"
	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/extra"
	"shallotreel.example/reel/query"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/statusline"
	"shallotreel.example/shallotreel/connpool"
	"shallotreel.example/shallotreel/intake"
	"shallotreel.example/shallotreel/relay"
)

const (
	// versionMemory is the time for which the configuration of helpers is remembered. Within it, this instance learns of the
	// configuration too.
	versionMemory = 10 * time.Second
	// minPathRetryAfter and maxPathRetryAfter bound the Retry-After while no instance reaches a target. In between it is the time for
	// which this has lasted, since it is likely to last about as long again.
	minPathRetryAfter = 500 * time.Millisecond
	maxPathRetryAfter = 3 * time.Second
	// minGoalLeft divides the latency goal; with less than that part of it left, the goal counts from now.
	minGoalLeft = 4
)

// Reasons for handing a request over.
const (
	reasonPathLost      = "this instance reaches no target"
	reasonPathBroke     = "this instance lost its path to the targets meanwhile"
	reasonOutdated      = "helpers have served by a newer configuration"
	reasonNoHelper      = "this instance reaches no target, and no other instance can help"
	reasonHelperLost    = "the helper gave no answer"
	reasonInvalidStatus = "the answer of the helper has no valid status"
	reasonUnaffordable  = "the budget for retries and hedges does not allow to go on at another instance"
)

// Helpers serves requests by way of other instances.
type Helpers interface {
	Serve(ctx context.Context, request relay.Request) relay.Outcome
}

// versionFloor remembers the newest version of a configuration for versionMemory. It is safe for concurrent use.
type versionFloor struct {
	mutex   sync.Mutex
	version uint64
	at      time.Time
}

func (floor *versionFloor) raise(now time.Time, version uint64) {
	floor.mutex.Lock()
	defer floor.mutex.Unlock()
	if version >= floor.version || now.Sub(floor.at) >= versionMemory {
		floor.version, floor.at = version, now
	}
}

// get returns the version, or 0 if none is remembered.
func (floor *versionFloor) get(now time.Time) uint64 {
	floor.mutex.Lock()
	defer floor.mutex.Unlock()
	if now.Sub(floor.at) >= versionMemory {
		return 0
	}
	return floor.version
}

// serve serves the request of a caller, at the targets or by way of another instance.
func (run *run) serve(ctx context.Context, view *catalogue.View) query.Finish {
	var finish query.Finish
	if reason := run.handler.handOverReason(run.start, view); reason == "" {
		finish = run.run(ctx)
	} else {
		finish = run.handOver(ctx, reason)
	}
	return finish.Truthful(run.mayHaveRun())
}

// mayHaveRun reports whether anything of the request may have run, at any instance.
func (run *run) mayHaveRun() bool {
	return run.plan.Spent.Total() > 0 || run.helpersSpent.Total() > 0 || run.machine != nil && run.machine.MayHaveRun()
}

// spending returns all that was spent on the request: here, by earlier instances and by helpers.
func (run *run) spending() query.Spending {
	spending := run.plan.Spent.Merge(run.helpersSpent)
	if run.machine != nil {
		spending = spending.Merge(run.machine.Spent())
	}
	return spending
}

// handOverReason returns why requests must be served by way of another instance, or "".
func (handler *Handler) handOverReason(now time.Time, view *catalogue.View) string {
	switch {
	case handler.path.IsLost():
		return reasonPathLost
	case view.Configuration.Version < handler.helpersVersion.get(now):
		return reasonOutdated
	}
	return ""
}

// leavePath ends the attempts of the request because the path to the targets is lost, and has it served by way of another instance.
// It returns nil if the request goes on here: enough shards have answered, or it must not be repeated and may have been sent.
func (run *run) leavePath(ctx context.Context) *query.Finish {
	if run.machine.HasEnough() || !run.plan.Repeatable() && run.anySent() {
		return nil
	}
	arrived := run.withdraw()
	if run.isRelayed {
		run.pathLost = true
		return &query.Finish{Code: result.NoTarget, Reason: reasonPathBroke, RetryAfter: minPathRetryAfter}
	}
	if !run.plan.Repeatable() && run.mayHaveRun() {
		return &query.Finish{Code: result.Broken, Reason: reasonPathBroke}
	}
	now := time.Now()
	for _, service := range arrived {
		if !run.handler.router.SpendExtra(now, service, extra.Retry) {
			return &query.Finish{Code: result.NoTarget, Reason: reasonUnaffordable, RetryAfter: minPathRetryAfter}
		}
	}
	finish := run.handOver(ctx, reasonPathBroke)
	return &finish
}

// failedWithoutPath reports whether the request failed, with attempts that broke or could not be sent, while this instance reaches no
// target.
func (run *run) failedWithoutPath(finish *query.Finish) bool {
	switch finish.Code {
	case result.NoTarget, result.Broken, result.Uncovered:
	default:
		return false
	}
	broke := slices.ContainsFunc(run.record.Attempts, func(attempt Attempt) bool { return attempt.Cause != "" && attempt.Status == 0 })
	stopped := run.handler.lifetime.Err() != nil
	return broke && run.record.HandedOver == "" && !run.pathLost && !stopped && run.handler.path.Verify(time.Now())
}

// withdraw cancels the open attempts and returns the services that may have received an attempt.
func (run *run) withdraw() []string {
	arrived := run.machine.Withdraw(run.cancelAttempt)
	for ended := true; ended; {
		select {
		case answer := <-run.answers:
			run.recordAnswer(time.Now(), answer)
		default:
			ended = false
		}
	}
	run.calls = map[uint64]*connpool.Call{}
	return arrived
}

// handOver has the request served by way of another instance. The request was counted here if it was tried here.
func (run *run) handOver(ctx context.Context, reason string) query.Finish {
	if err := run.hold.Grow(intake.Message, len(run.request.body)); err != nil { // for the copy that is sent
		return *noMemory()
	}
	defer run.hold.Shrink(intake.Message, len(run.request.body))
	now := time.Now()
	version := max(run.record.Version, run.handler.helpersVersion.get(now))
	request := relay.Request{Origin: run.handler.router.home.Name, Method: run.request.Method, Host: run.request.Host, URI: run.request.head.RequestURI,
		Header: run.request.Header, Body: run.request.body, Left: run.plan.Deadline.Sub(now), GoalLeft: run.plan.SoftDeadline.Sub(now),
		Version: version, Once: !run.plan.Repeatable(), Counted: run.machine != nil, Spent: run.spending()}
	helped, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(run.handler.lifetime, cancel)()
	outcome := run.handler.helpers.Serve(helped, request)
	run.helpersSpent = outcome.Spent
	run.record.HandedOver, run.record.Helpers = reason, outcome.Attempts
	switch {
	case ctx.Err() != nil:
		return query.Finish{Code: result.Canceled, Reason: reasonDisconnected}
	case outcome.Unknown && !time.Now().Before(run.plan.Deadline):
		return query.Finish{Code: result.DeadlineExceeded, Reason: reasonHelperLost}
	case outcome.Unknown:
		return query.Finish{Code: result.Broken, Reason: reasonHelperLost}
	case !outcome.Answered:
		if len(outcome.Attempts) == 0 {
			run.handler.path.NoHelper()
		}
		return query.Finish{Code: result.NoTarget, Reason: reasonNoHelper, RetryAfter: run.handler.pathRetryAfter()}
	}
	run.handler.helpersVersion.raise(time.Now(), outcome.Reply.Version)
	finish := finishOf(outcome.Reply)
	if outcome.Reply.Overloaded {
		finish.Code = result.Overloaded
	}
	return finish
}

// pathRetryAfter returns when callers should come back while no instance serves them.
func (handler *Handler) pathRetryAfter() time.Duration {
	return min(max(handler.path.LostFor(time.Now()), minPathRetryAfter), maxPathRetryAfter)
}

// finishOf returns the end of a request by the reply of a helper, which may be of another build.
func finishOf(reply relay.Reply) query.Finish {
	passesOn := reply.Status != 0 || reply.Code == result.Relayed
	if passesOn && !statusline.IsFinal(reply.Status) {
		return query.Finish{Code: result.Broken, Reason: reasonInvalidStatus}
	}
	finish := query.Finish{Code: reply.Code, Reason: reply.Reason, RetryAfter: reply.RetryAfter, Signatures: reply.Signatures,
		Missing: reply.Missing, Body: reply.Body}
	if passesOn {
		finish.Answer = &query.Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body}
	}
	return finish
}

// replyOf returns the reply of this instance as a helper.
func (run *run) replyOf(finish query.Finish) relay.Reply {
	reply := relay.Reply{Code: finish.Code, Reason: finish.Reason, RetryAfter: finish.RetryAfter, Signatures: finish.Signatures,
		Missing: finish.Missing, Body: finish.Body, Version: run.record.Version, PathLost: run.pathLost, Spent: run.spending(),
		Repeatable: run.plan.Repeatable()}
	if finish.Code == result.Overloaded {
		reply.Code, reply.Overloaded = result.NoTarget, true
	}
	if finish.Answer != nil {
		reply.Status, reply.Header, reply.Body = finish.Answer.Status, finish.Answer.Header, finish.Answer.Body
	}
	return reply
}

// StopRelaying makes the handler refuse requests of other instances from now on.
func (handler *Handler) StopRelaying() { handler.relaysRefused.Store(true) }

// ServeRelayed serves a request that another instance has handed over. It never hands it on.
func (handler *Handler) ServeRelayed(ctx context.Context, relayed relay.Request) relay.Reply {
	start := time.Now()
	handler.running.Add(1)
	defer handler.running.Add(-1)
	view := handler.catalogue.View()
	if refusal := handler.refusalOf(relayed, view); refusal != "" {
		return relay.Reply{Refusal: refusal}
	}
	hold := handler.memory.Hold()
	defer hold.Release()
	if hold.Grow(intake.Work, requestBytes) != nil || hold.Grow(intake.Message, len(relayed.Body)) != nil {
		return relay.Reply{Refusal: relay.RefusedBusy}
	}
	handler.requests.Add(1)
	request := requestOf(relayed)
	head := platform.ParseRequestHead(request)
	record := Record{ID: head.ID, CatalogueSerial: view.Serial, CallerTimeout: head.Timeout, Version: view.Configuration.Version, Origin: relayed.Origin}
	route, ok := view.Configuration.FindRoute(head.Host, head.Path())
	if !ok {
		finish := query.Finish{Code: result.UnknownRoute}.Truthful(relayed.Spent.Total() > 0)
		record.Code = finish.Code
		handler.recorder.Record(record)
		return relay.Reply{Code: finish.Code, Version: record.Version, Spent: relayed.Spent}
	}
	goalLeft := relayed.GoalLeft
	if goalLeft < route.Goal/minGoalLeft {
		goalLeft = route.Goal
	}
	plan := query.Plan{Route: route, Start: start, SoftDeadline: start.Add(goalLeft), Deadline: start.Add(relayed.Left),
		Spent: relayed.Spent, Counted: relayed.Counted, Once: relayed.Once, Services: spentServices(route, relayed.Spent)}
	if handler.refuseLate(start, &plan) != nil {
		return relay.Reply{Refusal: relay.RefusedStopping}
	}
	run := handler.newRun(start, incoming{request, head, relayed.Body}, plan, record, hold)
	run.isRelayed = true
	finish := run.run(ctx)
	finish = finish.Truthful(run.mayHaveRun())
	run.recordEnd(finish)
	return run.replyOf(finish)
}

// spentServices returns the service of a weighted route of which attempts were spent, or nil if there is none.
func spentServices(route *catalogue.Route, spent query.Spending) []string {
	for _, weight := range route.Weighted {
		if spent[weight.Service] > 0 {
			return []string{weight.Service}
		}
	}
	return nil
}

// refusalOf returns why this instance does not serve the request of another one, or "".
func (handler *Handler) refusalOf(relayed relay.Request, view *catalogue.View) string {
	switch {
	case handler.relaysRefused.Load():
		return relay.RefusedStopping
	case view.Configuration == nil || !handler.isOpen.Load():
		return relay.RefusedNotReady
	case handler.path.InDoubt(time.Now()):
		return relay.RefusedNoPath
	case view.Configuration.Version < relayed.Version:
		return relay.RefusedOutdated
	}
	return ""
}

// requestOf returns the caller's request that was handed over.
func requestOf(relayed relay.Request) *http.Request {
	header := relayed.Header
	if header == nil {
		header = http.Header{} // an empty one is not transmitted
	}
	return &http.Request{Method: relayed.Method, Host: relayed.Host, RequestURI: relayed.URI, URL: &url.URL{Path: relayed.URI}, Header: header}
}

// recordEnd completes the record of the request.
func (run *run) recordEnd(finish query.Finish) {
	run.record.Code, run.record.Reason, run.record.Took = finish.Code, finish.Reason, time.Since(run.start)
	run.handler.recorder.Record(run.record)
}
