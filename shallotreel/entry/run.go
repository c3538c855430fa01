package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotreel.example/reel/admit"
	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/contact"
	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/request"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
	"shallotreel.example/shallotreel/peers"
)

const (
	// StartMargin is the time before the start of an event by which requests for it must be answered. It allows for
	// clock skew between instances and for the time that the answer takes to reach the caller.
	StartMargin          = 150 * time.Millisecond
	answerBufferPerShard = 16                     // exceeds the number of attempts at one shard
	notReadyRetryAfter   = 500 * time.Millisecond // retry delay for callers of an instance that cannot accept requests
	suspectRetryAfter    = time.Second            // retry delay for callers of a request whose trial run was not possible
)

// checkedRequest is a request that passed all checks, with the revision of the configuration that applies to it.
type checkedRequest struct {
	body         caller.Request
	kind         document.Kind
	document     *document.Document
	preset       document.Preset
	source       *source
	deadline     time.Time
	softDeadline time.Time // when a request with the tail rule returns the results that it has; zero for other rules
	fingerprint  quarantine.Fingerprint
}

// check validates a request against the revision in force at now. If the request is rejected, it returns an error with
// the result code and, if one field is the cause, the name of the field.
func (entry *Entry) check(now time.Time, operation document.Operation, body caller.Request) (checkedRequest, *result.Error) {
	if refusal := entry.checkStanding(now); refusal != nil {
		return checkedRequest{}, refusal
	}
	doc := entry.fleet.View().DocumentAt(now)
	if doc == nil {
		return checkedRequest{}, result.Refuse(result.NotReady, notReadyRetryAfter, "no revision is in force yet")
	}
	kind, ok := doc.Kind(body.Kind)
	if !ok {
		return checkedRequest{}, fieldRefusal(result.UnknownKind, "kind", "name a kind of the configuration")
	}
	if kind.Operation != operation {
		return checkedRequest{}, fieldRefusal(result.UnknownKind, "kind", "send requests of this kind to the path for "+string(kind.Operation))
	}
	event, ok := doc.Event(body.Event)
	if !ok {
		return checkedRequest{}, fieldRefusal(result.UnknownEvent, "event", "name an event of the configuration")
	}
	if refusal := checkEvent(event, kind, body); refusal != nil {
		return checkedRequest{}, refusal
	}
	source := entry.source(kind.Source)
	if source == nil {
		return checkedRequest{}, result.Refuse(result.NotReady, notReadyRetryAfter, "the source's targets are not known yet")
	}
	request := checkedRequest{body: body, kind: kind, document: doc, preset: doc.Preset(), source: source,
		deadline: now.Add(kind.Deadline.Std()), fingerprint: fingerprintOf(body)}
	last := event.Start.Add(-StartMargin)
	if !now.Before(last) {
		return checkedRequest{}, result.Refuse(result.EventStarted, 0, "the event has started")
	}
	request.deadline = earliest(request.deadline, last)
	if !body.Deadline.IsZero() {
		request.deadline = earliest(request.deadline, body.Deadline)
	}
	if !request.deadline.After(now) {
		return checkedRequest{}, fieldRefusal(result.TooLate, "deadline", "the deadline has passed")
	}
	if kind.Rule == document.Tail {
		request.softDeadline = now.Add(kind.Patience.Std())
	}
	return request, nil
}

// checkEvent checks that the event serves the caller and the source of the request's kind.
func checkEvent(event document.Event, kind document.Kind, body caller.Request) *result.Error {
	if !contains(event.People, body.Caller) {
		return fieldRefusal(result.NotServed, "caller", "the event does not serve this caller")
	}
	if !contains(event.Sources, kind.Source) {
		return fieldRefusal(result.NotServed, "kind", "the event does not search this kind's source")
	}
	return nil
}

// checkStanding returns an error if this instance may not accept requests at now, and nil if it may.
func (entry *Entry) checkStanding(now time.Time) *result.Error {
	switch entry.fleet.Standing(now) {
	case contact.Waiting:
		return result.Refuse(result.NotReady, notReadyRetryAfter, "the instance is starting")
	case contact.Isolated:
		return result.Refuse(result.Isolated, notReadyRetryAfter, "the instance can reach neither the platform nor a majority of the voters")
	case contact.Paused:
		return result.Refuse(result.Paused, notReadyRetryAfter, "the instance was paused")
	case contact.Undecided:
		return result.Refuse(result.Isolated, notReadyRetryAfter, "no majority has confirmed the change of preset yet")
	case contact.Good:
		if !entry.Ready(now) {
			return result.Refuse(result.NotReady, notReadyRetryAfter, "the instance does not know its targets yet")
		}
	}
	return nil
}

// admitAndRun waits for admission and then executes the request. It returns the outcome, also if the request is
// rejected.
func (entry *Entry) admitAndRun(ctx context.Context, checked checkedRequest) request.Outcome {
	checked.source.usedAt.Store(time.Now().UnixNano())
	latest := checked.deadline
	if !checked.softDeadline.IsZero() {
		latest = earliest(latest, checked.softDeadline)
	}
	decision := checked.source.limiter.acquire(ctx, checked.kind, latest)
	if entry.log.Sample() {
		entry.log.Printf("admission of %s of kind %s: %v: %s", checked.body.RequestID, checked.kind.Name, decision.Code, decision.Reason)
	}
	if decision.Code != result.OK {
		return request.Outcome{Code: decision.Code, Ran: result.RanNo, RetryAfter: decision.RetryAfter,
			Detail: decision.Reason, Coverage: noCoverage()}
	}
	start := time.Now()
	outcome := entry.execute(ctx, checked)
	elapsed := time.Since(start)
	if outcome.Code != result.OK {
		elapsed = 0
	}
	checked.source.limiter.release(elapsed, loadSignal(outcome))
	return outcome
}

// loadSignal derives from the outcome what admission control learns about the load on the targets.
func loadSignal(outcome request.Outcome) admit.Signal {
	switch {
	case outcome.Overloaded:
		return admit.Overloaded
	case outcome.Congested:
		return admit.Congested
	default:
		return admit.Uncongested
	}
}

// execute runs an admitted request and updates the crash history with its outcome.
func (entry *Entry) execute(ctx context.Context, checked checkedRequest) request.Outcome {
	now := time.Now()
	// The standing may have changed while the request waited for admission.
	if refusal := entry.checkStanding(now); refusal != nil {
		return request.Outcome{Code: refusal.Code, Ran: result.RanNo, RetryAfter: refusal.RetryAfter,
			Detail: refusal.Detail, Coverage: noCoverage()}
	}
	pin, ok := checked.source.table.Pin(now)
	if !ok {
		return request.Outcome{Code: result.NoTarget, Ran: result.RanNo, RetryAfter: notReadyRetryAfter,
			Detail: "no target is known to serve a snapshot", Coverage: noCoverage()}
	}
	plan := request.Plan{
		RequestID: checked.body.RequestID, From: entry.self.Name, Kind: checked.kind,
		Preset: checked.preset, Query: queryOf(checked.body), Key: keyOf(checked.body),
		Fingerprint: checked.fingerprint, CrashHistory: entry.crashHistory, Pin: pin, Deadline: checked.deadline, SoftDeadline: checked.softDeadline,
	}
	runner := runner{entry: entry, source: checked.source, answers: make(chan holder.Answer, answerBufferPerShard*(1+len(pin.Shards))),
		machine: request.New(plan, checked.source.table, newAttempt)}
	outcome := runner.run(ctx, now)
	if outcome.Code == result.OK {
		entry.crashHistory.RecordSuccess(time.Now(), checked.fingerprint)
	}
	switch outcome.Code {
	case result.Quarantined:
		outcome.RetryAfter = entry.crashHistory.Remaining(time.Now(), checked.fingerprint)
		if mark, changed := entry.crashHistory.RecordRefusal(time.Now(), checked.fingerprint); changed {
			entry.fleet.BroadcastMark(mark)
		}
	case result.Suspect:
		outcome.RetryAfter = suspectRetryAfter
	}
	return outcome
}

// runner drives the state machine of one request and carries out its actions.
type runner struct {
	entry    *Entry
	source   *source
	machine  *request.Machine
	answers  chan holder.Answer
	sent     []target.Attempt
	outcome  request.Outcome
	finished bool
}

// run returns the outcome of the request. If ctx ends first, it cancels the request.
func (runner *runner) run(ctx context.Context, now time.Time) request.Outcome {
	defer func() { go runner.handleLateAnswers(runner.sent) }()
	runner.perform(now, runner.machine.Start(now))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !runner.finished {
		timer.Reset(time.Until(runner.machine.NextWake()))
		select {
		case answer := <-runner.answers:
			now = time.Now()
			actions, _ := runner.machine.HandleAnswer(now, answer)
			runner.perform(now, actions)
		case <-timer.C:
			now = time.Now()
			runner.perform(now, runner.machine.Wake(now))
		case <-ctx.Done():
			now = time.Now()
			runner.perform(now, runner.machine.Cancel())
		}
	}
	return runner.outcome
}

// handleLateAnswers passes the unread answers to the state machine and detaches the remaining attempts, so that late
// answers still update the routing table.
func (runner *runner) handleLateAnswers(sent []target.Attempt) {
	runner.entry.pendingAttempts.detach(sent)
	for {
		select {
		case answer := <-runner.answers:
			runner.machine.HandleAnswer(time.Now(), answer)
		default:
			return
		}
	}
}

// perform carries out the actions. It sends all messages to the same peer in one batch.
func (runner *runner) perform(now time.Time, actions []request.Action) {
	batches := map[netip.AddrPort]*peers.Batch{}
	batch := func(peer netip.AddrPort) *peers.Batch {
		if batches[peer] == nil {
			batches[peer] = &peers.Batch{From: runner.entry.self.Name}
		}
		return batches[peer]
	}
	for _, action := range actions {
		switch action := action.(type) {
		case request.Send:
			runner.send(now, action)
			to := batch(action.Choice.Holder.Peer)
			to.Subs = append(to.Subs, action.Sub)
		case request.Cancel:
			to := batch(action.Choice.Holder.Peer)
			to.Cancels = append(to.Cancels, peers.Cancel{Attempt: action.Attempt, Target: action.Choice.Target})
		case request.Finish:
			runner.outcome, runner.finished = action.Outcome, true
		}
	}
	for peer, batch := range batches {
		runner.entry.deliver(peer, *batch)
	}
}

// send registers an attempt as pending. It counts attempts other than the first in a metric.
func (runner *runner) send(now time.Time, send request.Send) {
	if runner.entry.log.Sample() {
		runner.entry.log.Printf("route %s of %s to %s by %s, %s: %s", send.Sub.Request.Attempt,
			send.Sub.Request.RequestID, send.Choice.Target, send.Choice.Holder.Name, send.Kind, send.Choice.Reason)
	}
	if send.Kind != request.First {
		runner.entry.scope.Tagged(map[string]string{"why": string(send.Kind)}).Counter("extra_attempts").Inc(1)
	}
	runner.sent = append(runner.sent, send.Sub.Request.Attempt)
	sub := send.Sub.Request
	shard := runner.machine.AttemptShard(sub.Attempt)
	runner.entry.pendingAttempts.add(sub.Attempt, &pendingAttempt{target: send.Choice.Target, peer: send.Choice.Holder.Peer,
		table: runner.source.table, shard: shard, sentAt: now, expiresAt: sub.Deadline.Add(lateAnswerTimeout),
		answers: runner.answers})
}

// deliver sends a batch to the holder at the peer address, which may be this instance. Without a valid address it
// rejects all sub-requests.
func (entry *Entry) deliver(peer netip.AddrPort, batch peers.Batch) {
	switch {
	case peer == entry.self.Peer:
		entry.local.Offer(batch.Subs)
		for _, cancel := range batch.Cancels {
			entry.local.Cancel(cancel.Target, cancel.Attempt)
		}
	case peer.IsValid():
		entry.network.Deliver(peer, batch)
	default:
		go entry.HandleAnswers(rejectAll(batch.Subs))
	}
}

// rejectAll returns an answer with the code result.NotHolder for each sub-request.
func rejectAll(subs []holder.SubRequest) []holder.Answer {
	answers := make([]holder.Answer, len(subs))
	for i, sub := range subs {
		answers[i] = holder.Answer{Attempt: sub.Request.Attempt, Target: sub.Target,
			Code: result.NotHolder, Ran: result.RanNo}
	}
	return answers
}

// fieldRefusal returns an error for an invalid field. The remedy says how the caller can correct the field.
func fieldRefusal(code result.Code, field, remedy string) *result.Error {
	return &result.Error{Code: code, Ran: result.RanNo, Field: field, Detail: remedy}
}

// fingerprintOf returns a hash of the request's kind, key and query.
func fingerprintOf(body caller.Request) quarantine.Fingerprint {
	return quarantine.Fingerprint(xxhash.Sum64String(body.Kind + "\x00" + body.Key + "\x00" + body.Query))
}

// keyOf returns the position of the request's key in the key space.
func keyOf(body caller.Request) uint64 {
	return xxhash.Sum64String(body.Key) % coverage.KeySpace
}

// queryOf returns the query in the format that targets expect: the key, if there is one, a space, and the query.
func queryOf(body caller.Request) string {
	if body.Key == "" {
		return body.Query
	}
	return body.Key + " " + body.Query
}

// noCoverage returns the coverage report of a request without any results.
func noCoverage() coverage.Report {
	return coverage.Compute(coverage.Range{From: 0, To: coverage.KeySpace}, nil)
}

func contains(names []string, name string) bool {
	for _, candidate := range names {
		if candidate == name {
			return true
		}
	}
	return false
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
