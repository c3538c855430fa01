package front

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"shallotreel.example/platform"
	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/reach"
	"shallotreel.example/reel/workingset"
	"shallotreel.example/shallotreel/cataloguesync"
	"shallotreel.example/shallotreel/connpool"
	"shallotreel.example/shallotreel/crashwatch"
	"shallotreel.example/shallotreel/feed"
	"shallotreel.example/shallotreel/ingress"
	"shallotreel.example/shallotreel/intake"
	"shallotreel.example/shallotreel/linelimit"
	"shallotreel.example/shallotreel/peerrpc"
	"shallotreel.example/shallotreel/reachwatch"
	"shallotreel.example/shallotreel/relay"
	"shallotreel.example/shallotreel/roster"
	"shallotreel.example/shallotreel/settings"
)

const (
	sweepPeriod    = time.Second
	metricsPeriod  = time.Second
	crashPeriod    = 250 * time.Millisecond // between two searches for targets that ended silently
	thousandths    = 1000                   // of a core
	addressTTL     = 5 * time.Second        // for which callers keep an address, unless the settings limit it further
	staleTTLFactor = 3                      // callers may keep using an address for this multiple of addressTTL
)

// Front is a running instance. Use Start to create one.
type Front struct {
	settings     atomic.Pointer[settings.Front]
	log          *logrus.Logger
	ctx          context.Context
	cancel       context.CancelFunc
	system       *actor.ActorSystem
	feed         *feed.Feed
	roster       *roster.Roster
	peerServer   *peerrpc.Server
	helpers      *relay.Client
	router       *ingress.Router
	pool         *connpool.Pool
	handler      *ingress.Handler
	admission    *ingress.Admission
	crashes      *crashwatch.Watch
	path         *reachwatch.Watch
	servers      []*http.Server
	resources    resources
	memory       *intake.Memory // that is held for others
	doors        []*intake.Door // of all addresses
	callerDoor   *intake.Door
	callerServer *http.Server
	stopping     atomic.Bool
	configured   atomic.Bool // whether a configuration is known
	marksKnown   atomic.Bool // whether the marks of the peers are known
	ready        atomic.Bool
	reporter     tallyprom.Reporter
	scope        tally.Scope
	closer       io.Closer
	healthLines  *linelimit.Limiter
	self         member.Member // as this instance joins the fleet
}

// Start applies the settings, listens on their addresses and starts the instance. It
// returns an error if an address is not available.
func Start(config settings.Front, logger *logrus.Logger) (*Front, error) {
	available := resourcesOf(config)
	available.limitHeap()
	ctx, cancel := context.WithCancel(context.Background())
	front := &Front{log: logger, ctx: ctx, cancel: cancel, healthLines: linelimit.New(healthLinesPerSecond),
		resources: available, memory: intake.NewMemory(available.memory / heldShare)}
	front.pool = connpool.NewPool(connpool.WithMemory(front.memory), connpool.WithMaxConnections(available.share(targetParts)),
		connpool.WithExclusion(func(address netip.AddrPort) bool { return front.View().IsEvacuatedAddress(address) }))
	front.settings.Store(&config)
	front.openMetrics()
	front.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	if err := front.open(); err != nil {
		front.close()
		return nil, err
	}
	logger.WithFields(logrus.Fields{"name": config.Name, "data_centre": config.DataCentre,
		"callers": config.CallerAddress.String()}).Info("started")
	return front, nil
}

// openMetrics creates the metrics registry and the root scope.
func (front *Front) openMetrics() {
	registry := prometheus.NewRegistry() // not the default registry, since a process may embed several instances
	front.reporter = tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	front.scope, front.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "shallotreel", CachedReporter: front.reporter, Separator: "_",
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsPeriod)
}

// open creates the components of the instance, listens on all addresses and starts
// the components.
func (front *Front) open() error {
	var seed [16]byte
	crand.Read(seed[:]) // never returns an error
	random := func() *rand.Rand {
		return rand.New(rand.NewPCG(binary.BigEndian.Uint64(seed[:]), binary.BigEndian.Uint64(seed[8:])))
	}
	config := front.settings.Load()
	front.self = member.Member{Name: config.Name, DataCentre: config.DataCentre, Caller: config.CallerAddress,
		Peer: config.PeerAddress, Incarnation: uint64(time.Now().UnixMilli()), State: member.Joining,
		Processor: uint32(thousandths * config.Processor)}
	front.router = ingress.NewRouter(front, front.pool, config.Extra.Limits(), front.self, random(), front.logHealthChange)
	tracker := &quarantine.Tracker{}
	front.path = reachwatch.New(front, front.pool, front.pathChanged, front.log, front.scope)
	front.crashes = crashwatch.New(tracker, front, front.replicateMark, front.log, front.scope, crashwatch.WithSignsOfLife(front.path.AliveSince))
	front.helpers = relay.NewClient(front.self)
	var err error
	front.roster, err = roster.Listen(front.ctx, front.system, roster.Config{Self: front.self, Seeds: config.Seeds,
		Log: front.log, Random: random(), OnChange: front.setMembers, Tracker: tracker, OnMark: front.logMark,
		OnMarksKnown: front.markMarksKnown, OnComplete: func() { front.router.MembersComplete(time.Now()) },
		OnLost: front.router.SetLost})
	if err != nil {
		return err
	}
	front.feed = feed.New(front.ctx, front.system, feed.Config{Store: platform.NewStore(config.StoreAddress),
		Peers: front.roster, Incarnation: front.self.Incarnation, Log: front.log, OnReady: front.markConfigured,
		OnTargetChange: func(change catalogue.Change) { front.crashes.TargetChanged(time.Now(), change) }})
	front.admission = ingress.NewAdmission(front.log, front.scope, random())
	front.router.SetOverload(front.admission)
	front.handler = ingress.New(front.feed, front.router, front.pool, front.crashes, front.path, front.helpers, newRecorder(front.log, front.scope),
		ingress.WithAdmission(front.admission))
	relayServer := relay.NewServer(front.handler, front.log)
	front.peerServer, err = peerrpc.Serve(config.PeerAddress, []peerrpc.Service{cataloguesync.NewService(front.feed), relayServer.Service()},
		peerrpc.WithDoor(front.addDoor(peerParts)), peerrpc.WithLog(front.log))
	if err != nil {
		return err
	}
	front.callerDoor = front.addDoor(callerParts)
	front.callerServer, err = front.serve(config.CallerAddress, front.callerDoor, 0, front.handler)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if err = front.servePage(config.ReadyAddress, http.HandlerFunc(front.serveReady)); err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	if err = front.servePage(config.ResolveAddress, http.HandlerFunc(front.serveResolve)); err != nil {
		return errors.Wrap(err, "listen for address queries")
	}
	if err = front.servePage(config.MetricsAddress, front.operatorsHandler()); err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	front.roster.Start()
	front.feed.Start()
	go front.maintain()
	return nil
}

// maintain periodically sweeps the connection pool and the router and updates the
// gauges until the context ends.
func (front *Front) maintain() {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	meter := workingset.NewMeter(front.self)
	var sweptAt time.Time
	crashTicker := time.NewTicker(crashPeriod)
	defer crashTicker.Stop()
	pathTicker := time.NewTicker(reachwatch.TickPeriod)
	defer pathTicker.Stop()
	for {
		select {
		case <-front.ctx.Done():
			return
		case now := <-crashTicker.C:
			front.crashes.Tick(now)
		case now := <-pathTicker.C:
			front.path.Tick(now)
		case now := <-ticker.C:
			front.pool.Sweep(now)
			front.router.Sweep(now)
			front.admission.Sweep(now)
			front.sweepDoors(time.Now(), &sweptAt)
			front.announceLoad(now, meter)
			front.updateGauges()
		}
	}
}

// View returns the current view of the catalogue, by which requests are routed.
func (front *Front) View() *catalogue.View { return front.feed.View() }

// pathChanged is called when the path to the targets is lost or back.
func (front *Front) pathChanged(change reach.Change) {
	lost := 0.0
	if change.Lost {
		lost = 1
	}
	front.scope.Gauge("path_is_lost").Update(lost)
	if change.Lost {
		front.crashes.PathLost(change.Since)
	}
	front.router.ForgetFailures()
	front.roster.SetPathLost(change.Lost)
}

// setMembers is called when the members of the fleet have changed.
func (front *Front) setMembers(members []member.Member) {
	front.router.SetMembers(members)
	front.helpers.SetMembers(members)
	front.crashes.SetMembers(front.self.Name, members)
}

func (front *Front) replicateMark(fingerprint quarantine.Fingerprint) {
	front.roster.ReplicateMark(fingerprint)
}

func (front *Front) logMark(mark quarantine.Mark, peer string) {
	front.crashes.Learned(time.Now(), mark, peer)
}

// markConfigured is called by the feed once the first configuration is applied.
func (front *Front) markConfigured() {
	front.configured.Store(true)
	front.checkReady()
}

// markMarksKnown is called by the roster once this instance knows which requests its peers refuse.
func (front *Front) markMarksKnown() {
	front.marksKnown.Store(true)
	front.checkReady()
}

// checkReady makes this instance ready and announces it to the peers, once it has a configuration and the marks.
func (front *Front) checkReady() {
	if !front.configured.Load() || !front.marksKnown.Load() || !front.ready.CompareAndSwap(false, true) {
		return
	}
	front.handler.Open()
	front.roster.Ready()
	front.log.WithField("version", front.feed.View().Configuration.Version).Info("ready")
}

// Reload applies the changed settings that can change while the process runs: seeds,
// limits on extra attempts, and durations. It logs the names of other changed fields,
// which take effect only in a new process.
func (front *Front) Reload(changed settings.Front) {
	old := front.settings.Load()
	if fixed := changed.FieldsNeedingRestart(*old); len(fixed) > 0 {
		front.log.WithField("fields", fixed).Warn("changed settings take effect only after a restart")
	}
	front.settings.Store(&changed)
	front.roster.SetSeeds(changed.Seeds)
	front.router.SetLimits(changed.Extra.Limits())
	front.log.WithFields(logrus.Fields{"seeds": changed.Seeds, "extra": changed.Extra, "grace": changed.Grace.Std().String(),
		"keep_most": changed.MaxAddressTTL.Std().String()}).Info("settings reloaded")
}
