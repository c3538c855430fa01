package address

import (
	"math/rand/v2"
	"slices"

	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/member"
)

// maxAddresses is the maximum number of addresses in one answer.
const maxAddresses = 9

// Selector selects the addresses of instances round-robin, separately for each data
// centre of the callers. Use New to create one.
type Selector struct {
	random *rand.Rand
	next   map[string]int // round-robin position by data centre of the caller
}

// New returns a selector that starts at a random position in each data centre.
func New(random *rand.Rand) *Selector {
	return &Selector{random: random, next: map[string]int{}}
}

// Serving returns addresses of instances that accept requests. Those in the caller's
// data centre come first, unless full is set: then they come last.
func (selector *Selector) Serving(members []member.Member, dataCentre string, full bool) []caller.Address {
	near, far := partition(members, dataCentre, func(candidate *member.Member) bool {
		return candidate.State.Serves() && candidate.Incarnation != 0
	})
	if full || len(near) == 0 {
		near, far = far, near
	}
	return selector.order(dataCentre, near, far)
}

// Unreachable returns addresses of suspect and dead instances. An isolated instance
// returns them to callers, since they may be reachable from there.
func (selector *Selector) Unreachable(members []member.Member, dataCentre string) []caller.Address {
	near, far := partition(members, dataCentre, func(candidate *member.Member) bool {
		return candidate.State == member.Suspect || candidate.State == member.Dead
	})
	return selector.order(dataCentre, near, far)
}

func partition(members []member.Member, dataCentre string, match func(*member.Member) bool) (near, far []*member.Member) {
	for i := range members {
		member := &members[i]
		switch {
		case !match(member):
		case member.DataCentre == dataCentre:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	return near, far
}

// order returns the next of the first members round-robin, then the other first members in
// random order, and then the second members in the same way.
func (selector *Selector) order(dataCentre string, first, second []*member.Member) []caller.Address {
	addresses := make([]caller.Address, 0, maxAddresses)
	for _, members := range [][]*member.Member{first, second} {
		for _, index := range selector.sample(dataCentre, len(members), maxAddresses-len(addresses)) {
			addresses = append(addresses, caller.Address{Instance: members[index].Name,
				Address: members[index].Caller, DataCentre: members[index].DataCentre})
		}
	}
	return addresses
}

// sample returns up to n different indices below size. The first is the next one
// round-robin. The others are random, so that the callers of a failed instance spread
// evenly over the remaining ones.
func (selector *Selector) sample(dataCentre string, size, n int) []int {
	if size == 0 || n <= 0 {
		return nil
	}
	if _, known := selector.next[dataCentre]; !known {
		selector.next[dataCentre] = selector.random.IntN(size)
	}
	indices := []int{selector.next[dataCentre] % size}
	selector.next[dataCentre]++
	for len(indices) < min(n, size) {
		if index := selector.random.IntN(size); !slices.Contains(indices, index) {
			indices = append(indices, index)
		}
	}
	return indices
}
