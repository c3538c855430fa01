package extra

import "time"

// Limits are the bounds that the users set on extra arrivals of all instances together.
type Limits struct {
	Ratio  float64 // of the requests
	Window time.Duration
	Slack  float64 // arrivals in a window, for the whole fleet
}

// Purpose says what an extra arrival is for.
type Purpose int

// Purposes of extra arrivals: a hedge yields first, so that refused work keeps a reserve.
const (
	Hedge Purpose = iota
	Retry
)

const (
	// safety keeps this instance below its part of the ratio: arrivals are delayed and windows slide.
	safety = 0.9
	// hedgeShare is the part of the allowance that hedges may use.
	hedgeShare = 0.85
	buckets    = 20
)

// Budget counts one instance's arrivals at one service in a sliding window.
type Budget struct {
	limits Limits
	width  time.Duration // of a bucket
	start  time.Time
	first  [buckets + 1]int // the newest bucket is still filling, so one more than the window holds
	extra  [buckets + 1]int
	at     int64 // number of the newest bucket
	firsts int
	extras int
}

// NewBudget returns an empty budget.
func NewBudget(now time.Time, limits Limits) *Budget {
	return &Budget{limits: limits, width: limits.Window / buckets, start: now}
}

// Limit changes the bounds. After a change of the window only what arrives from then on counts as a first arrival,
// so that the bound is kept in windows that begin before it.
func (budget *Budget) Limit(limits Limits) {
	if limits.Window != budget.limits.Window {
		*budget = Budget{width: limits.Window / buckets, start: budget.start}
	}
	budget.limits = limits
}

// First counts the first arrival of a request.
func (budget *Budget) First(now time.Time) {
	budget.roll(now)
	budget.first[budget.at%(buckets+1)]++
	budget.firsts++
}

// Spend counts an extra arrival if the allowance of one of so many instances has room for it.
func (budget *Budget) Spend(now time.Time, purpose Purpose, instances int) bool {
	budget.roll(now)
	allowance := budget.limits.Ratio*float64(budget.firsts) + budget.limits.Slack/float64(2*max(instances, 1))
	allowance *= safety
	if purpose == Hedge {
		allowance *= hedgeShare
	}
	if float64(budget.extras+1) > allowance {
		return false
	}
	budget.extra[budget.at%(buckets+1)]++
	budget.extras++
	return true
}

// Counts returns the first and the extra arrivals of the window.
func (budget *Budget) Counts(now time.Time) (firsts, extras int) {
	budget.roll(now)
	return budget.firsts, budget.extras
}

// roll forgets the buckets that have left the window.
func (budget *Budget) roll(now time.Time) {
	at := int64(now.Sub(budget.start) / budget.width)
	for budget.at < at {
		budget.at++
		slot := budget.at % (buckets + 1)
		budget.firsts -= budget.first[slot]
		budget.extras -= budget.extra[slot]
		budget.first[slot], budget.extra[slot] = 0, 0
		if at-budget.at > 2*buckets {
			budget.at = at - buckets - 1 // nothing of the window is left
		}
	}
}
