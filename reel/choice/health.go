package choice

import "time"

// HealthChange is a change in the estimated health of a target or a service, with the statistics behind it.
type HealthChange struct {
	Subject       string        // ID of the target or name of the service that changed
	Service       string        // of the target, for what it asked for
	Kind          string        // one of the constants below, such as Healthy
	LatencyFactor float64       // moving average of the target's latency relative to the median of the route
	FailureRate   float64       // moving average of the target's failures, from 0 to 1
	LongestWait   time.Duration // age of the target's oldest attempt in flight, for Unresponsive; time without requests, for Quiet
	Limit         Limit         // of the target, for Limited and LimitEnded; the rate of a cold target, for Cold and Warm
	Part          float64       // requests a second of the limit that this instance may send, 0 if it takes turns
	Members       int           // instances that share the limit, for Limited
	Evidence      string        // by which a target is believed to be cold or warm, for Cold and Warm
	EvidenceAge   time.Duration // since it was got
	UnservedShare float64       // share of the service's requests that get no target in time; set for services only
}

// Kinds of health changes.
const (
	Healthy           = "serves well"
	Degraded          = "serves slowly or fails often"
	Unresponsive      = "no answer within the suspicion timeout"
	RespondsAgain     = "responsive again"
	AddressReused     = "another process has its address"
	Quiet             = "wants no requests for a time"
	Limited           = "takes a limited rate of requests"
	LimitEnded        = "takes any rate of requests"
	Cold              = "is cold"
	Warm              = "is warm"
	Saturated         = "most requests get no target in time"
	NoLongerSaturated = "most requests get a target in time"
	maxHealthChanges  = 256 // changes kept until TakeHealthChanges; further ones are dropped
)

// TakeHealthChanges returns and clears the changes recorded since the last call.
func (selector *Selector) TakeHealthChanges() []HealthChange {
	selector.addColdChanges()
	healthChanges := selector.healthChanges
	selector.healthChanges = nil
	return healthChanges
}

// ForgetFailures ends what failures and silence since the newest answer of each target have told of it, because no target could be
// reached.
func (selector *Selector) ForgetFailures() {
	for _, targetHealth := range selector.targets {
		targetHealth.latencyFactor, targetHealth.failureRate = targetHealth.answeredFactor, targetHealth.answeredFailures
		targetHealth.consecutiveFailures, targetHealth.unresponsive = 0, false
		targetHealth.degraded = !targetHealth.healthy()
	}
	clear(selector.unservedRates)
}

// addHealthChange keeps the change for TakeHealthChanges, unless maxHealthChanges are kept already.
func (selector *Selector) addHealthChange(healthChange HealthChange) {
	if len(selector.healthChanges) < maxHealthChanges {
		selector.healthChanges = append(selector.healthChanges, healthChange)
	}
}

// noteOutcome records the health changes that follow from the outcome of an attempt.
func (selector *Selector) noteOutcome(targetID string, targetHealth *targetHealth, outcome Outcome) {
	healthChange := HealthChange{Subject: targetID, LatencyFactor: targetHealth.latencyFactor, FailureRate: targetHealth.failureRate}
	if outcome == Misdirected {
		healthChange.Kind = AddressReused
		selector.addHealthChange(healthChange)
	}
	if targetHealth.unresponsive && outcome == Answered {
		targetHealth.unresponsive = false
		healthChange.Kind = RespondsAgain
		selector.addHealthChange(healthChange)
	}
	if degraded := !targetHealth.healthy(); degraded != targetHealth.degraded {
		targetHealth.degraded = degraded
		healthChange.Kind = Healthy
		if degraded {
			healthChange.Kind = Degraded
		}
		selector.addHealthChange(healthChange)
	}
}

// noteUnresponsive records once that the target has become unresponsive.
func (selector *Selector) noteUnresponsive(now time.Time, targetID string, targetHealth *targetHealth) {
	if targetHealth.unresponsive {
		return
	}
	targetHealth.unresponsive = true
	healthChange := HealthChange{Subject: targetID, Kind: Unresponsive, LatencyFactor: targetHealth.latencyFactor, FailureRate: targetHealth.failureRate}
	for _, attempt := range targetHealth.inFlight {
		healthChange.LongestWait = max(healthChange.LongestWait, now.Sub(attempt.SentAt))
	}
	selector.addHealthChange(healthChange)
}
