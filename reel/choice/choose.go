package choice

import (
	"cmp"
	"slices"
	"time"

	"shallotreel.example/reel/catalogue"
)

// Pick is a selected target and the name of its grade, such as "good" or "probe".
type Pick struct {
	Target  catalogue.Target
	Grade   string
	Limited string // ID of a target that was left out because of its limit or its warm-up, empty if none was
}

// Choose selects a target for an attempt of the route among the candidates that were not tried and for which
// hasCapacity returns true. It reports false if none of them is usable and has a free connection.
//
// The better grade wins. Within a grade the lowest cost wins; it grows with latency and load, and is higher for targets
// of other data centres.
//
// A cold target for which no request of the rate is left is left out, like a full one. A target of a data centre that has just
// returned to service is left out of most requests, unless no other one is usable.
func (selector *Selector) Choose(now time.Time, route *catalogue.Route, candidates []catalogue.Target, service catalogue.Service,
	tried []string, hasCapacity func(catalogue.Target) bool) (Pick, bool) {
	choice := choice{route: route, service: service, candidates: candidates, tried: tried, hasCapacity: hasCapacity}
	best := selector.best(now, &choice)
	if choice.returning && best.grade >= suspect {
		choice.withReturning = true
		best = selector.best(now, &choice)
	}
	if best.grade >= full {
		return Pick{}, false
	}
	if best.grade == probe {
		selector.targetHealth(best.target.ID).probedAt = now
	}
	if best.cold {
		selector.warmup.Take(now, best.target.ID)
	}
	return Pick{best.target, best.grade.String(), choice.limited}, true
}

// choice is the input of one selection and what it has left out.
type choice struct {
	route         *catalogue.Route
	service       catalogue.Service
	candidates    []catalogue.Target
	tried         []string
	hasCapacity   func(catalogue.Target) bool
	withReturning bool   // whether targets of returned data centres are not left out
	returning     bool   // whether any was
	limited       string // ID of a target that was left out because of its limit or its warm-up
}

// candidate is a target with its score.
type candidate struct {
	score
	target catalogue.Target
	cold   bool
}

// best returns the candidate with the best score, which may be unusable.
func (selector *Selector) best(now time.Time, choice *choice) candidate {
	best := candidate{score: score{grade: unusable}}
	for _, target := range choice.candidates {
		if slices.Contains(choice.tried, target.ID) || !choice.hasCapacity(target) {
			continue
		}
		load := selector.warmup.Load(now, target, choice.service)
		switch {
		case selector.limitWait(now, target, choice.candidates) > 0:
			choice.limited = target.ID
			continue
		case load.Wait > 0:
			choice.limited = target.ID
			selector.coldHeld++
			continue
		case load.Return < 1 && !choice.withReturning && selector.random.Float64() >= load.Return:
			choice.returning = true
			selector.coldHeld++
			continue
		}
		limit := selector.ConnectionLimit(target, choice.service, choice.candidates)
		if len(choice.tried) > 0 {
			limit += reservedConnections
		}
		score := selector.score(now, choice.route, target, limit, load.Warmth)
		if score.grade == suspect {
			selector.noteUnresponsive(now, target.ID, selector.targetHealth(target.ID))
		}
		if score.less(best.score) {
			best = candidate{score, target, load.Cold}
		}
	}
	return best
}

// grade ranks the health of a target; a lower value is better.
type grade int

const (
	probe grade = iota // slow, and due for an attempt that shows whether it has recovered
	good
	slow     // latency or failure rate above its threshold
	suspect  // an attempt has been unanswered for longer than the suspicion timeout
	failing  // failed within the failure backoff
	full     // no free connection, or the window of attempts in flight is exhausted
	unusable // another process uses its address, or the target wants no request for now
)

var gradeNames = []string{"probe", "good", "slow", "suspect", "failing", "full", "unusable"}

func (grade grade) String() string { return gradeNames[grade] }

// score orders candidates by grade, then by cost.
type score struct {
	grade grade
	cost  float64
}

func (score score) less(other score) bool {
	return cmp.Or(cmp.Compare(score.grade, other.grade), cmp.Compare(score.cost, other.cost)) < 0
}

// score returns the score of the target. One that is warming up counts as more loaded than it is, so that its load rises with its
// warmth while others can take the rest.
func (selector *Selector) score(now time.Time, route *catalogue.Route, target catalogue.Target, limit int, warmth float64) score {
	targetHealth := selector.targetHealth(target.ID)
	local := target.DataCentre == selector.fleet.DataCentre
	cost := targetHealth.latencyFactor*(1+selector.load(now, targetHealth, target)/warmth) + coldCost*(1-warmth)
	if !local {
		cost += remoteCost
	}
	cost += selector.random.Float64() * 0.2 // random jitter spreads attempts over equal targets
	return score{selector.grade(now, route, target, targetHealth, limit), cost}
}

func (selector *Selector) grade(now time.Time, route *catalogue.Route, target catalogue.Target, targetHealth *targetHealth, limit int) grade {
	switch {
	case now.Sub(targetHealth.misdirectedAt) < misdirectedBackoff &&
		targetHealth.misdirected.Address == target.Address && targetHealth.misdirected.Born == target.Born:
		return unusable
	case targetHealth.isQuiet(now, target):
		return unusable
	case len(targetHealth.inFlight) >= limit || targetHealth.window > 0 && float64(len(targetHealth.inFlight)) >= targetHealth.window:
		return full
	case targetHealth.consecutiveFailures > 0 && now.Sub(targetHealth.failedAt) < failureBackoff*time.Duration(min(targetHealth.consecutiveFailures, 4)):
		return failing
	case selector.unresponsive(now, route, targetHealth):
		return suspect
	case targetHealth.healthy():
		return good
	case len(targetHealth.inFlight) == 0 && now.Sub(targetHealth.probedAt) >= probeInterval && target.DataCentre == selector.fleet.DataCentre:
		return probe
	default:
		return slow
	}
}

// load estimates the target's load as a multiple of its slots, from the attempts in flight here and from a recent load
// report. Requests in the target's queue count twice.
func (selector *Selector) load(now time.Time, targetHealth *targetHealth, target catalogue.Target) float64 {
	slots := max(target.Slots, 1)
	busy := float64(len(targetHealth.inFlight))
	if now.Sub(targetHealth.loadAt) < loadReportTTL {
		busy = max(busy, float64(targetHealth.load.Running+2*targetHealth.load.Waiting))
	}
	return busy / float64(slots)
}
