package ingress

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// GroupLoad is the state of the admission of the requests to one set of services, for operators.
type GroupLoad struct {
	Service     string        `json:"service"`  // name of the first service
	Services    int           `json:"services"` // number of services
	Limit       int           `json:"limit"`    // concurrent requests, 0 for none
	InFlight    int           `json:"in_flight"`
	Refusing    bool          `json:"refusing"`
	Evidence    string        `json:"evidence"`     // newest evidence, empty if there is none
	EvidenceAge time.Duration `json:"evidence_age"` // age of it, in nanoseconds
	Ranks       []RankLoad    `json:"ranks"`
}

// RankLoad is the state of the requests of one rank.
type RankLoad struct {
	Rank     int            `json:"rank"`
	Admitted int            `json:"admitted"` // since the start of the group
	Refused  map[string]int `json:"refused"`  // in the same time, by reason
	InFlight int            `json:"in_flight"`
	Waiting  int            `json:"waiting"`
}

// Load returns the state of the admission of each group.
func (handler *Handler) Load() []GroupLoad {
	now := time.Now()
	handler.admission.mutex.Lock()
	groups := make([]*group, 0, len(handler.admission.groups))
	for _, group := range handler.admission.groups {
		groups = append(groups, group)
	}
	handler.admission.mutex.Unlock()
	var loads []GroupLoad
	for _, group := range groups {
		loads = append(loads, group.load(now))
	}
	slices.SortFunc(loads, func(a, b GroupLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Services, b.Services))
	})
	return loads
}

func (group *group) load(now time.Time) GroupLoad {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	state := group.machine.State(now)
	running, _, _ := group.machine.Load()
	load := GroupLoad{Service: group.services[0], Services: len(group.services), Limit: state.Limit, InFlight: running, Refusing: state.Refusing}
	if !state.SignalAt.IsZero() {
		load.Evidence, load.EvidenceAge = state.Signal.String(), now.Sub(state.SignalAt)
	}
	for rank, counts := range group.ranks {
		load.Ranks = append(load.Ranks, RankLoad{rank, counts.admitted, maps.Clone(counts.refused), counts.inFlight, counts.waiting})
	}
	slices.SortFunc(load.Ranks, func(a, b RankLoad) int { return cmp.Compare(a.Rank, b.Rank) })
	return load
}
