package feed

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/sirupsen/logrus"

	"shallotreel.example/platform"
	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/cursor"
	"shallotreel.example/shallotreel/cataloguesync"
	"shallotreel.example/shallotreel/linelimit"
)

const (
	tickInterval = 250 * time.Millisecond // between two calls of Catalogue.Tick
	// ignoredLinesPerSecond limits the log lines about registrations that are ignored, which another program may write at any rate.
	ignoredLinesPerSecond = 10
)

// Feed keeps the catalogue in a single actor and publishes immutable views of it.
type Feed struct {
	ctx            context.Context
	root           *actor.RootContext
	pid            *actor.PID
	store          *platform.Store
	log            logrus.FieldLogger
	catalogue      *catalogue.Catalogue
	view           atomic.Pointer[catalogue.View]
	calls          atomic.Int64
	incarnation    uint64 // distinguishes this process from others of the same instance
	peers          Peers
	lastContact    atomic.Int64                    // time at which the store was last read, directly or by a peer, in nanoseconds since processStart
	position       atomic.Pointer[cursor.Position] // of the store when it was last read
	mutex          sync.Mutex
	changed        chan struct{} // closed at the next change and then replaced; guarded by mutex
	storeFailing   bool
	startup        startup
	ready          atomic.Bool // whether onReady was called
	onReady        func()      // called once, when requests can be routed
	onTargetChange func(catalogue.Change)
	leaving        []cataloguesync.Leaving // targets to report to the peer that reads the store; guarded by mutex
	ignoredLines   *linelimit.Limiter      // limits the log lines about registrations that are ignored
	skipped        cursor.Position         // of the newest configuration in the store that was not applied
	nameless       cursor.Position         // of the newest evacuation that names no data centre
	outdatedPeer   netip.AddrPort          // peer of a build that does not know evacuations; only follow uses it
}

// Messages that the actor receives.
type (
	tick       struct{}
	callFailed struct{ err error }
	listPage   struct {
		response    platform.StoreResponse
		first, last bool
		position    cursor.Position // of the oldest page so far
		allowStale  bool            // whether the listing may be seconds old
	}
	watchEvents        struct{ response platform.StoreResponse }
	evacuationsLearned struct {
		reply *cataloguesync.EvacuationReply // nil if no peer can tell
	}
	evacuationsRequest struct{}
	storeRestored      struct{ from, to uint64 } // eras
	targetsLeave       struct{ leaving []cataloguesync.Leaving }
	peerDelta          struct{ reply cataloguesync.Reply }
	bootstrapDelta     struct{ reply cataloguesync.Reply } // possibly stale; used only until a configuration is applied
	deltaRequest       struct{ serial uint64 }
)

// Peers reports which other instances can supply the catalogue.
type Peers interface {
	// Reader returns the peer from which this instance reads the catalogue; it returns false if this instance reads
	// the store itself.
	Reader() (netip.AddrPort, bool)
	// Serving returns the peers that accept requests.
	Serving() []netip.AddrPort
}

// Config holds the dependencies of a Feed.
type Config struct {
	Store       *platform.Store
	Peers       Peers
	Incarnation uint64 // distinguishes this process from others of the same instance
	Log         logrus.FieldLogger
	OnReady     func() // called once, when requests can be routed
	// OnTargetChange is called for each change of a target, before the views contain it; may be nil.
	OnTargetChange func(catalogue.Change)
}

// New returns a Feed that stops when the context ends. Until Start is called it reads nothing, and answers peers that it knows nothing.
func New(ctx context.Context, system *actor.ActorSystem, config Config) *Feed {
	feed := &Feed{ctx: ctx, root: system.Root, store: config.Store, peers: config.Peers, incarnation: config.Incarnation,
		log: config.Log, onReady: config.OnReady, onTargetChange: config.OnTargetChange, catalogue: catalogue.New(), changed: make(chan struct{}),
		ignoredLines: linelimit.New(ignoredLinesPerSecond)}
	feed.view.Store(feed.catalogue.View())
	feed.position.Store(&cursor.Position{})
	feed.pid = feed.root.Spawn(actor.PropsFromFunc(feed.receive))
	return feed
}

// Start starts the goroutines that read from the store and from peers.
func (feed *Feed) Start() {
	go feed.tickPeriodically()
	go feed.follow()
	go feed.bootstrap()
	go feed.learnEvacuations()
}

// View returns the current view of the catalogue, by which requests are routed.
func (feed *Feed) View() *catalogue.View {
	return feed.view.Load()
}

// StoreCalls returns the number of calls made to the store.
func (feed *Feed) StoreCalls() int64 {
	return feed.calls.Load()
}

// StoreDials returns the number of connections to the store that were opened, or tried.
func (feed *Feed) StoreDials() int64 {
	return feed.store.Dials()
}

func (feed *Feed) tickPeriodically() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-feed.ctx.Done():
			return
		case <-ticker.C:
			feed.root.Send(feed.pid, tick{})
		}
	}
}

// receive handles one message of the actor and publishes the resulting view.
func (feed *Feed) receive(actorContext actor.Context) {
	now := time.Now()
	source := sourceStore
	switch message := actorContext.Message().(type) {
	case tick:
		feed.logChanges(feed.catalogue.Tick(now)...)
	case callFailed:
		feed.catalogue.StoreFailed()
		if !feed.storeFailing {
			feed.storeFailing = true
			feed.log.WithError(message.err).Warn("store lost")
		}
	case listPage:
		feed.storeAnswered(now, 0)
		if message.first {
			feed.catalogue.BeginListing()
		}
		feed.apply(now, message.response)
		if message.last {
			feed.logChanges(feed.catalogue.EndListing(now, message.position)...)
			feed.catalogue.EndEvacuationListing(now, message.position)
			feed.startup.evacuationsKnown = feed.startup.evacuationsKnown || !message.allowStale
		}
	case watchEvents:
		feed.storeAnswered(now, 0)
		feed.apply(now, message.response)
		feed.startup.evacuationsKnown = true
	case storeRestored:
		feed.catalogue.StoreRestored(now)
		feed.logRestored(message)
	case targetsLeave:
		for _, target := range message.leaving {
			if change, ok := feed.catalogue.Leave(target.ID, target.Born); ok {
				feed.logChanges(change)
			}
		}
	case peerDelta:
		source = sourcePeer
		feed.applyPeerDelta(now, message.reply)
	case bootstrapDelta:
		source = sourceStartup
		feed.applyBootstrapDelta(now, message.reply)
	case evacuationsLearned:
		source = sourceStartup
		feed.applyPeerEvacuations(now, message.reply)
	case deltaRequest:
		actorContext.Respond(feed.catalogue.Since(now, message.serial))
		return
	case evacuationsRequest:
		actorContext.Respond(*feed.catalogue.EvacuationsSince(now, 0))
		return
	}
	feed.publish(now, source)
}

// publish publishes the view of the catalogue after a change that the source has told.
func (feed *Feed) publish(now time.Time, source string) {
	current := feed.catalogue.View()
	old := feed.view.Swap(current)
	if old.Serial != current.Serial {
		feed.logEvacuations(now, source)
		feed.logEmptyServices(old, current)
		feed.notifyWaiters()
	}
	feed.checkReady()
}

// storeAnswered records that the store answered, or the given time ago a peer.
func (feed *Feed) storeAnswered(now time.Time, age time.Duration) {
	feed.catalogue.StoreAnswered(now, age)
	if feed.storeFailing {
		feed.storeFailing = false
		feed.log.Info("store regained")
	}
}

// apply applies items that were read from the store to the catalogue. It ignores items of other kinds, and a deletion
// of the configuration, after which the last configuration stays active.
func (feed *Feed) apply(now time.Time, response platform.StoreResponse) {
	for _, item := range response.Items {
		position := cursor.Position{Era: response.Era, Revision: item.Revision}
		if id, ok := item.TargetID(); ok {
			feed.applyTarget(now, id, item, position)
		} else if dataCentre, ok := item.EvacuatedDataCentre(); ok {
			feed.applyEvacuation(now, dataCentre, item, position)
		} else if item.IsConfiguration() && !item.Deleted {
			feed.applyConfiguration(item, position)
		}
	}
}

func (feed *Feed) applyTarget(now time.Time, id string, item platform.Item, position cursor.Position) {
	if item.Deleted {
		if change, ok := feed.catalogue.Remove(now, catalogue.Removal{ID: id, Position: position}); ok {
			feed.logChanges(change)
		}
		return
	}
	target, err := item.Target()
	if err == nil {
		err = target.Check(now)
	}
	if err != nil {
		feed.logIgnored(now, id, item.Revision, err)
		return
	}
	target.ColdAt, target.Position = now, position
	if change, ok := feed.catalogue.Register(target); ok {
		feed.logChanges(change)
	}
}

// checked returns the delta of a peer without the targets to which requests must not be sent, which an earlier build may let pass.
func (feed *Feed) checked(now time.Time, delta catalogue.Delta) catalogue.Delta {
	delta.Targets = slices.DeleteFunc(slices.Clone(delta.Targets), func(target catalogue.Target) bool {
		err := target.Check(now)
		if err != nil {
			feed.logIgnored(now, target.ID, 0, err)
		}
		return err != nil
	})
	return delta
}

// logIgnored logs that a registration is ignored, at the revision of the store or 0 if a peer has told it.
func (feed *Feed) logIgnored(now time.Time, id string, revision uint64, err error) {
	if feed.ignoredLines.Allow(now) {
		feed.log.WithError(err).WithFields(logrus.Fields{"target": id, "revision": revision}).Warn("registration ignored")
	}
}

// applyConfiguration applies a configuration that is newer than the current one. An older one, which the store has after
// it was restored until the operator writes the newest one again, or one that cannot be decoded, is logged once.
func (feed *Feed) applyConfiguration(item platform.Item, position cursor.Position) {
	log := feed.log.WithFields(logrus.Fields{"era": position.Era, "revision": position.Revision})
	configuration, err := item.Configuration()
	current := feed.catalogue.Configuration()
	skipped := feed.skipped == position
	switch {
	case err != nil:
		feed.skipped = position
		if !skipped {
			log.WithError(err).Error("configuration rejected; keeping the current version")
		}
	case feed.catalogue.Configure(configuration):
		feed.logConfiguration(sourceStore, position, 0)
	case configuration.Version < current.Version:
		feed.skipped = position
		if !skipped {
			log.WithFields(logrus.Fields{"version": configuration.Version, "in_force": current.Version}).
				Warn("configuration in the store is older; keeping the current version")
		}
	}
}

// applyPeerDelta applies changes that a peer has read from the store.
func (feed *Feed) applyPeerDelta(now time.Time, reply cataloguesync.Reply) {
	feed.storeAnswered(now, reply.Age)
	old := feed.catalogue.Configuration()
	feed.logChanges(feed.catalogue.Apply(now, feed.checked(now, reply.Delta), reply.Whole, reply.Position())...)
	if feed.catalogue.Configuration() != old {
		feed.logConfiguration(sourcePeer, reply.Position(), reply.Age)
	}
	feed.startup.evacuationsKnown = true
}

// applyBootstrapDelta applies the catalogue of a peer, unless something newer is known.
func (feed *Feed) applyBootstrapDelta(now time.Time, reply cataloguesync.Reply) {
	if feed.catalogue.Configuration() != nil {
		return
	}
	feed.logChanges(feed.catalogue.Apply(now, feed.checked(now, reply.Delta), reply.Whole, reply.Position())...)
	feed.logConfiguration(sourceStartup, reply.Position(), reply.Age)
	feed.startup.evacuationsKnown = reply.Delta.SupportsEvacuations
}

func (feed *Feed) logRestored(restored storeRestored) {
	fields := logrus.Fields{"old_era": restored.from, "era": restored.to}
	if configuration := feed.catalogue.Configuration(); configuration != nil {
		fields["version"] = configuration.Version
	}
	feed.log.WithFields(fields).Warn("store was restored from a copy; reading all of it again")
}

// logConfiguration logs a new version of the configuration: the way by which it came, for how long the source had not read the store, and
// for how long this instance had not.
func (feed *Feed) logConfiguration(source string, position cursor.Position, age time.Duration) {
	configuration := feed.catalogue.Configuration()
	log := feed.log.WithFields(logrus.Fields{"version": configuration.Version, "era": position.Era, "revision": position.Revision, "source": source,
		"age_ms": age.Milliseconds(), "routes": len(configuration.Routes)})
	if feed.lastContact.Load() > 0 {
		log = log.WithField("since_contact_ms", feed.age().Milliseconds())
	}
	log.Info("configuration in force")
}

func (feed *Feed) logChanges(changes ...catalogue.Change) {
	for _, change := range changes {
		feed.log.WithFields(logrus.Fields{"target": change.Target, "change": change.Kind}).Info("target changed")
		if feed.onTargetChange != nil {
			feed.onTargetChange(change)
		}
	}
}
