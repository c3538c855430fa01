package roster

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/replication"
)

const waitLimit = 10 * time.Second // for events that must happen

// instance is a roster on the loopback network with its tracker.
type instance struct {
	*Roster
	tracker *quarantine.Tracker
	learned atomic.Int64
}

// startInstance starts an instance that is stopped at the end of the test.
func startInstance(t *testing.T, name string, seeds ...netip.AddrPort) *instance {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	log := logrus.New()
	log.SetOutput(io.Discard)
	system := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	started := &instance{tracker: &quarantine.Tracker{}}
	for {
		address := freeAddress(t)
		self := member.Member{Name: name, DataCentre: "a", Caller: address, Peer: address, Incarnation: 1, State: member.Joining}
		listening, err := Listen(ctx, system, Config{Self: self, Seeds: seeds, Log: log,
			Random: rand.New(rand.NewPCG(1, uint64(len(name)))), Tracker: started.tracker,
			OnMark: func(quarantine.Mark, string) { started.learned.Add(1) }})
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		started.Roster = listening
		t.Cleanup(listening.Close)
		listening.Start()
		return started
	}
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return netip.MustParseAddrPort(conn.LocalAddr().String())
}

func (instance *instance) peer() netip.AddrPort { return instance.Members()[0].Peer }

func (instance *instance) lose(target string, wave uint64) {
	now := time.Now()
	instance.tracker.RecordLoss(now, 7, quarantine.Loss{Target: target, Born: 1, Wave: wave, At: now})
	instance.ReplicateMark(7)
}

func waitUntil(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not reached in time: %s", what)
		}
	}
}

// TestMarksReachPeers checks that a mark reaches the members, and one that starts after the instance that saw the crash has
// ended.
func TestMarksReachPeers(t *testing.T) {
	first := startInstance(t, "first")
	second := startInstance(t, "second", first.peer())
	waitUntil(t, "both are members", func() bool { return len(first.Members()) == 2 && len(second.Members()) == 2 })
	first.lose("a", 1)
	first.lose("b", 2)
	quarantined := func(instance *instance) func() bool {
		return func() bool { return instance.tracker.Verdict(time.Now(), 7) == quarantine.Quarantined }
	}
	waitUntil(t, "the peer knows the mark", quarantined(second))
	first.Close()
	third := startInstance(t, "third", second.Members()[1].Peer)
	waitUntil(t, "a new instance knows the mark", quarantined(third))
	waitUntil(t, "the new instance reports the mark", func() bool { return third.learned.Load() > 0 })
}

// TestDatagramsOfEarlierVersion checks that instances with and without marks understand each other's datagrams.
func TestDatagramsOfEarlierVersion(t *testing.T) {
	message := member.Message{Type: member.Ping, Seq: 5, From: member.Member{Name: "one", DataCentre: "a",
		Peer: netip.MustParseAddrPort("10.0.0.1:80"), Caller: netip.MustParseAddrPort("10.0.0.1:81")}}
	marks := replication.Message{Digest: 9, Marks: []quarantine.Mark{{Fingerprint: 7, Version: 1}}}
	data, err := datagram{message, marks}.encode()
	if err != nil {
		t.Fatal(err)
	}
	var earlier struct { // the fields that a version without marks knows
		Type member.Type   `msgpack:"t"`
		From member.Member `msgpack:"f"`
		Seq  uint64        `msgpack:"q"`
	}
	if err := msgpack.Unmarshal(data, &earlier); err != nil || earlier.Seq != 5 || earlier.From != message.From {
		t.Errorf("an earlier version reads %+v, %v", earlier, err)
	}
	if current, err := decode(data); err != nil || current.marks.Digest != 9 || len(current.marks.Marks) != 1 {
		t.Errorf("this version reads the marks %+v, %v", current.marks, err)
	}
	data, err = msgpack.Marshal(&message)
	if err != nil {
		t.Fatal(err)
	}
	if current, err := decode(data); err != nil || current.members.Seq != 5 || current.marks.Digest != 0 {
		t.Errorf("this version reads %+v, %v from an earlier one", current, err)
	}
	if _, err := decode(data[:len(data)/2]); err == nil {
		t.Error("a truncated datagram is accepted")
	}
}
