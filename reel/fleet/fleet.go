package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"shallotreel.example/reel/contact"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/gossip"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/platform"
	"shallotreel.example/reel/publication"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/revision"
)

const (
	urgentFanout  = 3
	joinTerm      = 2 * time.Second
	pullTimeout   = time.Second
	pullsAtOnce   = 2
	leavingTerm   = 10 * time.Second
	sweepPeriod   = 10 * time.Second
	marksAtOnce   = 4
	leavingAtOnce = 8
)

// List is the platform's list of entry instances.
type List struct {
	Version   uint64              `json:"version"`
	Instances []platform.Instance `json:"instances"`
}

// Machine is everything that an instance shares with its peers; it has no clock or socket.
type Machine struct {
	members  *member.Machine
	contact  *contact.Machine
	revision *revision.Machine
	store    publication.Store
	book     *quarantine.Tracker
	marks    gossip.Queue[quarantine.Mark]
	leaving  gossip.Queue[string]
	news     gossip.Queue[publication.Clock]
	left     map[string]time.Time
	list     List
	seeds    []netip.AddrPort
	started  time.Time
	joined   bool
	prepared bool
	pulls    map[netip.AddrPort]time.Time
	whole    map[string]bool // values whose last delta could not be opened
	sweepAt  time.Time
	seedAt   time.Time
}

// New returns the machine of an instance that starts now and knows only its seeds.
func New(now time.Time, self member.Member, seeds []netip.AddrPort, book *quarantine.Tracker, random *rand.Rand) *Machine {
	touch := contact.New(self.Name)
	return &Machine{
		members: member.New(self, random), contact: touch, revision: revision.New(touch),
		book: book, seeds: seeds, started: now,
		left: map[string]time.Time{}, pulls: map[netip.AddrPort]time.Time{}, whole: map[string]bool{},
	}
}

// Tick lets time pass.
func (machine *Machine) Tick(now time.Time) Output {
	var output Output
	output.Paused = machine.contact.Tick(now)
	if output.Paused {
		output.Notes = append(output.Notes, "process was paused, waiting to hear the fleet")
	}
	output.add(machine.wrap(now, machine.members.Tick(now)))
	output.add(machine.contactSeeds(now))
	if machine.marks.Len() > 0 || machine.leaving.Len() > 0 || machine.news.Len() > 0 {
		output.add(machine.spread(now))
	}
	if doc, ok := machine.revision.Tick(now, machine.joinedAt(now)); ok {
		output.InForce = doc
		output.Notes = append(output.Notes, fmt.Sprintf("revision %d in force, preset %s", doc.Revision, doc.PresetInForce))
		machine.news.Put("clock", machine.store.Clock())
	}
	if machine.prepared && machine.Standing(now) == contact.Good {
		output.add(machine.wrap(now, machine.members.Ready(now)))
	}
	machine.sweep(now)
	return output
}

// Receive takes a packet from a peer.
func (machine *Machine) Receive(now time.Time, packet Packet) Output {
	if !machine.contact.Heard(now, packet.Beats) {
		return Output{}
	}
	// What is heard of revisions must ride on every packet that passes the beats on.
	machine.revision.Heard(now, packet.Switch)
	output := machine.wrap(now, machine.members.Receive(now, packet.Member))
	output.add(machine.mergeMarks(now, packet.Marks))
	machine.mergeLeaving(now, packet.Leaving, &output)
	if machine.store.Clock().Behind(packet.Clock) {
		output.Pulls = append(output.Pulls, machine.pull(now, packet.Member.From.Peer)...)
	}
	return output
}

// Answer returns what a pulling peer lacks, and learns that the peer exists.
func (machine *Machine) Answer(now time.Time, request PullRequest) (PullReply, Output) {
	reply := PullReply{
		Updates: machine.store.Since(request.Stamps), Members: machine.members.Members(),
		Marks: machine.book.Marks(now), Leaving: machine.Leaving(now), Switch: machine.revision.Switch(),
	}
	return reply, machine.wrap(now, machine.members.Merge(now, []member.Member{request.From}))
}

// Request returns what to ask a peer with.
func (machine *Machine) Request() PullRequest {
	stamps := machine.store.Stamps()
	for key := range machine.whole {
		delete(stamps, key)
	}
	return PullRequest{Stamps: stamps, From: machine.members.Self()}
}

// Pulled takes the reply of a peer, or its failure if reply is nil.
func (machine *Machine) Pulled(now time.Time, from netip.AddrPort, reply *PullReply) Output {
	delete(machine.pulls, from)
	if reply == nil {
		return Output{}
	}
	machine.revision.Heard(now, reply.Switch)
	output := machine.wrap(now, machine.members.Merge(now, reply.Members))
	for _, update := range reply.Updates {
		value, err := machine.store.Open(update)
		if err != nil {
			machine.whole[update.Key] = true
			output.Notes = append(output.Notes, fmt.Sprintf("cannot open %s from peer %v: %v", update.Key, from, err))
			continue
		}
		delete(machine.whole, update.Key)
		output.add(machine.offer(now, value, "peer "+from.String(), false))
	}
	machine.revision.Heard(now, reply.Switch)
	output.add(machine.mergeMarks(now, reply.Marks))
	machine.mergeLeaving(now, reply.Leaving, &output)
	machine.joined = true
	return output
}

// Read takes an answer of the platform's service; data is nil if the value did not change.
func (machine *Machine) Read(now time.Time, key string, version uint64, data []byte) Output {
	held, known := machine.store.Get(key)
	lapsed := now.After(machine.contact.GoodUntil())
	if key == platform.DocumentKey && !machine.contact.Stale(now) && (!known || version >= held.Version) {
		machine.contact.HeardPlatform(now)
	}
	if data == nil {
		return Output{}
	}
	return machine.offer(now, publication.Value{Key: key, Version: version, Data: data}, "platform", lapsed)
}

// TellMark spreads a mark that this instance made, at once.
func (machine *Machine) TellMark(now time.Time, mark quarantine.Mark) Output {
	machine.marks.Put(fmt.Sprint(mark.Fingerprint), mark)
	return machine.spread(now)
}

// TellLeaving spreads that a target is leaving, at once.
func (machine *Machine) TellLeaving(now time.Time, name string) Output {
	machine.left[name] = now.Add(leavingTerm)
	machine.leaving.Put(name, name)
	return machine.spread(now)
}

// Leave tells the peers that this instance is leaving.
func (machine *Machine) Leave(now time.Time) Output {
	return machine.wrap(now, machine.members.Leave(now))
}

// InForce returns the document in force, nil before the first.
func (machine *Machine) InForce() *document.Document { return machine.revision.InForce() }

// Prepare tells that this instance can work as soon as its standing is good.
func (machine *Machine) Prepare() { machine.prepared = true }

// Self returns this instance's own description.
func (machine *Machine) Self() member.Member { return machine.members.Self() }

// Members returns all known instances.
func (machine *Machine) Members() []member.Member { return machine.members.Members() }

// MembersVersion rises whenever Members would return something else.
func (machine *Machine) MembersVersion() uint64 { return machine.members.Version() }

// Value returns the newest copy of a published value.
func (machine *Machine) Value(key string) (publication.Value, bool) { return machine.store.Get(key) }

// Held returns the stamp of the newest valid revision.
func (machine *Machine) Held() revision.Stamp { return revision.StampOf(machine.revision.Held()) }

// Voters returns the listed instances whose votes count.
func (machine *Machine) Voters() []string { return machine.contact.Voters() }

// Leaving returns the targets that are known to be leaving.
func (machine *Machine) Leaving(now time.Time) []string {
	var names []string
	for name, until := range machine.left {
		if now.Before(until) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Standing judges whether this instance may take new work.
func (machine *Machine) Standing(now time.Time) contact.Standing {
	standing := machine.contact.Standing(now)
	if standing != contact.Good {
		return standing
	}
	if !machine.joinedAt(now) || machine.InForce() == nil {
		return contact.Waiting
	}
	if until, coming := machine.revision.Until(); coming && !now.Before(until) {
		return contact.Undecided
	}
	return contact.Good
}

// GoodUntil returns the instant until which new work may be taken if nothing more is heard.
func (machine *Machine) GoodUntil() time.Time {
	return machine.contact.GoodUntil()
}

// Next returns the revision that takes force next and its instant, once both are sure.
func (machine *Machine) Next() (*document.Document, time.Time) {
	at, decided := machine.revision.Next()
	if !decided || machine.InForce() == nil || machine.revision.Held() == machine.InForce() {
		return nil, time.Time{}
	}
	return machine.revision.Held(), at
}

// Until returns the instant from which the revision in force admits nothing more, if one is known.
func (machine *Machine) Until() (time.Time, bool) {
	return machine.revision.Until()
}

// joinedAt reports whether a peer has answered, or none did in the time that a join may take.
func (machine *Machine) joinedAt(now time.Time) bool {
	return machine.joined || now.Sub(machine.started) >= joinTerm
}
