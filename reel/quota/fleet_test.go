package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	step        = 5 * time.Millisecond
	answerTime  = 50 * time.Millisecond
	toldBefore  = 500 * time.Millisecond // from an instance's first answer that names the rate until its requests count
	window      = 4 * time.Second
	sessionTime = 16 * time.Second
	excess      = 1.5 // allowed share of the rate
	freeCount   = 5   // requests that are allowed besides
)

var epoch = time.Unix(1_790_000_000, 0)

// instance is one sender of a simulated fleet.
type instance struct {
	name   string
	near   bool
	idle   bool
	gone   bool
	told   time.Time // when its first answer that names the rate arrives
	sees   []Member  // the members as this instance knows them
	seesAt time.Time // when it learns of the newest change
	partAt time.Time // when its part was computed, zero if the members have changed since
	bucket *Bucket
	demand float64 // requests a second that it would send
	due    float64
}

// fleet is the instances that send to one target which names a rate.
type fleet struct {
	rate      float64
	random    *rand.Rand
	instances []*instance
	counted   []time.Time // arrivals from instances that were told
	sent      int
	lag       time.Duration // until the others know of an instance that joined or left
	now       time.Time
}

func (fleet *fleet) members() []Member {
	var members []Member
	for _, instance := range fleet.instances {
		if !instance.gone {
			members = append(members, Member{Name: instance.name, Near: instance.near, Idle: instance.idle})
		}
	}
	return members
}

// join adds an instance that knows all others, of which the others learn after the lag.
func (fleet *fleet) join(near, idle bool, demand float64) {
	joined := &instance{name: fmt.Sprint("front-", len(fleet.instances)), near: near, idle: idle, demand: demand, bucket: NewBucket(1)}
	fleet.instances = append(fleet.instances, joined)
	joined.sees = fleet.members()
	fleet.changed()
}

func (fleet *fleet) changed() {
	for _, instance := range fleet.instances {
		if !instance.seesAt.IsZero() {
			continue
		}
		instance.seesAt = fleet.now.Add(time.Duration(fleet.random.Int64N(int64(fleet.lag) + 1)))
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
	if !instance.seesAt.IsZero() && !fleet.now.Before(instance.seesAt) {
		instance.sees, instance.seesAt, instance.partAt = fleet.members(), time.Time{}, time.Time{}
	}
	told := !instance.told.IsZero() && !fleet.now.Before(instance.told)
	if told && (instance.partAt.IsZero() || instance.bucket.IsStale(fleet.now, instance.partAt)) {
		instance.bucket.SetPart(fleet.now, Of(fleet.now, fleet.rate, "i-1", instance.name, instance.sees))
		instance.partAt = fleet.now
	}
	for instance.due = min(instance.due+instance.demand*step.Seconds(), 20); instance.due >= 1; instance.due-- {
		if told && instance.bucket.Wait(fleet.now) > 0 {
			return
		}
		instance.bucket.Take(fleet.now)
		fleet.sent++
		if instance.told.IsZero() {
			instance.told = fleet.now.Add(answerTime)
		}
		if told && fleet.now.Sub(instance.told) >= toldBefore {
			fleet.counted = append(fleet.counted, fleet.now)
		}
	}
}

// worstExcess returns the largest number of counted arrivals in a window beyond what is allowed, 0 if there is none.
func (fleet *fleet) worstExcess() float64 {
	worst, first := 0.0, 0
	for i, at := range fleet.counted {
		for at.Sub(fleet.counted[first]) >= window {
			first++
		}
		worst = max(worst, float64(i-first+1)-excess*fleet.rate*window.Seconds()-freeCount)
	}
	return worst
}

func newFleet(rate float64, seed uint64, lag time.Duration) *fleet {
	return &fleet{rate: rate, random: rand.New(rand.NewPCG(seed, 1)), lag: lag, now: epoch}
}

// TestRateOfAllInstances guards against a target that gets far more requests than the rate it names, each instance sending
// as many as it takes from all (the incident LIMIT). Instances join, are lost and get sudden load meanwhile.
func TestRateOfAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.OneOf(rapid.Float64Range(0, 3), rapid.Float64Range(0, 300)).Draw(t, "rate")
		fleet := newFleet(rate, rapid.Uint64().Draw(t, "seed"), time.Duration(rapid.IntRange(0, 1500).Draw(t, "lag ms"))*time.Millisecond)
		demand := func() float64 { return rapid.Float64Range(0, 60).Draw(t, "demand") }
		near := rapid.IntRange(0, 20).Draw(t, "near")
		for i := range near + rapid.IntRange(1, 20).Draw(t, "far") {
			fleet.join(i < near, false, demand())
		}
		for range rapid.IntRange(0, 60).Draw(t, "idle") {
			fleet.join(rapid.Bool().Draw(t, "near"), true, demand())
		}
		for fleet.now.Before(epoch.Add(sessionTime)) {
			fleet.run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "pause ms")) * time.Millisecond)
			chosen := fleet.instances[rapid.IntRange(0, len(fleet.instances)-1).Draw(t, "instance")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if len(fleet.instances) < 150 {
					fleet.join(chosen.near, chosen.idle, demand())
				}
			case 1:
				if chosen.gone = len(fleet.members()) > 2; chosen.gone {
					fleet.changed()
				}
			case 2:
				chosen.demand = demand()
			case 3:
				for _, instance := range fleet.instances {
					instance.demand = 100 // a burst
				}
			}
		}
		if excess := fleet.worstExcess(); excess > 0 {
			t.Fatalf("%.0f requests more than allowed in %v at %.1f a second", excess, window, rate)
		}
	})
}

// TestRateIsUsed guards against a rate that the instances divide so finely that most of it is lost: it is capacity that
// callers need.
func TestRateIsUsed(t *testing.T) {
	for _, test := range []struct {
		name            string
		rate            float64
		near, far, idle int
	}{
		{"one instance", 30, 1, 0, 0},
		{"nine instances", 30, 3, 6, 0},
		{"more instances than requests", 3, 30, 60, 0},
		{"hundreds of instances", 30, 8, 16, 171},
		{"all instances are far", 30, 0, 9, 0},
		{"one request a second", 1, 8, 16, 171},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := newFleet(test.rate, 1, 0)
			for i := range test.near + test.far + test.idle {
				fleet.join(i < test.near, i >= test.near+test.far, 100)
				fleet.instances[i].told = epoch
			}
			fleet.run(60 * time.Second)
			if got := float64(fleet.sent) / 60; got < 0.8*test.rate || got > test.rate*1.05 {
				t.Errorf("%.2f requests a second, want nearly %.0f", got, test.rate)
			}
		})
	}
}

// TestEveryInstanceHasATurn guards against an instance that never learns that the rate has ended, since it sends nothing, and
// against turns of several instances at once.
func TestEveryInstanceHasATurn(t *testing.T) {
	var members []Member
	for i := range 40 {
		members = append(members, Member{Name: fmt.Sprint("front-", i), Near: i%3 == 0, Idle: i >= 12})
	}
	for _, rate := range []float64{0, 0.5, 20} {
		turns := map[string]int{}
		now := epoch
		for turn := range 40 * len(members) {
			holders := 0
			var end time.Time
			for _, member := range members {
				part := Of(now, rate, "i-1", member.Name, members)
				end = part.turnEnd(now)
				if part.OwnTurn != 0 || part.Rate > 0 {
					turns[member.Name]++
				}
				if part.OwnTurn != 0 {
					holders++
				}
			}
			if holders > 1 {
				t.Fatalf("at %.1f a second %d instances have turn %d", rate, holders, turn)
			}
			now = end
		}
		for _, member := range members {
			if turns[member.Name] < 10 {
				t.Errorf("at %.1f a second %s has %d of %d turns", rate, member.Name, turns[member.Name], 40*len(members))
			}
		}
	}
}

// TestStrictBucket guards against a part that is saved up during a pause and spent within one second.
func TestStrictBucket(t *testing.T) {
	bucket := NewStrictBucket(1)
	bucket.SetPart(epoch, PartOf(20))
	now, sent := epoch.Add(time.Minute), 0
	for ; bucket.Wait(now) == 0; sent++ {
		bucket.Take(now)
	}
	if sent != 1 {
		t.Errorf("%d requests at once after a pause, want 1", sent)
	}
}
