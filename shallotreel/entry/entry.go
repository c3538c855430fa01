package entry

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"shallotreel.example/reel/address"
	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/contact"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/route"
	"shallotreel.example/reel/target"
	"shallotreel.example/reel/ticket"
	"shallotreel.example/shallotreel/control"
	"shallotreel.example/shallotreel/decision"
	"shallotreel.example/shallotreel/peers"
)

const (
	refreshPeriod = 250 * time.Millisecond
	staleTerm     = 2 * time.Second
	activeTerm    = 30 * time.Second
	statusTimeout = 500 * time.Millisecond
)

// Fleet is what an entry asks of the control part.
type Fleet interface {
	View() *control.View
	Standing(now time.Time) contact.Standing
}

// Local is the holder duty of this same instance.
type Local interface {
	Offer(subs []holder.SubRequest)
	Cancel(name string, attempt target.Attempt)
	Statuses(names []string) []holder.Status
}

// Network brings messages to peers.
type Network interface {
	Deliver(peer netip.AddrPort, batch peers.Batch)
	Status(ctx context.Context, peer netip.AddrPort, targets []string) ([]holder.Status, error)
	Record(ctx context.Context, peer netip.AddrPort, request caller.Request) (caller.Answer, error)
}

// Entry is the entry duty of one instance.
type Entry struct {
	ctx       context.Context
	self      member.Member
	fleet     Fleet
	local     Local
	network   Network
	book      *quarantine.Tracker
	log       *decision.Log
	scope     tally.Scope
	ledger    *ticket.Ledger[caller.Answer]
	attempts  attempts
	stopping  atomic.Bool
	prepared  atomic.Bool
	running   atomic.Int64
	random    *rand.Rand // guarded by mutex
	mutex     sync.Mutex
	addresses *address.Selector
	sources   map[string]*source
	view      *control.View
}

// source is what an entry keeps for one source.
type source struct {
	table  *route.Table
	gate   *gate
	usedAt atomic.Int64
}

// Config is what an Entry is made of.
type Config struct {
	Self    member.Member
	Fleet   Fleet
	Local   Local
	Network Network
	Book    *quarantine.Tracker
	Log     *decision.Log
	Scope   tally.Scope
	Random  *rand.Rand
	Key     []byte // signs tickets
}

// New returns an entry without sources; views bring them.
func New(ctx context.Context, config Config) *Entry {
	entry := &Entry{
		ctx: ctx, self: config.Self, fleet: config.Fleet, local: config.Local, network: config.Network,
		book: config.Book, log: config.Log, scope: config.Scope, random: config.Random,
		ledger:    ticket.NewLedger[caller.Answer](config.Self.Name, config.Self.Incarnation, config.Key),
		addresses: address.New(config.Random), sources: map[string]*source{},
	}
	go entry.refresh()
	return entry
}

// Apply takes a new view.
func (entry *Entry) Apply(view *control.View) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.view = view
	for name, partition := range view.Maps {
		source := entry.sources[name]
		if source == nil {
			seed := rand.New(rand.NewPCG(entry.random.Uint64(), entry.random.Uint64()))
			source = newSource(view.Self.DataCentre, seed)
			entry.sources[name] = source
		}
		source.table.Update(partition)
		source.table.SetHolders(view.Holders)
		for _, leaving := range view.Leaving {
			source.table.MarkLeaving(time.Now(), leaving)
		}
	}
	if view.Document != nil {
		preset := view.Document.Preset()
		for _, source := range entry.sources {
			source.gate.configure(preset)
		}
	}
}

func newSource(dataCentre string, random *rand.Rand) *source {
	return &source{table: route.NewTable(dataCentre, random), gate: newGate()}
}

// Stop makes the entry name other instances from now on; it still answers those who come.
func (entry *Entry) Stop() {
	entry.stopping.Store(true)
}

// Prepared reports whether a snapshot is known for each source of the revision in force.
func (entry *Entry) Prepared(now time.Time) bool {
	if entry.prepared.Load() {
		return true
	}
	prepared := entry.knowsSnapshots(now)
	entry.prepared.Store(prepared && entry.fleet.View().Holders.Len() > 0)
	return prepared
}

func (entry *Entry) knowsSnapshots(now time.Time) bool {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if entry.view == nil || entry.view.Document == nil {
		return false
	}
	if entry.view.Holders.Len() == 0 {
		return true // the first instances of a fleet wait for nobody
	}
	for _, source := range entry.view.Document.Sources {
		known := entry.sources[source.Name]
		if known == nil {
			return false
		}
		if _, ok := known.table.Pin(now); !ok {
			return false
		}
	}
	return true
}

// Running returns the number of requests that are not answered yet.
func (entry *Entry) Running() int64 {
	return entry.running.Load()
}

// Addresses returns the instances that a caller should use.
func (entry *Entry) Addresses(dataCentre string, full bool) caller.Addresses {
	view := entry.fleet.View()
	keep := document.Duration(time.Second)
	if view.Document != nil {
		keep = view.Document.Preset().AddressKeep
	}
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	addresses := caller.Addresses{Keep: keep, Addresses: entry.addresses.Serving(view.Members, dataCentre, full)}
	switch entry.fleet.Standing(time.Now()) {
	case contact.Isolated, contact.Undecided:
		if beyond := entry.addresses.Unreachable(view.Members, dataCentre); len(beyond) > 0 {
			addresses.Addresses = beyond
		}
	case contact.Good, contact.Paused, contact.Waiting:
	}
	return addresses
}

// Return takes answers to sub-requests that this entry sent.
func (entry *Entry) Return(answers []holder.Answer) {
	now := time.Now()
	for _, answer := range answers {
		if !entry.attempts.answer(now, answer) {
			entry.scope.Counter("answers_dropped").Inc(1)
		}
	}
}

// Lost ends the attempts at a holder whose connection broke.
func (entry *Entry) Lost(peer netip.AddrPort) {
	entry.Return(entry.attempts.lostTo(peer))
}

func (entry *Entry) source(name string) *source {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return entry.sources[name]
}

// refresh keeps the status of targets fresh for the sources in use, and forgets old attempts.
func (entry *Entry) refresh() {
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-entry.ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		entry.Return(entry.attempts.expired(now))
		entry.mutex.Lock()
		sources := make([]*source, 0, len(entry.sources))
		for _, source := range entry.sources {
			source.gate.tick(now)
			if used := source.usedAt.Load(); used == 0 || now.UnixNano()-used < int64(activeTerm) {
				sources = append(sources, source)
			}
		}
		entry.mutex.Unlock()
		for _, source := range sources {
			entry.askStatuses(now, source.table)
		}
	}
}

func (entry *Entry) askStatuses(now time.Time, table *route.Table) {
	for holder, names := range table.StaleTargets(now, staleTerm) {
		if !holder.Peer.IsValid() {
			continue
		}
		if holder.Name == entry.self.Name {
			for _, status := range entry.local.Statuses(names) {
				table.ObserveStatus(now, status)
			}
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(entry.ctx, statusTimeout)
			defer cancel()
			statuses, err := entry.network.Status(ctx, holder.Peer, names)
			if err != nil {
				return
			}
			for _, status := range statuses {
				table.ObserveStatus(time.Now(), status)
			}
		}()
	}
}

// newAttempt returns an id that nobody can guess.
func newAttempt() target.Attempt {
	var attempt target.Attempt
	_, _ = crand.Read(attempt[:]) // never fails: the standard library ends the process instead
	return attempt
}
