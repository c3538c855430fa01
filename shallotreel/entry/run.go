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
	// StartMargin is kept before an event's start for clock skew between instances and the way back.
	StartMargin     = 150 * time.Millisecond
	answersPerShard = 16 // more than the attempts that one shard can have
	notReadyWait    = 500 * time.Millisecond
)

// admitted is a request that passed all checks, with the revision it lives under.
type admitted struct {
	body     caller.Request
	kind     document.Kind
	document *document.Document
	preset   document.Preset
	source   *source
	deadline time.Time
	patience time.Time // when a tail request takes what it has; zero for never
	print    quarantine.Fingerprint
}

// check judges a request against the revision in force; its error is the refusal.
func (entry *Entry) check(now time.Time, operation document.Operation, body caller.Request) (admitted, *result.Error) {
	if refusal := entry.checkStanding(now); refusal != nil {
		return admitted{}, refusal
	}
	doc := entry.fleet.View().DocumentAt(now)
	if doc == nil {
		return admitted{}, result.Refuse(result.NotReady, notReadyWait, "no revision is in force yet")
	}
	kind, ok := doc.Kind(body.Kind)
	if !ok {
		return admitted{}, fieldRefusal(result.UnknownKind, "kind", "name a kind of the configuration")
	}
	if kind.Operation != operation {
		return admitted{}, fieldRefusal(result.UnknownKind, "kind", "this kind is asked at the path of "+string(kind.Operation))
	}
	event, ok := doc.Event(body.Event)
	if !ok {
		return admitted{}, fieldRefusal(result.UnknownEvent, "event", "name an event of the configuration")
	}
	if refusal := checkEvent(event, kind, body); refusal != nil {
		return admitted{}, refusal
	}
	source := entry.source(kind.Source)
	if source == nil {
		return admitted{}, result.Refuse(result.NotReady, notReadyWait, "the source's targets are not known yet")
	}
	request := admitted{body: body, kind: kind, document: doc, preset: doc.Preset(), source: source,
		deadline: now.Add(kind.Deadline.Std()), print: fingerprint(body)}
	last := event.Start.Add(-StartMargin)
	if !now.Before(last) {
		return admitted{}, result.Refuse(result.EventStarted, 0, "the event has started")
	}
	request.deadline = earliest(request.deadline, last)
	if !body.Deadline.IsZero() {
		request.deadline = earliest(request.deadline, body.Deadline)
	}
	if !request.deadline.After(now) {
		return admitted{}, fieldRefusal(result.TooLate, "deadline", "the deadline has passed")
	}
	if kind.Rule == document.Tail {
		request.patience = now.Add(kind.Patience.Std())
	}
	return request, nil
}

func checkEvent(event document.Event, kind document.Kind, body caller.Request) *result.Error {
	if !contains(event.People, body.Caller) {
		return fieldRefusal(result.NotServed, "caller", "the event does not serve this caller")
	}
	if !contains(event.Sources, kind.Source) {
		return fieldRefusal(result.NotServed, "kind", "the event does not search this kind's source")
	}
	return nil
}

func (entry *Entry) checkStanding(now time.Time) *result.Error {
	switch entry.fleet.Standing(now) {
	case contact.Waiting:
		return result.Refuse(result.NotReady, notReadyWait, "the instance is starting")
	case contact.Isolated:
		return result.Refuse(result.Isolated, notReadyWait, "the instance hears neither the platform nor a majority")
	case contact.Paused:
		return result.Refuse(result.Paused, notReadyWait, "the instance was paused")
	case contact.Undecided:
		return result.Refuse(result.Isolated, notReadyWait, "a switch of preset is not confirmed by a majority")
	case contact.Good:
		if !entry.Prepared(now) {
			return result.Refuse(result.NotReady, notReadyWait, "the instance does not know its targets yet")
		}
	}
	return nil
}

// run takes a checked request through admission and its machine to its outcome.
func (entry *Entry) run(ctx context.Context, admitted admitted) request.Outcome {
	admitted.source.usedAt.Store(time.Now().UnixNano())
	latest := admitted.deadline
	if !admitted.patience.IsZero() {
		latest = earliest(latest, admitted.patience)
	}
	decision := admitted.source.gate.enter(ctx, admitted.kind, latest)
	if entry.log.Sample() {
		entry.log.Printf("admit %s of %s as %v: %s", admitted.body.RequestID, admitted.kind.Name, decision.Code, decision.Reason)
	}
	if decision.Code != result.OK {
		return request.Outcome{Code: decision.Code, Ran: result.RanNo, RetryAfter: decision.RetryAfter,
			Detail: decision.Reason, Coverage: nothingCovered()}
	}
	start := time.Now()
	outcome := entry.execute(ctx, admitted)
	took := time.Since(start)
	if outcome.Code != result.OK {
		took = 0
	}
	admitted.source.gate.leave(took, signalOf(outcome))
	return outcome
}

func signalOf(outcome request.Outcome) admit.Signal {
	switch {
	case outcome.Overloaded:
		return admit.Overloaded
	case outcome.Congested:
		return admit.Congested
	default:
		return admit.Uncongested
	}
}

func (entry *Entry) execute(ctx context.Context, admitted admitted) request.Outcome {
	now := time.Now()
	// The wait for admission may have been long, so the facts are asked again.
	if refusal := entry.checkStanding(now); refusal != nil {
		return request.Outcome{Code: refusal.Code, Ran: result.RanNo, RetryAfter: refusal.RetryAfter,
			Detail: refusal.Detail, Coverage: nothingCovered()}
	}
	pin, ok := admitted.source.table.Pin(now)
	if !ok {
		return request.Outcome{Code: result.NoTarget, Ran: result.RanNo, RetryAfter: notReadyWait,
			Detail: "no snapshot is known to be served", Coverage: nothingCovered()}
	}
	plan := request.Plan{
		RequestID: admitted.body.RequestID, From: entry.self.Name, Kind: admitted.kind,
		Preset: admitted.preset, Query: queryOf(admitted.body), Key: keyOf(admitted.body),
		Fingerprint: admitted.print, CrashHistory: entry.book, Pin: pin, Deadline: admitted.deadline, Patience: admitted.patience,
	}
	runner := runner{entry: entry, source: admitted.source, answers: make(chan holder.Answer, answersPerShard*(1+len(pin.Shards))),
		machine: request.New(plan, admitted.source.table, newAttempt)}
	outcome := runner.run(ctx, now)
	if outcome.Code == result.OK {
		entry.book.RecordSuccess(time.Now(), admitted.print)
	}
	if outcome.Code == result.Quarantined || outcome.Code == result.Suspect {
		outcome.RetryAfter = entry.book.Remaining(time.Now(), admitted.print)
	}
	return outcome
}

// runner hosts the machine of one request.
type runner struct {
	entry   *Entry
	source  *source
	machine *request.Machine
	answers chan holder.Answer
	sent    []target.Attempt
	outcome request.Outcome
	done    bool
}

func (runner *runner) run(ctx context.Context, now time.Time) request.Outcome {
	defer func() { go runner.drain(runner.sent) }()
	runner.perform(now, runner.machine.Start(now))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !runner.done {
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

// drain lets the answers that still come teach the table.
func (runner *runner) drain(sent []target.Attempt) {
	runner.entry.attempts.orphan(sent)
	for {
		select {
		case answer := <-runner.answers:
			runner.machine.HandleAnswer(time.Now(), answer)
		default:
			return
		}
	}
}

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
			runner.outcome, runner.done = action.Outcome, true
		}
	}
	for peer, batch := range batches {
		runner.entry.deliver(peer, *batch)
	}
}

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
	runner.entry.attempts.add(sub.Attempt, &open{target: send.Choice.Target, peer: send.Choice.Holder.Peer,
		table: runner.source.table, shard: shard, sent: now, until: sub.Deadline.Add(orphanTerm),
		answer: runner.answers})
}

// deliver brings a batch to its holder, which may be this instance.
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
		go entry.Return(refuseAll(batch.Subs))
	}
}

func refuseAll(subs []holder.SubRequest) []holder.Answer {
	answers := make([]holder.Answer, len(subs))
	for i, sub := range subs {
		answers[i] = holder.Answer{Attempt: sub.Request.Attempt, Target: sub.Target,
			Code: result.NotHolder, Ran: result.RanNo}
	}
	return answers
}

func fieldRefusal(code result.Code, field, remedy string) *result.Error {
	return &result.Error{Code: code, Ran: result.RanNo, Field: field, Detail: remedy}
}

func fingerprint(body caller.Request) quarantine.Fingerprint {
	return quarantine.Fingerprint(xxhash.Sum64String(body.Kind + "\x00" + body.Key + "\x00" + body.Query))
}

func keyOf(body caller.Request) uint64 {
	return xxhash.Sum64String(body.Key) % coverage.KeySpace
}

// queryOf joins key and query as the targets expect them.
func queryOf(body caller.Request) string {
	if body.Key == "" {
		return body.Query
	}
	return body.Key + " " + body.Query
}

func nothingCovered() coverage.Report {
	return coverage.Compute(coverage.Range{From: 0, To: coverage.KeySpace}, nil)
}

func contains(names []string, name string) bool {
	for _, known := range names {
		if known == name {
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
