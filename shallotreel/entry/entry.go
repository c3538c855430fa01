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
	refreshInterval   = 250 * time.Millisecond
	maxStatusAge      = 2 * time.Second        // age from which the entry requests the status of a target again
	sourceIdleTimeout = 30 * time.Second       // time after its last request for which the status of a source is refreshed
	statusTimeout     = 500 * time.Millisecond // for one status request to a holder
)

// Fleet provides the current view of the fleet, states whether this instance may accept requests, and sends marks to the
// other instances.
type Fleet interface {
	View() *control.View
	Standing(now time.Time) contact.Standing
	BroadcastMark(mark quarantine.Mark)
}

// LocalHolder is the holder role of the same instance. The entry calls it directly instead of over the network.
type LocalHolder interface {
	Offer(subs []holder.SubRequest)
	Cancel(name string, attempt target.Attempt)
	Statuses(names []string) []holder.Status
}

// Network sends messages to other instances.
type Network interface {
	Deliver(peer netip.AddrPort, batch peers.Batch)
	Status(ctx context.Context, peer netip.AddrPort, targets []string) ([]holder.Status, error)
	Record(ctx context.Context, peer netip.AddrPort, request caller.Request) (caller.Answer, error)
}

// Entry implements the entry role of one instance. It is safe for concurrent use.
type Entry struct {
	ctx             context.Context
	self            member.Member
	fleet           Fleet
	local           LocalHolder
	network         Network
	crashHistory    *quarantine.Tracker
	log             *decision.Log
	scope           tally.Scope
	ledger          *ticket.Ledger[caller.Answer]
	pendingAttempts pendingAttempts
	draining        atomic.Bool
	ready           atomic.Bool
	running         atomic.Int64
	random          *rand.Rand // guarded by mutex
	mutex           sync.Mutex
	addresses       *address.Selector
	sources         map[string]*source
	view            *control.View
}

// source is the state of the entry for one source: its routing table and its admission control.
type source struct {
	table   *route.Table
	limiter *limiter
	usedAt  atomic.Int64 // Unix time of the last request in nanoseconds, 0 before the first
}

// Config holds the parameters of an Entry.
type Config struct {
	Self         member.Member
	Fleet        Fleet
	Local        LocalHolder
	Network      Network
	CrashHistory *quarantine.Tracker
	Log          *decision.Log
	Scope        tally.Scope
	Random       *rand.Rand
	Key          []byte // key that signs tickets
}

// New returns an Entry without sources, which Apply adds. The status refresh that it starts ends with ctx.
func New(ctx context.Context, config Config) *Entry {
	entry := &Entry{
		ctx: ctx, self: config.Self, fleet: config.Fleet, local: config.Local, network: config.Network,
		crashHistory: config.CrashHistory, log: config.Log, scope: config.Scope, random: config.Random,
		ledger:    ticket.NewLedger[caller.Answer](config.Self.Name, config.Self.Incarnation, config.Key),
		addresses: address.New(config.Random), sources: map[string]*source{},
	}
	go entry.refresh()
	return entry
}

// Apply replaces the view of the fleet and updates the routing tables and the admission control of all sources.
func (entry *Entry) Apply(view *control.View) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.view = view
	for name, partition := range view.Maps {
		source := entry.sources[name]
		if source == nil {
			random := rand.New(rand.NewPCG(entry.random.Uint64(), entry.random.Uint64()))
			source = newSource(view.Self.DataCentre, random)
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
			source.limiter.configure(preset)
		}
	}
}

func newSource(dataCentre string, random *rand.Rand) *source {
	return &source{table: route.NewTable(dataCentre, random), limiter: newLimiter()}
}

// StartDraining makes all further answers list instances to use instead, and stops issuing tickets. The entry continues
// to answer requests.
func (entry *Entry) StartDraining() {
	entry.draining.Store(true)
}

// Ready reports whether the entry can route requests: a target serves a snapshot for each source of the revision in
// force, or the fleet has no holders yet. An entry that was ready with holders stays ready.
func (entry *Entry) Ready(now time.Time) bool {
	if entry.ready.Load() {
		return true
	}
	ready := entry.hasSnapshots(now)
	entry.ready.Store(ready && entry.fleet.View().Holders.Len() > 0)
	return ready
}

// hasSnapshots reports whether a target serves a snapshot for each source of the revision in force, or there are no
// holders.
func (entry *Entry) hasSnapshots(now time.Time) bool {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if entry.view == nil || entry.view.Document == nil {
		return false
	}
	if entry.view.Holders.Len() == 0 {
		return true // the first instances of a fleet have no holders to get a status from
	}
	for _, source := range entry.view.Document.Sources {
		state := entry.sources[source.Name]
		if state == nil {
			return false
		}
		if _, ok := state.table.Pin(now); !ok {
			return false
		}
	}
	return true
}

// Running returns the number of requests in progress.
func (entry *Entry) Running() int64 {
	return entry.running.Load()
}

// Addresses returns the addresses that a caller in the data centre should use, and how long to use them. Instances of
// that data centre come first, or last if full is true. An instance that is isolated, or that cannot confirm which
// preset is in force, returns the instances that it cannot reach instead, if there are any.
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
		if unreachable := entry.addresses.Unreachable(view.Members, dataCentre); len(unreachable) > 0 {
			addresses.Addresses = unreachable
		}
	case contact.Good, contact.Paused, contact.Waiting:
	}
	return addresses
}

// HandleAnswers passes answers to the requests that wait for them. It counts and drops answers to unknown attempts.
func (entry *Entry) HandleAnswers(answers []holder.Answer) {
	now := time.Now()
	for _, answer := range answers {
		if !entry.pendingAttempts.deliver(now, answer) {
			entry.scope.Counter("answers_dropped").Inc(1)
		}
	}
}

// HandleDisconnect fails all pending attempts that were sent to the peer, because the connection to it broke.
func (entry *Entry) HandleDisconnect(peer netip.AddrPort) {
	entry.HandleAnswers(entry.pendingAttempts.failuresAt(peer))
}

func (entry *Entry) source(name string) *source {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return entry.sources[name]
}

// refresh periodically requests the status of targets of the sources in use, and fails expired attempts.
func (entry *Entry) refresh() {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-entry.ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		entry.HandleAnswers(entry.pendingAttempts.expiredFailures(now))
		entry.mutex.Lock()
		sources := make([]*source, 0, len(entry.sources))
		for _, source := range entry.sources {
			source.limiter.tick(now)
			if used := source.usedAt.Load(); used == 0 || now.UnixNano()-used < int64(sourceIdleTimeout) {
				sources = append(sources, source)
			}
		}
		entry.mutex.Unlock()
		for _, source := range sources {
			entry.fetchStatuses(now, source.table)
		}
	}
}

// fetchStatuses requests the status of the table's targets whose last status is older than maxStatusAge.
func (entry *Entry) fetchStatuses(now time.Time, table *route.Table) {
	for holder, names := range table.StaleTargets(now, maxStatusAge) {
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

// newAttempt returns a random attempt ID that cannot be guessed.
func newAttempt() target.Attempt {
	var attempt target.Attempt
	_, _ = crand.Read(attempt[:]) // crypto/rand.Read never returns an error; it ends the process instead
	return attempt
}
