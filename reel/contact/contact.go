package contact

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxVoters is the largest number of listed instances whose heartbeats and votes count. Each voter needs one
	// of the 16 bits of revision.SwitchState.Bits.
	MaxVoters = 15
	// ContactTimeout is how long an instance accepts new work after its last contact with the platform or a
	// majority of the voters.
	ContactTimeout = 1500 * time.Millisecond
	// PauseThreshold is the time between two ticks above which the process is considered to have been paused.
	PauseThreshold = time.Second
	// bufferDrainTime is how long incoming packets are ignored after a pause, because they may have waited in a
	// socket buffer during the pause.
	bufferDrainTime = 250 * time.Millisecond
	// heartbeatPeriod is the time between two increments of this instance's own counter.
	heartbeatPeriod = 250 * time.Millisecond
)

// Standing says whether an instance may accept new work, and why not.
type Standing int

// Standings of an instance.
const (
	Waiting   Standing = iota // has had no contact with the platform or a majority of the voters since its start
	Good                      // may accept new work
	Isolated                  // has lost contact with the platform and the majority of the voters
	Paused                    // has resumed after a pause and not yet renewed its lease
	Undecided                 // cannot exclude that another preset is in force on other instances
)

// String returns the name of the standing.
func (standing Standing) String() string {
	return [...]string{"waiting", "good", "isolated", "paused", "undecided"}[standing]
}

// Heartbeats carries the heartbeat counters of the voters to a peer.
type Heartbeats struct {
	ListVersion uint64        `msgpack:"l"`           // version of the instance list that determines the voters
	Counters    []uint32      `msgpack:"c,omitempty"` // one counter per voter index
	PlatformAge time.Duration `msgpack:"a"`           // time since the platform last answered any instance, negative if never
}

// Machine is the state machine that tracks the voters' heartbeats and the platform's answers; use New to create one.
type Machine struct {
	self             string
	listVersion      uint64
	voters           []string
	counters         []uint32    // heartbeat counters by voter index
	advancedAt       []time.Time // times at which the counters last rose, by voter index
	platformAnswerAt time.Time   // when the platform last answered any instance
	everGood         bool        // the lease has been valid at least once
	paused           bool        // the process was paused and the lease has not been valid since
	drainedAt        time.Time   // until when incoming packets are ignored after a pause
	lastTick         time.Time
	lastHeartbeat    time.Time
}

// New returns a machine for the instance of the given name, without any voters.
func New(self string) *Machine {
	return &Machine{self: self}
}

// SetVoters chooses the voters from the names on the given version of the instance list; all instances choose the
// same voters in the same order. Voters that remain keep their counters.
func (machine *Machine) SetVoters(listVersion uint64, names []string) {
	if listVersion == machine.listVersion {
		return
	}
	counters, advancedAt := map[string]uint32{}, map[string]time.Time{}
	for i, voter := range machine.voters {
		counters[voter], advancedAt[voter] = machine.counters[i], machine.advancedAt[i]
	}
	machine.listVersion = listVersion
	machine.voters = rankVoters(names)
	machine.counters = make([]uint32, len(machine.voters))
	machine.advancedAt = make([]time.Time, len(machine.voters))
	for i, voter := range machine.voters {
		machine.counters[i], machine.advancedAt[i] = counters[voter], advancedAt[voter]
	}
}

// VoterIndex returns the index of this instance among the voters, or -1 if it is not a voter.
func (machine *Machine) VoterIndex() int {
	return slices.Index(machine.voters, machine.self)
}

// Voters returns the names of the voters by index; the caller must not modify the slice.
func (machine *Machine) Voters() []string {
	return machine.voters
}

// ListVersion returns the version of the instance list that determines the voters, or 0 before the first list.
func (machine *Machine) ListVersion() uint64 {
	return machine.listVersion
}

// Quorum returns the number of voters that form a majority.
func (machine *Machine) Quorum() int {
	return len(machine.voters)/2 + 1
}

// NoVoters reports whether there are no voters, as before the first instance list.
func (machine *Machine) NoVoters() bool {
	return len(machine.voters) == 0
}

// RecordPlatformAnswer records that the platform has answered this instance now.
func (machine *Machine) RecordPlatformAnswer(now time.Time) {
	machine.platformAnswerAt = now
}

// MergeHeartbeats merges the heartbeats of a peer and returns true. It ignores them and returns false if the packet
// may have waited in a buffer while this process was paused; the rest of the packet must then be ignored too.
func (machine *Machine) MergeHeartbeats(now time.Time, heartbeats Heartbeats) bool {
	if machine.JustResumed(now) {
		return false
	}
	if heartbeats.PlatformAge >= 0 {
		if at := now.Add(-heartbeats.PlatformAge); at.After(machine.platformAnswerAt) {
			machine.platformAnswerAt = at
		}
	}
	if heartbeats.ListVersion != machine.listVersion || len(heartbeats.Counters) != len(machine.counters) {
		return true
	}
	for i, count := range heartbeats.Counters {
		if count > machine.counters[i] {
			machine.counters[i] = count
			machine.advancedAt[i] = now
		}
	}
	return true
}

// JustResumed reports whether the process has just resumed after a pause, so that what it reads may be outdated.
func (machine *Machine) JustResumed(now time.Time) bool {
	paused := !machine.lastTick.IsZero() && now.Sub(machine.lastTick) > PauseThreshold
	return paused || now.Before(machine.drainedAt)
}

// Tick advances this instance's own counter when a heartbeat is due, and reports whether the process was paused
// since the last tick. After a pause the lease must be renewed.
func (machine *Machine) Tick(now time.Time) bool {
	paused := !machine.lastTick.IsZero() && now.Sub(machine.lastTick) > PauseThreshold
	machine.lastTick = now
	if paused {
		machine.resetAfterPause(now)
	}
	if index := machine.VoterIndex(); index >= 0 && now.Sub(machine.lastHeartbeat) >= heartbeatPeriod {
		machine.lastHeartbeat = now
		// The Unix time in seconds is a lower bound, so that the counter of a restarted process does not begin at 1.
		machine.counters[index] = max(machine.counters[index]+1, uint32(now.Unix()))
		machine.advancedAt[index] = now
	}
	return paused
}

// Heartbeats returns the heartbeats to send to peers.
func (machine *Machine) Heartbeats(now time.Time) Heartbeats {
	age := time.Duration(-1)
	if !machine.platformAnswerAt.IsZero() {
		age = now.Sub(machine.platformAnswerAt)
	}
	return Heartbeats{ListVersion: machine.listVersion, Counters: slices.Clone(machine.counters), PlatformAge: age}
}

// Standing returns whether the instance may accept new work now. It also records that the lease has been valid, which
// ends the standings Waiting and Paused.
func (machine *Machine) Standing(now time.Time) Standing {
	if machine.JustResumed(now) {
		return Paused
	}
	if machine.leaseValid(now) {
		machine.everGood, machine.paused = true, false
		return Good
	}
	switch {
	case !machine.everGood:
		return Waiting
	case machine.paused:
		return Paused
	default:
		return Isolated
	}
}

func (machine *Machine) leaseValid(now time.Time) bool {
	return !now.After(machine.LeaseExpiry())
}

// LeaseExpiry returns the time until which the instance may accept new work unless the lease is renewed, or the
// zero time before the first contact with the platform or a majority of the voters.
func (machine *Machine) LeaseExpiry() time.Time {
	lastContactAt := machine.platformAnswerAt
	if len(machine.voters) > 0 {
		ordered := slices.SortedFunc(slices.Values(machine.advancedAt), func(a, b time.Time) int { return b.Compare(a) })
		if majority := ordered[machine.Quorum()-1]; majority.After(lastContactAt) {
			lastContactAt = majority
		}
	}
	if lastContactAt.IsZero() {
		return time.Time{}
	}
	return lastContactAt.Add(ContactTimeout)
}

// resetAfterPause drops all contact times, which a pause has made unreliable, and ignores packets until the socket
// buffers are drained.
func (machine *Machine) resetAfterPause(now time.Time) {
	machine.paused = true
	machine.drainedAt = now.Add(bufferDrainTime)
	machine.platformAnswerAt = time.Time{}
	clear(machine.advancedAt)
}

// rankVoters sorts the names by hash and returns the first MaxVoters, the same on every instance.
func rankVoters(names []string) []string {
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
