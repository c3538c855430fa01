package front

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
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
	"shallotreel.example/reel/choice"
	"shallotreel.example/reel/member"
	"shallotreel.example/shallotreel/copies"
	"shallotreel.example/shallotreel/door"
	"shallotreel.example/shallotreel/feed"
	"shallotreel.example/shallotreel/line"
	"shallotreel.example/shallotreel/roster"
	"shallotreel.example/shallotreel/settings"
)

const (
	sweepPeriod   = time.Second
	metricsPeriod = time.Second
	storeDial     = 500 * time.Millisecond
	readTimeout   = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	headerMost    = 64 << 10 // bytes
	gcPercent     = 50       // of the heap; a third less memory than at 150 for a seventh more processor time
	addressKeep   = 5 * time.Second
	addressMost   = 64
	staleFactor   = 3 // callers may keep an address for so many times as long
	endMargin     = 500 * time.Millisecond
)

// Front is one running instance.
type Front struct {
	settings atomic.Pointer[settings.Front]
	log      *logrus.Logger
	ctx      context.Context
	cancel   context.CancelFunc
	system   *actor.ActorSystem
	feed     *feed.Feed
	roster   *roster.Roster
	copies   *copies.Server
	router   *door.Router
	pool     *line.Pool
	door     *door.Door
	servers  []*http.Server
	callers  *http.Server
	stopping atomic.Bool
	ready    atomic.Bool
	reporter tallyprom.Reporter
	scope    tally.Scope
	closer   io.Closer
}

// Start opens the addresses of the settings and starts all parts.
func Start(config settings.Front, logger *logrus.Logger) (*Front, error) {
	debug.SetGCPercent(gcPercent)
	ctx, cancel := context.WithCancel(context.Background())
	front := &Front{log: logger, ctx: ctx, cancel: cancel, pool: line.NewPool()}
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

func (front *Front) openMetrics() {
	registry := prometheus.NewRegistry() // of its own, since a process may embed several instances
	front.reporter = tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	front.scope, front.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "shallotreel", CachedReporter: front.reporter, Separator: "_",
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsPeriod)
}

func (front *Front) open() error {
	var seed [16]byte
	crand.Read(seed[:]) // does not fail
	random := func() *rand.Rand {
		return rand.New(rand.NewPCG(binary.BigEndian.Uint64(seed[:]), binary.BigEndian.Uint64(seed[8:])))
	}
	config := front.settings.Load()
	front.router = door.NewRouter(front, front.pool, config.Extra.Limits(), config.DataCentre, random(), front.believed)
	self := member.Member{Name: config.Name, DataCentre: config.DataCentre, Caller: config.CallerAddress,
		Peer: config.PeerAddress, Incarnation: uint64(time.Now().UnixMilli()), State: member.Joining}
	var err error
	front.roster, err = roster.Listen(front.ctx, front.system, roster.Config{Self: self, Seeds: config.Seeds,
		Log: front.log, Random: random(), Watcher: front.router.Share})
	if err != nil {
		return err
	}
	front.feed = feed.New(front.ctx, front.system, feed.Config{Store: platform.NewStore(config.StoreAddress, storeDial),
		Readers: front.roster, Process: self.Incarnation, Log: front.log, Prepared: front.prepare})
	if front.copies, err = copies.Serve(config.PeerAddress, front.feed); err != nil {
		return err
	}
	front.door = door.New(front.feed, front.router, front.pool, newRecorder(front.log, front.scope))
	front.callers, err = front.serve(config.CallerAddress, front.door)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if _, err = front.serve(config.ReadyAddress, http.HandlerFunc(front.answerReady)); err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	if _, err = front.serve(config.ResolveAddress, http.HandlerFunc(front.answerResolve)); err != nil {
		return errors.Wrap(err, "listen for address questions")
	}
	if _, err = front.serve(config.MetricsAddress, front.reporter.HTTPHandler()); err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	front.roster.Start()
	front.feed.Start()
	go front.clock()
	return nil
}

func (front *Front) serve(address netip.AddrPort, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headerMost, ErrorLog: log.New(front.log.WriterLevel(logrus.WarnLevel), "", 0)}
	front.servers = append(front.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			front.log.WithError(err).WithField("address", address.String()).Error("listener failed")
		}
	}()
	return server, nil
}

func (front *Front) clock() {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-front.ctx.Done():
			return
		case now := <-ticker.C:
			front.pool.Sweep(now)
			front.router.Sweep(now)
			front.measure()
		}
	}
}

// View returns what requests are routed by.
func (front *Front) View() *catalogue.View { return front.feed.View() }

// believed writes a change of what is believed of a target or a service.
func (front *Front) believed(belief choice.Belief) {
	front.log.WithFields(logrus.Fields{"subject": belief.Subject, "belief": belief.What, "factor": belief.Factor,
		"failures": belief.Failures, "silence_ms": belief.Silence.Milliseconds(), "in_vain": belief.Share,
		"targets_serial": front.feed.View().Serial}).Info("belief changed")
}

// prepare tells the others that this instance takes work, now that it has a configuration.
func (front *Front) prepare() {
	front.ready.Store(true)
	front.roster.Ready()
	front.log.WithField("version", front.feed.View().Configuration.Version).Info("ready")
}

func (front *Front) measure() {
	open, dials := front.pool.Counts()
	front.scope.Gauge("target_connections").Update(float64(open))
	front.scope.Gauge("target_dials").Update(float64(dials))
	front.scope.Gauge("store_calls").Update(float64(front.feed.Calls()))
	front.scope.Gauge("members").Update(float64(len(front.roster.Members())))
	front.scope.Gauge("running").Update(float64(front.door.Running()))
}

// Reload takes the settings that may change while the process runs: seeds, bounds and times. Others, such as
// addresses, stay until a new process takes them.
func (front *Front) Reload(changed settings.Front) {
	old := front.settings.Load()
	if fixed := changed.Fixed(*old); len(fixed) > 0 {
		front.log.WithField("fields", fixed).Warn("these settings take force with a new process only")
	}
	front.settings.Store(&changed)
	front.roster.Reseed(changed.Seeds)
	front.router.Limit(changed.Extra.Limits())
	front.log.WithFields(logrus.Fields{"seeds": changed.Seeds, "extra": changed.Extra, "grace": changed.Grace.Std().String(),
		"keep_most": changed.KeepMost.Std().String()}).Info("settings reloaded")
}

// Stop leaves the fleet, serves while callers may still hold this address, finishes what runs and closes.
func (front *Front) Stop(reason string) {
	front.log.WithField("reason", reason).Info("stopping")
	begun := time.Now()
	front.stopping.Store(true)
	front.door.Close()
	front.roster.Leave()
	grace := front.settings.Load().Grace.Std()
	keep := min(staleFactor*addressKeep, grace/2)
	time.Sleep(keep)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(grace-endMargin))
	defer cancel()
	if err := front.callers.Shutdown(ctx); err != nil {
		front.log.WithError(err).WithField("running", front.door.Running()).Warn("callers were still served at the stop")
	}
	front.close()
	front.log.Info("stopped")
}

func (front *Front) close() {
	front.cancel()
	for _, server := range front.servers {
		server.Close()
	}
	if front.copies != nil {
		front.copies.Close()
	}
	if front.roster != nil {
		front.roster.Close()
	}
	front.system.Shutdown()
	front.closer.Close()
}
