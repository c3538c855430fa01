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
	controlConnections = 2                     // for status reports and cancellations, besides one connection for each slot
	replyGrace         = 50 * time.Millisecond // time after its deadline for which a sub-request may still get its reply
)

// retire is the message that makes an actor stop once its target is idle.
type retire struct{}

// targetActor is the actor of one target. It owns the target's state machine and connections. Only its message handler
// uses the state machine and the polling state; the Manager's mutex guards rank.
type targetActor struct {
	manager        *Manager
	server         target.Server
	machine        *holder.Machine
	client         *target.Client
	pid            *actor.PID
	status         atomic.Pointer[holder.Status]
	rank           int
	pollInterval   atomic.Int64 // nanoseconds
	lastResponseAt time.Time
	lastPollAt     time.Time
	polling        bool // a status report is requested and not received yet
	retired        bool
}

// startActor starts the actor of a target. The holders of a target share its limit on connections equally.
func (manager *Manager) startActor(name string, assigned assignment) *targetActor {
	targetActor := &targetActor{manager: manager, server: assigned.server}
	targetActor.machine = holder.New(name, replicatingTracker{manager})
	connections := min(assigned.source.Slots+controlConnections, max(2, assigned.source.Connections/holdersPerTarget))
	targetActor.client = target.NewClient(assigned.server.Address, connections)
	status := targetActor.machine.Status(time.Now())
	targetActor.status.Store(&status)
	targetActor.pid = manager.system.Root.Spawn(actor.PropsFromFunc(targetActor.receive))
	return targetActor
}

// setRank sets this instance's rank among the target's holders, which decides how often the actor polls the target.
func (targetActor *targetActor) setRank(rank int) {
	targetActor.rank = rank
	interval := standbyPollInterval
	if rank == 0 {
		interval = primaryPollInterval
	}
	targetActor.pollInterval.Store(int64(interval))
}

// receive handles one message. The actor stops once it is retired and its target is idle.
func (targetActor *targetActor) receive(actorContext actor.Context) {
	now := time.Now()
	switch message := actorContext.Message().(type) {
	case retire:
		targetActor.retired = true
	case holder.Event:
		targetActor.recordResponse(now, message)
		targetActor.perform(targetActor.machine.Handle(now, message))
		status := targetActor.machine.Status(now)
		targetActor.status.Store(&status)
	}
	if targetActor.retired && targetActor.machine.Idle() {
		targetActor.client.Close()
		actorContext.Stop(actorContext.Self())
		return
	}
	targetActor.pollIfDue(now)
}

// recordResponse records that the target responded, if the event shows that. A failed poll counts as a response, so
// that the next poll waits for the poll interval.
func (targetActor *targetActor) recordResponse(now time.Time, event holder.Event) {
	switch event.(type) {
	case holder.Replied:
		targetActor.lastResponseAt = now
	case holder.Reported:
		targetActor.lastResponseAt = now
		targetActor.polling = false
	}
}

// perform carries out the actions of the state machine.
func (targetActor *targetActor) perform(actions []holder.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case holder.Send:
			if targetActor.manager.log.Sample() {
				targetActor.manager.log.Printf("send %s of %s to %s", action.Sub.Request.Attempt, action.Sub.From, targetActor.server.Name)
			}
			go targetActor.run(action.Sub)
		case holder.Finish:
			if action.Answer.Code != result.OK && targetActor.manager.log.Sample() {
				targetActor.manager.log.Printf("end %s at %s as %v: %s", action.Answer.Attempt, targetActor.server.Name, action.Answer.Code, action.Reason)
			}
			targetActor.manager.answerSender.SendAnswer(action.To, action.Answer)
		case holder.Abort:
			go targetActor.abort(action.Attempt)
		case holder.AnnounceLeaving:
			targetActor.manager.log.Infof("target %s is leaving", action.Target)
			targetActor.manager.broadcaster.BroadcastLeaving(action.Target)
		}
	}
}

// run sends the sub-request to the target and passes the reply or the failure to the actor. It does not send a
// sub-request whose deadline has passed in the meantime.
func (targetActor *targetActor) run(sub holder.SubRequest) {
	attempt := sub.Request.Attempt
	if !sub.Request.Deadline.After(time.Now()) {
		targetActor.send(holder.Failed{Attempt: attempt, Code: result.TooLate, Ran: result.RanNo})
		return
	}
	ctx, cancel := context.WithDeadline(targetActor.manager.ctx, sub.Request.Deadline.Add(replyGrace))
	defer cancel()
	reply, err := targetActor.client.Run(ctx, sub.Request)
	if err == nil {
		targetActor.send(holder.Replied{Reply: reply})
		return
	}
	failed := holder.Failed{Attempt: attempt, Code: result.Broken, Ran: result.RanUnknown}
	var failure *result.Error
	if errors.As(err, &failure) {
		failed.Code, failed.Ran = failure.Code, failure.Ran
	}
	targetActor.send(failed)
}

// abort cancels an attempt at the target.
func (targetActor *targetActor) abort(attempt target.Attempt) {
	if err := targetActor.client.Cancel(targetActor.manager.ctx, attempt); err != nil && targetActor.manager.log.Sample() {
		targetActor.manager.log.Printf("cannot cancel %s at %s: %v", attempt, targetActor.server.Name, err)
	}
}

// pollIfDue requests a status report from the target if it has neither responded nor been polled for the poll interval.
func (targetActor *targetActor) pollIfDue(now time.Time) {
	interval := time.Duration(targetActor.pollInterval.Load())
	if targetActor.retired || targetActor.polling || now.Sub(targetActor.lastResponseAt) < interval || now.Sub(targetActor.lastPollAt) < interval {
		return
	}
	targetActor.polling, targetActor.lastPollAt = true, now
	go func() {
		report, err := targetActor.client.Report(targetActor.manager.ctx)
		targetActor.send(holder.Reported{Report: report, Failed: err != nil})
	}()
}

// send sends an event to the actor.
func (targetActor *targetActor) send(event holder.Event) {
	targetActor.manager.system.Root.Send(targetActor.pid, event)
}

// replicatingTracker records the crashes and successes of fingerprints, and broadcasts the marks that change.
type replicatingTracker struct{ manager *Manager }

// VerdictWithTrust returns the verdict on the fingerprint at now. See quarantine.Tracker.VerdictWithTrust.
func (replicatingTracker replicatingTracker) VerdictWithTrust(now time.Time, fingerprint quarantine.Fingerprint, trust quarantine.Trust) quarantine.Verdict {
	return replicatingTracker.manager.crashHistory.VerdictWithTrust(now, fingerprint, trust)
}

// RecordCrash records that the named target crashed while the fingerprint ran on it, and broadcasts the mark.
func (replicatingTracker replicatingTracker) RecordCrash(now time.Time, fingerprint quarantine.Fingerprint, name string) {
	mark := replicatingTracker.manager.crashHistory.RecordCrash(now, fingerprint, name)
	replicatingTracker.manager.log.Infof("fingerprint %s was running on %s when the target crashed, %d crashed targets in all", fingerprint, name, len(mark.Losses))
	replicatingTracker.manager.broadcaster.BroadcastMark(mark)
}

// RecordSuccess records that the fingerprint ran without a crash, and broadcasts the mark if this clears its losses.
func (replicatingTracker replicatingTracker) RecordSuccess(now time.Time, fingerprint quarantine.Fingerprint) {
	if mark, cleared := replicatingTracker.manager.crashHistory.RecordSuccess(now, fingerprint); cleared {
		replicatingTracker.manager.log.Infof("fingerprint %s passed its trial run", fingerprint)
		replicatingTracker.manager.broadcaster.BroadcastMark(mark)
	}
}
