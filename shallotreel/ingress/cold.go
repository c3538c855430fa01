package ingress

import (
	"slices"
	"time"

	"shallotreel.example/reel/member"
	"shallotreel.example/reel/warmup"
	"shallotreel.example/reel/workingset"
)

// MembersComplete records that this instance knows all members of the fleet, so that it may use its parts of the rates of cold
// targets.
func (router *Router) MembersComplete(now time.Time) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.senders.Complete(now)
}

// SetLost sets the instances that were lost before this one started. They may run where it does not see them.
func (router *Router) SetLost(members []member.Member) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.lost = sendersOf(members, nil)
	router.updateSenders(time.Now())
}

// updateSenders passes on the members and the lost instances. The caller must hold the lock.
func (router *Router) updateSenders(now time.Time) {
	router.senders.Update(now, slices.Concat(router.lost, router.members))
}

// ColdTargets returns the targets that this instance treats as cold at now, ordered by ID.
func (router *Router) ColdTargets(now time.Time) []warmup.ColdTarget {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.selector.ColdTargets(now)
}

// ColdHeld returns how often a target was left out of a choice because of its warm-up.
func (router *Router) ColdHeld() uint64 {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.selector.ColdHeld()
}

// sendersOf returns the members as senders, which are idle outside the working sets.
func sendersOf(members []member.Member, sets map[string][]member.Member) []warmup.Member {
	senders := make([]warmup.Member, 0, len(members))
	for _, known := range members {
		idle := known.State.Serves() && !workingset.Contains(sets[known.DataCentre], known.Name)
		senders = append(senders, warmup.Member{Name: known.Name, DataCentre: known.DataCentre, Idle: idle,
			Leaving: known.State == member.Leaving, Lost: !known.State.Reachable()})
	}
	return senders
}
