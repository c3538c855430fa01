package feed

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/sirupsen/logrus"

	"shallotreel.example/platform"
	"shallotreel.example/reel/catalogue"
	"shallotreel.example/shallotreel/copies"
)

const (
	tickPeriod   = 250 * time.Millisecond
	watchPause   = 200 * time.Millisecond  // between two watches, so that one call brings several changes
	watchWait    = 1300 * time.Millisecond // an idle watch that ends shows that the store can still be reached
	catchUpWait  = 10 * time.Millisecond   // of the first watch after a cheap reading: peers may ask soon
	callMost     = time.Second             // beyond what a watch waits by itself
	backoffLeast = 100 * time.Millisecond
	backoffMost  = 800 * time.Millisecond
)

// Feed keeps the catalogue in one actor and publishes its views.
type Feed struct {
	ctx       context.Context
	root      *actor.RootContext
	pid       *actor.PID
	store     *platform.Store
	log       logrus.FieldLogger
	catalogue *catalogue.Catalogue
	view      atomic.Pointer[catalogue.View]
	calls     atomic.Int64
	process   uint64 // this instance's incarnation
	readers   Readers
	contact   atomic.Int64 // when the store's state was last known, in nanoseconds of the monotonic clock
	revision  atomic.Uint64
	mutex     sync.Mutex
	change    chan struct{} // closed at the next change; guarded by the mutex
	failing   bool
	prepared  func() // called when the first configuration is in force
	refused   uint64 // revision of the newest configuration that could not be read
}

// Messages of the actor.
type (
	tick   struct{}
	failed struct{ err error }
	page   struct {
		reading     platform.Reading
		first, last bool
	}
	news  struct{ reading platform.Reading }
	told  struct{ reply copies.Reply }
	lent  struct{ reply copies.Reply } // old knowledge, better than none
	since struct{ serial uint64 }
)

// Readers says which instances read the store for others.
type Readers interface {
	// Reader returns the peer that reads for this instance; false if this instance reads for itself.
	Reader() (netip.AddrPort, bool)
	// Serving returns the peers that take work.
	Serving() []netip.AddrPort
}

// Config is what a feed is made of.
type Config struct {
	Store    *platform.Store
	Readers  Readers
	Process  uint64 // this instance's incarnation
	Log      logrus.FieldLogger
	Prepared func() // called once requests can be routed
}

// New returns a feed that does nothing until Start.
func New(ctx context.Context, system *actor.ActorSystem, config Config) *Feed {
	feed := &Feed{ctx: ctx, root: system.Root, store: config.Store, readers: config.Readers, process: config.Process,
		log: config.Log, prepared: config.Prepared, catalogue: catalogue.New(), change: make(chan struct{})}
	feed.view.Store(feed.catalogue.View())
	return feed
}

// Start starts the actor and its reading of the store.
func (feed *Feed) Start() {
	feed.pid = feed.root.Spawn(actor.PropsFromFunc(feed.receive))
	go feed.clock()
	go feed.follow()
	go feed.prime()
}

// View returns what requests are routed by.
func (feed *Feed) View() *catalogue.View {
	return feed.view.Load()
}

// Calls returns how many calls were made to the store.
func (feed *Feed) Calls() int64 {
	return feed.calls.Load()
}

func (feed *Feed) clock() {
	ticker := time.NewTicker(tickPeriod)
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

func (feed *Feed) receive(actorContext actor.Context) {
	now := time.Now()
	switch message := actorContext.Message().(type) {
	case tick:
		feed.note(feed.catalogue.Tick(now)...)
	case failed:
		feed.catalogue.StoreFailed()
		if !feed.failing {
			feed.failing = true
			feed.log.WithError(message.err).Warn("store lost")
		}
	case page:
		feed.answered(now)
		if message.first {
			feed.catalogue.BeginListing()
		}
		feed.apply(now, message.reading.Items)
		if message.last {
			feed.note(feed.catalogue.EndListing(now)...)
		}
	case news:
		feed.answered(now)
		feed.apply(now, message.reading.Items)
	case told:
		feed.applyTold(now, message.reply)
	case lent:
		if feed.catalogue.Configuration() == nil {
			feed.note(feed.catalogue.Apply(now, message.reply.Delta, message.reply.Whole)...)
			feed.noteConfiguration("peer before the store", message.reply.Store)
		}
	case since:
		actorContext.Respond(feed.catalogue.Since(message.serial))
		return
	}
	old := feed.view.Swap(feed.catalogue.View())
	if old.Serial != feed.View().Serial {
		feed.announce()
	}
	if old.Configuration == nil && feed.View().Configuration != nil {
		feed.prepared()
	}
}

func (feed *Feed) answered(now time.Time) {
	feed.catalogue.StoreAnswered(now)
	if feed.failing {
		feed.failing = false
		feed.log.Info("store regained")
	}
}

func (feed *Feed) apply(now time.Time, items []platform.Item) {
	for _, item := range items {
		if id, ok := item.TargetID(); ok {
			feed.applyTarget(now, id, item)
		} else if item.Configures() && !item.Deleted {
			feed.applyConfiguration(item)
		}
	}
}

func (feed *Feed) applyTarget(now time.Time, id string, item platform.Item) {
	if item.Deleted {
		if change, ok := feed.catalogue.Remove(now, id); ok {
			feed.note(change)
		}
		return
	}
	target, err := item.Target()
	if err != nil {
		feed.log.WithError(err).WithFields(logrus.Fields{"target": id, "revision": item.Revision}).
			Warn("registration ignored")
		return
	}
	if change, ok := feed.catalogue.Register(target); ok {
		feed.note(change)
	}
}

func (feed *Feed) applyConfiguration(item platform.Item) {
	configuration, err := item.Configuration()
	if err != nil {
		if item.Revision != feed.refused {
			feed.refused = item.Revision
			feed.log.WithError(err).WithField("revision", item.Revision).Error("configuration refused, the last one stays")
		}
		return
	}
	if feed.catalogue.Configure(configuration) {
		feed.noteConfiguration("store", item.Revision)
	}
}

// applyTold takes what a peer read of the store.
func (feed *Feed) applyTold(now time.Time, reply copies.Reply) {
	feed.answered(now)
	old := feed.catalogue.Configuration()
	feed.note(feed.catalogue.Apply(now, reply.Delta, reply.Whole)...)
	if feed.catalogue.Configuration() != old {
		feed.noteConfiguration("peer", reply.Store)
	}
}

func (feed *Feed) noteConfiguration(source string, revision uint64) {
	configuration := feed.catalogue.Configuration()
	feed.log.WithFields(logrus.Fields{"version": configuration.Version, "revision": revision, "source": source,
		"routes": len(configuration.Routes)}).Info("configuration in force")
}

func (feed *Feed) note(changes ...catalogue.Change) {
	for _, change := range changes {
		feed.log.WithFields(logrus.Fields{"target": change.Target, "change": change.Kind}).Info("target changed")
	}
}
