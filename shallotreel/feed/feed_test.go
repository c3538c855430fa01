package feed

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/sirupsen/logrus"

	"shallotreel.example/platform"
	"shallotreel.example/platform/storetest"
	"shallotreel.example/reel/cursor"
	"shallotreel.example/shallotreel/cataloguesync"
	"shallotreel.example/shallotreel/peerrpc"
)

const waitForTimeout = 20 * time.Second // of waitFor; it only bounds a failing test

// fakePeers is a Peers whose reader a test sets; without a reader the instance reads the store.
type fakePeers struct {
	reader  atomic.Pointer[netip.AddrPort]
	serving []netip.AddrPort
}

func (fakePeers *fakePeers) Reader() (netip.AddrPort, bool) {
	if peer := fakePeers.reader.Load(); peer != nil {
		return *peer, true
	}
	return netip.AddrPort{}, false
}

func (fakePeers *fakePeers) Serving() []netip.AddrPort { return fakePeers.serving }

// instance is a Feed together with the address at which peers can query it.
type instance struct {
	*Feed
	peers   *fakePeers
	address netip.AddrPort
}

var lastIncarnation atomic.Uint64

// start starts a Feed that reads from the store and serves peers until the test ends.
func start(t *testing.T, store netip.AddrPort, peers *fakePeers) *instance {
	t.Helper()
	instance := create(t, store, peers)
	instance.Start()
	return instance
}

// create creates a Feed that serves peers until the test ends, and is not started.
func create(t *testing.T, store netip.AddrPort, peers *fakePeers) *instance {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	system := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	log := logrus.New()
	log.SetOutput(io.Discard)
	feed := New(ctx, system, Config{Store: platform.NewStore(store), Peers: peers,
		Incarnation: lastIncarnation.Add(1), Log: log, OnReady: func() {}})
	address := freeAddress(t)
	server, err := peerrpc.Serve(address, []peerrpc.Service{cataloguesync.NewService(feed)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		server.Close()
		system.Shutdown()
	})
	return &instance{feed, peers, address}
}

// TestCallsBeforeStart guards against calls of peers that come while the process starts, and end it.
func TestCallsBeforeStart(t *testing.T) {
	instance := create(t, freeAddress(t), &fakePeers{})
	reply := instance.Since(cataloguesync.Query{Leaving: []cataloguesync.Leaving{{ID: "one"}}})
	if reply.Age <= cursor.MaxAge || len(reply.Delta.Targets) > 0 {
		t.Errorf("the reply %+v passes for one of a process that has read the store", reply)
	}
	if reply := instance.Evacuations(); reply.Age <= cursor.MaxAge {
		t.Errorf("the reply %+v passes for one of a process that knows the evacuations", reply)
	}
	instance.Start()
	if reply := instance.Since(cataloguesync.Query{}); reply.Age <= cursor.MaxAge {
		t.Errorf("the reply %+v passes for one of a process that has read the store", reply)
	}
}

// freeAddress returns a local address at which no server listens.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// proxy forwards connections to the store until it is disconnected.
type proxy struct {
	mutex        sync.Mutex
	conns        []net.Conn
	disconnected bool
}

// startProxy starts a TCP proxy to the store, and returns its address.
func startProxy(t *testing.T, store netip.AddrPort) (netip.AddrPort, *proxy) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	proxy := &proxy{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.forward(conn, store)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), proxy
}

// forward copies data between the connection and the store until either side closes.
func (proxy *proxy) forward(conn net.Conn, store netip.AddrPort) {
	defer conn.Close()
	other, err := net.Dial("tcp", store.String())
	if err != nil {
		return
	}
	defer other.Close()
	if !proxy.add(conn, other) {
		return
	}
	go func() { _, _ = io.Copy(conn, other) }()
	_, _ = io.Copy(other, conn)
}

// add keeps the connections for disconnect; it reports false if that was called before.
func (proxy *proxy) add(conns ...net.Conn) bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.conns = append(proxy.conns, conns...)
	return !proxy.disconnected
}

// disconnect closes the connections and all later ones; nothing that the store writes afterwards reaches the other side.
func (proxy *proxy) disconnect() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.disconnected = true
	for _, conn := range proxy.conns {
		conn.Close()
	}
}

// reconnect lets new connections through again.
func (proxy *proxy) reconnect() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.disconnected = false
}

// waitFor polls the condition and fails the test if it does not become true.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitForTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (instance *instance) version() uint64 {
	if configuration := instance.View().Configuration; configuration != nil {
		return configuration.Version
	}
	return 0
}

func (instance *instance) targets() int { return len(instance.View().Targets("desk")) }

// startPair starts an instance that reads the store and another that reads from the first one, then disconnects the
// first one from the store.
func startPair(t *testing.T) (store *storetest.Store, reader, other *instance) {
	t.Helper()
	store = storetest.Start(t)
	store.Configure(t, 1)
	store.Register(t, storetest.Target{ID: "one", Seq: 1})
	store.Register(t, storetest.Target{ID: "two", Seq: 1})
	address, proxy := startProxy(t, store.Address())
	reader = start(t, address, &fakePeers{})
	waitFor(t, "the reader to load the catalogue", func() bool { return reader.version() == 1 && reader.targets() == 2 })
	peer := &fakePeers{}
	peer.reader.Store(&reader.address)
	other = start(t, store.Address(), peer)
	waitFor(t, "the other instance to load the catalogue", func() bool { return other.version() == 1 && other.targets() == 2 })
	proxy.disconnect()
	return store, reader, other
}

// TestReaderDisconnected checks that an instance whose reader is disconnected from the store reads changes from the
// store itself.
func TestReaderDisconnected(t *testing.T) {
	t.Run("draining target", func(t *testing.T) {
		store, reader, other := startPair(t)
		store.Register(t, storetest.Target{ID: "one", Seq: 2, Leaving: true})
		waitFor(t, "the draining target to be removed", func() bool { return other.targets() == 1 })
		if reader.targets() != 2 {
			t.Error("the reader still receives changes of the store")
		}
	})
	t.Run("removed target", func(t *testing.T) {
		store, _, other := startPair(t)
		store.Remove("two")
		waitFor(t, "the target to be removed", func() bool { return other.targets() == 1 })
	})
	t.Run("stale reply does not revert the version", func(t *testing.T) {
		store, reader, other := startPair(t)
		store.Configure(t, 2)
		waitFor(t, "the new configuration", func() bool { return other.version() == 2 })
		other.root.Send(other.pid, peerDelta{reader.Since(cataloguesync.Query{})})
		store.Register(t, storetest.Target{ID: "two", Seq: 2, Leaving: true})
		waitFor(t, "the draining target to be removed", func() bool { return other.targets() == 1 })
		if other.version() != 2 || reader.version() != 1 {
			t.Errorf("got version %d and the reader's version %d, want 2 and 1", other.version(), reader.version())
		}
	})
}

// TestStartWithoutStore checks that an instance that starts during an outage of the store loads the catalogue from a
// serving peer, and takes newer versions from the store afterwards.
func TestStartWithoutStore(t *testing.T) {
	store := storetest.Start(t)
	store.Configure(t, 3)
	store.Register(t, storetest.Target{ID: "one", Seq: 1})
	old := start(t, store.Address(), &fakePeers{})
	waitFor(t, "the first instance to load the catalogue", func() bool { return old.version() == 3 && old.targets() == 1 })
	store.SetUnavailable(true)
	late := start(t, store.Address(), &fakePeers{serving: []netip.AddrPort{freeAddress(t), old.address}})
	waitFor(t, "the second instance to load the catalogue from a peer",
		func() bool { return late.version() == 3 && late.targets() == 1 })
	store.Configure(t, 4)
	store.SetUnavailable(false)
	waitFor(t, "the new configuration from the store", func() bool { return late.version() == 4 })
}

// TestStartWithHangingStore checks that an instance whose first call to the store hangs loads the catalogue from an
// up-to-date peer at once, instead of waiting for the call to time out.
func TestStartWithHangingStore(t *testing.T) {
	store := storetest.Start(t)
	store.Configure(t, 3)
	store.Register(t, storetest.Target{ID: "one", Seq: 1})
	old := start(t, store.Address(), &fakePeers{})
	waitFor(t, "the peer to load the catalogue", func() bool { return old.version() == 3 && old.targets() == 1 })
	waitFor(t, "the peer's catalogue to be recent", func() bool { return old.age() < cursor.MaxAge })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var closed atomic.Bool // whether the instance closed its connection to the store
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, conn) // ends when the caller closes
		closed.Store(true)
	}()
	late := start(t, netip.MustParseAddrPort(listener.Addr().String()), &fakePeers{serving: []netip.AddrPort{old.address}})
	waitFor(t, "the instance to load the catalogue from a peer",
		func() bool { return late.version() == 3 && late.targets() == 1 })
	if closed.Load() {
		t.Error("the catalogue was loaded only after the call to the store had ended")
	}
}
