package member

import (
	"slices"

	"shallotreel.example/reel/gossip"
)

const (
	gossipFanout      = 3 // random peers in the own data centre that receive each gossip message
	farGossipFanout   = 2 // random peers in other data centres that receive it
	updatesPerMessage = 8 // maximum number of updates in one message
	// farTransmissions is the number of times that the instances of a data centre together send an update to other data
	// centres, at least once each. Traffic between data centres costs more than that inside one, so most of the
	// dissemination takes place inside, and a few transmissions lead from one to the next.
	farTransmissions = 32
)

// group holds the members on one side of the border of the data centre, and the updates still to be sent to them.
type group struct {
	names      []string // sorted
	probeOrder []string // names still to probe in this round
	broadcasts gossip.Queue[Member]
}

func (group *group) add(name string) {
	at, _ := slices.BinarySearch(group.names, name)
	group.names = slices.Insert(group.names, at, name)
}

func (group *group) remove(name string) {
	if at, found := slices.BinarySearch(group.names, name); found {
		group.names = slices.Delete(group.names, at, at+1)
	}
}

// groupOf returns the group of the member.
func (machine *Machine) groupOf(member Member) *group {
	if member.DataCentre == machine.self.DataCentre {
		return &machine.near
	}
	return &machine.far
}

// broadcast queues the description of a member for all peers.
func (machine *Machine) broadcast(member Member) {
	machine.near.broadcasts.Put(member.Name, member)
	machine.far.broadcasts.Put(member.Name, member)
}

// RandomPeers returns up to n different random peers that are not dead.
func (machine *Machine) RandomPeers(n int) []Member {
	return machine.randomMembers(n, machine.near.names, machine.far.names)
}

// randomMembers returns up to n different random members of the lists that are not dead.
func (machine *Machine) randomMembers(n int, lists ...[]string) []Member {
	names := slices.Concat(lists...)
	var picked []Member
	for len(picked) < n && len(names) > 0 {
		index := machine.random.IntN(len(names))
		if entry := machine.members[names[index]]; entry.State != Dead {
			picked = append(picked, entry.Member)
		}
		names[index] = names[len(names)-1]
		names = names[:len(names)-1]
	}
	return picked
}

// GossipMessage returns a gossip message with the pending updates for the peer. Callers may attach
// data of their own to it.
func (machine *Machine) GossipMessage(peer Member) Message {
	return machine.newMessage(Gossip, 0, peer)
}

// newMessage returns a message to the peer with some of the updates that are pending for its group.
func (machine *Machine) newMessage(messageType Type, seq uint64, peer Member) Message {
	group := machine.groupOf(peer)
	return Message{Type: messageType, From: machine.self, Seq: seq,
		Updates: group.broadcasts.Take(updatesPerMessage, machine.transmitLimit(group))}
}

// transmitLimit returns how many times this instance sends an update to members of the group.
func (machine *Machine) transmitLimit(group *group) int {
	instances := len(machine.near.names) + 1
	if group == &machine.near {
		return gossip.TransmitLimit(instances)
	}
	return (farTransmissions + instances - 1) / instances
}

// gossip returns gossip messages with the pending updates to random peers.
func (machine *Machine) gossip() []Send {
	var sends []Send
	send := func(group *group, fanout int) {
		if group.broadcasts.Len() == 0 {
			return
		}
		for _, member := range machine.randomMembers(fanout, group.names) {
			sends = append(sends, Send{member.Peer, machine.newMessage(Gossip, 0, member)})
		}
	}
	send(&machine.near, gossipFanout)
	send(&machine.far, farGossipFanout)
	return sends
}
