package revision

import (
	"math/bits"
	"time"

	"shallotreel.example/reel/document"
)

const (
	// SwitchDelay is the time from the first read of a preset switch to the time at which it takes effect.
	SwitchDelay = 2200 * time.Millisecond
	// QuorumDelay is the minimum time between the majority vote for a preset switch and the switch taking effect.
	// It equals the longest time for which an instance admits requests after its last contact with the platform or
	// a majority of the voters, so a disconnected instance has stopped admitting by then.
	QuorumDelay = 1500 * time.Millisecond
	// PropagationMargin is the time reserved for a preset switch to reach the other instances.
	PropagationMargin = 200 * time.Millisecond
	// MissingRevisionGrace is how long an instance keeps admitting requests after it has learned of a newer
	// revision that it does not hold.
	MissingRevisionGrace = 500 * time.Millisecond
)

// Verdict is the result of offering a document to a Machine.
type Verdict int

// Verdicts on an offered document.
const (
	Accepted Verdict = iota // the document is newer than the newest one and replaces it
	Known                   // the document is the newest one already
	Older                   // the document is older than the newest one
	Invalid                 // the document does not parse or does not validate
)

// String returns the name of the verdict; that of Accepted is "held".
func (verdict Verdict) String() string {
	return [...]string{"held", "known", "older", "invalid"}[verdict]
}

// SwitchState is the state of the revisions and of a pending preset switch that an instance sends to its peers.
type SwitchState struct {
	List   uint64          `msgpack:"l"` // version of the instance list that determines the voters
	Stamp  Stamp           `msgpack:"s"` // newest revision that the sender holds
	Choice PresetChoice    `msgpack:"p"` // preset choice that is about to take effect, zero if no switch is pending
	At     time.Time       `msgpack:"a"` // time at which the switch takes effect
	Bits   uint16          `msgpack:"b"` // voters known to have voted for the pending choice, one bit per voter index
	Newest uint64          `msgpack:"n"` // newest revision that any instance is known to hold
	Force  RevisionInForce `msgpack:"f"` // newest revision that is known to be in force on any instance
}

// RevisionInForce identifies a revision that is in force and the preset choice that it carries.
type RevisionInForce struct {
	Revision uint64       `msgpack:"r"`
	Choice   PresetChoice `msgpack:"p"`
}

// Electorate describes the instances whose votes decide when a preset switch takes effect.
type Electorate interface {
	ListVersion() uint64 // version of the instance list that determines the voters
	VoterIndex() int     // index of this instance among the voters, or -1
	Quorum() int         // number of voters that form a majority
	NoVoters() bool      // true until a list has named a voter
}

// Machine is the state machine that keeps the newest valid revision and puts it in force; a preset switch
// takes effect at the same time on all instances. It reads no clock: each method is given the time.
type Machine struct {
	electorate         Electorate
	inForce            *document.Document
	newest             *document.Document
	pending            SwitchState
	supersededAt       time.Time       // time at which others may put a superseded switch in force, zero if none
	noQuorumAdmitUntil time.Time       // end of admission under the old preset while no majority is known
	quorumAt           time.Time       // time at which this instance learned that a majority has voted for the pending switch
	newestInForce      RevisionInForce // newest revision that is known to be in force on any instance
	newestKnown        uint64          // newest revision that any instance is known to hold
	missingSince       time.Time       // time at which this instance learned of a newer revision that it does not hold
	outdatedSince      time.Time       // time at which this instance learned that another preset choice is in force elsewhere
}

// New returns a machine without any revision, whose preset switches are decided by the electorate.
func New(electorate Electorate) *Machine {
	return &Machine{electorate: electorate}
}

// InForce returns the revision in force, or nil before the first one takes effect.
func (machine *Machine) InForce() *document.Document {
	return machine.inForce
}

// Newest returns the newest valid revision, which may not be in force yet, or nil before the first.
func (machine *Machine) Newest() *document.Document {
	return machine.newest
}

// Offer parses a document that was read from the platform or a peer and keeps it if it is newer than the
// newest revision. It returns an error only with the verdict Invalid. If leaseExpired is true, this instance
// had lost contact with the platform and the voters for longer than QuorumDelay, so a pending switch may be in force
// elsewhere already and nothing more is admitted under the old preset.
func (machine *Machine) Offer(now time.Time, data []byte, leaseExpired bool) (Verdict, error) {
	doc, err := document.Parse(data)
	if err != nil {
		return Invalid, err
	}
	switch order := StampOf(doc).Compare(StampOf(machine.newest)); {
	case order == 0:
		return Known, nil
	case order < 0:
		return Older, nil
	}
	previous := machine.newest
	machine.newest = doc
	machine.scheduleActivation(now, previous)
	if leaseExpired {
		machine.noQuorumAdmitUntil = now
	}
	machine.recordOwn()
	return Accepted, nil
}

// scheduleActivation puts the newest revision in force at once if it keeps the preset choice, and starts a
// preset switch otherwise.
func (machine *Machine) scheduleActivation(now time.Time, previous *document.Document) {
	stamp, choice := StampOf(machine.newest), choiceOf(machine.newest)
	switch {
	case machine.pending.Choice == choice:
		machine.pending.Stamp = stamp
		return
	case machine.inForce == nil:
		machine.startSwitch(stamp, choice, now)
		return
	case machine.pending.Choice == PresetChoice{} && choiceOf(machine.inForce) == choice:
		machine.inForce = machine.newest
		machine.pending = SwitchState{Stamp: stamp}
		return
	}
	at := now.Add(SwitchDelay)
	if machine.pending.Choice != (PresetChoice{}) {
		// Instances that have not read this revision may still put the superseded switch in force.
		machine.supersededAt = earlier(machine.supersededAt, machine.pending.At)
	}
	if choice.Revision > previous.Revision+1 {
		// This instance may have missed a switch in a revision between the two, but for no longer than QuorumDelay.
		machine.supersededAt = earlier(machine.supersededAt, now.Add(SwitchDelay-QuorumDelay-PropagationMargin))
	}
	if !machine.supersededAt.IsZero() && choice.Sum == choiceOf(machine.inForce).Sum {
		at = machine.supersededAt
	}
	machine.startSwitch(stamp, choice, at)
	machine.noQuorumAdmitUntil = now.Add(SwitchDelay - QuorumDelay - PropagationMargin)
}

// startSwitch starts a preset switch that takes effect at the given time, or at the time that the document
// names if that is later.
func (machine *Machine) startSwitch(stamp Stamp, choice PresetChoice, at time.Time) {
	if machine.newest.InForceAt.After(at) {
		at = machine.newest.InForceAt
	}
	machine.pending = SwitchState{Stamp: stamp, Choice: choice, At: at}
	machine.quorumAt = time.Time{}
}

// MergeSwitchState merges the state of a peer: the earlier time of the pending switch wins, and the votes
// that either side has seen are counted.
func (machine *Machine) MergeSwitchState(now time.Time, peer SwitchState) {
	machine.mergeNewest(now, peer)
	if machine.pending.Choice == (PresetChoice{}) {
		return
	}
	if machine.inForce != nil && machine.newestInForce.Choice == machine.pending.Choice {
		machine.activateWithFleet(now)
		return
	}
	if peer.Choice != machine.pending.Choice {
		return
	}
	switch {
	case machine.inForce == nil && peer.At.After(machine.pending.At):
		// A new instance has no revision in force and adopts the switch time of its peers, also if it is later.
		machine.pending.At = peer.At
	case peer.At.Before(machine.pending.At):
		machine.pending.At = peer.At
	}
	if peer.List == machine.pending.List {
		machine.pending.Bits |= peer.Bits
	}
	machine.countVotes(now)
}

// mergeNewest records the newest revisions that any instance is known to hold or to have in force.
func (machine *Machine) mergeNewest(now time.Time, peer SwitchState) {
	if peer.Force.Revision > machine.newestInForce.Revision {
		machine.newestInForce = peer.Force
	}
	outdated := machine.inForce != nil && machine.newestInForce.Revision > machine.inForce.Revision &&
		machine.newestInForce.Choice != choiceOf(machine.inForce)
	if outdated && machine.outdatedSince.IsZero() {
		machine.outdatedSince = now
	}
	machine.newestKnown = max(machine.newestKnown, peer.Newest)
	if machine.missingSince.IsZero() && machine.newestKnown > StampOf(machine.newest).Revision {
		machine.missingSince = now
	}
}

// recordOwn updates the newest known revisions with those that this instance holds and has in force.
func (machine *Machine) recordOwn() {
	revision := StampOf(machine.newest).Revision
	machine.newestKnown = max(machine.newestKnown, revision)
	if revision >= machine.newestKnown {
		machine.missingSince = time.Time{}
	}
	if machine.inForce != nil && machine.inForce.Revision >= machine.newestInForce.Revision {
		machine.outdatedSince = time.Time{}
		machine.newestInForce = RevisionInForce{machine.inForce.Revision, choiceOf(machine.inForce)}
	}
}

// activateWithFleet makes the pending switch due now, because it is already in force on another instance.
func (machine *Machine) activateWithFleet(now time.Time) {
	if machine.pending.At.After(now) {
		machine.pending.At = now
	}
	if latest := now.Add(-QuorumDelay); machine.quorumAt.IsZero() || machine.quorumAt.After(latest) {
		machine.quorumAt = latest
	}
}

// SwitchState returns the state to send to peers.
func (machine *Machine) SwitchState() SwitchState {
	state := machine.pending
	state.Newest, state.Force = machine.newestKnown, machine.newestInForce
	return state
}

// Tick votes for the pending switch and puts it in force if it is due; it returns the revision that takes
// effect and true in that case. The first revision takes effect only if joined is true, that is, after a peer has
// answered or the time for joining has passed.
func (machine *Machine) Tick(now time.Time, joined bool) (*document.Document, bool) {
	if machine.newest == nil || machine.pending.Choice == (PresetChoice{}) {
		return nil, false
	}
	machine.castVote(now)
	if machine.inForce == nil && !joined {
		return nil, false
	}
	at, decided := machine.ActivationTime()
	if !decided || now.Before(at) {
		return nil, false
	}
	machine.inForce = machine.newest
	machine.pending = SwitchState{Stamp: StampOf(machine.newest)}
	machine.supersededAt = time.Time{}
	machine.recordOwn()
	return machine.inForce, true
}

// ActivationTime returns the time at which the newest revision takes effect, and false while that is not decided.
func (machine *Machine) ActivationTime() (time.Time, bool) {
	if machine.inForce == nil {
		return machine.pending.At, true
	}
	if machine.pending.Choice == (PresetChoice{}) || machine.quorumAt.IsZero() {
		return time.Time{}, false
	}
	earliest := machine.quorumAt.Add(QuorumDelay)
	if earliest.After(machine.pending.At) {
		return earliest, true
	}
	return machine.pending.At, true
}

// AdmitUntil returns the time from which no request may be admitted under the revision in force, and false if
// no such time is known.
func (machine *Machine) AdmitUntil() (time.Time, bool) {
	var until time.Time
	if machine.inForce != nil && machine.pending.Choice != (PresetChoice{}) {
		until = machine.pending.At
		if !machine.supersededAt.IsZero() {
			until = earlier(until, machine.supersededAt)
		}
		if machine.quorumAt.IsZero() && !machine.noQuorumAdmitUntil.IsZero() {
			until = earlier(until, machine.noQuorumAdmitUntil)
		}
	}
	if !machine.missingSince.IsZero() {
		until = earlier(until, machine.missingSince.Add(MissingRevisionGrace))
		if machine.newestInForce.Revision > StampOf(machine.newest).Revision {
			until = earlier(until, machine.missingSince)
		}
	}
	if !machine.outdatedSince.IsZero() {
		until = earlier(until, machine.outdatedSince)
	}
	return until, !until.IsZero()
}

// earlier returns the earlier of two times; a zero a counts as not set.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// castVote adds the vote of this instance, after dropping the votes that belong to another voter list.
func (machine *Machine) castVote(now time.Time) {
	if list := machine.electorate.ListVersion(); list != machine.pending.List {
		machine.pending.List, machine.pending.Bits = list, 0
	}
	if index := machine.electorate.VoterIndex(); index >= 0 {
		machine.pending.Bits |= 1 << index
	}
	machine.countVotes(now)
}

// countVotes records the time at which the votes first form a majority. Without a list of voters the switch
// needs no votes.
func (machine *Machine) countVotes(now time.Time) {
	hasQuorum := bits.OnesCount16(machine.pending.Bits) >= machine.electorate.Quorum()
	if machine.quorumAt.IsZero() && (hasQuorum || machine.electorate.NoVoters()) {
		machine.quorumAt = now
	}
}
