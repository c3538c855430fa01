package holding

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/go-faster/errors"

	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

const (
	controlConnections = 2 // beside one for each slot
	runGrace           = 50 * time.Millisecond
)

// retire tells an actor to stop once nothing runs on its target.
type retire struct{}

// held is one target with its machine, its actor and its connections.
type held struct {
	holding  *Holding
	server   target.Server
	machine  *holder.Machine
	client   *target.Client
	pid      *actor.PID
	status   atomic.Pointer[holder.Status]
	rank     int
	poll     atomic.Int64 // period in nanoseconds
	heardAt  time.Time
	polledAt time.Time
	polling  bool
	retired  bool
}

func (holding *Holding) start(name string, want want) *held {
	started := &held{holding: holding, server: want.server}
	started.machine = holder.New(name, judge{holding})
	slots := min(want.source.Slots+controlConnections, max(2, want.source.Connections/holdersPerTarget))
	started.client = target.NewClient(want.server.Address, slots)
	status := started.machine.Status(time.Now())
	started.status.Store(&status)
	started.pid = holding.system.Root.Spawn(actor.PropsFromFunc(started.receive))
	return started
}

func (held *held) setRank(rank int) {
	held.rank = rank
	period := otherPoll
	if rank == 0 {
		period = firstPoll
	}
	held.poll.Store(int64(period))
}

func (held *held) receive(actorContext actor.Context) {
	now := time.Now()
	switch message := actorContext.Message().(type) {
	case retire:
		held.retired = true
	case holder.Event:
		held.hear(now, message)
		held.perform(held.machine.Handle(now, message))
		status := held.machine.Status(now)
		held.status.Store(&status)
	}
	if held.retired && held.machine.Idle() {
		held.client.Close()
		actorContext.Stop(actorContext.Self())
		return
	}
	held.pollIfDue(now)
}

func (held *held) hear(now time.Time, event holder.Event) {
	switch event.(type) {
	case holder.Replied:
		held.heardAt = now
	case holder.Reported:
		held.heardAt = now
		held.polling = false
	}
}

func (held *held) perform(actions []holder.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case holder.Send:
			if held.holding.log.Sample() {
				held.holding.log.Printf("send %s of %s to %s", action.Sub.Request.Attempt, action.Sub.From, held.server.Name)
			}
			go held.run(action.Sub)
		case holder.Finish:
			if action.Answer.Code != result.OK && held.holding.log.Sample() {
				held.holding.log.Printf("end %s at %s as %v: %s", action.Answer.Attempt, held.server.Name, action.Answer.Code, action.Reason)
			}
			held.holding.back.ReturnTo(action.To, action.Answer)
		case holder.Abort:
			go held.abort(action.Attempt)
		case holder.AnnounceLeaving:
			held.holding.log.Infof("target %s is leaving", action.Target)
			held.holding.teller.TellLeaving(action.Target)
		}
	}
}

// run sends the sub-request; its deadline is checked once more just before.
func (held *held) run(sub holder.SubRequest) {
	attempt := sub.Request.Attempt
	if !sub.Request.Deadline.After(time.Now()) {
		held.tell(holder.Failed{Attempt: attempt, Code: result.TooLate, Ran: result.RanNo})
		return
	}
	ctx, cancel := context.WithDeadline(held.holding.ctx, sub.Request.Deadline.Add(runGrace))
	defer cancel()
	reply, err := held.client.Run(ctx, sub.Request)
	if err == nil {
		held.tell(holder.Replied{Reply: reply})
		return
	}
	failed := holder.Failed{Attempt: attempt, Code: result.Broken, Ran: result.RanUnknown}
	var failure *result.Error
	if errors.As(err, &failure) {
		failed.Code, failed.Ran = failure.Code, failure.Ran
	}
	held.tell(failed)
}

func (held *held) abort(attempt target.Attempt) {
	if err := held.client.Cancel(held.holding.ctx, attempt); err != nil && held.holding.log.Sample() {
		held.holding.log.Printf("cannot cancel %s at %s: %v", attempt, held.server.Name, err)
	}
}

// pollIfDue asks the target for a report when it has been silent for its period.
func (held *held) pollIfDue(now time.Time) {
	period := time.Duration(held.poll.Load())
	if held.retired || held.polling || now.Sub(held.heardAt) < period || now.Sub(held.polledAt) < period {
		return
	}
	held.polling, held.polledAt = true, now
	go func() {
		report, err := held.client.Report(held.holding.ctx)
		held.tell(holder.Reported{Report: report, Failed: err != nil})
	}()
}

func (held *held) tell(event holder.Event) {
	held.holding.system.Root.Send(held.pid, event)
}

// judge joins the book of marks with their spreading.
type judge struct{ holding *Holding }

// JudgeFor tells how a fingerprint may run.
func (judge judge) JudgeFor(now time.Time, fingerprint quarantine.Fingerprint, trust quarantine.Trust) quarantine.Verdict {
	return judge.holding.book.JudgeFor(now, fingerprint, trust)
}

// RecordCrash marks a fingerprint and spreads the mark.
func (judge judge) RecordCrash(now time.Time, fingerprint quarantine.Fingerprint, name string) {
	mark := judge.holding.book.RecordCrash(now, fingerprint, name)
	judge.holding.log.Infof("fingerprint %x ran on %s when it broke, %d targets in all", fingerprint, name, len(mark.Losses))
	judge.holding.teller.TellMark(mark)
}

// RecordSuccess trusts a fingerprint and spreads a lifted mark.
func (judge judge) RecordSuccess(now time.Time, fingerprint quarantine.Fingerprint) {
	if mark, lifted := judge.holding.book.RecordSuccess(now, fingerprint); lifted {
		judge.holding.log.Infof("fingerprint %x passed its trial", fingerprint)
		judge.holding.teller.TellMark(mark)
	}
}
