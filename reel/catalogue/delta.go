package catalogue

import (
	"slices"
	"time"

	"shallotreel.example/reel/storepos"
)

// Delta is the set of changes that one instance sends to another to bring its catalogue up to date.
type Delta struct {
	Serial  uint64   // serial of the sender's catalogue
	Targets []Target // targets added or changed, with those whose removal is pending
	Removed []string // IDs of the targets removed, for builds that do not know Removals; empty in a full listing
	// Removals are the targets removed. A full listing has those that are still known, since it may be newer than the position that goes with it.
	Removals []Removal
	Pending  []PendingRemoval
	// The following fields hold the configuration if it changed after the requested serial. Version is 0 otherwise.
	Version             uint64
	Routes              []Route
	Services            []Service
	Limits              Limits
	SupportsEvacuations bool             // whether the sender's build knows evacuations
	SupportsPending     bool             // whether the sender's build tells pending removals
	Evacuations         *EvacuationDelta // nil if they did not change after the requested serial
}

// Since returns the changes after the serial, or the whole catalogue for a serial of 0.
func (catalogue *Catalogue) Since(now time.Time, serial uint64) Delta {
	delta := Delta{Serial: catalogue.serial, SupportsEvacuations: true, SupportsPending: true,
		Evacuations: catalogue.EvacuationsSince(now, serial)}
	for _, id := range catalogue.ids() {
		entry := catalogue.entries[id]
		switch {
		case entry.serial <= serial:
		case entry.presumedAlive():
			delta.Targets = append(delta.Targets, entry.Target)
			if entry.isPending() {
				pending := PendingRemoval{ID: id, Born: entry.Born, Seq: entry.Seq, Left: entry.unusableAt.Sub(now), Position: entry.Position}
				delta.Pending = append(delta.Pending, pending)
			}
		default:
			delta.Removals = append(delta.Removals, Removal{id, entry.Position})
			if serial > 0 {
				delta.Removed = append(delta.Removed, id)
			}
		}
	}
	if configuration := catalogue.configuration; configuration != nil && catalogue.configurationSerial > serial {
		delta.Version, delta.Routes, delta.Limits = configuration.Version, configuration.Routes, configuration.Limits
		for _, service := range configuration.Services {
			delta.Services = append(delta.Services, service)
		}
	}
	return delta
}

// pendingIDs returns the set of targets whose removal is pending.
func (delta Delta) pendingIDs() map[string]bool {
	ids := make(map[string]bool, len(delta.Pending))
	for _, removal := range delta.Pending {
		ids[removal.ID] = true
	}
	return ids
}

// removals returns the targets removed, without positions if the sender's build does not know them.
func (delta Delta) removals() []Removal {
	if len(delta.Removals) > 0 {
		return delta.Removals
	}
	removals := make([]Removal, 0, len(delta.Removed))
	for _, id := range delta.Removed {
		removals = append(removals, Removal{ID: id})
	}
	return removals
}

// Apply applies a delta from another instance, which has all changes up to the position of the store, and returns the changes of targets. If
// whole is set, the delta is a full listing, and targets that it does not contain are removed, unless something newer is known of them.
func (catalogue *Catalogue) Apply(now time.Time, delta Delta, whole bool, position storepos.Position) []Change {
	var changes []Change
	catalogue.ApplyEvacuations(now, delta.Evacuations)
	if whole {
		catalogue.BeginListing()
	}
	pending := delta.pendingIDs()
	for _, target := range delta.Targets {
		if pending[target.ID] && catalogue.hasRemoved(target) {
			continue // the peer knows a later report, but the same end
		}
		if change, ok := catalogue.Register(target); ok {
			changes = append(changes, change)
		}
	}
	for _, removal := range delta.Pending {
		if change, ok := catalogue.removePending(now, removal); ok {
			changes = append(changes, change)
		}
	}
	removeKnown := catalogue.finishRemoval
	if whole {
		removeKnown = catalogue.removeListed
	}
	for _, removal := range delta.removals() {
		if change, ok := removeKnown(now, removal); ok {
			changes = append(changes, change)
		}
	}
	if whole {
		changes = append(changes, catalogue.EndListing(now, position)...)
	}
	if delta.Version > 0 {
		catalogue.Configure(NewConfiguration(delta.Version, slices.Clone(delta.Routes), delta.Services, delta.Limits))
	}
	return changes
}
