package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/catalogue"
)

const (
	step        = 5 * time.Millisecond
	window      = time.Second
	sessionTime = 25 * time.Second
	excess      = 1.5 // allowed share of the rate
	freeCount   = 5   // requests that are allowed besides
	coldTime    = time.Hour
)

var epoch = time.Unix(1_790_000_000, 0)

// instance is one sender of a simulated fleet. It knows the others by messages that take some time or, across a cut, are lost.
type instance struct {
	name     string
	centre   string
	side     int // of the cut
	idle     bool
	gone     bool
	skew     time.Duration // of its clock
	demand   float64       // requests a second that it would send
	due      float64
	senders  *Senders
	tracker  *Tracker
	seesAt   time.Time // when it learns of the newest change
	isListed bool      // whether it got a list of the members
	told     []string  // names on the list
}

// fleet is the instances that send to one cold target.
type fleet struct {
	rate      float64
	random    *rand.Rand
	instances []*instance
	arrivals  []time.Time
	lag       time.Duration // until the others know of a change of the members
	cut       bool
	now       time.Time
}

// join adds an instance, which knows the others after the lag unless it gets no list.
func (fleet *fleet) join(centre string, side int, idle, listed bool, demand float64) {
	joined := &instance{name: fmt.Sprint("front-", len(fleet.instances)), centre: centre, side: side, idle: idle, demand: demand,
		skew: time.Duration(fleet.random.Int64N(int64(200*time.Millisecond))) - 100*time.Millisecond}
	joined.senders = NewSenders(Member{Name: joined.name, DataCentre: centre})
	joined.tracker = New(joined.senders)
	fleet.instances = append(fleet.instances, joined)
	joined.senders.Update(joined.clock(fleet.now), []Member{joined.member()})
	if listed {
		fleet.list(joined)
	}
	fleet.changed()
}

// list tells the instance what one on its side knows, also of lost ones. Without such an instance it gets no list, unless it is the
// first of all.
func (fleet *fleet) list(joined *instance) {
	for _, peer := range fleet.instances {
		if peer != joined && !peer.gone && peer.isListed && (!fleet.cut || peer.side == joined.side) {
			for name := range peer.senders.known {
				joined.told = append(joined.told, name)
			}
			joined.isListed = true
			break
		}
	}
	if !joined.isListed && len(fleet.instances) > 1 {
		return
	}
	joined.isListed = true
	joined.senders.Update(joined.clock(fleet.now), fleet.members(joined))
	joined.senders.Complete(joined.clock(fleet.now))
}

func (instance *instance) clock(now time.Time) time.Time { return now.Add(instance.skew) }

func (instance *instance) member() Member {
	return Member{Name: instance.name, DataCentre: instance.centre, Idle: instance.idle}
}

// members returns the members as the instance would know them now.
func (fleet *fleet) members(viewer *instance) []Member {
	var members []Member
	for _, other := range fleet.instances {
		member := other.member()
		member.Lost = other.gone || fleet.cut && other.side != viewer.side
		_, known := viewer.senders.known[other.name]
		if known || !member.Lost || slices.Contains(viewer.told, other.name) {
			members = append(members, member)
		}
	}
	return members
}

func (fleet *fleet) changed() {
	for _, instance := range fleet.instances {
		if instance.seesAt.IsZero() {
			instance.seesAt = fleet.now.Add(time.Duration(fleet.random.Int64N(int64(fleet.lag) + 1)))
		}
	}
}

// run lets the time pass in steps, in which each instance sends what it would and may send.
func (fleet *fleet) run(duration time.Duration) {
	for end := fleet.now.Add(duration); fleet.now.Before(end); fleet.now = fleet.now.Add(step) {
		for _, instance := range fleet.instances {
			if !instance.gone {
				fleet.send(instance)
			}
		}
	}
}

func (fleet *fleet) send(instance *instance) {
	now := instance.clock(fleet.now)
	if !instance.seesAt.IsZero() && !fleet.now.Before(instance.seesAt) {
		instance.seesAt = time.Time{}
		instance.senders.Update(now, fleet.members(instance))
	}
	target := catalogue.Target{ID: "i-1", DataCentre: "a", Born: 1, ColdLeft: coldTime, ColdAt: epoch}
	service := catalogue.Service{WarmUp: coldTime, ColdRate: fleet.rate}
	for instance.due = min(instance.due+instance.demand*step.Seconds(), 20); instance.due >= 1; instance.due-- {
		if instance.tracker.Load(now, target, service).Wait > 0 {
			return
		}
		instance.tracker.Take(now, target.ID)
		fleet.arrivals = append(fleet.arrivals, fleet.now)
	}
}

// swapIdle makes the idle instances of the data centre those that serve callers.
func (fleet *fleet) swapIdle(centre string) {
	for _, instance := range fleet.instances {
		if instance.centre == centre {
			instance.idle = !instance.idle
		}
	}
}

// pause lets some time pass without demand, in which the instances save up what they can.
func (fleet *fleet) pause() {
	demands := make([]float64, len(fleet.instances))
	for i, instance := range fleet.instances {
		demands[i], instance.demand, instance.due = instance.demand, 0, 0
	}
	fleet.run(2 * time.Second)
	for i, instance := range fleet.instances {
		instance.demand, instance.due = demands[i], 20
	}
}

// worstExcess returns the largest number of arrivals in a window beyond what is allowed, at most 0 if there is none.
func (fleet *fleet) worstExcess() float64 {
	worst, first := -freeCount-excess*fleet.rate, 0
	for i, at := range fleet.arrivals {
		for at.Sub(fleet.arrivals[first]) >= window {
			first++
		}
		worst = max(worst, float64(i-first+1)-excess*fleet.rate-freeCount)
	}
	return worst
}

func newFleet(rate float64, seed uint64, lag time.Duration) *fleet {
	return &fleet{rate: rate, random: rand.New(rand.NewPCG(seed, 1)), lag: lag, now: epoch}
}

// TestColdRateOfAllInstances guards against a cold target that crashes under the requests of all instances together. They join,
// are lost, begin to serve callers, start without a list of the members, and are cut into two sides; their clocks differ.
func TestColdRateOfAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(5, 100).Draw(t, "rate")
		fleet := newFleet(rate, rapid.Uint64().Draw(t, "seed"), time.Duration(rapid.IntRange(0, 2500).Draw(t, "lag ms"))*time.Millisecond)
		centres := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}[:rapid.IntRange(1, 10).Draw(t, "data centres")]
		add := func(listed bool) {
			side := rapid.IntRange(0, 1).Draw(t, "side")
			fleet.join(rapid.SampledFrom(centres).Draw(t, "centre"), side, rapid.IntRange(0, 3).Draw(t, "idle") == 0, listed, 200)
		}
		for range rapid.IntRange(1, 40).Draw(t, "instances") {
			add(true)
		}
		for fleet.now.Before(epoch.Add(sessionTime)) {
			fleet.run(time.Duration(rapid.IntRange(100, 5000).Draw(t, "pause ms")) * time.Millisecond)
			chosen := fleet.instances[rapid.IntRange(0, len(fleet.instances)-1).Draw(t, "instance")]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				add(true)
			case 1:
				add(false)
			case 2:
				chosen.gone = true
			case 3:
				fleet.swapIdle(chosen.centre)
			case 4:
				fleet.cut = !fleet.cut
				if fleet.cut {
					fleet.swapIdle(chosen.centre) // each side lets others serve for those it has lost
				}
			case 5:
				fleet.pause()
			}
			fleet.changed()
		}
		if excess := fleet.worstExcess(); excess > 0 {
			t.Fatalf("%.0f requests more than allowed in %v at %.1f a second", excess, window, rate)
		}
	})
}

// TestColdRateIsUsed guards against a rate that is divided among instances that cannot use it: the configured rate is capacity
// that callers need while all targets are cold.
func TestColdRateIsUsed(t *testing.T) {
	for _, test := range []struct {
		name          string
		rate          float64
		centres       int
		busy, idle    int // in each data centre
		listed        bool
		known         time.Duration // for which the instances have known each other
		cut           bool
		least, atMost float64 // share of the rate
	}{
		{"one instance", 20, 1, 1, 0, true, 10 * time.Second, false, 0.95, 1.1},
		{"nine instances", 20, 3, 3, 0, true, 10 * time.Second, false, 0.95, 1.1},
		{"more instances than requests", 5, 10, 16, 50, true, 10 * time.Second, false, 0.95, 1.1},
		{"a side of a cut uses its part only", 20, 1, 4, 4, true, 10 * time.Second, true, 0.2, 0.8},
		{"instances that do not know whether there are others", 20, 1, 3, 0, false, 10 * time.Second, false, 0, 0},
		{"instances that the others may not know yet", 20, 1, 3, 0, true, 0, false, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := newFleet(test.rate, 1, 0)
			for i := range test.centres * (test.busy + test.idle) {
				fleet.join(string(rune('a'+i%test.centres)), i/test.centres%2, i >= test.centres*test.busy, test.listed, 100)
			}
			if test.cut {
				fleet.cut = true
				fleet.changed()
				for _, instance := range fleet.instances {
					instance.demand *= float64(instance.side)
				}
			}
			fleet.run(test.known)
			fleet.arrivals = nil
			const measured = 2 * time.Second
			fleet.run(measured)
			got := float64(len(fleet.arrivals)) / measured.Seconds() / test.rate
			if got < test.least || got > test.atMost {
				t.Errorf("%.2f of the rate are used, want %.2f to %.2f", got, test.least, test.atMost)
			}
		})
	}
}
