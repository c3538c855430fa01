package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/platform"
	"shallotreel.example/reel/publication"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/revision"
	"shallotreel.example/reel/target"
)

func (machine *Machine) offer(now time.Time, value publication.Value, source string, lapsed bool) Output {
	var output Output
	note := func(format string, args ...any) {
		output.Notes = append(output.Notes, fmt.Sprintf(format, args...)+" from "+source)
	}
	if held, known := machine.store.Get(value.Key); known && held.Stamp() == value.Stamp() {
		return output
	}
	if value.Key == platform.DocumentKey {
		verdict, err := machine.revision.Offer(now, value.Data, lapsed)
		switch verdict {
		case revision.Held:
			machine.store.Set(value)
			note("revision %d held", value.Version)
			if machine.InForce() == machine.revision.Held() {
				output.InForce = machine.InForce()
			}
		case revision.Invalid:
			note("revision %d refused: %v", value.Version, err)
			return output
		case revision.Known, revision.Older:
			note("revision %d refused as %v", value.Version, verdict)
			return output
		}
	} else {
		if err := machine.check(value); err != nil {
			note("%s version %d refused: %v", value.Key, value.Version, err)
			return output
		}
		if !machine.store.Put(value) {
			note("%s version %d refused as older", value.Key, value.Version)
			return output
		}
		note("%s version %d held", value.Key, value.Version)
	}
	output.Values = append(output.Values, value)
	machine.news.Put("clock", machine.store.Clock())
	if value.Key == platform.InstancesKey {
		output.add(machine.takeList(now, value))
	}
	return output
}

func (machine *Machine) check(value publication.Value) error {
	switch {
	case value.Key == platform.InstancesKey:
		var list List
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

func (machine *Machine) takeList(now time.Time, value publication.Value) Output {
	var list List
	if json.Unmarshal(value.Data, &list) != nil {
		return Output{}
	}
	machine.list = list
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
	machine.contact.Elect(value.Version, voters)
	return output
}

func (machine *Machine) introduce(now time.Time, known member.Member) Output {
	return machine.wrap(now, machine.members.Introduce(now, known))
}

// contactSeeds pulls from the peers that the settings name until one has answered.
func (machine *Machine) contactSeeds(now time.Time) Output {
	if machine.joined || now.Sub(machine.seedAt) < pullTimeout {
		return Output{}
	}
	machine.seedAt = now
	var output Output
	addresses := slices.Clone(machine.seeds)
	for _, peer := range machine.members.RandomPeers(pullsAtOnce) {
		addresses = append(addresses, peer.Peer)
	}
	for _, address := range addresses {
		output.Pulls = append(output.Pulls, machine.pull(now, address)...)
	}
	return output
}

func (machine *Machine) pull(now time.Time, from netip.AddrPort) []Pull {
	if !from.IsValid() || from == machine.members.Self().Peer {
		return nil
	}
	for address, at := range machine.pulls {
		if now.Sub(at) >= pullTimeout {
			delete(machine.pulls, address)
		}
	}
	if _, busy := machine.pulls[from]; busy || machine.joined && len(machine.pulls) >= pullsAtOnce {
		return nil
	}
	machine.pulls[from] = now
	return []Pull{{from}}
}

func (machine *Machine) mergeMarks(now time.Time, marks []quarantine.Mark) Output {
	var output Output
	for _, mark := range marks {
		if machine.book.Merge(now, mark) {
			output.add(machine.TellMark(now, mark))
		}
	}
	return output
}

func (machine *Machine) mergeLeaving(now time.Time, names []string, output *Output) {
	for _, name := range names {
		if until, known := machine.left[name]; known && now.Before(until) {
			continue
		}
		output.add(machine.TellLeaving(now, name))
		output.Notes = append(output.Notes, "target "+name+" is leaving, told by a peer")
	}
}

// spread sends news to a few random peers.
func (machine *Machine) spread(now time.Time) Output {
	var output Output
	for _, peer := range machine.members.RandomPeers(urgentFanout) {
		machine.news.Take(1, len(machine.members.Members()))
		output.Sends = append(output.Sends, Send{peer.Peer, machine.packet(now, machine.members.GossipMessage())})
	}
	return output
}

func (machine *Machine) wrap(now time.Time, from member.Output) Output {
	output := Output{Changes: from.Changes, Replaced: from.Replaced}
	for _, send := range from.Sends {
		output.Sends = append(output.Sends, Send{send.To, machine.packet(now, send.Message)})
	}
	return output
}

func (machine *Machine) packet(now time.Time, message member.Message) Packet {
	size := len(machine.list.Instances) + 1
	return Packet{
		Member: message, Clock: machine.store.Clock(), Beats: machine.contact.Beats(now),
		Switch: machine.revision.Switch(), Marks: machine.marks.Take(marksAtOnce, size),
		Leaving: machine.leaving.Take(leavingAtOnce, size),
	}
}

func (machine *Machine) sweep(now time.Time) {
	if now.Sub(machine.sweepAt) < sweepPeriod {
		return
	}
	machine.sweepAt = now
	machine.book.RemoveExpired(now)
	for name, until := range machine.left {
		if !now.Before(until) {
			delete(machine.left, name)
		}
	}
}
