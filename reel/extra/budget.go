package extra

import "time"

// Limits bounds the extra attempts at a service from all instances together.
type Limits struct {
	Ratio  float64       // extra attempts allowed for each request of the window
	Window time.Duration // length of the sliding window
	Slack  float64       // extra attempts allowed in a window on top of the ratio, for all instances together
}

// Purpose is the kind of an extra attempt.
type Purpose int

// Purposes of extra attempts. Hedges get a smaller share of the budget than retries, so that a reserve is left for
// requests that a target refused.
const (
	Hedge Purpose = iota
	Retry
)

const (
	// safetyFactor keeps this instance below its share of the bound, because attempts reach the service with a delay
	// and its sliding windows differ from those counted here.
	safetyFactor = 0.9
	// hedgeShare is the share of the allowance up to which hedges are allowed.
	hedgeShare = 0.85
	// bucketCount is the number of buckets in a window.
	bucketCount = 20
)

// Budget counts the requests and the extra attempts from one instance at one service in a sliding window. It is not
// safe for concurrent use.
type Budget struct {
	limits         Limits
	bucketWidth    time.Duration
	start          time.Time
	requestBuckets [bucketCount + 1]int // one more than fits the window, because the newest bucket is still filling
	extraBuckets   [bucketCount + 1]int
	newest         int64 // number of the newest bucket since start
	requests       int   // sum of requestBuckets
	extras         int   // sum of extraBuckets
}

// NewBudget returns a budget without any requests or extra attempts.
func NewBudget(now time.Time, limits Limits) *Budget {
	return &Budget{limits: limits, bucketWidth: limits.Window / bucketCount, start: now}
}

// SetLimits changes the limits. A change of the window length clears the counts: requests that arrived before the
// change allow no extra attempts after it, so that the bound also holds in windows that began before the change.
func (budget *Budget) SetLimits(limits Limits) {
	if limits.Window != budget.limits.Window {
		*budget = Budget{bucketWidth: limits.Window / bucketCount, start: budget.start}
	}
	budget.limits = limits
}

// CountRequest counts a request, which raises the number of extra attempts that are allowed.
func (budget *Budget) CountRequest(now time.Time) {
	budget.advance(now)
	budget.requestBuckets[budget.newest%(bucketCount+1)]++
	budget.requests++
}

// Spend reports whether the budget allows another extra attempt, and counts it if so. The share is the part of the slack
// that belongs to this instance, between 0 and 1. Half of it is used, so that the bound holds while the shares change.
func (budget *Budget) Spend(now time.Time, purpose Purpose, share float64) bool {
	budget.advance(now)
	allowance := budget.limits.Ratio*float64(budget.requests) + budget.limits.Slack*share/2
	allowance *= safetyFactor
	if purpose == Hedge {
		allowance *= hedgeShare
	}
	if float64(budget.extras+1) > allowance {
		return false
	}
	budget.extraBuckets[budget.newest%(bucketCount+1)]++
	budget.extras++
	return true
}

// Counts returns the numbers of requests and of extra attempts in the window.
func (budget *Budget) Counts(now time.Time) (requests, extras int) {
	budget.advance(now)
	return budget.requests, budget.extras
}

// advance clears the buckets that have left the window.
func (budget *Budget) advance(now time.Time) {
	current := int64(now.Sub(budget.start) / budget.bucketWidth)
	for budget.newest < current {
		budget.newest++
		slot := budget.newest % (bucketCount + 1)
		budget.requests -= budget.requestBuckets[slot]
		budget.extras -= budget.extraBuckets[slot]
		budget.requestBuckets[slot], budget.extraBuckets[slot] = 0, 0
		if current-budget.newest > 2*bucketCount {
			budget.newest = current - bucketCount - 1 // skips the buckets before the window
		}
	}
}
