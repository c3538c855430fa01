package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/gossip"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/platform"
	"shallotreel.example/reel/publication"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/revision"
	"shallotreel.example/reel/target"
)

// offerValue stores a value from the named source if it is valid and newer than the stored one. If leaseExpired is
// true, the lease had expired when the value was read.
func (machine *Machine) offerValue(now time.Time, value publication.Value, source string, leaseExpired bool) Output {
	var output Output
	logf := func(format string, args ...any) {
		output.LogMessages = append(output.LogMessages, fmt.Sprintf(format, args...)+" from "+source)
	}
	if current, ok := machine.store.Get(value.Key); ok && current.Stamp() == value.Stamp() {
		return output
	}
	if value.Key == platform.DocumentKey {
		verdict, err := machine.revision.Offer(now, value.Data, leaseExpired)
		switch verdict {
		case revision.Accepted:
			machine.store.Set(value)
			logf("revision %d accepted", value.Version)
			if machine.InForce() == machine.revision.Newest() {
				output.InForce = machine.InForce()
			}
		case revision.Invalid:
			logf("revision %d refused: %v", value.Version, err)
			return output
		case revision.Known, revision.Older:
			logf("revision %d refused as %v", value.Version, verdict)
			return output
		}
	} else {
		if err := machine.validate(value); err != nil {
			logf("%s version %d refused: %v", value.Key, value.Version, err)
			return output
		}
		if !machine.store.Put(value) {
			logf("%s version %d refused as older", value.Key, value.Version)
			return output
		}
		logf("%s version %d accepted", value.Key, value.Version)
	}
	output.Values = append(output.Values, value)
	machine.summaryQueue.Put("clock", machine.store.Summary())
	if value.Key == platform.InstancesKey {
		output.add(machine.applyInstanceList(now, value))
	}
	return output
}

// validate returns an error if the data of an instance list or a partition map is malformed.
func (machine *Machine) validate(value publication.Value) error {
	switch {
	case value.Key == platform.InstancesKey:
		var list InstanceList
		return json.Unmarshal(value.Data, &list)
	case strings.HasPrefix(value.Key, platform.TargetsKey):
		var partition target.PartitionMap
		if err := document.DecodeStrict(value.Data, &partition); err != nil {
			return err
		}
		return partition.Check()
	}
	return nil
}

// applyInstanceList introduces the listed instances and makes those that are not leaving the candidates for voters.
func (machine *Machine) applyInstanceList(now time.Time, value publication.Value) Output {
	var list InstanceList
	if json.Unmarshal(value.Data, &list) != nil {
		return Output{}
	}
	machine.instances = list
	var output Output
	var voters []string
	for _, instance := range list.Instances {
		if instance.Leaving {
			continue
		}
		voters = append(voters, instance.Name)
		output.add(machine.introduce(now, member.Member{Name: instance.Name,
			DataCentre: instance.DataCentre, Caller: instance.Caller, Peer: instance.Peer}))
	}
	machine.contact.SetVoters(value.Version, voters)
	return output
}

func (machine *Machine) introduce(now time.Time, listed member.Member) Output {
	return machine.wrapOutput(now, machine.members.Introduce(now, listed))
}

// pullSeeds pulls from the seeds and from some known peers, once per pullTimeout until one has answered.
func (machine *Machine) pullSeeds(now time.Time) Output {
	if machine.joined || now.Sub(machine.lastSeedPull) < pullTimeout {
		return Output{}
	}
	machine.lastSeedPull = now
	var output Output
	addresses := slices.Clone(machine.seeds)
	for _, peer := range machine.members.RandomPeers(maxConcurrentPulls) {
		addresses = append(addresses, peer.Peer)
	}
	for _, address := range addresses {
		output.Pulls = append(output.Pulls, machine.pull(now, address)...)
	}
	return output
}

// pull returns a Pull for the address, or nil if one is pending there or too many are pending.
func (machine *Machine) pull(now time.Time, from netip.AddrPort) []Pull {
	if !from.IsValid() || from == machine.members.Self().Peer {
		return nil
	}
	for address, started := range machine.pendingPulls {
		if now.Sub(started) >= pullTimeout {
			delete(machine.pendingPulls, address)
		}
	}
	if _, pending := machine.pendingPulls[from]; pending || machine.joined && len(machine.pendingPulls) >= maxConcurrentPulls {
		return nil
	}
	machine.pendingPulls[from] = now
	return []Pull{{from}}
}

// mergeMarks merges the marks of a peer and broadcasts those that are new to this instance.
func (machine *Machine) mergeMarks(now time.Time, marks []quarantine.Mark) Output {
	var output Output
	for _, mark := range marks {
		if machine.crashHistory.Merge(now, mark) {
			output.add(machine.BroadcastMark(now, mark))
		}
	}
	return output
}

// mergeLeaving merges the leaving targets of a peer and broadcasts those that are new to this instance.
func (machine *Machine) mergeLeaving(now time.Time, names []string, output *Output) {
	for _, name := range names {
		if until, known := machine.leavingUntil[name]; known && now.Before(until) {
			continue
		}
		output.add(machine.BroadcastLeaving(now, name))
		output.LogMessages = append(output.LogMessages, "target "+name+" is leaving, reported by a peer")
	}
}

// broadcast sends a packet with the queued items to random peers.
func (machine *Machine) broadcast(now time.Time) Output {
	var output Output
	for _, peer := range machine.members.RandomPeers(broadcastFanout) {
		machine.summaryQueue.Take(1, gossip.TransmitLimit(len(machine.members.Members())))
		output.Sends = append(output.Sends, Send{peer.Peer, machine.newPacket(now, machine.members.GossipMessage(peer))})
	}
	return output
}

// wrapOutput converts the output of the membership protocol and puts each of its messages into a packet.
func (machine *Machine) wrapOutput(now time.Time, members member.Output) Output {
	output := Output{Changes: members.Changes, Replaced: members.Replaced}
	for _, send := range members.Sends {
		output.Sends = append(output.Sends, Send{send.To, machine.newPacket(now, send.Message)})
	}
	return output
}

// newPacket returns a packet that carries the message along with heartbeats, the switch state and queued items.
func (machine *Machine) newPacket(now time.Time, message member.Message) Packet {
	limit := gossip.TransmitLimit(len(machine.instances.Instances) + 1)
	return Packet{
		Member: message, Summary: machine.store.Summary(), Heartbeats: machine.contact.Heartbeats(now),
		SwitchState: machine.revision.SwitchState(), Marks: machine.markQueue.Take(marksPerPacket, limit),
		Leaving: machine.leavingQueue.Take(leavingPerPacket, limit),
	}
}

// sweep removes expired marks and leaving targets, once per sweepPeriod.
func (machine *Machine) sweep(now time.Time) {
	if now.Sub(machine.lastSweep) < sweepPeriod {
		return
	}
	machine.lastSweep = now
	machine.crashHistory.RemoveExpired(now)
	for name, until := range machine.leavingUntil {
		if !now.Before(until) {
			delete(machine.leavingUntil, name)
		}
	}
}
