package member

import (
	"cmp"
	"slices"
	"time"
)

// Lost returns the members that were dead before this process knew them, sorted by name, as peers told within deadRetention. They
// are not told to others, so that none is remembered for ever.
func (machine *Machine) Lost() []Member {
	var members []Member
	for _, entry := range machine.lost {
		members = append(members, entry.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// noteLost records an unknown member that a peer reports as dead. It may run where only this process and its peers do not see it.
func (machine *Machine) noteLost(now time.Time, member Member) {
	if _, known := machine.lost[member.Name]; !known {
		machine.lost[member.Name] = &entry{member, now}
	}
}

// forgetLost removes lost members after deadRetention.
func (machine *Machine) forgetLost(now time.Time) {
	for name, entry := range machine.lost {
		if now.Sub(entry.changedAt) >= deadRetention {
			delete(machine.lost, name)
		}
	}
}
