package catalogue

import (
	"slices"
	"time"
)

// Delta is what one instance tells another of its catalogue.
type Delta struct {
	Serial  uint64 // of the catalogue that tells
	Targets []Target
	Removed []string
	// The configuration, if it is newer than the serial that was asked about; a version of 0 means none.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Since returns what changed after the serial; 0 asks for everything.
func (catalogue *Catalogue) Since(serial uint64) Delta {
	delta := Delta{Serial: catalogue.serial}
	for _, id := range catalogue.ids() {
		entry := catalogue.entries[id]
		switch {
		case entry.serial <= serial:
		case entry.registered():
			delta.Targets = append(delta.Targets, entry.Target)
		case serial > 0:
			delta.Removed = append(delta.Removed, id)
		}
	}
	if configuration := catalogue.configuration; configuration != nil && catalogue.configured > serial {
		delta.Version, delta.Routes, delta.Limits = configuration.Version, configuration.Routes, configuration.Limits
		for _, service := range configuration.Services {
			delta.Services = append(delta.Services, service)
		}
	}
	return delta
}

// Apply takes what another instance told; a whole delta removes the targets that it does not name.
func (catalogue *Catalogue) Apply(now time.Time, delta Delta, whole bool) []Change {
	var changes []Change
	if whole {
		catalogue.BeginListing()
	}
	for _, target := range delta.Targets {
		if change, ok := catalogue.Register(target); ok {
			changes = append(changes, change)
		}
	}
	for _, id := range delta.Removed {
		if change, ok := catalogue.Remove(now, id); ok {
			changes = append(changes, change)
		}
	}
	if whole {
		changes = append(changes, catalogue.EndListing(now)...)
	}
	if delta.Version > 0 {
		catalogue.Configure(NewConfiguration(delta.Version, slices.Clone(delta.Routes), delta.Services, delta.Limits))
	}
	return changes
}
