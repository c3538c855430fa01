package reach

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/virtualtime"
)

const (
	ms        = time.Millisecond
	tick      = 50 * ms
	suspicion = 80 * ms
	roundTrip = 2 * ms
	timeout   = 100 * ms // of a probe
)

// network is what a simulated instance can reach.
type network struct {
	clock   virtualtime.Clock
	monitor *Monitor
	cut     bool // no target can be reached
	refuse  bool // open connections go on, new ones are refused
	dead    map[int]bool
	targets int
	nextID  uint64
	random  *rand.Rand
	changes []Change
}

func newNetwork(targets int) *network {
	network := &network{targets: targets, random: rand.New(rand.NewPCG(1, 2)), dead: map[int]bool{}}
	network.clock.Now = time.Unix(1_700_000_000, 0)
	network.monitor = New(network.clock.Now)
	network.clock.Schedule(tick, network.tick)
	return network
}

func address(target int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(target)}), 80)
}

func (network *network) tick() {
	network.clock.Schedule(tick, network.tick)
	round, due := network.monitor.Tick(network.clock.Now)
	if !due {
		return
	}
	targets := round.Targets
	for len(targets) < min(round.Count, network.targets) {
		if target := address(network.random.IntN(network.targets)); !slices.Contains(targets, target) {
			targets = append(targets, target)
		}
	}
	accepted, failed, took := 0, 0, roundTrip
	for _, target := range targets {
		switch {
		case network.cut || network.dead[int(target.Addr().As4()[3])]:
			failed, took = failed+1, timeout
		case network.refuse:
			failed++
		default:
			accepted++
		}
	}
	network.clock.Schedule(took, func() {
		if change, changed := network.monitor.RoundEnded(network.clock.Now, accepted, failed); changed {
			network.changes = append(network.changes, change)
		}
	})
}

// send sends an attempt to the target, on an open connection or on a new one, which is answered after latency.
func (network *network) send(target int, onNew bool, latency time.Duration) {
	network.nextID++
	id := network.nextID
	now := network.clock.Now
	network.monitor.Sent(now, id, suspicion)
	if onNew && network.refuse {
		network.monitor.Failed(now, id, address(target), false)
		return
	}
	network.clock.Schedule(latency, func() {
		if !network.cut && !network.dead[target] {
			network.monitor.Answered(network.clock.Now, id, address(target))
		}
	})
	network.clock.Schedule(600*ms, func() { network.monitor.Abandoned(network.clock.Now, id, address(target)) })
}

// load sends an attempt each period to the targets in turn.
func (network *network) load(period, duration time.Duration) {
	for at := period; at <= duration; at += period {
		network.clock.Schedule(at, func() { network.send(network.random.IntN(network.targets), network.random.IntN(4) == 0, 20*ms) })
	}
	network.clock.Run(duration)
}

func assertLost(t *testing.T, network *network, want bool) {
	t.Helper()
	if network.monitor.Lost() != want {
		t.Fatalf("lost is %v, want %v; changes: %+v", network.monitor.Lost(), want, network.changes)
	}
}

// TestLostPathIsFound guards against instances that go on sending to targets of which they reach none.
func TestLostPathIsFound(t *testing.T) {
	for _, period := range []time.Duration{5 * ms, 200 * ms} {
		for name, cut := range map[string]func(*network, bool){
			"hanging":                  func(network *network, on bool) { network.cut = on },
			"new connections refused":  func(network *network, on bool) { network.refuse = on },
			"hanging, some dead ones":  func(network *network, on bool) { network.cut = on; network.dead[1] = true },
			"refusing, some dead ones": func(network *network, on bool) { network.refuse = on; network.dead[1] = true },
		} {
			t.Run(name+" "+period.String(), func(t *testing.T) {
				network := newNetwork(20)
				network.load(period, time.Second)
				assertLost(t, network, false)
				cut(network, true)
				network.load(period, 4*time.Second) // the time within which such an instance may fail its callers
				assertLost(t, network, true)
				cut(network, false)
				network.load(period, time.Second)
				assertLost(t, network, false)
			})
		}
	}
}

// TestSickTargetsAreNoLostPath guards against instances that take dead targets, pauses of all targets or of their own process for
// a lost path.
func TestSickTargetsAreNoLostPath(t *testing.T) {
	for _, period := range []time.Duration{10 * ms, 200 * ms} {
		t.Run("two thirds of the targets dead "+period.String(), func(t *testing.T) {
			network := newNetwork(30)
			network.load(period, time.Second)
			for target := range 20 {
				network.dead[target] = true
			}
			network.load(period, 4*time.Second)
			if len(network.changes) > 0 {
				t.Errorf("the path is found to be lost: %+v", network.changes)
			}
		})
	}
	t.Run("all targets dead but one", func(t *testing.T) {
		network := newNetwork(20)
		for target := range 19 {
			network.dead[target] = true
		}
		network.load(10*ms, 2*time.Second)
		network.dead = map[int]bool{}
		network.load(10*ms, time.Second)
		assertLost(t, network, false)
	})
	t.Run("all targets slow", func(t *testing.T) {
		network := newNetwork(20)
		for at := time.Duration(0); at < 2*time.Second; at += 10 * ms {
			network.clock.Schedule(at, func() { network.send(int(network.nextID)%20, false, 500*ms) })
		}
		network.clock.Run(3 * time.Second)
		assertLost(t, network, false)
	})
	t.Run("this process paused", func(t *testing.T) {
		network := newNetwork(20)
		network.load(10*ms, time.Second)
		for target := range 10 {
			network.send(target, false, 20*ms)
		}
		network.clock.Now = network.clock.Now.Add(3 * time.Second) // nothing runs meanwhile
		if _, due := network.monitor.Tick(network.clock.Now); due {
			t.Error("a round of probes is due after a pause of this process")
		}
	})
}

// TestReturnWithoutHelper guards against an instance that refuses callers for longer than it must after the path is back, while no other
// instance serves them.
func TestReturnWithoutHelper(t *testing.T) {
	network := newNetwork(20)
	network.load(20*ms, time.Second)
	network.cut = true
	network.load(20*ms, time.Second)
	assertLost(t, network, true)
	network.monitor.NoHelper()
	network.cut = false
	network.load(20*ms, returnPeriod+timeout+tick)
	assertLost(t, network, false)
}

// TestReturnOfFlappingPath guards against an instance that is used at each return of a path that never lasts.
func TestReturnOfFlappingPath(t *testing.T) {
	network := newNetwork(20)
	for range 20 {
		network.cut = true
		network.load(20*ms, time.Second)
		network.cut = false
		network.load(20*ms, 800*ms)
	}
	if len(network.changes) > 12 {
		t.Errorf("%d changes in 20 short cuts; the path should be used less and less often", len(network.changes))
	}
	network.load(20*ms, maxReturnRounds*2*returnPeriod)
	assertLost(t, network, false)
}

// TestDrawnCuts draws cuts of any kind, length and number beside dead targets: each cut that lasts is found, and after the last one
// the path is back.
func TestDrawnCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		network := newNetwork(rapid.IntRange(4, 60).Draw(t, "targets"))
		period := time.Duration(rapid.IntRange(10, 200).Draw(t, "period")) * ms
		for range rapid.IntRange(1, 4).Draw(t, "cuts") {
			network.load(period, time.Duration(rapid.IntRange(0, 3000).Draw(t, "calm"))*ms)
			hangs := rapid.Bool().Draw(t, "hangs")
			network.cut, network.refuse = hangs, !hangs
			length := time.Duration(rapid.IntRange(0, 8000).Draw(t, "length")) * ms
			network.load(period, length)
			if length >= 4*time.Second && !network.monitor.Lost() {
				t.Fatalf("a cut of %v is not found, hangs: %v, changes: %+v", length, hangs, network.changes)
			}
			network.cut, network.refuse = false, false
		}
		network.load(period, maxReturnRounds*2*returnPeriod)
		if network.monitor.Lost() {
			t.Fatalf("the path is still lost long after the last cut; changes: %+v", network.changes)
		}
	})
}
