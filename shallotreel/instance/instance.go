package instance

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/fleet"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/platform"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/shallotreel/control"
	"shallotreel.example/shallotreel/decision"
	"shallotreel.example/shallotreel/entry"
	"shallotreel.example/shallotreel/holding"
	"shallotreel.example/shallotreel/peers"
	"shallotreel.example/shallotreel/settings"
)

const (
	metricsPeriod = time.Second
	keySize       = 32 // bytes
	drainPoll     = 20 * time.Millisecond
	drainMost     = 30 * time.Second
	defaultKeep   = time.Second
	readTimeout   = 10 * time.Second
)

// Instance is one running process of the system.
type Instance struct {
	settings  settings.Settings
	logger    *logrus.Logger
	log       *decision.Log
	self      member.Member
	cancel    context.CancelFunc
	system    *actor.ActorSystem
	cut       *peers.Cut
	datagrams *peers.Datagrams
	server    *peers.Server
	network   *peers.Network
	control   *control.Control
	holding   *holding.Manager
	entry     *entry.Entry
	book      *quarantine.Tracker
	http      *http.Server
	listener  net.Listener
	logs      map[string]*decision.Log
	reporter  tallyprom.Reporter
	scope     tally.Scope
	closer    io.Closer
	stop      chan string
}

// gcPercent lets the heap of a small process grow further between two collections.
const gcPercent = 400

// Start opens the addresses of the settings and starts all parts.
func Start(settings settings.Settings, logger *logrus.Logger) (*Instance, error) {
	debug.SetGCPercent(gcPercent)
	ctx, cancel := context.WithCancel(context.Background())
	instance := &Instance{settings: settings, logger: logger, cancel: cancel, cut: &peers.Cut{},
		book: &quarantine.Tracker{}, stop: make(chan string, 1), logs: map[string]*decision.Log{}}
	instance.self = member.Member{Name: settings.Name, DataCentre: settings.DataCentre,
		Caller: settings.CallerAddress, Peer: settings.PeerAddress,
		Incarnation: uint64(time.Now().UnixMilli()), State: member.Joining}
	instance.log = instance.part("instance")
	instance.openMetrics()
	instance.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	if err := instance.open(ctx); err != nil {
		instance.close()
		return nil, err
	}
	instance.log.Infof("started %s in %s, callers at %v, peers at %v", settings.Name, settings.DataCentre,
		settings.CallerAddress, settings.PeerAddress)
	return instance, nil
}

func (instance *Instance) part(name string) *decision.Log {
	log := decision.New(instance.logger, name, instance.settings.DecisionLogInterval)
	instance.logs[name] = log
	return log
}

func (instance *Instance) openMetrics() {
	instance.reporter = tallyprom.NewReporter(tallyprom.Options{})
	instance.scope, instance.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "shallotreel", CachedReporter: instance.reporter, Separator: "_",
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsPeriod)
}

func (instance *Instance) open(ctx context.Context) error {
	var err error
	if instance.datagrams, err = peers.Listen(instance.settings.PeerAddress, instance.cut); err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", instance.settings.PeerAddress.String())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	if instance.listener, err = net.Listen("tcp", instance.settings.CallerAddress.String()); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	instance.network = peers.NewNetwork(ctx, instance.self.Name, instance, instance.cut)
	instance.build(ctx)
	instance.control.Start()
	if instance.server, err = peers.Serve(peerListener, instance); err != nil {
		return errors.Wrap(err, "serve peers")
	}
	mux := http.NewServeMux()
	if instance.settings.HasRole(settings.Entry) {
		instance.entry.RegisterHandlers(mux)
	}
	instance.handleOperators(mux)
	instance.http = &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout}
	go instance.serve()
	return nil
}

func (instance *Instance) build(ctx context.Context) {
	key := make([]byte, keySize)
	crand.Read(key) // does not fail
	seed := rand.New(rand.NewPCG(binary.BigEndian.Uint64(key), binary.BigEndian.Uint64(key[8:])))
	machine := fleet.New(time.Now(), instance.self, instance.settings.Seeds, instance.book,
		rand.New(rand.NewPCG(seed.Uint64(), seed.Uint64())))
	instance.holding = holding.New(ctx, instance.system, holding.Config{Self: instance.self.Name,
		AnswerSender: instance, Broadcaster: instance, CrashHistory: instance.book, Log: instance.part("holder")})
	instance.entry = entry.New(ctx, entry.Config{Self: instance.self, Fleet: instance, Local: instance.holding,
		Network: instance.network, CrashHistory: instance.book, Log: instance.part("entry"),
		Scope: instance.scope, Random: seed, Key: key})
	var listeners []control.Listener
	if instance.settings.HasRole(settings.Holder) {
		listeners = append(listeners, instance.holding)
	}
	if instance.settings.HasRole(settings.Entry) {
		listeners = append(listeners, instance.entry)
	}
	instance.control = control.New(ctx, instance.system, control.Config{
		Machine: machine, Datagrams: instance.datagrams, Network: instance.network,
		Platform: platform.NewClient(instance.settings.PlatformAddress), Log: instance.part("control"),
		Listeners: listeners, Ready: instance.prepared, OnReplaced: func() { instance.requestStop("replaced by another process") },
	})
}

// prepared reports whether the entry duty knows where to send work.
func (instance *Instance) prepared() bool {
	return !instance.settings.HasRole(settings.Entry) || instance.entry.Ready(time.Now())
}

func (instance *Instance) serve() {
	err := instance.http.Serve(instance.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		instance.requestStop("callers' listener failed: " + err.Error())
	}
}

func (instance *Instance) requestStop(reason string) {
	select {
	case instance.stop <- reason:
	default:
	}
}

// StopRequested tells when the instance itself finds that it must stop.
func (instance *Instance) StopRequested() <-chan string {
	return instance.stop
}

// Stop leaves the fleet, serves as long as callers may keep its address, finishes what runs and closes.
func (instance *Instance) Stop(reason string) {
	instance.log.Infof("leaving: %s", reason)
	instance.entry.StartDraining()
	instance.control.Leave()
	keep := defaultKeep
	if doc := instance.control.View().Document; doc != nil {
		keep = doc.Preset().AddressKeep.D()
	}
	time.Sleep(keep)
	ctx, cancel := context.WithTimeout(context.Background(), drainMost)
	defer cancel()
	if err := instance.http.Shutdown(ctx); err != nil {
		instance.log.Warnf("callers were still served at the stop: %v", err)
	}
	for ctx.Err() == nil && (instance.entry.Running() > 0 || !instance.holding.Idle()) {
		time.Sleep(drainPoll)
	}
	instance.close()
	instance.log.Infof("stopped")
}

func (instance *Instance) close() {
	instance.cancel()
	if instance.server != nil {
		instance.server.Close()
	}
	if instance.datagrams != nil {
		instance.datagrams.Close()
	}
	if instance.listener != nil {
		instance.listener.Close()
	}
	instance.system.Shutdown()
	instance.closer.Close()
}

// TakeBatch gives a peer's batch to the duties.
func (instance *Instance) TakeBatch(batch peers.Batch) {
	instance.holding.Offer(batch.Subs)
	instance.entry.HandleAnswers(batch.Answers)
	for _, cancel := range batch.Cancels {
		instance.holding.Cancel(cancel.Target, cancel.Attempt)
	}
}

// Statuses returns what this holder knows of targets.
func (instance *Instance) Statuses(targets []string) []holder.Status {
	return instance.holding.Statuses(targets)
}

// Pull answers a peer that lacks something.
func (instance *Instance) Pull(request fleet.PullRequest) fleet.PullReply {
	return instance.control.Pull(request)
}

// Record runs a request that a peer forwards, because this process owns its ticket.
func (instance *Instance) Record(request caller.Request) caller.Answer {
	return instance.entry.Record(context.Background(), request)
}

// SendAnswer brings an answer back to the entry that sent the sub-request.
func (instance *Instance) SendAnswer(entry string, answer holder.Answer) {
	if entry == instance.self.Name {
		instance.entry.HandleAnswers([]holder.Answer{answer})
		return
	}
	for _, member := range instance.control.View().Members {
		if member.Name == entry {
			instance.network.Deliver(member.Peer, peers.Batch{Answers: []holder.Answer{answer}})
			return
		}
	}
}

// Return takes answers for sub-requests that a link could not bring.
func (instance *Instance) Return(answers []holder.Answer) {
	instance.entry.HandleAnswers(answers)
}

// Lost ends what waits for a peer whose connection broke.
func (instance *Instance) Lost(peer netip.AddrPort) {
	instance.entry.HandleDisconnect(peer)
}

// BroadcastMark spreads a mark.
func (instance *Instance) BroadcastMark(mark quarantine.Mark) { instance.control.BroadcastMark(mark) }

// BroadcastLeaving spreads that a target is leaving.
func (instance *Instance) BroadcastLeaving(target string) { instance.control.BroadcastLeaving(target) }
