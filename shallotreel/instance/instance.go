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
	metricsInterval        = time.Second
	ticketKeySize          = 32 // bytes
	drainPollInterval      = 20 * time.Millisecond
	drainTimeout           = 30 * time.Second // limit for requests in flight to finish after the address lifetime
	defaultAddressLifetime = time.Second      // until a configuration is in force
	readHeaderTimeout      = 10 * time.Second
)

// Instance is the running instance of this process.
type Instance struct {
	settings     settings.Settings
	logger       *logrus.Logger
	log          *decision.Log
	self         member.Member
	cancel       context.CancelFunc
	system       *actor.ActorSystem
	partition    *peers.Partition
	datagrams    *peers.Datagrams
	server       *peers.Server
	network      *peers.Network
	control      *control.Control
	holding      *holding.Manager
	entry        *entry.Entry
	crashHistory *quarantine.Tracker
	http         *http.Server
	listener     net.Listener
	logs         map[string]*decision.Log
	reporter     tallyprom.Reporter
	scope        tally.Scope
	scopeCloser  io.Closer
	stopReason   chan string
}

// gcPercent is the garbage collection target (GOGC). The heap is small, so a value above the default of 100 costs
// little memory and makes collections rarer.
const gcPercent = 400

// Start listens on the addresses of the settings and starts all components. It returns an error if it cannot listen or
// serve peers.
func Start(settings settings.Settings, logger *logrus.Logger) (*Instance, error) {
	debug.SetGCPercent(gcPercent)
	ctx, cancel := context.WithCancel(context.Background())
	instance := &Instance{settings: settings, logger: logger, cancel: cancel, partition: &peers.Partition{},
		crashHistory: &quarantine.Tracker{}, stopReason: make(chan string, 1), logs: map[string]*decision.Log{}}
	instance.self = member.Member{Name: settings.Name, DataCentre: settings.DataCentre,
		Caller: settings.CallerAddress, Peer: settings.PeerAddress,
		Incarnation: uint64(time.Now().UnixMilli()), State: member.Joining}
	instance.log = instance.newLog("instance")
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

// newLog returns a new log of the named component and registers it for the status.
func (instance *Instance) newLog(name string) *decision.Log {
	log := decision.New(instance.logger, name, instance.settings.DecisionLogInterval)
	instance.logs[name] = log
	return log
}

// openMetrics creates the root scope of the metrics and their Prometheus reporter.
func (instance *Instance) openMetrics() {
	instance.reporter = tallyprom.NewReporter(tallyprom.Options{})
	instance.scope, instance.scopeCloser = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "shallotreel", CachedReporter: instance.reporter, Separator: "_",
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsInterval)
}

// open listens on the addresses, builds the components and starts to serve callers, operators and peers.
func (instance *Instance) open(ctx context.Context) error {
	var err error
	if instance.datagrams, err = peers.Listen(instance.settings.PeerAddress, instance.partition); err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", instance.settings.PeerAddress.String())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	if instance.listener, err = net.Listen("tcp", instance.settings.CallerAddress.String()); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	instance.network = peers.NewNetwork(ctx, instance.self.Name, instance, instance.partition)
	instance.buildComponents(ctx)
	instance.control.Start()
	if instance.server, err = peers.Serve(peerListener, instance); err != nil {
		return errors.Wrap(err, "serve peers")
	}
	mux := http.NewServeMux()
	if instance.settings.HasRole(settings.Entry) {
		instance.entry.RegisterHandlers(mux)
	}
	instance.registerOperatorHandlers(mux)
	instance.http = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go instance.serve()
	return nil
}

// buildComponents creates the holder, the entry and the control component. The control component applies new views of
// the fleet to those of the other two whose role the instance has.
func (instance *Instance) buildComponents(ctx context.Context) {
	key := make([]byte, ticketKeySize)
	crand.Read(key) // never returns an error
	random := rand.New(rand.NewPCG(binary.BigEndian.Uint64(key), binary.BigEndian.Uint64(key[8:])))
	machine := fleet.New(time.Now(), instance.self, instance.settings.Seeds, instance.crashHistory,
		rand.New(rand.NewPCG(random.Uint64(), random.Uint64())))
	instance.holding = holding.New(ctx, instance.system, holding.Config{Self: instance.self.Name,
		AnswerSender: instance, Broadcaster: instance, CrashHistory: instance.crashHistory, Log: instance.newLog("holder")})
	instance.entry = entry.New(ctx, entry.Config{Self: instance.self, Fleet: instance, Local: instance.holding,
		Network: instance.network, CrashHistory: instance.crashHistory, Log: instance.newLog("entry"),
		Scope: instance.scope, Random: random, Key: key})
	var listeners []control.Listener
	if instance.settings.HasRole(settings.Holder) {
		listeners = append(listeners, instance.holding)
	}
	if instance.settings.HasRole(settings.Entry) {
		listeners = append(listeners, instance.entry)
	}
	instance.control = control.New(ctx, instance.system, control.Config{
		Machine: machine, Datagrams: instance.datagrams, Network: instance.network,
		Platform: platform.NewClient(instance.settings.PlatformAddress), Log: instance.newLog("control"),
		Listeners: listeners, Ready: instance.entryReady, OnReplaced: func() { instance.requestStop("replaced by another process") },
	})
}

// entryReady reports whether the entry, if this instance has that role, can route requests.
func (instance *Instance) entryReady() bool {
	return !instance.settings.HasRole(settings.Entry) || instance.entry.Ready(time.Now())
}

// serve serves callers and operators until the HTTP server is shut down. If the server fails, it requests a stop.
func (instance *Instance) serve() {
	err := instance.http.Serve(instance.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		instance.requestStop("HTTP server for callers failed: " + err.Error())
	}
}

// requestStop sends the reason to StopRequested unless another reason is pending.
func (instance *Instance) requestStop(reason string) {
	select {
	case instance.stopReason <- reason:
	default:
	}
}

// StopRequested returns the channel that receives the reason when the instance must stop, such as a drain by an
// operator. The caller then calls Stop.
func (instance *Instance) StopRequested() <-chan string {
	return instance.stopReason
}

// Stop shuts the instance down gracefully. It announces to the fleet that the instance leaves, keeps serving until
// callers' cached addresses of it expire, waits up to drainTimeout for requests in flight and closes all connections.
func (instance *Instance) Stop(reason string) {
	instance.log.Infof("leaving: %s", reason)
	instance.entry.StartDraining()
	instance.control.Leave()
	addressLifetime := defaultAddressLifetime
	if doc := instance.control.View().Document; doc != nil {
		addressLifetime = doc.Preset().AddressKeep.Std()
	}
	time.Sleep(addressLifetime)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := instance.http.Shutdown(ctx); err != nil {
		instance.log.Warnf("HTTP server did not finish the requests in flight: %v", err)
	}
	for ctx.Err() == nil && (instance.entry.Running() > 0 || !instance.holding.Idle()) {
		time.Sleep(drainPollInterval)
	}
	instance.close()
	instance.log.Infof("stopped")
}

// close closes the listeners and stops the components that have been started.
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
	instance.scopeCloser.Close()
}

// HandleBatch passes the sub-requests and cancellations of a peer's batch to the holder and the answers to the entry.
func (instance *Instance) HandleBatch(batch peers.Batch) {
	instance.holding.Offer(batch.Subs)
	instance.entry.HandleAnswers(batch.Answers)
	for _, cancel := range batch.Cancels {
		instance.holding.Cancel(cancel.Target, cancel.Attempt)
	}
}

// Statuses returns the status of the targets as this holder sees them.
func (instance *Instance) Statuses(targets []string) []holder.Status {
	return instance.holding.Statuses(targets)
}

// Pull returns the updates that the requesting peer has not received.
func (instance *Instance) Pull(request fleet.PullRequest) fleet.PullReply {
	return instance.control.Pull(request)
}

// Record runs a record request that a peer forwards because this instance issued its ticket.
func (instance *Instance) Record(request caller.Request) caller.Answer {
	return instance.entry.Record(context.Background(), request)
}

// SendAnswer delivers an answer to the entry that sent the sub-request. It drops the answer if the entry is not a
// member of the fleet.
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

// HandleFailures passes the answers that a link generated for undelivered sub-requests to the entry.
func (instance *Instance) HandleFailures(answers []holder.Answer) {
	instance.entry.HandleAnswers(answers)
}

// HandleDisconnect ends the attempts at a holder whose connection is broken.
func (instance *Instance) HandleDisconnect(peer netip.AddrPort) {
	instance.entry.HandleDisconnect(peer)
}

// BroadcastMark sends a quarantine mark to the other instances.
func (instance *Instance) BroadcastMark(mark quarantine.Mark) { instance.control.BroadcastMark(mark) }

// BroadcastLeaving notifies the other instances that the target is leaving.
func (instance *Instance) BroadcastLeaving(target string) { instance.control.BroadcastLeaving(target) }
