package choice

import (
	"time"

	"shallotreel.example/reel/catalogue"
)

// maxQuiet is the longest time for which a target's wish for no requests is kept; a longer one is likely a mistake.
const maxQuiet = time.Hour

// isQuiet reports whether the process wants no request from this instance at now.
func (targetHealth *targetHealth) isQuiet(now time.Time, target catalogue.Target) bool {
	return now.Before(targetHealth.quietUntil) && targetHealth.quietBorn == target.Born
}

// noteQuiet records that the target wants no request for the duration. An earlier wish for a longer time stays.
func (selector *Selector) noteQuiet(now time.Time, target catalogue.Target, targetHealth *targetHealth, duration time.Duration) {
	until := now.Add(min(duration, maxQuiet))
	if targetHealth.isQuiet(now, target) && !until.After(targetHealth.quietUntil) {
		return
	}
	targetHealth.quietUntil, targetHealth.quietBorn = until, target.Born
	selector.addHealthChange(HealthChange{Subject: target.ID, Service: target.Service, Kind: Quiet, LatencyFactor: targetHealth.latencyFactor,
		FailureRate: targetHealth.failureRate, LongestWait: until.Sub(now)})
}

// QuietFor returns for how long all of the targets take no request from this instance, because they said so, because of
// their limits, or because of the rates of cold ones. It is 0 if any of them takes one or there are none.
func (selector *Selector) QuietFor(now time.Time, targets []catalogue.Target) time.Duration {
	var shortest time.Duration
	for _, target := range targets {
		left := max(selector.limitWait(now, target, targets), selector.warmup.Wait(now, target))
		if targetHealth, ok := selector.targets[target.ID]; ok && targetHealth.isQuiet(now, target) {
			left = max(left, targetHealth.quietUntil.Sub(now))
		}
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}
