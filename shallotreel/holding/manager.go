package holding

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
	"shallotreel.example/shallotreel/control"
	"shallotreel.example/shallotreel/decision"
)

const (
	holdersPerTarget    = 3                     // number of instances to which each target is assigned
	tickInterval        = 25 * time.Millisecond // between clock ticks to targets with queued sub-requests
	idleTickRatio       = 10                    // other targets get one tick in this number of intervals
	primaryPollInterval = time.Second           // maximum age of the status of a target whose preferred holder is this instance
	standbyPollInterval = 5 * time.Second       // maximum age of the status of the other targets
)

// AnswerSender sends the answer to a sub-request to the instance whose entry sent the sub-request.
type AnswerSender interface {
	SendAnswer(entry string, answer holder.Answer)
}

// Broadcaster sends quarantine marks, and the names of targets that are leaving, to all other instances.
type Broadcaster interface {
	BroadcastMark(mark quarantine.Mark)
	BroadcastLeaving(target string)
}

// Manager runs an actor for each target that this instance holds. It is safe for concurrent use.
type Manager struct {
	ctx          context.Context
	system       *actor.ActorSystem
	answerSender AnswerSender
	broadcaster  Broadcaster
	crashHistory *quarantine.Tracker
	log          *decision.Log
	self         string
	mutex        sync.RWMutex
	actors       map[string]*targetActor
}

// Config holds the parameters of a Manager.
type Config struct {
	Self         string // name of this instance
	AnswerSender AnswerSender
	Broadcaster  Broadcaster
	CrashHistory *quarantine.Tracker
	Log          *decision.Log
}

// New returns a Manager without targets, which Apply adds. Its clock stops when ctx ends.
func New(ctx context.Context, system *actor.ActorSystem, config Config) *Manager {
	manager := &Manager{ctx: ctx, system: system, answerSender: config.AnswerSender, broadcaster: config.Broadcaster,
		crashHistory: config.CrashHistory, log: config.Log, self: config.Self, actors: map[string]*targetActor{}}
	go manager.tickLoop()
	return manager
}

// Apply applies a new view of the fleet: it starts actors for newly assigned targets, retires those of targets that are
// no longer assigned to this instance, and updates the limits of the rest. It does nothing before the first document.
func (manager *Manager) Apply(view *control.View) {
	if view.Document == nil {
		return
	}
	assignments := manager.assignments(view)
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	for name, targetActor := range manager.actors {
		if _, keep := assignments[name]; !keep {
			targetActor.rank = holdersPerTarget
			manager.system.Root.Send(targetActor.pid, retire{})
			delete(manager.actors, name)
			manager.log.Infof("target %s is no longer assigned to this instance", name)
		}
	}
	for name, assigned := range assignments {
		manager.applyAssignment(name, assigned)
	}
	for _, name := range view.Leaving {
		if targetActor := manager.actors[name]; targetActor != nil {
			manager.system.Root.Send(targetActor.pid, holder.MarkedLeaving{})
		}
	}
}

// assignment is a target that this instance must hold, with its limits and the instance's rank among its holders.
type assignment struct {
	server target.Server
	source document.Source
	limits holder.Configured
	rank   int
}

// assignments returns the targets that this instance must hold under the view, by name.
func (manager *Manager) assignments(view *control.View) map[string]assignment {
	preset := view.Document.Preset()
	serving := map[string]int{} // number of serving instances by data centre
	for _, member := range view.Members {
		if member.State.Serves() {
			serving[member.DataCentre]++
		}
	}
	assignments := map[string]assignment{}
	for _, source := range view.Document.Sources {
		partition := view.Maps[source.Name]
		if partition == nil {
			continue
		}
		limits := holder.Configured{Slots: source.Slots, SlotFraction: preset.SlotFraction,
			QueuePerSlot: preset.QueuePerSlot, RetryAfter: preset.RetryAfter.Std()}
		for _, shard := range partition.Shards {
			for _, server := range shard.Servers {
				// The instances of a data centre hold all its targets if there are enough of them.
				remote := server.DataCentre != view.Self.DataCentre
				if remote && serving[server.DataCentre] >= holdersPerTarget {
					continue
				}
				if rank := manager.rank(view, server); rank >= 0 {
					assignments[server.Name] = assignment{server, source, limits, rank}
				}
			}
		}
	}
	return assignments
}

// rank returns this instance's rank among the holders of a target, 0 for the preferred one, or -1 if it is not a
// holder.
func (manager *Manager) rank(view *control.View, server target.Server) int {
	ranked := view.Holders.Rank(server.Name, server.DataCentre, holdersPerTarget)
	for i, member := range ranked {
		if member.Name == manager.self {
			return i
		}
	}
	return -1
}

// applyAssignment starts the actor of a target if necessary and sends it the limits. A target whose address has changed
// gets a new actor.
func (manager *Manager) applyAssignment(name string, assigned assignment) {
	targetActor := manager.actors[name]
	if targetActor != nil && targetActor.server.Address != assigned.server.Address {
		manager.system.Root.Send(targetActor.pid, retire{})
		targetActor = nil
	}
	if targetActor == nil {
		targetActor = manager.startActor(name, assigned)
		manager.actors[name] = targetActor
		manager.log.Infof("target %s is assigned to this instance with rank %d", name, assigned.rank)
	}
	targetActor.setRank(assigned.rank)
	manager.system.Root.Send(targetActor.pid, assigned.limits)
	if assigned.server.Leaving {
		manager.system.Root.Send(targetActor.pid, holder.MarkedLeaving{})
	}
}

// Offer passes sub-requests to the actors of their targets. It answers those to targets that this instance does not
// hold with the code result.NotHolder.
func (manager *Manager) Offer(subs []holder.SubRequest) {
	manager.mutex.RLock()
	defer manager.mutex.RUnlock()
	for _, sub := range subs {
		targetActor := manager.actors[sub.Target]
		if targetActor == nil {
			manager.answerSender.SendAnswer(sub.From, holder.Answer{Attempt: sub.Request.Attempt,
				Target: sub.Target, Code: result.NotHolder, Ran: result.RanNo})
			continue
		}
		manager.system.Root.Send(targetActor.pid, holder.Offered{Sub: sub})
	}
}

// Cancel notifies the actor of the named target that an attempt is no longer needed.
func (manager *Manager) Cancel(name string, attempt target.Attempt) {
	manager.mutex.RLock()
	defer manager.mutex.RUnlock()
	if targetActor := manager.actors[name]; targetActor != nil {
		manager.system.Root.Send(targetActor.pid, holder.Canceled{Attempt: attempt})
	}
}

// Statuses returns the statuses of the named targets that this instance holds, or of all of them, ordered by name, if
// names is empty.
func (manager *Manager) Statuses(names []string) []holder.Status {
	manager.mutex.RLock()
	defer manager.mutex.RUnlock()
	var statuses []holder.Status
	if len(names) == 0 {
		for _, targetActor := range manager.actors {
			statuses = append(statuses, *targetActor.status.Load())
		}
		slices.SortFunc(statuses, func(a, b holder.Status) int { return cmp.Compare(a.Target, b.Target) })
		return statuses
	}
	for _, name := range names {
		if targetActor := manager.actors[name]; targetActor != nil {
			statuses = append(statuses, *targetActor.status.Load())
		}
	}
	return statuses
}

// Idle reports whether no sub-request is running or queued on this instance's targets.
func (manager *Manager) Idle() bool {
	for _, status := range manager.Statuses(nil) {
		if status.InFlight > 0 || status.Queued > 0 {
			return false
		}
	}
	return true
}

// tickLoop sends clock ticks to the actors until the Manager's context ends.
func (manager *Manager) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-manager.ctx.Done():
			return
		case <-ticker.C:
			manager.tick(count%idleTickRatio == 0)
		}
	}
}

func (manager *Manager) tick(all bool) {
	manager.mutex.RLock()
	defer manager.mutex.RUnlock()
	for _, targetActor := range manager.actors {
		if all || targetActor.status.Load().Queued > 0 {
			manager.system.Root.Send(targetActor.pid, holder.Ticked{})
		}
	}
}
