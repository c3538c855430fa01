package revision

import (
	"math/bits"
	"time"

	"shallotreel.example/reel/document"
)

const (
	// Lead is the time from the first reading of a switch of preset to the instant it takes force.
	Lead = 2200 * time.Millisecond
	// Settle is how long a majority must have held a switch before it may take force. It is the
	// longest time that an instance serves without hearing the platform or a majority.
	Settle = 1500 * time.Millisecond
	// WayMargin is kept for the way of a switch between instances.
	WayMargin = 200 * time.Millisecond
	// BehindTerm is how long an instance serves while it knows of a revision that it cannot get.
	BehindTerm = 500 * time.Millisecond
)

// Verdict is what became of an offered document.
type Verdict int

// Verdicts on an offered document.
const (
	Held Verdict = iota
	Known
	Older
	Invalid
)

// String returns the verdict's name.
func (verdict Verdict) String() string {
	return [...]string{"held", "known", "older", "invalid"}[verdict]
}

// Switch is what instances tell each other of a coming switch of preset.
type Switch struct {
	List   uint64    `msgpack:"l"` // version of the list that the voters come from
	Stamp  Stamp     `msgpack:"s"` // newest revision held
	Choice Choice    `msgpack:"p"` // preset to come, zero if none is coming
	At     time.Time `msgpack:"a"` // instant of the switch
	Bits   uint16    `msgpack:"b"` // voters known to hold it, one bit for each place
	Newest uint64    `msgpack:"n"` // newest revision known to be held anywhere
	Force  Force     `msgpack:"f"` // newest revision known to be in force anywhere
}

// Force names a revision that is in force, with its choice of preset.
type Force struct {
	Revision uint64 `msgpack:"r"`
	Choice   Choice `msgpack:"p"`
}

// Electorate is what the machine needs to know of the voters.
type Electorate interface {
	List() uint64
	Voter() int
	Majority() int
	Empty() bool
}

// Machine holds the newest valid revision and puts it in force, a switch of preset at one instant everywhere.
type Machine struct {
	voters     Electorate
	inForce    *document.Document
	held       *document.Document
	coming     Switch
	guard      time.Time // instant at which a superseded switch may take force elsewhere
	alone      time.Time // instant at which this switch may take force elsewhere while no majority is known
	majorityAt time.Time // when this instance first knew that a majority holds the switch
	force      Force     // newest known to be in force anywhere
	newest     uint64    // newest known to be held anywhere
	behindAt   time.Time // since when a revision is known that this instance does not hold
	outdatedAt time.Time // since when another choice of preset is known to be in force elsewhere
}

// New returns a machine that holds nothing yet.
func New(voters Electorate) *Machine {
	return &Machine{voters: voters}
}

// InForce returns the revision in force, nil before the first.
func (machine *Machine) InForce() *document.Document {
	return machine.inForce
}

// Held returns the newest valid revision, in force or not yet.
func (machine *Machine) Held() *document.Document {
	return machine.held
}

// Offer takes a document read from the platform or a peer; it is held only if it is newer. An instance
// whose contact had lapsed admits nothing more under its old preset.
func (machine *Machine) Offer(now time.Time, data []byte, lapsed bool) (Verdict, error) {
	doc, err := document.Parse(data)
	if err != nil {
		return Invalid, err
	}
	switch order := StampOf(doc).Compare(StampOf(machine.held)); {
	case order == 0:
		return Known, nil
	case order < 0:
		return Older, nil
	}
	before := machine.held
	machine.held = doc
	machine.plan(now, before)
	if lapsed {
		machine.alone = now
	}
	machine.hold()
	return Held, nil
}

// plan decides how the held revision takes force: at once, or with a switch of preset.
func (machine *Machine) plan(now time.Time, before *document.Document) {
	stamp, choice := StampOf(machine.held), choiceOf(machine.held)
	switch {
	case machine.coming.Choice == choice:
		machine.coming.Stamp = stamp
		return
	case machine.inForce == nil:
		machine.begin(stamp, choice, now)
		return
	case machine.coming.Choice == Choice{} && choiceOf(machine.inForce) == choice:
		machine.inForce = machine.held
		machine.coming = Switch{Stamp: stamp}
		return
	}
	at := now.Add(Lead)
	if machine.coming.Choice != (Choice{}) {
		// The superseded switch may still take force where its successor is not known.
		machine.guard = sooner(machine.guard, machine.coming.At)
	}
	if choice.Revision > before.Revision+1 {
		// A switch between the two may have been missed, though not for longer than Settle.
		machine.guard = sooner(machine.guard, now.Add(Lead-Settle-WayMargin))
	}
	if !machine.guard.IsZero() && choice.Sum == choiceOf(machine.inForce).Sum {
		at = machine.guard
	}
	machine.begin(stamp, choice, at)
	machine.alone = now.Add(Lead - Settle - WayMargin)
}

// begin starts a switch that takes force at the instant, or at the later one that the document names.
func (machine *Machine) begin(stamp Stamp, choice Choice, at time.Time) {
	if machine.held.InForceAt.After(at) {
		at = machine.held.InForceAt
	}
	machine.coming = Switch{Stamp: stamp, Choice: choice, At: at}
	machine.majorityAt = time.Time{}
}

// Heard takes what a peer knows of a coming switch: the earliest instant and all votes count.
func (machine *Machine) Heard(now time.Time, heard Switch) {
	machine.learn(now, heard)
	if machine.coming.Choice == (Choice{}) {
		return
	}
	if machine.inForce != nil && machine.force.Choice == machine.coming.Choice {
		machine.follow(now)
		return
	}
	if heard.Choice != machine.coming.Choice {
		return
	}
	switch {
	case machine.inForce == nil && heard.At.After(machine.coming.At):
		// A fresh instance takes the fleet's instant in place of its own.
		machine.coming.At = heard.At
	case heard.At.Before(machine.coming.At):
		machine.coming.At = heard.At
	}
	if heard.List == machine.coming.List {
		machine.coming.Bits |= heard.Bits
	}
	machine.countVotes(now)
}

// learn keeps the newest revisions that are held and in force anywhere, and passes them on.
func (machine *Machine) learn(now time.Time, heard Switch) {
	if heard.Force.Revision > machine.force.Revision {
		machine.force = heard.Force
	}
	outdated := machine.inForce != nil && machine.force.Revision > machine.inForce.Revision &&
		machine.force.Choice != choiceOf(machine.inForce)
	if outdated && machine.outdatedAt.IsZero() {
		machine.outdatedAt = now
	}
	machine.newest = max(machine.newest, heard.Newest)
	if machine.behindAt.IsZero() && machine.newest > StampOf(machine.held).Revision {
		machine.behindAt = now
	}
}

// hold notes what this instance itself holds and has in force.
func (machine *Machine) hold() {
	held := StampOf(machine.held).Revision
	machine.newest = max(machine.newest, held)
	if held >= machine.newest {
		machine.behindAt = time.Time{}
	}
	if machine.inForce != nil && machine.inForce.Revision >= machine.force.Revision {
		machine.outdatedAt = time.Time{}
		machine.force = Force{machine.inForce.Revision, choiceOf(machine.inForce)}
	}
}

// follow makes a switch due that is already in force elsewhere.
func (machine *Machine) follow(now time.Time) {
	if machine.coming.At.After(now) {
		machine.coming.At = now
	}
	if settled := now.Add(-Settle); machine.majorityAt.IsZero() || machine.majorityAt.After(settled) {
		machine.majorityAt = settled
	}
}

// Switch returns what to tell peers.
func (machine *Machine) Switch() Switch {
	told := machine.coming
	told.Newest, told.Force = machine.newest, machine.force
	return told
}

// Tick lets time pass and returns the revision that takes force now, if one does.
func (machine *Machine) Tick(now time.Time, joined bool) (*document.Document, bool) {
	if machine.held == nil || machine.coming.Choice == (Choice{}) {
		return nil, false
	}
	machine.vote(now)
	if machine.inForce == nil && !joined {
		return nil, false
	}
	at, decided := machine.Next()
	if !decided || now.Before(at) {
		return nil, false
	}
	machine.inForce = machine.held
	machine.coming = Switch{Stamp: StampOf(machine.held)}
	machine.guard = time.Time{}
	machine.hold()
	return machine.inForce, true
}

// Next returns the instant at which the held revision takes force, once that is sure.
func (machine *Machine) Next() (time.Time, bool) {
	if machine.inForce == nil {
		return machine.coming.At, true
	}
	if machine.coming.Choice == (Choice{}) || machine.majorityAt.IsZero() {
		return time.Time{}, false
	}
	settled := machine.majorityAt.Add(Settle)
	if settled.After(machine.coming.At) {
		return settled, true
	}
	return machine.coming.At, true
}

// Until returns the instant from which nothing may be admitted under the revision in force, if one is known.
func (machine *Machine) Until() (time.Time, bool) {
	var until time.Time
	if machine.inForce != nil && machine.coming.Choice != (Choice{}) {
		until = machine.coming.At
		if !machine.guard.IsZero() {
			until = sooner(until, machine.guard)
		}
		if machine.majorityAt.IsZero() && !machine.alone.IsZero() {
			until = sooner(until, machine.alone)
		}
	}
	if !machine.behindAt.IsZero() {
		until = sooner(until, machine.behindAt.Add(BehindTerm))
		if machine.force.Revision > StampOf(machine.held).Revision {
			until = sooner(until, machine.behindAt)
		}
	}
	if !machine.outdatedAt.IsZero() {
		until = sooner(until, machine.outdatedAt)
	}
	return until, !until.IsZero()
}

func sooner(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func (machine *Machine) vote(now time.Time) {
	if list := machine.voters.List(); list != machine.coming.List {
		machine.coming.List, machine.coming.Bits = list, 0
	}
	if own := machine.voters.Voter(); own >= 0 {
		machine.coming.Bits |= 1 << own
	}
	machine.countVotes(now)
}

func (machine *Machine) countVotes(now time.Time) {
	enough := bits.OnesCount16(machine.coming.Bits) >= machine.voters.Majority()
	if machine.majorityAt.IsZero() && (enough || machine.voters.Empty()) {
		machine.majorityAt = now
	}
}
