package helper

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotreel.example/reel/member"
	"shallotreel.example/reel/workingset"
)

const (
	// maxNear and maxFar are the numbers of candidates in the own data centre and in all others. The far ones are asked only while
	// the near ones cannot help, since a data centre often loses its path as a whole.
	maxNear = 3
	maxFar  = 3
	// minBackoff is the time for which a candidate is avoided after a failure; it doubles, up to maxBackoff, with each
	// further one.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// Helper is an instance that may serve requests of this one.
type Helper struct {
	Name string
	Peer netip.AddrPort
	Near bool // whether it is in the own data centre
}

// Selector keeps the candidates of one instance. It is not safe for concurrent use.
type Selector struct {
	self       member.Member
	members    []member.Member // from which the candidates are still to be selected, nil once they are
	candidates []Helper        // best first
	states     map[string]*state
}

// state is what this instance knows of a candidate by its own requests.
type state struct {
	running    int
	backoff    time.Duration // after the newest failure, 0 since the newest answer
	avoidUntil time.Time
}

// New returns a Selector for the instance, without candidates.
func New(self member.Member) *Selector {
	return &Selector{self: self, states: map[string]*state{}}
}

// SetMembers sets the members of the fleet. The caller must not modify the slice.
func (selector *Selector) SetMembers(members []member.Member) { selector.members = members }

// selectCandidates selects members of the working sets that reach targets.
func (selector *Selector) selectCandidates() {
	if selector.members == nil {
		return
	}
	var near, far []member.Member
	for dataCentre, set := range workingset.All(selector.members) {
		for _, candidate := range set {
			switch {
			case candidate.Name == selector.self.Name || !candidate.Reaches():
			case dataCentre == selector.self.DataCentre:
				near = append(near, candidate)
			default:
				far = append(far, candidate)
			}
		}
	}
	selector.sort(near)
	selector.sort(far)
	selector.members, selector.candidates = nil, selector.candidates[:0]
	for _, candidate := range near[:min(len(near), maxNear)] {
		selector.candidates = append(selector.candidates, Helper{candidate.Name, candidate.Peer, true})
	}
	for _, candidate := range far[:min(len(far), maxFar)] {
		selector.candidates = append(selector.candidates, Helper{candidate.Name, candidate.Peer, false})
	}
	for name, state := range selector.states {
		if state.running == 0 && !selector.isCandidate(name) {
			delete(selector.states, name)
		}
	}
}

// sort sorts the members by rendezvous hashing, so that each instance has another order.
func (selector *Selector) sort(members []member.Member) {
	rank := func(candidate member.Member) uint64 {
		return xxhash.Sum64String(selector.self.Name + "\x00" + candidate.Name)
	}
	slices.SortFunc(members, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
	})
}

func (selector *Selector) isCandidate(name string) bool {
	return slices.ContainsFunc(selector.candidates, func(candidate Helper) bool { return candidate.Name == name })
}

// Begin selects the helper of a request, other than those that it has tried, and counts the request as running there. It reports
// false if there is none. A candidate that failed lately is selected only if there is no other.
func (selector *Selector) Begin(now time.Time, tried []string) (Helper, bool) {
	selector.selectCandidates()
	best := -1
	for i, candidate := range selector.candidates {
		if slices.Contains(tried, candidate.Name) {
			continue
		}
		if best < 0 || selector.isBetter(now, candidate, selector.candidates[best]) {
			best = i
		}
	}
	if best < 0 {
		return Helper{}, false
	}
	selector.state(selector.candidates[best].Name).running++
	return selector.candidates[best], true
}

// isBetter reports whether the candidate goes before the other one: those that did not fail lately, then near ones, then those at
// which fewer requests are running.
func (selector *Selector) isBetter(now time.Time, candidate, other Helper) bool {
	state, otherState := selector.state(candidate.Name), selector.state(other.Name)
	if avoid, avoidOther := now.Before(state.avoidUntil), now.Before(otherState.avoidUntil); avoid != avoidOther {
		return avoidOther
	}
	if candidate.Near != other.Near {
		return candidate.Near
	}
	return state.running < otherState.running
}

// End records the end of a request at the helper, and whether it gave an answer.
func (selector *Selector) End(now time.Time, name string, answered bool) {
	state := selector.state(name)
	state.running--
	if answered {
		state.backoff, state.avoidUntil = 0, time.Time{}
		return
	}
	if now.Before(state.avoidUntil) {
		return // requests that ran at the same time fail for the same reason
	}
	state.backoff = min(max(2*state.backoff, minBackoff), maxBackoff)
	state.avoidUntil = now.Add(state.backoff)
}

func (selector *Selector) state(name string) *state {
	known, ok := selector.states[name]
	if !ok {
		known = &state{}
		selector.states[name] = known
	}
	return known
}
