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
	holdersPerTarget    = 3
	tickInterval        = 25 * time.Millisecond // of targets where work waits
	idleTickRatio       = 10                    // periods between two ticks of the others
	primaryPollInterval = time.Second           // of a target that this instance holds first
	standbyPollInterval = 5 * time.Second       // of a target that it holds next
)

// AnswerSender takes the answers to sub-requests on their way back to their entries.
type AnswerSender interface {
	SendAnswer(entry string, answer holder.Answer)
}

// Broadcaster spreads what holders learn.
type Broadcaster interface {
	BroadcastMark(mark quarantine.Mark)
	BroadcastLeaving(target string)
}

// Manager has the targets that this instance holds.
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

// Config is what a Holding is made of.
type Config struct {
	Self         string
	AnswerSender AnswerSender
	Broadcaster  Broadcaster
	CrashHistory *quarantine.Tracker
	Log          *decision.Log
}

// New returns a Holding without targets; views bring them.
func New(ctx context.Context, system *actor.ActorSystem, config Config) *Manager {
	holding := &Manager{ctx: ctx, system: system, answerSender: config.AnswerSender, broadcaster: config.Broadcaster,
		crashHistory: config.CrashHistory, log: config.Log, self: config.Self, actors: map[string]*targetActor{}}
	go holding.tickLoop()
	return holding
}

// Apply takes a new view: it starts to hold targets, stops holding others and changes limits.
func (holding *Manager) Apply(view *control.View) {
	if view.Document == nil {
		return
	}
	wanted := holding.assignments(view)
	holding.mutex.Lock()
	defer holding.mutex.Unlock()
	for name, held := range holding.actors {
		if _, keep := wanted[name]; !keep {
			held.rank = holdersPerTarget
			holding.system.Root.Send(held.pid, retire{})
			delete(holding.actors, name)
			holding.log.Infof("target %s is held elsewhere", name)
		}
	}
	for name, want := range wanted {
		holding.applyAssignment(name, want)
	}
	for _, name := range view.Leaving {
		if held := holding.actors[name]; held != nil {
			holding.system.Root.Send(held.pid, holder.Marked{})
		}
	}
}

// assignment is a target that this instance should hold, with its limits and its rank.
type assignment struct {
	server target.Server
	source document.Source
	limits holder.Configured
	rank   int
}

func (holding *Manager) assignments(view *control.View) map[string]assignment {
	preset := view.Document.Preset()
	local := map[string]int{}
	for _, member := range view.Members {
		if member.State.Serves() {
			local[member.DataCentre]++
		}
	}
	wanted := map[string]assignment{}
	for _, source := range view.Document.Sources {
		partition := view.Maps[source.Name]
		if partition == nil {
			continue
		}
		limits := holder.Configured{Slots: source.Slots, SlotFraction: preset.SlotFraction,
			QueuePerSlot: preset.QueuePerSlot, RetryAfter: preset.RetryAfter.D()}
		for _, shard := range partition.Shards {
			for _, server := range shard.Servers {
				// A data centre with enough instances holds all its own targets.
				elsewhere := server.DataCentre != view.Self.DataCentre
				if elsewhere && local[server.DataCentre] >= holdersPerTarget {
					continue
				}
				if rank := holding.rank(view, server); rank >= 0 {
					wanted[server.Name] = assignment{server, source, limits, rank}
				}
			}
		}
	}
	return wanted
}

func (holding *Manager) rank(view *control.View, server target.Server) int {
	ranked := view.Holders.Rank(server.Name, server.DataCentre, holdersPerTarget)
	for i, member := range ranked {
		if member.Name == holding.self {
			return i
		}
	}
	return -1
}

func (holding *Manager) applyAssignment(name string, want assignment) {
	known := holding.actors[name]
	if known != nil && known.server.Address != want.server.Address {
		holding.system.Root.Send(known.pid, retire{})
		known = nil
	}
	if known == nil {
		known = holding.startActor(name, want)
		holding.actors[name] = known
		holding.log.Infof("target %s is held here with rank %d", name, want.rank)
	}
	known.setRank(want.rank)
	holding.system.Root.Send(known.pid, want.limits)
	if want.server.Leaving {
		holding.system.Root.Send(known.pid, holder.Marked{})
	}
}

// Offer gives sub-requests to the actors of their targets.
func (holding *Manager) Offer(subs []holder.Sub) {
	holding.mutex.RLock()
	defer holding.mutex.RUnlock()
	for _, sub := range subs {
		held := holding.actors[sub.Target]
		if held == nil {
			holding.answerSender.SendAnswer(sub.From, holder.Answer{Attempt: sub.Request.Attempt,
				Target: sub.Target, Code: result.NotHolder, Ran: result.RanNo})
			continue
		}
		holding.system.Root.Send(held.pid, holder.Offered{Sub: sub})
	}
}

// Cancel tells a target's actor that an attempt is no longer needed.
func (holding *Manager) Cancel(name string, attempt target.Attempt) {
	holding.mutex.RLock()
	defer holding.mutex.RUnlock()
	if held := holding.actors[name]; held != nil {
		holding.system.Root.Send(held.pid, holder.Canceled{Attempt: attempt})
	}
}

// Statuses returns what is known of the named targets, of all held ones if none is named.
func (holding *Manager) Statuses(names []string) []holder.Status {
	holding.mutex.RLock()
	defer holding.mutex.RUnlock()
	var statuses []holder.Status
	if len(names) == 0 {
		for _, held := range holding.actors {
			statuses = append(statuses, *held.status.Load())
		}
		slices.SortFunc(statuses, func(a, b holder.Status) int { return cmp.Compare(a.Target, b.Target) })
		return statuses
	}
	for _, name := range names {
		if held := holding.actors[name]; held != nil {
			statuses = append(statuses, *held.status.Load())
		}
	}
	return statuses
}

// Idle reports whether no sub-request runs or waits here.
func (holding *Manager) Idle() bool {
	for _, status := range holding.Statuses(nil) {
		if status.InFlight > 0 || status.Queued > 0 {
			return false
		}
	}
	return true
}

func (holding *Manager) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-holding.ctx.Done():
			return
		case <-ticker.C:
			holding.tick(count%idleTickRatio == 0)
		}
	}
}

func (holding *Manager) tick(all bool) {
	holding.mutex.RLock()
	defer holding.mutex.RUnlock()
	for _, held := range holding.actors {
		if all || held.status.Load().Queued > 0 {
			holding.system.Root.Send(held.pid, holder.Ticked{})
		}
	}
}
