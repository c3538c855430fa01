package traffic

import (
	"slices"
	"strconv"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/operator"
	"shallotreel.example/reelctl/client"
)

// Units of the numbers of admitted and refused requests.
const (
	PerSecond  = "per second"
	SinceStart = "since the start of each instance"
)

// Load is the admission of requests at all instances together. Unit is the unit of Admitted and Refused.
type Load struct {
	Unit        string               `json:"unit"`
	Groups      []Group              `json:"groups"`
	Unreachable []client.Unreachable `json:"silent"`
}

// Group is the admission of the requests that go to the same set of services. Limit is the sum over the instances that
// limit the group, of which there are Limiting. Evidence is the newest evidence of congestion at any instance.
type Group struct {
	Name        string            `json:"name"`
	Limit       int               `json:"limit"`
	Limiting    int               `json:"limiting"`
	Evidence    string            `json:"evidence,omitempty"`
	EvidenceAge document.Duration `json:"evidence_age,omitempty"`
	EvidenceAt  string            `json:"evidence_at,omitempty"` // name of the instance
	Ranks       []Rank            `json:"ranks"`
	EndsWhen    string            `json:"ends_when"` // what would end the refusals
}

// Rank is the admission of the requests of one rank of a group.
type Rank struct {
	Rank        int                `json:"rank"` // 0 is the highest
	Admitted    float64            `json:"admitted"`
	Refused     float64            `json:"refused"`
	Reasons     map[string]float64 `json:"reasons"` // refused by reason
	InFlight    int                `json:"in_flight"`
	Waiting     int                `json:"waiting"`
	DataCentres []string           `json:"data_centres"` // of the instances that refuse requests
}

// LoadOf summarizes the admission since the start of the instances.
func LoadOf(survey Survey) Load {
	return summarize(SinceStart, survey, map[string]operator.FrontStatus{})
}

// LoadBetween summarizes the admission between two surveys. An instance that only one of them has does not count towards
// Admitted and Refused.
func LoadBetween(before, after Survey) Load {
	earlier := map[string]operator.FrontStatus{}
	for _, status := range before.Statuses {
		earlier[status.Instance] = status
	}
	return summarize(PerSecond, after, earlier)
}

func summarize(unit string, survey Survey, earlier map[string]operator.FrontStatus) Load {
	found := map[string]*Group{}
	for _, status := range survey.Statuses {
		scale := scaleOf(unit, status, earlier)
		for _, stated := range status.Admission {
			group, ok := found[stated.Name]
			if !ok {
				group = &Group{Name: stated.Name}
				found[stated.Name] = group
			}
			group.add(status, stated, counts{scale, ranksOf(earlier[status.Instance], stated.Name)})
		}
	}
	for _, group := range found {
		group.EndsWhen = group.endsWhen()
	}
	return Load{Unit: unit, Groups: sortedValues(found, func(group Group) string { return group.Name }),
		Unreachable: survey.Unreachable}
}

// scaleOf returns the factor from a difference of the counters of an instance to the unit, 0 if there is no earlier status
// to compare with.
func scaleOf(unit string, status operator.FrontStatus, earlier map[string]operator.FrontStatus) float64 {
	if unit == SinceStart {
		return 1
	}
	before, ok := earlier[status.Instance]
	if elapsed := status.Time.Sub(before.Time); ok && elapsed > 0 {
		return 1 / elapsed.Seconds()
	}
	return 0
}

// ranksOf returns the ranks of the group in the status.
func ranksOf(status operator.FrontStatus, group string) map[int]operator.Rank {
	ranks := map[int]operator.Rank{}
	for _, stated := range status.Admission {
		if stated.Name != group {
			continue
		}
		for _, rank := range stated.Ranks {
			ranks[rank.Rank] = rank
		}
	}
	return ranks
}

// counts converts the counters of one instance and group to the unit of a report.
type counts struct {
	scale   float64
	earlier map[int]operator.Rank // by rank
}

// between converts the difference of two states of a counter. A counter that has fallen belongs to a process that has started
// in between.
func (counts counts) between(earlier, later uint64) float64 {
	if later < earlier {
		earlier = 0
	}
	return counts.scale * float64(later-earlier)
}

// add adds the state of the group at one instance.
func (group *Group) add(status operator.FrontStatus, stated operator.Group, counts counts) {
	if stated.Limit > 0 {
		group.Limit += stated.Limit
		group.Limiting++
	}
	if stated.Evidence != "" && (group.Evidence == "" || stated.EvidenceAge < group.EvidenceAge) {
		group.Evidence, group.EvidenceAge, group.EvidenceAt = stated.Evidence, stated.EvidenceAge, status.Instance
	}
	for _, rank := range stated.Ranks {
		group.rank(rank.Rank).add(status.DataCentre, rank, counts)
	}
}

// rank returns the rank with the number, which it creates if there is none. The ranks stay in order.
func (group *Group) rank(number int) *Rank {
	index, ok := slices.BinarySearchFunc(group.Ranks, number, func(rank Rank, number int) int { return rank.Rank - number })
	if !ok {
		rank := Rank{Rank: number, Reasons: map[string]float64{}, DataCentres: []string{}}
		group.Ranks = slices.Insert(group.Ranks, index, rank)
	}
	return &group.Ranks[index]
}

// add adds the state of the rank at one instance of the data centre.
func (rank *Rank) add(dataCentre string, stated operator.Rank, counts counts) {
	earlier := counts.earlier[stated.Rank]
	rank.Admitted += counts.between(earlier.Admitted, stated.Admitted)
	rank.InFlight += stated.InFlight
	rank.Waiting += stated.Waiting
	for reason, number := range stated.Refused {
		refused := counts.between(earlier.Refused[reason], number)
		if refused == 0 {
			continue
		}
		rank.Refused += refused
		rank.Reasons[reason] += refused
		if index, ok := slices.BinarySearch(rank.DataCentres, dataCentre); !ok {
			rank.DataCentres = slices.Insert(rank.DataCentres, index, dataCentre)
		}
	}
}

// endsWhen states in one sentence what would end the refusals of the group.
func (group *Group) endsWhen() string {
	refused, most := 0.0, Rank{}
	for _, rank := range group.Ranks {
		refused += rank.Refused
		if rank.Admitted+rank.Refused > most.Admitted+most.Refused {
			most = rank
		}
	}
	switch {
	case refused == 0:
		return "Nothing is refused."
	case group.Evidence == "" && group.Limiting == 0:
		return "The refusals have ended: no instance that answered limits the group."
	case group.Evidence == "":
		return "The refusals end by themselves: the newest evidence of no instance that answered shows congestion, so the limits rise."
	default:
		return "The refusals end with the evidence: with fewer requests of rank " + strconv.Itoa(most.Rank) +
			", which has the most, or with more capacity at the targets of the group."
	}
}
