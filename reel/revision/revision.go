package revision

import (
	"cmp"
	"math/bits"
	"time"

	"shallotreel.example/reel/document"
)

const (
	// DefaultLead is when a revision takes force after its publication if it does not say.
	DefaultLead = time.Second
	// LearnTerm is how long a held revision waits at most for a majority or its instant.
	LearnTerm = 2 * time.Second
)

// Stamp orders revisions the same way on every instance.
type Stamp struct {
	Revision    uint64    `msgpack:"r" json:"revision"`
	PublishedAt time.Time `msgpack:"p" json:"published_at"`
	Digest      string    `msgpack:"d" json:"digest"`
}

// StampOf returns the document's stamp.
func StampOf(doc *document.Document) Stamp {
	if doc == nil {
		return Stamp{}
	}
	return Stamp{doc.Revision, doc.PublishedAt.UTC(), doc.Digest()}
}

// Compare orders stamps by revision, then by publication, then by digest.
func (stamp Stamp) Compare(other Stamp) int {
	return cmp.Or(
		cmp.Compare(stamp.Revision, other.Revision),
		stamp.PublishedAt.Compare(other.PublishedAt),
		cmp.Compare(stamp.Digest, other.Digest),
	)
}

// Votes are the voters known to hold the stamped revision, one bit for each place.
type Votes struct {
	List  uint64 `msgpack:"l"`
	Stamp Stamp  `msgpack:"s"`
	Bits  uint16 `msgpack:"b"`
}

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

// Electorate is what the machine needs to know of the voters.
type Electorate interface {
	List() uint64
	Voter() int
	Majority() int
}

// Machine holds the newest valid revision and puts it in force once.
type Machine struct {
	voters    Electorate
	inForce   *document.Document
	held      *document.Document
	learnedAt time.Time
	votes     Votes
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

// Offer takes a document read from the platform or a peer; it is held only if it is newer.
func (machine *Machine) Offer(now time.Time, data []byte) (Verdict, error) {
	doc, err := document.Parse(data)
	if err != nil {
		return Invalid, err
	}
	stamp, held := StampOf(doc), StampOf(machine.held)
	switch order := stamp.Compare(held); {
	case order == 0:
		return Known, nil
	case order < 0:
		return Older, nil
	}
	machine.held = doc
	machine.learnedAt = now
	machine.votes = Votes{List: machine.voters.List(), Stamp: stamp}
	return Held, nil
}

// HeardVotes adds the votes that a peer knows of.
func (machine *Machine) HeardVotes(votes Votes) {
	if votes.List != machine.votes.List || votes.Stamp.Compare(machine.votes.Stamp) != 0 {
		return
	}
	machine.votes.Bits |= votes.Bits
}

// Votes returns what to tell peers.
func (machine *Machine) Votes() Votes {
	return machine.votes
}

// Tick lets time pass and returns the revision that takes force now, if one does.
func (machine *Machine) Tick(now time.Time) (*document.Document, bool) {
	machine.vote()
	if machine.held == machine.inForce || !machine.due(now) {
		return nil, false
	}
	machine.inForce = machine.held
	return machine.inForce, true
}

func (machine *Machine) vote() {
	if machine.held == nil {
		return
	}
	if list := machine.voters.List(); list != machine.votes.List {
		machine.votes.List, machine.votes.Bits = list, 0
	}
	if own := machine.voters.Voter(); own >= 0 {
		machine.votes.Bits |= 1 << own
	}
}

func (machine *Machine) due(now time.Time) bool {
	if now.Sub(machine.learnedAt) >= LearnTerm {
		return true
	}
	if now.Before(Instant(machine.held)) {
		return false
	}
	return bits.OnesCount16(machine.votes.Bits) >= machine.voters.Majority()
}

// Instant returns when the document takes force once a majority holds it.
func Instant(doc *document.Document) time.Time {
	if !doc.InForceAt.IsZero() {
		return doc.InForceAt
	}
	return doc.PublishedAt.Add(DefaultLead)
}
