package patience

import (
	"slices"
	"time"
)

const (
	roundTripDefault = 10 * time.Millisecond // until callers have shown theirs
	roundTripLeast   = 2 * time.Millisecond  // less than this is rounding
	samplesMost      = 64
	samplesLow       = 10                   // one sample in so many may be shorter than a round trip
	slack            = 6 * time.Millisecond // for delays of this instance and of its caller
)

// Learner learns the whole patience of each route's callers and how long connecting takes them.
// It has no clock and no lock.
type Learner struct {
	whole     map[string]time.Duration
	samples   []time.Duration // times spent before requests, most of them on connecting
	roundTrip time.Duration
}

// New returns a learner that has seen no caller.
func New() *Learner {
	return &Learner{whole: map[string]time.Duration{}, roundTrip: roundTripDefault}
}

// Spent returns how much of its time a caller of the route had used when it sent its request.
func (learner *Learner) Spent(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	whole := max(learner.whole[route], left)
	learner.whole[route] = whole
	spent := whole - left
	learner.connected(spent)
	return spent
}

// connected takes the shorter times spent before a request as that of connecting, which is one round trip.
func (learner *Learner) connected(spent time.Duration) {
	if spent < roundTripLeast {
		return
	}
	learner.samples = append(learner.samples, spent)
	if len(learner.samples) < samplesMost {
		return
	}
	slices.Sort(learner.samples)
	learner.roundTrip = min(learner.samples[samplesMost/samplesLow], roundTripDefault)
	learner.samples = learner.samples[:0]
}

// Goal returns the last moment to send an answer that reaches the caller within the goal, for a request that
// came in at the moment when the caller had spent so much. A goal that is spent already is counted from now.
func (learner *Learner) Goal(now time.Time, goal, spent time.Duration) time.Time {
	left := goal - spent - learner.roundTrip - slack
	if left <= 0 {
		left = goal
	}
	return now.Add(left)
}
