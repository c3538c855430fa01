package caller

import (
	"sync"
	"time"
)

const (
	healthCheckInterval      = 250 * time.Millisecond // between two checks; also the minimum timeout of a check
	maxHealthCheckTimeout    = 2 * time.Second
	healthCheckTimeoutFactor = 4    // timeout of a check as a multiple of the estimated latency
	slowerSampleWeight       = 0.3  // EWMA weight of a sample above the estimate
	fasterSampleWeight       = 0.05 // EWMA weight of a sample below the estimate
)

// latencyEstimate is an EWMA of the latency of health checks, from which their timeout follows. Instances under load
// respond late before they stop responding; abandoning those that still respond would only move their load to others.
// The estimate rises faster than it falls, so that the timeout follows a growing load quickly. It is safe for
// concurrent use.
type latencyEstimate struct {
	mutex    sync.Mutex
	estimate time.Duration
}

// observe adds the latency of a health check to the estimate.
func (latencyEstimate *latencyEstimate) observe(latency time.Duration) {
	latencyEstimate.mutex.Lock()
	defer latencyEstimate.mutex.Unlock()
	weight := fasterSampleWeight
	if latency > latencyEstimate.estimate {
		weight = slowerSampleWeight
	}
	latencyEstimate.estimate += time.Duration(weight * float64(latency-latencyEstimate.estimate))
}

// timeout returns the timeout of the next health check.
func (latencyEstimate *latencyEstimate) timeout() time.Duration {
	latencyEstimate.mutex.Lock()
	defer latencyEstimate.mutex.Unlock()
	return min(max(healthCheckTimeoutFactor*latencyEstimate.estimate, healthCheckInterval), maxHealthCheckTimeout)
}
