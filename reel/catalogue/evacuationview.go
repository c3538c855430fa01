package catalogue

import (
	"iter"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// evacuationView is the part of a View about evacuations.
type evacuationView struct {
	evacuations []Evacuation            // ordered by data centre
	returnedAt  map[string]time.Time    // by data centre that is not evacuated
	evacuated   map[string][]Target     // targets that Targets leaves out, by service
	addresses   map[netip.AddrPort]bool // of evacuated
	serial      uint64
}

// add adds a target that Targets leaves out.
func (view *evacuationView) add(target Target) {
	view.evacuated[target.Service] = append(view.evacuated[target.Service], target)
	view.addresses[target.Address] = true
}

// evacuationView returns the view of the evacuations, without targets.
func (catalogue *Catalogue) evacuationView() evacuationView {
	view := evacuationView{returnedAt: map[string]time.Time{}, evacuated: map[string][]Target{}, addresses: map[netip.AddrPort]bool{},
		serial: catalogue.evacuations.serial}
	for _, dataCentre := range catalogue.evacuatedDataCentres() {
		state := catalogue.evacuations.states[dataCentre]
		if state.active {
			view.evacuations = append(view.evacuations, state.evacuation(dataCentre))
		} else {
			view.returnedAt[dataCentre] = state.since
		}
	}
	return view
}

// Evacuations returns the evacuations in force, ordered by data centre.
func (view *View) Evacuations() []Evacuation { return view.evacuation.evacuations }

// EvacuationSerial returns a number that changes whenever evacuations do.
func (view *View) EvacuationSerial() uint64 { return view.evacuation.serial }

// IsEvacuated reports whether the data centre is evacuated.
func (view *View) IsEvacuated(dataCentre string) bool {
	_, found := slices.BinarySearchFunc(view.evacuation.evacuations, dataCentre,
		func(evacuation Evacuation, dataCentre string) int {
			return strings.Compare(evacuation.DataCentre, dataCentre)
		})
	return found
}

// IsEvacuatedAddress reports whether the address is that of a target that takes no work because of an evacuation.
func (view *View) IsEvacuatedAddress(address netip.AddrPort) bool {
	return view.evacuation.addresses[address]
}

// ReturnedAt returns when this instance learned that the newest evacuation of the data centre ended. It returns false if there was
// none, or it is in force.
func (view *View) ReturnedAt(dataCentre string) (time.Time, bool) {
	at, ok := view.evacuation.returnedAt[dataCentre]
	return at, ok
}

// Registered reports whether the process of the target is registered and takes new work, apart from an evacuation.
func (view *View) Registered(target Target) bool {
	for _, targets := range [][]Target{view.services[target.Service], view.evacuation.evacuated[target.Service]} {
		index, found := slices.BinarySearchFunc(targets, target.ID, func(other Target, id string) int { return strings.Compare(other.ID, id) })
		if found {
			return targets[index].Born == target.Born
		}
	}
	return false
}

// EvacuatedTargets returns all targets that take no work because of an evacuation.
func (view *View) EvacuatedTargets() iter.Seq[Target] {
	return func(yield func(Target) bool) {
		for _, targets := range view.evacuation.evacuated {
			for _, target := range targets {
				if !yield(target) {
					return
				}
			}
		}
	}
}

// EvacuatedServices returns the services that have no other targets than evacuated ones, in order.
func (view *View) EvacuatedServices() []string {
	var services []string
	for service := range view.evacuation.evacuated {
		if len(view.services[service]) == 0 {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}
