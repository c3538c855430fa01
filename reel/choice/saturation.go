package choice

import (
	"math"
	"time"
)

const (
	saturationThreshold = 0.5             // unserved rate above which a service is saturated
	unservedWeight      = 0.1             // weight of one request in the moving average
	unservedHalfLife    = 2 * time.Second // half-life of the rate, so that requests wait for a saturated service again after a pause
)

// unservedRate is a moving average of the share of requests that get no target of one service in time.
type unservedRate struct {
	value          float64 // value at updatedAt
	updatedAt      time.Time
	saturatedSince time.Time // when the rate last rose above saturationThreshold
}

// decayed returns the rate after exponential decay since the last update.
func (unservedRate *unservedRate) decayed(now time.Time) float64 {
	return unservedRate.value * math.Exp2(-now.Sub(unservedRate.updatedAt).Seconds()/unservedHalfLife.Seconds())
}

// RecordWait records that a request got a target of the service, or that it timed out waiting for one.
func (selector *Selector) RecordWait(now time.Time, service string, timedOut bool) {
	rate, ok := selector.unservedRates[service]
	if !ok {
		if !timedOut {
			return
		}
		rate = &unservedRate{updatedAt: now}
		selector.unservedRates[service] = rate
	}
	share := rate.decayed(now) * (1 - unservedWeight)
	if timedOut {
		share += unservedWeight
	}
	switch {
	case share > saturationThreshold && rate.value <= saturationThreshold:
		rate.saturatedSince = now
		selector.addHealthChange(HealthChange{Subject: service, Kind: Saturated, UnservedShare: share})
	case share <= saturationThreshold && rate.value > saturationThreshold:
		selector.addHealthChange(HealthChange{Subject: service, Kind: NoLongerSaturated, UnservedShare: share})
	}
	rate.value, rate.updatedAt = share, now
}

// ServiceSaturated reports whether most recent requests to the service got no target in time, and for how long that
// has been the case.
func (selector *Selector) ServiceSaturated(now time.Time, service string) (time.Duration, bool) {
	rate, ok := selector.unservedRates[service]
	if !ok || rate.decayed(now) <= saturationThreshold {
		return 0, false
	}
	return now.Sub(rate.saturatedSince), true
}
