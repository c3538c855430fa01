package traffic

import (
	"cmp"
	"slices"
	"time"

	"shallotreel.example/reel/operator"
	"shallotreel.example/reelctl/client"
)

// Evacuations are the evacuated data centres and the cold targets of a fleet. Instances is the number of those that
// answered.
type Evacuations struct {
	Instances   int                  `json:"instances"`
	Evacuations []Evacuation         `json:"evacuations"`
	ColdTargets []ColdTarget         `json:"cold_targets"`
	Unreachable []client.Unreachable `json:"silent"`
}

// Evacuation is a data centre that at least one instance treats as evacuated. Since is the earliest time that an instance
// states, by its own clock. RetainedUntil is set if the store was restored and lacks the evacuation, see
// operator.Evacuation. InFlight counts the attempts in flight there from the instances where the evacuation is in force.
type Evacuation struct {
	DataCentre    string    `json:"data_centre"`
	Since         time.Time `json:"since"`
	RetainedUntil time.Time `json:"retained_until,omitzero"`
	InForce       int       `json:"in_force"`        // number of instances
	NotInForceAt  []string  `json:"not_in_force_at"` // names of the other instances that answered
	InFlight      int       `json:"in_flight"`
}

// ColdTarget is a target that at least one instance treats as cold. Rate is the number of requests per second that it
// tolerates from all instances together, and Parts the sum of what the instances may send of it.
type ColdTarget struct {
	Target     string    `json:"target"`
	Service    string    `json:"service"`
	DataCentre string    `json:"data_centre"`
	ColdUntil  time.Time `json:"cold_until,omitzero"` // latest time that an instance states
	Rate       float64   `json:"rate"`
	Parts      float64   `json:"parts"`
	Instances  int       `json:"instances"` // number of those that treat it as cold
	Evidence   []string  `json:"evidence"`  // different reasons of the instances
}

// EvacuationsOf summarizes the evacuations and cold targets of the survey.
func EvacuationsOf(survey Survey) Evacuations {
	return Evacuations{Instances: len(survey.Statuses), Evacuations: evacuations(survey.Statuses),
		ColdTargets: coldTargets(survey.Statuses), Unreachable: survey.Unreachable}
}

// Uniform reports whether all instances answered and agree on which data centres are evacuated.
func (report Evacuations) Uniform() bool {
	differs := func(evacuation Evacuation) bool { return len(evacuation.NotInForceAt) > 0 }
	return len(report.Unreachable) == 0 && !slices.ContainsFunc(report.Evacuations, differs)
}

func evacuations(statuses []operator.FrontStatus) []Evacuation {
	found := map[string]*Evacuation{}
	for _, status := range statuses {
		for _, stated := range status.Evacuations {
			evacuation, ok := found[stated.DataCentre]
			if !ok {
				evacuation = &Evacuation{DataCentre: stated.DataCentre, Since: stated.Since}
				found[stated.DataCentre] = evacuation
			}
			if stated.Since.Before(evacuation.Since) {
				evacuation.Since = stated.Since
			}
			if stated.RetainedUntil.After(evacuation.RetainedUntil) {
				evacuation.RetainedUntil = stated.RetainedUntil
			}
			evacuation.InForce++
			evacuation.InFlight += stated.InFlight
		}
	}
	for _, evacuation := range found {
		evacuation.NotInForceAt = withoutEvacuation(statuses, evacuation.DataCentre)
	}
	return sortedValues(found, func(evacuation Evacuation) string { return evacuation.DataCentre })
}

// withoutEvacuation returns the names of the instances at which the data centre is not evacuated.
func withoutEvacuation(statuses []operator.FrontStatus, dataCentre string) []string {
	names := []string{}
	for _, status := range statuses {
		isThis := func(stated operator.Evacuation) bool { return stated.DataCentre == dataCentre }
		if !slices.ContainsFunc(status.Evacuations, isThis) {
			names = append(names, status.Instance)
		}
	}
	return names
}

func coldTargets(statuses []operator.FrontStatus) []ColdTarget {
	found := map[string]*ColdTarget{}
	for _, status := range statuses {
		for _, stated := range status.ColdTargets {
			target, ok := found[stated.Target]
			if !ok {
				target = &ColdTarget{Target: stated.Target, Service: stated.Service, DataCentre: stated.DataCentre}
				found[stated.Target] = target
			}
			target.add(stated)
		}
	}
	return sortedValues(found, func(target ColdTarget) string { return target.Target })
}

// add adds what one instance states of the target.
func (target *ColdTarget) add(stated operator.ColdTarget) {
	if stated.ColdUntil.After(target.ColdUntil) {
		target.ColdUntil = stated.ColdUntil
	}
	target.Rate = max(target.Rate, stated.Rate)
	target.Parts += stated.Part
	target.Instances++
	if !slices.Contains(target.Evidence, stated.Evidence) {
		target.Evidence = append(target.Evidence, stated.Evidence)
	}
}

// sortedValues returns the values of the map, ordered by the result of key.
func sortedValues[Value any](values map[string]*Value, key func(Value) string) []Value {
	sorted := make([]Value, 0, len(values))
	for _, value := range values {
		sorted = append(sorted, *value)
	}
	slices.SortFunc(sorted, func(a, b Value) int { return cmp.Compare(key(a), key(b)) })
	return sorted
}
