package softdeadline

import (
	"slices"
	"time"
)

const (
	// defaultRoundTrip is the round trip assumed until there are samples, and the upper bound of the estimate.
	defaultRoundTrip = 10 * time.Millisecond
	// minRoundTrip is the least time that counts as a sample; shorter ones are rounding errors.
	minRoundTrip = 2 * time.Millisecond
	// sampleCount is the number of samples of each estimate of the round trip.
	sampleCount = 64
	// lowSampleDivisor makes the tenth percentile of the samples the estimate: one sample in ten may be shorter than a
	// round trip.
	lowSampleDivisor = 10
	// localDelayMargin allows for delays inside this instance and inside the caller.
	localDelayMargin = 6 * time.Millisecond
)

// Estimator learns the full timeout of each route's callers and the round trip to them. It reads no clock and is not
// safe for concurrent use.
type Estimator struct {
	maxTimeouts map[string]time.Duration // longest timeout seen, by route
	samples     []time.Duration          // times that passed before requests arrived, mostly spent on connecting
	roundTrip   time.Duration            // estimated round trip to callers
}

// New returns an estimator without samples.
func New() *Estimator {
	return &Estimator{maxTimeouts: map[string]time.Duration{}, roundTrip: defaultRoundTrip}
}

// Elapsed returns how much of its timeout a caller of the route had used when it sent a request with the given time
// left, or 0 if the caller stated no time. It takes the longest time that any caller of the route stated as the full
// timeout.
func (estimator *Estimator) Elapsed(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	timeout := max(estimator.maxTimeouts[route], left)
	estimator.maxTimeouts[route] = timeout
	elapsed := timeout - left
	estimator.recordConnectTime(elapsed)
	return elapsed
}

// recordConnectTime updates the estimate of the round trip. It assumes that the shorter times before a request are
// spent on connecting, which takes one round trip.
func (estimator *Estimator) recordConnectTime(elapsed time.Duration) {
	if elapsed < minRoundTrip {
		return
	}
	estimator.samples = append(estimator.samples, elapsed)
	if len(estimator.samples) < sampleCount {
		return
	}
	slices.Sort(estimator.samples)
	estimator.roundTrip = min(estimator.samples[sampleCount/lowSampleDivisor], defaultRoundTrip)
	estimator.samples = estimator.samples[:0]
}

// SoftDeadline returns the last moment to send an answer that reaches the caller within the latency goal, for a request
// that arrives now after the caller has used the elapsed time. If the goal cannot be met any more, it returns now
// plus the goal.
func (estimator *Estimator) SoftDeadline(now time.Time, goal, elapsed time.Duration) time.Time {
	left := goal - elapsed - estimator.roundTrip - localDelayMargin
	if left <= 0 {
		left = goal
	}
	return now.Add(left)
}
