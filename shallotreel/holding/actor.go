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
	replyGrace         = 50 * time.Millisecond
)

// retire tells an actor to stop once nothing runs on its target.
type retire struct{}

// targetActor is one target with its machine, its actor and its connections.
type targetActor struct {
	manager        *Manager
	server         target.Server
	machine        *holder.Machine
	client         *target.Client
	pid            *actor.PID
	status         atomic.Pointer[holder.Status]
	rank           int
	pollInterval   atomic.Int64 // period in nanoseconds
	lastResponseAt time.Time
	lastPollAt     time.Time
	polling        bool
	retired        bool
}

func (holding *Manager) startActor(name string, want assignment) *targetActor {
	started := &targetActor{manager: holding, server: want.server}
	started.machine = holder.New(name, replicatingTracker{holding})
	slots := min(want.source.Slots+controlConnections, max(2, want.source.Connections/holdersPerTarget))
	started.client = target.NewClient(want.server.Address, slots)
	status := started.machine.Status(time.Now())
	started.status.Store(&status)
	started.pid = holding.system.Root.Spawn(actor.PropsFromFunc(started.receive))
	return started
}

func (held *targetActor) setRank(rank int) {
	held.rank = rank
	period := standbyPollInterval
	if rank == 0 {
		period = primaryPollInterval
	}
	held.pollInterval.Store(int64(period))
}

func (held *targetActor) receive(actorContext actor.Context) {
	now := time.Now()
	switch message := actorContext.Message().(type) {
	case retire:
		held.retired = true
	case holder.Event:
		held.recordResponse(now, message)
		held.perform(held.machine.On(now, message))
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

func (held *targetActor) recordResponse(now time.Time, event holder.Event) {
	switch event.(type) {
	case holder.Replied:
		held.lastResponseAt = now
	case holder.Reported:
		held.lastResponseAt = now
		held.polling = false
	}
}

func (held *targetActor) perform(actions []holder.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case holder.Send:
			if held.manager.log.Sample() {
				held.manager.log.Printf("send %s of %s to %s", action.Sub.Request.Attempt, action.Sub.From, held.server.Name)
			}
			go held.run(action.Sub)
		case holder.Finish:
			if action.Answer.Code != result.OK && held.manager.log.Sample() {
				held.manager.log.Printf("end %s at %s as %v: %s", action.Answer.Attempt, held.server.Name, action.Answer.Code, action.Reason)
			}
			held.manager.answerSender.SendAnswer(action.To, action.Answer)
		case holder.Abort:
			go held.abort(action.Attempt)
		case holder.Leave:
			held.manager.log.Infof("target %s is leaving", action.Target)
			held.manager.broadcaster.BroadcastLeaving(action.Target)
		}
	}
}

// run sends the sub-request; its deadline is checked once more just before.
func (held *targetActor) run(sub holder.Sub) {
	attempt := sub.Request.Attempt
	if !sub.Request.Deadline.After(time.Now()) {
		held.send(holder.Failed{Attempt: attempt, Code: result.TooLate, Ran: result.RanNo})
		return
	}
	ctx, cancel := context.WithDeadline(held.manager.ctx, sub.Request.Deadline.Add(replyGrace))
	defer cancel()
	reply, err := held.client.Run(ctx, sub.Request)
	if err == nil {
		held.send(holder.Replied{Reply: reply})
		return
	}
	failed := holder.Failed{Attempt: attempt, Code: result.Broken, Ran: result.RanUnknown}
	var failure *result.Error
	if errors.As(err, &failure) {
		failed.Code, failed.Ran = failure.Code, failure.Ran
	}
	held.send(failed)
}

func (held *targetActor) abort(attempt target.Attempt) {
	if err := held.client.Cancel(held.manager.ctx, attempt); err != nil && held.manager.log.Sample() {
		held.manager.log.Printf("cannot cancel %s at %s: %v", attempt, held.server.Name, err)
	}
}

// pollIfDue asks the target for a report when it has been silent for its period.
func (held *targetActor) pollIfDue(now time.Time) {
	period := time.Duration(held.pollInterval.Load())
	if held.retired || held.polling || now.Sub(held.lastResponseAt) < period || now.Sub(held.lastPollAt) < period {
		return
	}
	held.polling, held.lastPollAt = true, now
	go func() {
		report, err := held.client.Report(held.manager.ctx)
		held.send(holder.Reported{Report: report, Failed: err != nil})
	}()
}

func (held *targetActor) send(event holder.Event) {
	held.manager.system.Root.Send(held.pid, event)
}

// replicatingTracker joins the book of marks with their spreading.
type replicatingTracker struct{ manager *Manager }

// JudgeFor tells how a fingerprint may run.
func (judge replicatingTracker) JudgeFor(now time.Time, fingerprint quarantine.Fingerprint, trust quarantine.Trust) quarantine.Verdict {
	return judge.manager.crashHistory.JudgeFor(now, fingerprint, trust)
}

// RecordCrash marks a fingerprint and spreads the mark.
func (judge replicatingTracker) RecordCrash(now time.Time, fingerprint quarantine.Fingerprint, name string) {
	mark := judge.manager.crashHistory.RecordCrash(now, fingerprint, name)
	judge.manager.log.Infof("fingerprint %x ran on %s when it broke, %d targets in all", fingerprint, name, len(mark.Losses))
	judge.manager.broadcaster.BroadcastMark(mark)
}

// RecordSuccess trusts a fingerprint and spreads a lifted mark.
func (judge replicatingTracker) RecordSuccess(now time.Time, fingerprint quarantine.Fingerprint) {
	if mark, lifted := judge.manager.crashHistory.RecordSuccess(now, fingerprint); lifted {
		judge.manager.log.Infof("fingerprint %x passed its trial", fingerprint)
		judge.manager.broadcaster.BroadcastMark(mark)
	}
}
