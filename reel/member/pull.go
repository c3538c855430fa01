package member

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	startPullPeriod = time.Second      // between two pulls of an instance that has just started
	pullPeriod      = 15 * time.Second // average time between two pulls of any other instance
	startTime       = 3 * time.Second  // after the start, within which the members may all be starting too
	membersPerPage  = 12               // in one message, which fits into one packet of the network
)

// pull asks a random peer for the members that it knows if this instance has started recently, and seldom otherwise. A peer
// in the same data centre is preferred.
func (machine *Machine) pull(now time.Time) []Send {
	if now.Before(machine.nextPull) {
		return nil
	}
	peers := machine.randomMembers(1, machine.near.names)
	if len(peers) == 0 {
		peers = machine.randomMembers(1, machine.far.names)
	}
	if len(peers) == 0 {
		return nil
	}
	machine.complete = machine.complete || now.Sub(machine.firstTick) >= startTime
	machine.nextPull = now.Add(startPullPeriod)
	if machine.complete {
		machine.nextPull = now.Add(pullPeriod/2 + time.Duration(machine.random.Int64N(int64(pullPeriod))))
	}
	message := Message{Type: Pull, From: machine.self, Digest: machine.digest()}
	return []Send{{peers[0].Peer, message}}
}

// digest returns a hash of the descriptions of all members.
func (machine *Machine) digest() uint64 {
	hash := xxhash.New()
	var number [8]byte
	for _, member := range machine.Members() {
		_, _ = hash.WriteString(member.Name) // writing to a hash cannot fail
		for _, value := range []uint64{member.Incarnation, member.Version, uint64(member.State)} {
			binary.BigEndian.PutUint64(number[:], value)
			_, _ = hash.Write(number[:])
		}
	}
	return cmp.Or(hash.Sum64(), 1)
}

// answerPull returns all members that this instance knows, in pages, unless the sender of the message knows the same.
func (machine *Machine) answerPull(message Message) []Send {
	var members []Member
	if message.Digest != machine.digest() {
		members = machine.Members()
	}
	var sends []Send
	for {
		page := members[:min(len(members), membersPerPage)]
		members = members[len(page):]
		last := len(members) == 0
		answer := Message{Type: Members, From: machine.self, Updates: page, Complete: last && machine.complete}
		sends = append(sends, Send{message.From.Peer, answer})
		if last {
			return sends
		}
	}
}

// handleMembers applies the members that a peer sent. They are no news to others, so that they are not queued for gossip.
func (machine *Machine) handleMembers(now time.Time, message Message, output *Output) {
	output.add(machine.learn(now, message.Updates))
	machine.complete = machine.complete || message.Complete
}

// Complete reports whether this process should know all members: a peer that knows them has sent them, or it has known peers for
// startTime.
func (machine *Machine) Complete() bool { return machine.complete }

// hasStarted reports whether the process that sent the description was not known before.
func (machine *Machine) hasStarted(from Member) bool {
	known, ok := machine.members[from.Name]
	return !ok || known.Incarnation < from.Incarnation
}

// introducePeers tells a process that has just started of some members in its data centre, which tell it of all others.
func (machine *Machine) introducePeers(started Member) []Send {
	if started.DataCentre == machine.self.DataCentre {
		return nil // it knows this instance now
	}
	var peers []Member
	for _, member := range machine.randomMembers(len(machine.far.names), machine.far.names) {
		if member.DataCentre == started.DataCentre && member.Name != started.Name && len(peers) < membersPerPage {
			peers = append(peers, member)
		}
	}
	if len(peers) == 0 {
		return nil
	}
	return []Send{{started.Peer, Message{Type: Members, From: machine.self, Updates: peers}}}
}
