package member

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"shallotreel.example/reel/gossip"
)

const (
	probePeriod   = 500 * time.Millisecond
	directTimeout = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	suspectTerm   = 2 * time.Second
	deadPeriod    = 2 * time.Second
	deadTerm      = 10 * time.Minute
	pauseGap      = time.Second
	probesAtOnce  = 2
	indirect      = 3
	newsFanout    = 3
	updatesAtOnce = 8
	pickTries     = 20 // draws for each peer to pick
)

// Machine keeps the membership of the fleet as this instance sees it.
type Machine struct {
	self    Member
	members map[string]*entry
	random  *rand.Rand
	news    gossip.Queue[Member]
	seq     uint64
	probes  map[uint64]*probe
	relays  map[uint64]relay
	ring    []string
	listed  []string        // names of all known members, ordered
	aging   map[string]bool // suspects and dead, whose state changes with time
	version uint64          // rises with each change of a member
	probeAt time.Time
	deadAt  time.Time
	seen    time.Time
}

type entry struct {
	Member
	since time.Time
}

type probe struct {
	name     string
	sent     time.Time
	indirect bool
}

type relay struct {
	to   netip.AddrPort
	seq  uint64
	sent time.Time
}

// New returns the machine of an instance that knows only itself.
func New(self Member, random *rand.Rand) *Machine {
	machine := &Machine{self: self, random: random, members: map[string]*entry{},
		probes: map[uint64]*probe{}, relays: map[uint64]relay{}, aging: map[string]bool{}}
	machine.news.Put(self.Name, self)
	return machine
}

// Self returns this instance's own description.
func (machine *Machine) Self() Member {
	return machine.self
}

// Members returns all known instances, this one included, ordered by name.
func (machine *Machine) Members() []Member {
	members := []Member{machine.self}
	for _, entry := range machine.members {
		members = append(members, entry.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Introduce adds an instance that the platform or the settings name, if it is not known yet.
func (machine *Machine) Introduce(now time.Time, member Member) Output {
	if _, known := machine.members[member.Name]; known || member.Name == machine.self.Name {
		return Output{}
	}
	member.Incarnation, member.Version, member.State = 0, 0, Joining
	machine.put(now, member)
	message := machine.message(Ping, machine.track(now, member.Name))
	return Output{
		Sends:   []Send{{member.Peer, message}},
		Changes: []Change{{member, "introduced"}},
	}
}

// Ready makes this instance tell the others that it takes work.
func (machine *Machine) Ready(now time.Time) Output {
	if machine.self.State != Joining {
		return Output{}
	}
	machine.self.State = Alive
	machine.renew()
	return Output{Sends: machine.tell(now)}
}

// Leave makes this instance tell the others that it is leaving.
func (machine *Machine) Leave(now time.Time) Output {
	machine.self.State = Leaving
	machine.renew()
	return Output{Sends: machine.tell(now)}
}

// Receive takes a message from a peer.
func (machine *Machine) Receive(now time.Time, message Message) Output {
	if message.From.Name == machine.self.Name && message.From.Incarnation == machine.self.Incarnation {
		return Output{}
	}
	output := machine.Merge(now, append([]Member{message.From}, message.Updates...))
	switch message.Type {
	case Ping:
		reply := machine.message(Ack, message.Seq)
		reply.Subject = machine.self.Name
		reply.Updates = machine.about(message.From, reply.Updates)
		output.Sends = append(output.Sends, Send{message.From.Peer, reply})
	case PingRequest:
		machine.seq++
		machine.relays[machine.seq] = relay{message.From.Peer, message.Seq, now}
		output.Sends = append(output.Sends, Send{message.About, machine.message(Ping, machine.seq)})
	case Ack:
		output.Sends = append(output.Sends, machine.acked(message)...)
	case News:
	}
	return output
}

// acked ends the probe that the message answers, or passes the answer on to who asked for it.
func (machine *Machine) acked(message Message) []Send {
	if probe, ok := machine.probes[message.Seq]; ok && probe.name == message.Subject {
		delete(machine.probes, message.Seq)
	}
	relay, ok := machine.relays[message.Seq]
	if !ok {
		return nil
	}
	delete(machine.relays, message.Seq)
	answer := machine.message(Ack, relay.seq)
	answer.Subject = message.Subject
	return []Send{{relay.to, answer}}
}

// Merge takes descriptions of members and keeps those that are newer than what is known.
func (machine *Machine) Merge(now time.Time, updates []Member) Output {
	var output Output
	for _, update := range updates {
		if update.Name == machine.self.Name {
			output.Replaced = output.Replaced || machine.defend(update)
			continue
		}
		known, ok := machine.members[update.Name]
		if ok && !update.Newer(known.Member) {
			continue
		}
		if !ok && update.State == Dead {
			continue
		}
		output.Changes = append(output.Changes, machine.set(now, update, "told by a peer"))
	}
	return output
}

// Tick lets time pass: it probes, gives up on probes, and spreads news.
func (machine *Machine) Tick(now time.Time) Output {
	var output Output
	if gap := now.Sub(machine.seen); gap > pauseGap {
		clear(machine.probes)
		machine.renewSuspects(now)
	}
	machine.seen = now
	machine.expire(now, &output)
	if now.Sub(machine.probeAt) >= probePeriod {
		machine.probeAt = now
		output.Sends = append(output.Sends, machine.probeNext(now)...)
	}
	if now.Sub(machine.deadAt) >= deadPeriod {
		machine.deadAt = now
		output.Sends = append(output.Sends, machine.probeDead(now)...)
	}
	if machine.news.Len() > 0 {
		output.Sends = append(output.Sends, machine.tell(now)...)
	}
	return output
}

// Version rises whenever Members would return something else.
func (machine *Machine) Version() uint64 {
	return machine.version
}

// Pick returns up to n random peers that are not dead.
func (machine *Machine) Pick(n int) []Member {
	var picked []Member
	var seen []int
	for tries := 0; len(picked) < n && len(seen) < len(machine.listed) && tries < pickTries*n; tries++ {
		at := machine.random.IntN(len(machine.listed))
		if slices.Contains(seen, at) {
			continue
		}
		seen = append(seen, at)
		if entry := machine.members[machine.listed[at]]; entry.State != Dead {
			picked = append(picked, entry.Member)
		}
	}
	return picked
}

// News returns an empty news message to carry what else there is to tell.
func (machine *Machine) News() Message {
	return machine.message(News, 0)
}

func (machine *Machine) message(kind Type, seq uint64) Message {
	return Message{Type: kind, From: machine.self, Seq: seq,
		Updates: machine.news.Take(updatesAtOnce, len(machine.members)+1)}
}

// about adds what is believed of the member itself, so that it can refute it.
func (machine *Machine) about(member Member, updates []Member) []Member {
	known, ok := machine.members[member.Name]
	if ok && known.State >= Suspect {
		return append(updates, known.Member)
	}
	return updates
}

// defend refutes a wrong belief about this instance; it reports whether a newer process took its name.
func (machine *Machine) defend(update Member) bool {
	if update.Incarnation > machine.self.Incarnation {
		return true
	}
	if update.Newer(machine.self) {
		machine.self.Version = update.Version
		machine.renew()
	}
	return false
}

func (machine *Machine) renew() {
	machine.version++
	machine.self.Version++
	machine.news.Put(machine.self.Name, machine.self)
}

// put keeps a description and the indexes over all of them.
func (machine *Machine) put(now time.Time, member Member) {
	machine.version++
	if _, known := machine.members[member.Name]; !known {
		at, _ := slices.BinarySearch(machine.listed, member.Name)
		machine.listed = slices.Insert(machine.listed, at, member.Name)
	}
	machine.members[member.Name] = &entry{member, now}
	delete(machine.aging, member.Name)
	if member.State == Suspect || member.State == Dead {
		machine.aging[member.Name] = true
	}
}

func (machine *Machine) drop(name string) {
	machine.version++
	delete(machine.members, name)
	delete(machine.aging, name)
	if at, found := slices.BinarySearch(machine.listed, name); found {
		machine.listed = slices.Delete(machine.listed, at, at+1)
	}
}

func (machine *Machine) set(now time.Time, member Member, reason string) Change {
	machine.put(now, member)
	machine.news.Put(member.Name, member)
	return Change{member, reason}
}

func (machine *Machine) tell(time.Time) []Send {
	var sends []Send
	for _, member := range machine.Pick(newsFanout) {
		sends = append(sends, Send{member.Peer, machine.message(News, 0)})
	}
	return sends
}
