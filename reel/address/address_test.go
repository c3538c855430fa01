package address

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/member"
)

func fleet(states ...member.State) []member.Member {
	var members []member.Member
	for i, state := range states {
		members = append(members, member.Member{Name: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%3),
			Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Incarnation: 1, State: state})
	}
	return members
}

func alive(count int) []member.Member {
	states := make([]member.State, count)
	for i := range states {
		states[i] = member.Alive
	}
	return fleet(states...)
}

// assertEven checks that the load of the busiest instance is at most 1.25 times the
// mean, as the users require.
func assertEven(t *testing.T, load map[string]int, instances int) {
	t.Helper()
	total, most := 0, 0
	for _, callers := range load {
		total += callers
		most = max(most, callers)
	}
	if ratio := float64(most*instances) / float64(total); ratio > 1.25 || len(load) != instances {
		t.Fatalf("load of the busiest instance over the mean is %.2f on %d of %d instances: %v", ratio, len(load), instances, load)
	}
}

func selectAll(callers int, members []member.Member) [][]caller.Address {
	selector := New(rand.New(rand.NewPCG(1, 1)))
	var answers [][]caller.Address
	for i := range callers {
		answers = append(answers, selector.Serving(members, fmt.Sprintf("dc%d", i%3), false))
	}
	return answers
}

func TestLoadIsEvenAfterInstanceFailures(t *testing.T) {
	answers := selectAll(900, alive(9))
	load, loadAfter := map[string]int{}, map[string]int{}
	for _, addresses := range answers {
		load[addresses[0].Instance]++
		for _, address := range addresses {
			failed := address.Instance == "i0" || address.Instance == "i4" || address.Instance == "i8"
			if !failed {
				loadAfter[address.Instance]++
				break
			}
		}
	}
	assertEven(t, load, 9)
	assertEven(t, loadAfter, 6)
}

func TestLocalDataCentreComesFirstUnlessFull(t *testing.T) {
	selector := New(rand.New(rand.NewPCG(1, 1)))
	if got := selector.Serving(alive(9), "dc1", false)[0].DataCentre; got != "dc1" {
		t.Errorf("first address is in %s, want dc1", got)
	}
	if got := selector.Serving(alive(9), "dc1", true)[0].DataCentre; got == "dc1" {
		t.Errorf("first address is in %s, which is full", got)
	}
}

func TestOnlyServingInstancesAreReturned(t *testing.T) {
	members := fleet(member.Alive, member.Leaving, member.Suspect, member.Dead, member.Joining)
	got := New(rand.New(rand.NewPCG(1, 1))).Serving(members, "dc0", false)
	if len(got) != 1 || got[0].Instance != "i0" {
		t.Fatalf("got %v, want i0 only", got)
	}
	unreachable := New(rand.New(rand.NewPCG(1, 1))).Unreachable(members, "dc0")
	if len(unreachable) != 2 {
		t.Fatalf("unreachable instances are %v, want i2 and i3", unreachable)
	}
}

func BenchmarkServing(b *testing.B) {
	for _, size := range []int{9, 230, 2300} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			selector := New(rand.New(rand.NewPCG(1, 1)))
			members := alive(size)
			for b.Loop() {
				selector.Serving(members, "dc0", false)
			}
		})
	}
}
