package workingset

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/member"
)

// fleet returns serving members of one data centre with the given processor shares, in thousandths of a core.
func fleet(processors ...uint32) []member.Member {
	var members []member.Member
	for i, share := range processors {
		members = append(members, member.Member{Name: fmt.Sprint("i-", i), DataCentre: "a", State: member.Alive, Processor: share})
	}
	return members
}

// repeat returns the share as often as said.
func repeat(share uint32, count int) []uint32 {
	shares := make([]uint32, count)
	for i := range shares {
		shares[i] = share
	}
	return shares
}

func TestSize(t *testing.T) {
	mixed := append(repeat(800, 3), repeat(200, 30)...)
	for _, test := range []struct {
		name       string
		processors []uint32
		use        float64 // of the whole data centre, in thousandths of a core; announced as a level that is up to twice as high
		want       int
	}{
		{"nobody", nil, 0, 0},
		{"one", repeat(400, 1), 0, 1},
		{"a few serve all together", repeat(400, 3), 0, 3},
		{"an idle fleet grows slowly with its size", repeat(400, 36), 0, 6},
		{"an idle large fleet", repeat(400, 230), 0, 16},
		{"sizes that nobody announces", repeat(0, 36), 0, 6},
		{"much smaller instances are left out", mixed, 0, 3},
		{"the larger ones bear the load", mixed, 500, 3},
		{"smaller ones join under more load", mixed, 900, 18},
		{"more load than all should bear", mixed, 9000, 33},
		{"a loaded fleet", repeat(400, 36), 2000, 18},
	} {
		t.Run(test.name, func(t *testing.T) {
			members := fleet(test.processors...)
			if len(members) > 0 {
				members[0].Load = member.LoadOf(test.use)
			}
			if got := len(Of(members, "a")); got != test.want {
				t.Errorf("the working set has %d instances, want %d", got, test.want)
			}
		})
	}
}

func TestExpectedSize(t *testing.T) {
	members := append(fleet(repeat(400, 36)...), member.Member{Name: "other", DataCentre: "b", State: member.Joining})
	for i := range 30 {
		members[i].State = member.Joining
	}
	if got := ExpectedSize(members); got != 7 {
		t.Errorf("the expected size is %d, want 7", got)
	}
}

// TestStability draws fleets and checks that all instances compute the same set, that a set is only extended under more
// load, and that the loss of a member replaces no other one.
func TestStability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(rapid.SliceOfN(rapid.Uint32Range(100, 1000), 1, 60).Draw(t, "processors")...)
		use := rapid.Float64Range(0, 20_000).Draw(t, "use")
		members[0].Load = member.LoadOf(use)
		set := Of(members, "a")
		shuffled := rapid.Permutation(members).Draw(t, "order")
		if got := Of(shuffled, "a"); !sameNames(got, set) {
			t.Fatalf("an instance that knows the members in another order computes %v instead of %v", names(got), names(set))
		}
		members[0].Load = member.LoadOf(2 * use)
		if larger := Of(members, "a"); !sameNames(larger[:min(len(set), len(larger))], set) {
			t.Fatalf("under more load the set %v becomes %v", names(set), names(larger))
		}
		members[0].Load = member.LoadOf(use)
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		members[lost].State = member.Suspect
		for _, kept := range set {
			if kept.Name != members[lost].Name && len(Of(members, "a")) >= len(set) && !Contains(Of(members, "a"), kept.Name) {
				t.Fatalf("the loss of %s replaces %s", members[lost].Name, kept.Name)
			}
		}
	})
}

func names(members []member.Member) []string {
	var names []string
	for _, member := range members {
		names = append(names, member.Name)
	}
	return names
}

func sameNames(a, b []member.Member) bool {
	return fmt.Sprint(names(a)) == fmt.Sprint(names(b))
}

// TestBurst plays a data centre in which the load of all callers rises tenfold at once and falls again. Callers ask for
// addresses each five seconds, so that they follow the set late. The pattern: a few instances bear the usual load, the burst
// must reach more of them within a caller's five seconds, and nobody may be sent back and forth afterwards.
func TestBurst(t *testing.T) {
	const perSecond, callerTTL, requestCost = 40.0, 5, 5 * time.Millisecond
	for _, size := range []int{36, 200, 1000} {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			members := fleet(repeat(400, size)...)
			used, meters := make([]time.Duration, size), make([]*Meter, size)
			requests := make([]int64, size)
			for i := range meters {
				meters[i] = NewMeter(members[i])
			}
			followed := [callerTTL][]member.Member{} // set that each fifth of the callers knows
			announcements, largest, changes := 0, 0, 0
			now := time.Unix(1_700_000_000, 0)
			for second := range 120 {
				now = now.Add(meterInterval)
				rate := perSecond
				if second >= 30 && second < 50 {
					rate *= 10
				}
				asking := second % callerTTL
				set := Of(members, "a")
				if second > 60 && !sameNames(set, followed[asking]) {
					changes++
				}
				followed[asking] = set
				largest = max(largest, len(set))
				for _, known := range followed {
					for _, instance := range known {
						var index int
						fmt.Sscanf(instance.Name, "i-%d", &index)
						share := rate / callerTTL / float64(len(known))
						used[index] += time.Duration(share * float64(requestCost))
						requests[index] += int64(share) + 1
					}
				}
				for i := range members {
					load, changed := meters[i].Observe(now, used[i], requests[i])
					if changed {
						members[i].Load = load
						announcements++
					}
				}
			}
			bearable := rateLimit(largest)
			if bearable < 10*perSecond*requestCost.Seconds() {
				t.Errorf("at most %d instances served the burst, which bear %.2f cores, want %.2f", largest, bearable, 10*perSecond*requestCost.Seconds())
			}
			if announcements > 6*largest {
				t.Errorf("%d announcements of %d instances in two minutes", announcements, largest)
			}
			if changes > 12 {
				t.Errorf("callers were sent elsewhere %d times in the minute after the burst", changes)
			}
		})
	}
}

// rateLimit returns how many cores the number of instances of .4 cores use at most.
func rateLimit(instances int) float64 { return 0.4 * float64(instances) }

// TestMembersWithoutPath guards against callers that are sent to instances that reach no target, and against an empty working set.
func TestMembersWithoutPath(t *testing.T) {
	members := fleet(repeat(400, 4)...)
	members[1].PathLost = true
	if set := Of(members, "a"); len(set) != 3 || Contains(set, members[1].Name) {
		t.Errorf("the working set is %v, want all but the member without a path", set)
	}
	for i := range members {
		members[i].PathLost = true
	}
	if set := Of(members, "a"); len(set) == 0 {
		t.Error("the working set is empty while no member reaches a target")
	}
	members = append(members, member.Member{Name: "other", DataCentre: "b", State: member.Alive})
	if set := Of(members, "a"); len(set) != 0 {
		t.Errorf("the working set is %v while only another data centre reaches targets", set)
	}
}
