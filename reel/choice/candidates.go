package choice

import "time"

// CandidatesChanged makes the next choice compute this instance's parts of limits again, since other targets share the load now.
func (selector *Selector) CandidatesChanged() {
	selector.fleetSet++
}

// Keep keeps the statistics of a target that may not be used now, so that they are there when it is used again.
func (selector *Selector) Keep(now time.Time, id string) {
	if health, ok := selector.targets[id]; ok {
		health.lastUsed = now
	}
}
