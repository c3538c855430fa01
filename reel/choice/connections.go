package choice

import (
	"slices"

	"shallotreel.example/reel/catalogue"
)

// Fleet describes the instances that share the connections and the rate limits of the targets.
type Fleet struct {
	Name       string         // of this instance
	DataCentre string         // this instance's data centre
	Instances  map[string]int // number of instances that serve callers, by data centre
	Total      int            // number of these in all data centres
	Spare      int            // number of other instances, to which callers are not sent
	Idle       bool           // whether this instance is one of the spare ones
	Members    []FleetMember  // all of them
}

// FleetMember is an instance of the fleet.
type FleetMember struct {
	Name       string
	DataCentre string
	Idle       bool // whether it is one of the spare ones
}

// ConnectionLimit returns how many connections this instance may open to the target, which is one of the candidates for
// the service. The service's limit is divided between the instances of the target's data centre and all others.
// Instances without a candidate in their own data centre count as near to every target.
func (selector *Selector) ConnectionLimit(target catalogue.Target, service catalogue.Service, candidates []catalogue.Target) int {
	if selector.fleet.Idle {
		return 1
	}
	near := 0
	for centre, instances := range selector.fleet.Instances {
		if isNear(centre, target, candidates) {
			near += instances
		}
	}
	far := selector.fleet.Total - near
	isNear := isNear(selector.fleet.DataCentre, target, candidates)
	connections := float64(service.MaxConnections)
	if selector.fleet.Spare > 0 {
		connections *= workingShare
	}
	switch {
	case isNear && far == 0, !isNear && near == 0:
	case isNear:
		connections *= nearConnectionShare
	default:
		connections *= farConnectionShare
	}
	if isNear {
		return max(1, int(connections)/max(near, 1))
	}
	return max(1, int(connections)/max(far, 1))
}

// isNear reports whether the instances of the data centre are near the target, as they are to every target of a service
// that has none in theirs.
func isNear(centre string, target catalogue.Target, candidates []catalogue.Target) bool {
	return centre == target.DataCentre || !hasTargetIn(candidates, centre)
}

// hasTargetIn reports whether any of the targets is in the data centre.
func hasTargetIn(targets []catalogue.Target, centre string) bool {
	return slices.ContainsFunc(targets, func(target catalogue.Target) bool { return target.DataCentre == centre })
}
