package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// targetCentreShare is the share of the rate for the instances in the target's data centre, if there are others.
	targetCentreShare = 0.5
	// minHolders and holdersPerRequest determine how many instances hold parts. Each may send one request more within a second
	// than its part of the rate, so that their number must stay below the excess that is allowed.
	minHolders        = 3
	holdersPerRequest = 0.2
)

// Sender is an instance that may send requests to a target that takes a strictly limited rate.
type Sender struct {
	Name       string
	DataCentre string
	Idle       bool // whether callers are not sent to the instance
}

// Division divides rates so that no second has many more requests than the rate, also if instances know different members. Of
// two instances, the one that knows more senders takes no larger part. Data centres hold fixed shares, so that a lost one
// changes nothing in the others.
type Division struct {
	centres []string            // sorted
	senders map[string][]string // that hold parts, by data centre
}

// Divide returns the division between the senders. A data centre of idle senders is one that has not begun to serve, so that
// all of its senders count.
func Divide(senders []Sender) *Division {
	division := &Division{senders: map[string][]string{}}
	idle := map[string][]string{}
	for _, sender := range senders {
		group := division.senders
		if sender.Idle {
			group = idle
		}
		group[sender.DataCentre] = append(group[sender.DataCentre], sender.Name)
	}
	for centre, names := range idle {
		if len(division.senders[centre]) == 0 {
			division.senders[centre] = names
		}
	}
	for centre := range division.senders {
		division.centres = append(division.centres, centre)
	}
	slices.Sort(division.centres)
	return division
}

// Part returns the part of the sender in the rate of the target, in requests a second, which is 0 if others hold it.
func (division *Division) Part(rate float64, target, targetCentre string, sender Sender) float64 {
	holders := minHolders + int(holdersPerRequest*rate)
	centres := division.centresOf(target, targetCentre, holders)
	if !slices.Contains(centres, sender.DataCentre) {
		return 0
	}
	share := 1 / float64(len(centres))
	if centres[0] == targetCentre && len(centres) > 1 {
		share = (1 - targetCentreShare) / float64(len(centres)-1)
		if sender.DataCentre == targetCentre {
			share = targetCentreShare
		}
	}
	names := division.senders[sender.DataCentre]
	holders = min(len(names), max(1, int(share*float64(holders))))
	own, before := rank(target, sender.Name), 0
	for _, name := range names {
		if rank(target, name) < own {
			before++
		}
	}
	if before >= holders || !slices.Contains(names, sender.Name) {
		return 0
	}
	return share * rate / float64(holders)
}

// centresOf returns at most the given number of data centres that hold shares of the target's rate, its own first.
func (division *Division) centresOf(target, targetCentre string, count int) []string {
	centres := slices.Clone(division.centres)
	order := func(centre string) uint64 {
		if centre == targetCentre {
			return 0
		}
		return rank(target, centre)
	}
	slices.SortFunc(centres, func(a, b string) int { return cmp.Compare(order(a), order(b)) })
	return centres[:min(len(centres), count)]
}

// PartOf returns the part with the rate, without turns.
func PartOf(rate float64) Part {
	return Part{Rate: rate, Turn: time.Second}
}
