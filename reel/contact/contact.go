package contact

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxVoters bounds the number of listed instances whose beats and votes count.
	MaxVoters = 15
	// Silence is how long an instance serves without hearing the platform or a majority.
	Silence = 1500 * time.Millisecond
	// PauseGap is the time between two ticks that proves a pause of the process.
	PauseGap = time.Second
	// settleTerm is how long packets that may have waited in a buffer are ignored after a pause.
	settleTerm = 250 * time.Millisecond
	beatPeriod = 250 * time.Millisecond
)

// Standing says whether an instance may take new work.
type Standing int

// Standings of an instance.
const (
	Waiting Standing = iota // has not heard enough since its start
	Good
	Isolated
	Paused
	Undecided // holds a switch of preset that a majority is not known to hold
)

// String returns the standing's name.
func (standing Standing) String() string {
	return [...]string{"waiting", "good", "isolated", "paused", "undecided"}[standing]
}

// Beats carries the voters' counters under one version of the instance list.
type Beats struct {
	List   uint64        `msgpack:"l"`
	Counts []uint32      `msgpack:"c,omitempty"`
	Age    time.Duration `msgpack:"a"` // since somebody heard the platform, negative if never
}

// Machine counts the voters' beats and the platform's answers; New makes one.
type Machine struct {
	self     string
	list     uint64
	voters   []string
	counts   []uint32
	heard    []time.Time
	platform time.Time
	started  bool
	paused   bool
	settled  time.Time
	seen     time.Time
	beatAt   time.Time
}

// New returns the machine of the named instance.
func New(self string) *Machine {
	return &Machine{self: self}
}

// Elect takes the platform's list and ranks its voters, alike on every instance.
func (machine *Machine) Elect(list uint64, names []string) {
	if list == machine.list {
		return
	}
	counts, heard := map[string]uint32{}, map[string]time.Time{}
	for i, voter := range machine.voters {
		counts[voter], heard[voter] = machine.counts[i], machine.heard[i]
	}
	machine.list = list
	machine.voters = rank(names)
	machine.counts = make([]uint32, len(machine.voters))
	machine.heard = make([]time.Time, len(machine.voters))
	for i, voter := range machine.voters {
		machine.counts[i], machine.heard[i] = counts[voter], heard[voter]
	}
}

// Voter returns this instance's place among the voters, or -1.
func (machine *Machine) Voter() int {
	return slices.Index(machine.voters, machine.self)
}

// Voters returns the names of the voters in their order.
func (machine *Machine) Voters() []string {
	return machine.voters
}

// List returns the version of the list that the voters come from.
func (machine *Machine) List() uint64 {
	return machine.list
}

// Majority returns how many voters are more than half.
func (machine *Machine) Majority() int {
	return len(machine.voters)/2 + 1
}

// Empty reports whether no list has named a voter yet.
func (machine *Machine) Empty() bool {
	return len(machine.voters) == 0
}

// HeardPlatform records an answer of the platform to this instance.
func (machine *Machine) HeardPlatform(now time.Time) {
	machine.platform = now
}

// Heard takes a peer's beats; it reports whether the packet is fresh enough to be used at all.
func (machine *Machine) Heard(now time.Time, beats Beats) bool {
	if machine.Stale(now) {
		return false
	}
	if beats.Age >= 0 {
		if at := now.Add(-beats.Age); at.After(machine.platform) {
			machine.platform = at
		}
	}
	if beats.List != machine.list || len(beats.Counts) != len(machine.counts) {
		return true
	}
	for i, count := range beats.Counts {
		if count > machine.counts[i] {
			machine.counts[i] = count
			machine.heard[i] = now
		}
	}
	return true
}

// Stale reports whether the process has just woken and what it reads may be old.
func (machine *Machine) Stale(now time.Time) bool {
	gap := !machine.seen.IsZero() && now.Sub(machine.seen) > PauseGap
	return gap || now.Before(machine.settled)
}

// Tick lets time pass and reports whether the process was paused since the last tick.
func (machine *Machine) Tick(now time.Time) bool {
	paused := !machine.seen.IsZero() && now.Sub(machine.seen) > PauseGap
	machine.seen = now
	if paused {
		machine.forget(now)
	}
	if own := machine.Voter(); own >= 0 && now.Sub(machine.beatAt) >= beatPeriod {
		machine.beatAt = now
		machine.counts[own] = max(machine.counts[own]+1, uint32(now.Unix()))
		machine.heard[own] = now
	}
	return paused
}

// Beats returns what to tell peers.
func (machine *Machine) Beats(now time.Time) Beats {
	age := time.Duration(-1)
	if !machine.platform.IsZero() {
		age = now.Sub(machine.platform)
	}
	return Beats{List: machine.list, Counts: slices.Clone(machine.counts), Age: age}
}

// Standing judges whether the instance may take new work now.
func (machine *Machine) Standing(now time.Time) Standing {
	if machine.Stale(now) {
		return Paused
	}
	if machine.inTouch(now) {
		machine.started, machine.paused = true, false
		return Good
	}
	switch {
	case !machine.started:
		return Waiting
	case machine.paused:
		return Paused
	default:
		return Isolated
	}
}

func (machine *Machine) inTouch(now time.Time) bool {
	return !now.After(machine.GoodUntil())
}

// GoodUntil returns the instant until which the instance is in touch if it hears nothing more.
func (machine *Machine) GoodUntil() time.Time {
	heardAt := machine.platform
	if len(machine.voters) > 0 {
		ordered := slices.SortedFunc(slices.Values(machine.heard), func(a, b time.Time) int { return b.Compare(a) })
		if majority := ordered[machine.Majority()-1]; majority.After(heardAt) {
			heardAt = majority
		}
	}
	if heardAt.IsZero() {
		return time.Time{}
	}
	return heardAt.Add(Silence)
}

func (machine *Machine) forget(now time.Time) {
	machine.paused = true
	machine.settled = now.Add(settleTerm)
	machine.platform = time.Time{}
	clear(machine.heard)
}

// rank orders the names by hash and keeps the first MaxVoters.
func rank(names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		ha, hb := xxhash.Sum64String(a), xxhash.Sum64String(b)
		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		default:
			return 0
		}
	})
	return ranked[:min(len(ranked), MaxVoters)]
}
