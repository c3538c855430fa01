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
	holdersPerTarget = 3
	tickPeriod       = 25 * time.Millisecond // of targets where work waits
	idleTicks        = 10                    // periods between two ticks of the others
	firstPoll        = time.Second           // of a target that this instance holds first
	otherPoll        = 5 * time.Second       // of a target that it holds next
)

// Returner takes the answers to sub-requests on their way back to their entries.
type Returner interface {
	ReturnTo(entry string, answer holder.Answer)
}

// Teller spreads what holders learn.
type Teller interface {
	TellMark(mark quarantine.Mark)
	TellLeaving(target string)
}

// Holding has the targets that this instance holds.
type Holding struct {
	ctx    context.Context
	system *actor.ActorSystem
	back   Returner
	teller Teller
	book   *quarantine.Tracker
	log    *decision.Log
	self   string
	mutex  sync.RWMutex
	held   map[string]*held
}

// Config is what a Holding is made of.
type Config struct {
	Self   string
	Back   Returner
	Teller Teller
	Book   *quarantine.Tracker
	Log    *decision.Log
}

// New returns a Holding without targets; views bring them.
func New(ctx context.Context, system *actor.ActorSystem, config Config) *Holding {
	holding := &Holding{ctx: ctx, system: system, back: config.Back, teller: config.Teller,
		book: config.Book, log: config.Log, self: config.Self, held: map[string]*held{}}
	go holding.clock()
	return holding
}

// Apply takes a new view: it starts to hold targets, stops holding others and changes limits.
func (holding *Holding) Apply(view *control.View) {
	if view.Document == nil {
		return
	}
	wanted := holding.wanted(view)
	holding.mutex.Lock()
	defer holding.mutex.Unlock()
	for name, held := range holding.held {
		if _, keep := wanted[name]; !keep {
			held.rank = holdersPerTarget
			holding.system.Root.Send(held.pid, retire{})
			delete(holding.held, name)
			holding.log.Infof("target %s is held elsewhere", name)
		}
	}
	for name, want := range wanted {
		holding.hold(name, want)
	}
	for _, name := range view.Leaving {
		if held := holding.held[name]; held != nil {
			holding.system.Root.Send(held.pid, holder.MarkedLeaving{})
		}
	}
}

// want is a target that this instance should hold, with its limits and its rank.
type want struct {
	server target.Server
	source document.Source
	limits holder.Configured
	rank   int
}

func (holding *Holding) wanted(view *control.View) map[string]want {
	preset := view.Document.Preset()
	local := map[string]int{}
	for _, member := range view.Members {
		if member.State.Serves() {
			local[member.DataCentre]++
		}
	}
	wanted := map[string]want{}
	for _, source := range view.Document.Sources {
		partition := view.Maps[source.Name]
		if partition == nil {
			continue
		}
		limits := holder.Configured{Slots: source.Slots, SlotFraction: preset.SlotFraction,
			QueuePerSlot: preset.QueuePerSlot, RetryAfter: preset.RetryAfter.Std()}
		for _, shard := range partition.Shards {
			for _, server := range shard.Servers {
				// A data centre with enough instances holds all its own targets.
				elsewhere := server.DataCentre != view.Self.DataCentre
				if elsewhere && local[server.DataCentre] >= holdersPerTarget {
					continue
				}
				if rank := holding.rank(view, server); rank >= 0 {
					wanted[server.Name] = want{server, source, limits, rank}
				}
			}
		}
	}
	return wanted
}

func (holding *Holding) rank(view *control.View, server target.Server) int {
	ranked := view.Holders.Rank(server.Name, server.DataCentre, holdersPerTarget)
	for i, member := range ranked {
		if member.Name == holding.self {
			return i
		}
	}
	return -1
}

func (holding *Holding) hold(name string, want want) {
	known := holding.held[name]
	if known != nil && known.server.Address != want.server.Address {
		holding.system.Root.Send(known.pid, retire{})
		known = nil
	}
	if known == nil {
		known = holding.start(name, want)
		holding.held[name] = known
		holding.log.Infof("target %s is held here with rank %d", name, want.rank)
	}
	known.setRank(want.rank)
	holding.system.Root.Send(known.pid, want.limits)
	if want.server.Leaving {
		holding.system.Root.Send(known.pid, holder.MarkedLeaving{})
	}
}

// Offer gives sub-requests to the actors of their targets.
func (holding *Holding) Offer(subs []holder.SubRequest) {
	holding.mutex.RLock()
	defer holding.mutex.RUnlock()
	for _, sub := range subs {
		held := holding.held[sub.Target]
		if held == nil {
			holding.back.ReturnTo(sub.From, holder.Answer{Attempt: sub.Request.Attempt,
				Target: sub.Target, Code: result.NotHolder, Ran: result.RanNo})
			continue
		}
		holding.system.Root.Send(held.pid, holder.Offered{Sub: sub})
	}
}

// Cancel tells a target's actor that an attempt is no longer needed.
func (holding *Holding) Cancel(name string, attempt target.Attempt) {
	holding.mutex.RLock()
	defer holding.mutex.RUnlock()
	if held := holding.held[name]; held != nil {
		holding.system.Root.Send(held.pid, holder.Canceled{Attempt: attempt})
	}
}

// Statuses returns what is known of the named targets, of all held ones if none is named.
func (holding *Holding) Statuses(names []string) []holder.Status {
	holding.mutex.RLock()
	defer holding.mutex.RUnlock()
	var statuses []holder.Status
	if len(names) == 0 {
		for _, held := range holding.held {
			statuses = append(statuses, *held.status.Load())
		}
		slices.SortFunc(statuses, func(a, b holder.Status) int { return cmp.Compare(a.Target, b.Target) })
		return statuses
	}
	for _, name := range names {
		if held := holding.held[name]; held != nil {
			statuses = append(statuses, *held.status.Load())
		}
	}
	return statuses
}

// Idle reports whether no sub-request runs or waits here.
func (holding *Holding) Idle() bool {
	for _, status := range holding.Statuses(nil) {
		if status.InFlight > 0 || status.Queued > 0 {
			return false
		}
	}
	return true
}

func (holding *Holding) clock() {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-holding.ctx.Done():
			return
		case <-ticker.C:
			holding.tick(count%idleTicks == 0)
		}
	}
}

func (holding *Holding) tick(all bool) {
	holding.mutex.RLock()
	defer holding.mutex.RUnlock()
	for _, held := range holding.held {
		if all || held.status.Load().Queued > 0 {
			holding.system.Root.Send(held.pid, holder.Ticked{})
		}
	}
}
