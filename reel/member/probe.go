package member

import (
	"maps"
	"slices"
	"time"
)

// startProbe records a new probe of the member and returns its sequence number.
func (machine *Machine) startProbe(now time.Time, name string) uint64 {
	machine.seq++
	machine.probes[machine.seq] = &probe{name: name, sent: now}
	return machine.seq
}

// probeNext probes members of the own data centre in each round, and one of another data centre each farProbePeriod. While
// one of those is suspect, its data centre may be lost, so that as many of them are probed in each round.
func (machine *Machine) probeNext(now time.Time) []Send {
	sends := machine.probeGroup(now, &machine.near, probesPerPeriod)
	if machine.suspectsFar() {
		return append(sends, machine.probeGroup(now, &machine.far, probesPerPeriod)...)
	}
	if len(sends) > 0 && now.Sub(machine.lastFarProbe) < farProbePeriod {
		return sends
	}
	machine.lastFarProbe = now
	return append(sends, machine.probeGroup(now, &machine.far, max(1, probesPerPeriod-len(sends)))...)
}

// suspectsFar reports whether a member of another data centre is suspect.
func (machine *Machine) suspectsFar() bool {
	for name := range machine.timed {
		if member := machine.members[name]; member.State == Suspect && member.DataCentre != machine.self.DataCentre {
			return true
		}
	}
	return false
}

func (machine *Machine) probeGroup(now time.Time, group *group, count int) []Send {
	var sends []Send
	for range min(count, len(group.names)) {
		name, ok := machine.nextToProbe(group)
		if !ok {
			break
		}
		sends = append(sends, machine.ping(now, name))
	}
	return sends
}

func (machine *Machine) ping(now time.Time, name string) Send {
	member := machine.members[name].Member
	message := machine.newMessage(Ping, machine.startProbe(now, name), member)
	message.Updates = machine.appendRefutable(member, message.Updates)
	return Send{member.Peer, message}
}

// nextToProbe returns the next member of the group to probe. It iterates over all members that are
// not dead in random order and shuffles them again after each round.
func (machine *Machine) nextToProbe(group *group) (string, bool) {
	for range 2 {
		for len(group.probeOrder) > 0 {
			name := group.probeOrder[0]
			group.probeOrder = group.probeOrder[1:]
			if entry, ok := machine.members[name]; ok && entry.State != Dead {
				return name, true
			}
		}
		group.probeOrder = group.probeOrder[:0]
		for _, name := range group.names {
			if machine.members[name].State != Dead {
				group.probeOrder = append(group.probeOrder, name)
			}
		}
		machine.random.Shuffle(len(group.probeOrder), func(i, j int) {
			group.probeOrder[i], group.probeOrder[j] = group.probeOrder[j], group.probeOrder[i]
		})
	}
	return "", false
}

// probeDead pings one random dead member. The ping carries the description of the
// member as dead, so that a member that is reachable again can refute it.
func (machine *Machine) probeDead(now time.Time) []Send {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(machine.timed)) {
		if machine.members[name].State == Dead {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return []Send{machine.ping(now, names[machine.random.IntN(len(names))])}
}

// checkTimeouts handles the probes, relayed pings and member states that timed out.
func (machine *Machine) checkTimeouts(now time.Time, output *Output) {
	for _, seq := range sortedKeys(machine.probes) {
		probe := machine.probes[seq]
		waited := now.Sub(probe.sent)
		switch {
		case waited >= probeTimeout:
			delete(machine.probes, seq)
			machine.handleProbeTimeout(now, probe.name, output)
		case waited >= directTimeout && !probe.indirectSent:
			probe.indirectSent = true
			output.Sends = append(output.Sends, machine.sendPingRequests(seq, probe.name)...)
		}
	}
	for seq, relay := range machine.relays {
		if now.Sub(relay.sent) >= probeTimeout {
			delete(machine.relays, seq)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(machine.timed)) {
		machine.checkStateTimeout(now, name, output)
	}
	machine.forgetLost(now)
}

// sendPingRequests returns requests to random peers to ping the member.
func (machine *Machine) sendPingRequests(seq uint64, name string) []Send {
	entry, ok := machine.members[name]
	if !ok {
		return nil
	}
	var sends []Send
	for _, peer := range machine.RandomPeers(indirectProbes + 1) {
		if peer.Name == name || len(sends) == indirectProbes {
			continue
		}
		message := machine.newMessage(PingRequest, seq, peer)
		message.PingAddress = entry.Peer
		sends = append(sends, Send{peer.Peer, message})
	}
	return sends
}

// handleProbeTimeout marks a member that did not answer a probe as suspect, or as
// dead if it was leaving.
func (machine *Machine) handleProbeTimeout(now time.Time, name string, output *Output) {
	entry, ok := machine.members[name]
	if !ok {
		return
	}
	changed := entry.Member
	switch entry.State {
	case Joining, Alive:
		changed.State = Suspect
		output.Changes = append(output.Changes, machine.update(now, changed, "did not answer a probe"))
		output.Sends = append(output.Sends, machine.ping(now, name)) // lets a member that lives refute the suspicion at once
	case Leaving:
		changed.State = Dead
		output.Changes = append(output.Changes, machine.update(now, changed, "left"))
	case Suspect, Dead:
	}
}

// checkStateTimeout marks a member that was suspect for too long as dead, and removes
// a member that was dead for too long.
func (machine *Machine) checkStateTimeout(now time.Time, name string, output *Output) {
	entry := machine.members[name]
	switch {
	case entry.State == Suspect && now.Sub(entry.changedAt) >= suspicionTimeout:
		dead := entry.Member
		dead.State = Dead
		output.Changes = append(output.Changes, machine.update(now, dead, "suspicion timed out"))
	case entry.State == Dead && now.Sub(entry.changedAt) >= deadRetention:
		machine.remove(name)
	}
}

// restartSuspicions restarts the suspicion timeouts after this process was paused,
// since suspects could not refute the suspicion in the meantime.
func (machine *Machine) restartSuspicions(now time.Time) {
	for _, entry := range machine.members {
		if entry.State == Suspect {
			entry.changedAt = now
		}
	}
}

func sortedKeys(probes map[uint64]*probe) []uint64 {
	keys := make([]uint64, 0, len(probes))
	for key := range probes {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
