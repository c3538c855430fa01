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

// assertEven asserts the bound that the users name: the busiest at most 1.25 times the mean.
func assertEven(t *testing.T, load map[string]int, instances int) {
	t.Helper()
	total, most := 0, 0
	for _, callers := range load {
		total += callers
		most = max(most, callers)
	}
	if ratio := float64(most*instances) / float64(total); ratio > 1.25 || len(load) != instances {
		t.Fatalf("busiest over mean is %.2f on %d of %d instances: %v", ratio, len(load), instances, load)
	}
}

func hand(callers int, members []member.Member) [][]caller.Address {
	book := New(rand.New(rand.NewPCG(1, 1)))
	var answers [][]caller.Address
	for i := range callers {
		answers = append(answers, book.Order(members, fmt.Sprintf("dc%d", i%3), false))
	}
	return answers
}

func TestLoadIsEvenAlsoAfterALoss(t *testing.T) {
	answers := hand(900, alive(9))
	load, after := map[string]int{}, map[string]int{}
	for _, addresses := range answers {
		load[addresses[0].Instance]++
		for _, address := range addresses {
			lost := address.Instance == "i0" || address.Instance == "i4" || address.Instance == "i8"
			if !lost {
				after[address.Instance]++
				break
			}
		}
	}
	assertEven(t, load, 9)
	assertEven(t, after, 6)
}

func TestOwnDataCentreComesFirstUnlessItIsFull(t *testing.T) {
	book := New(rand.New(rand.NewPCG(1, 1)))
	if got := book.Order(alive(9), "dc1", false)[0].DataCentre; got != "dc1" {
		t.Errorf("first address is in %s", got)
	}
	if got := book.Order(alive(9), "dc1", true)[0].DataCentre; got == "dc1" {
		t.Errorf("first address of a full data centre is in %s", got)
	}
}

func TestOnlyInstancesThatServeAreNamed(t *testing.T) {
	members := fleet(member.Alive, member.Leaving, member.Suspect, member.Dead, member.Joining)
	got := New(rand.New(rand.NewPCG(1, 1))).Order(members, "dc0", false)
	if len(got) != 1 || got[0].Instance != "i0" {
		t.Fatalf("named %v", got)
	}
	beyond := New(rand.New(rand.NewPCG(1, 1))).Beyond(members, "dc0")
	if len(beyond) != 2 {
		t.Fatalf("an isolated instance named %v", beyond)
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, size := range []int{9, 230, 2300} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			book := New(rand.New(rand.NewPCG(1, 1)))
			members := alive(size)
			for b.Loop() {
				book.Order(members, "dc0", false)
			}
		})
	}
}
