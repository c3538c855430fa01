package member

import (
	"maps"
	"slices"
	"time"
)

func (machine *Machine) track(now time.Time, name string) uint64 {
	machine.seq++
	machine.probes[machine.seq] = &probe{name: name, sent: now}
	return machine.seq
}

func (machine *Machine) probeNext(now time.Time) []Send {
	var sends []Send
	for range min(probesAtOnce, len(machine.members)) {
		name, ok := machine.nextInRing()
		if !ok {
			break
		}
		sends = append(sends, machine.ping(now, name))
	}
	return sends
}

func (machine *Machine) ping(now time.Time, name string) Send {
	member := machine.members[name].Member
	message := machine.message(Ping, machine.track(now, name))
	message.Updates = machine.about(member, message.Updates)
	return Send{member.Peer, message}
}

// nextInRing walks a shuffled list of the members that are not dead.
func (machine *Machine) nextInRing() (string, bool) {
	for range 2 {
		for len(machine.ring) > 0 {
			name := machine.ring[0]
			machine.ring = machine.ring[1:]
			if entry, ok := machine.members[name]; ok && entry.State != Dead {
				return name, true
			}
		}
		machine.ring = machine.ring[:0]
		for _, name := range machine.listed {
			if machine.members[name].State != Dead {
				machine.ring = append(machine.ring, name)
			}
		}
		machine.random.Shuffle(len(machine.ring), func(i, j int) {
			machine.ring[i], machine.ring[j] = machine.ring[j], machine.ring[i]
		})
	}
	return "", false
}

func (machine *Machine) probeDead(now time.Time) []Send {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(machine.aging)) {
		if machine.members[name].State == Dead {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return []Send{machine.ping(now, names[machine.random.IntN(len(names))])}
}

func (machine *Machine) expire(now time.Time, output *Output) {
	for _, seq := range sortedKeys(machine.probes) {
		probe := machine.probes[seq]
		waited := now.Sub(probe.sent)
		switch {
		case waited >= probeTimeout:
			delete(machine.probes, seq)
			machine.doubt(now, probe.name, output)
		case waited >= directTimeout && !probe.indirect:
			probe.indirect = true
			output.Sends = append(output.Sends, machine.askOthers(seq, probe.name)...)
		}
	}
	for seq, relay := range machine.relays {
		if now.Sub(relay.sent) >= probeTimeout {
			delete(machine.relays, seq)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(machine.aging)) {
		machine.age(now, name, output)
	}
}

func (machine *Machine) askOthers(seq uint64, name string) []Send {
	entry, ok := machine.members[name]
	if !ok {
		return nil
	}
	var sends []Send
	for _, helper := range machine.Pick(indirect + 1) {
		if helper.Name == name || len(sends) == indirect {
			continue
		}
		message := machine.message(PingRequest, seq)
		message.About = entry.Peer
		sends = append(sends, Send{helper.Peer, message})
	}
	return sends
}

func (machine *Machine) doubt(now time.Time, name string, output *Output) {
	entry, ok := machine.members[name]
	if !ok {
		return
	}
	doubted := entry.Member
	switch entry.State {
	case Joining, Alive:
		doubted.State = Suspect
		output.Changes = append(output.Changes, machine.set(now, doubted, "did not answer a probe"))
	case Leaving:
		doubted.State = Dead
		output.Changes = append(output.Changes, machine.set(now, doubted, "left"))
	case Suspect, Dead:
	}
}

func (machine *Machine) age(now time.Time, name string, output *Output) {
	entry := machine.members[name]
	switch {
	case entry.State == Suspect && now.Sub(entry.since) >= suspectTerm:
		dead := entry.Member
		dead.State = Dead
		output.Changes = append(output.Changes, machine.set(now, dead, "stayed silent"))
	case entry.State == Dead && now.Sub(entry.since) >= deadTerm:
		machine.drop(name)
	}
}

// renewSuspects gives suspects their full term again after this process itself was paused.
func (machine *Machine) renewSuspects(now time.Time) {
	for _, entry := range machine.members {
		if entry.State == Suspect {
			entry.since = now
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
