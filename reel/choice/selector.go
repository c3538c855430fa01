package choice

import (
	"math/rand/v2"
	"slices"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/warmup"
)

const (
	maxLatencySample    = 4.0                    // cap of one latency sample, as a multiple of the route's median
	slowThreshold       = 2.0                    // latency factor above which a target gets only probes while a better one is usable
	slowerSampleWeight  = 0.15                   // weight in the moving average of a sample that raises the latency factor
	fasterSampleWeight  = 0.4                    // weight of a sample that lowers the latency factor
	failureWeight       = 0.12                   // weight of one outcome in the moving average of failures
	maxFailureRate      = 0.15                   // failure rate above which a target is treated as slow
	probeInterval       = time.Second            // minimum time between probes of a slow target
	failureBackoff      = 300 * time.Millisecond // time for which a target is avoided after a failure, times the consecutive failures up to 4
	reservedConnections = 1                      // connections above the limit that only retries and hedges may use
	maxQueueShare       = 0.4                    // queue length, relative to the target's slots, above which the window shrinks
	maxWindow           = 32                     // attempts in flight above which the window no longer applies
	windowCutFactor     = 0.75                   // factor by which the window shrinks when a queue is reported
	windowCutInterval   = 100 * time.Millisecond // minimum time between two reductions, so that the first one can take effect
	loadReportTTL       = 300 * time.Millisecond // age above which a load report is ignored
	remoteCost          = 3.0                    // cost added to targets of other data centres, in usual latencies of the route
	coldCost            = 0.5                    // cost added to a target at the begin of its warm-up: above the jitter, below remoteCost
	nearConnectionShare = 0.7                    // share of a target's connections for the instances of its own data centre
	workingShare        = 0.9                    // share of a target's connections for the instances that serve callers, if there are others
	farConnectionShare  = 0.3                    // share for all other instances, which seldom need all of theirs at once
	misdirectedBackoff  = 10 * time.Second       // time for which a target is excluded after another process answered at its address
	idleTTL             = time.Minute            // time without use after which statistics are deleted
)

// Load is the load that a target reports with an answer: running requests, queued requests and slots.
type Load struct {
	Running, Waiting, Slots int
}

// Report is what a target says of itself with an answer.
type Report struct {
	Load    *Load          // nil if the answer has none
	Leaving bool           // whether the target takes no new work from now on
	Quiet   time.Duration  // for which the target wants no further request from this instance
	Limit   *Limit         // nil if the answer does not tell
	Cold    *time.Duration // for which the target is still cold, nil if the answer does not tell
	NoCold  bool           // whether the answer was read and has no report of a cold period
	Broken  bool           // whether the connection broke or could not be opened, so that the process may have ended
}

// Outcome is the result of an attempt as far as it concerns the health of its target.
type Outcome int

// Outcomes of attempts.
const (
	Answered             Outcome = iota // the target returned a valid answer
	Refused                             // the target did not run the request
	Misdirected                         // another process answered at the target's address
	Inconclusive                        // says nothing of the target, since this instance reaches none
	ConnectionsExhausted                // the target accepts no more connections
	Failed                              // the target was unreachable, closed the connection early or returned an error
	Abandoned                           // this instance stopped waiting for the answer
)

// Selector keeps statistics about each target and selects targets by them. The caller passes the current time, and must
// not use a Selector from several goroutines at once.
type Selector struct {
	fleet     Fleet
	fleetSet  uint64 // number of calls of SetFleet
	targets   map[string]*targetHealth
	latencies map[string]*latencyHistogram
	random    *rand.Rand
	sweptAt   time.Time
	// unservedRates has an entry for each service of which some request got no target in time.
	unservedRates map[string]*unservedRate
	healthChanges []HealthChange // changes not yet returned by TakeHealthChanges
	warmup        *warmup.Tracker
	coldHeld      uint64 // times that a target was left out because of its warm-up
}

// targetHealth holds the statistics of one target.
type targetHealth struct {
	latencyFactor       float64 // moving average of the latency relative to the route's median
	inFlight            []Attempt
	probedAt            time.Time
	failedAt            time.Time
	consecutiveFailures int     // failures since the last valid answer
	failureRate         float64 // moving average of failures, from 0 to 1
	load                Load
	loadAt              time.Time
	window              float64 // limit of attempts in flight, 0 while only ConnectionLimit applies
	windowCutAt         time.Time
	lastUsed            time.Time
	degraded            bool             // whether the last reported change was Degraded rather than Healthy
	unresponsive        bool             // whether Unresponsive was reported and RespondsAgain not yet
	answeredFactor      float64          // latencyFactor after the newest valid answer
	answeredFailures    float64          // failureRate after it
	misdirectedAt       time.Time        // when another process last answered at the target's address
	misdirected         catalogue.Target // registration of the target at that time
	quietUntil          time.Time        // until when the target wants no request from this instance
	quietBorn           int64            // start of the process that said so
	limit               *limitState      // nil while the target names no limit
	limitEnded          attemptOfProcess // the newest attempt whose answer ended a limit
	limitReportedAt     time.Time        // when a change of the limit was last reported
}

// Attempt is an attempt in flight.
type Attempt struct {
	ID         uint64 // unique among the attempts at one target
	Route      string // name of the route
	DataCentre string // of the target
	SentAt     time.Time
}

// New returns a Selector without statistics, for a fleet of one instance.
func New(random *rand.Rand) *Selector {
	return &Selector{targets: map[string]*targetHealth{}, latencies: map[string]*latencyHistogram{}, random: random,
		unservedRates: map[string]*unservedRate{}, fleet: Fleet{Total: 1}, warmup: warmup.New(warmup.NewSenders(warmup.Member{}))}
}

// SetFleet sets the instances that share the connections of the targets.
func (selector *Selector) SetFleet(fleet Fleet) {
	selector.fleet = fleet
	selector.fleetSet++
}

// Fleet returns the instances that share the connections of the targets.
func (selector *Selector) Fleet() Fleet {
	return selector.fleet
}

// RecordSent records an attempt that was sent to the target with the given ID.
func (selector *Selector) RecordSent(now time.Time, targetID string, attempt Attempt) {
	targetHealth := selector.targetHealth(targetID)
	targetHealth.lastUsed = now
	targetHealth.inFlight = append(targetHealth.inFlight, attempt)
	if targetHealth.limit != nil {
		targetHealth.limit.bucket.Take(now)
	}
}

// RecordEnd records the outcome of the attempt with the ID and what the target reported with it. An attempt that is not in
// flight is ignored.
func (selector *Selector) RecordEnd(now time.Time, target catalogue.Target, attemptID uint64, outcome Outcome, report Report) {
	targetHealth := selector.targetHealth(target.ID)
	index := slices.IndexFunc(targetHealth.inFlight, func(attempt Attempt) bool { return attempt.ID == attemptID })
	if index < 0 {
		return
	}
	attempt := targetHealth.inFlight[index]
	targetHealth.inFlight = slices.Delete(targetHealth.inFlight, index, index+1)
	targetHealth.lastUsed = now
	if report.Load != nil {
		targetHealth.load, targetHealth.loadAt = *report.Load, now
		targetHealth.adaptWindow(now, *report.Load)
	}
	if report.Quiet > 0 {
		selector.noteQuiet(now, target, targetHealth, report.Quiet)
	}
	if report.Limit != nil {
		selector.noteLimit(now, target, targetHealth, attempt.SentAt, *report.Limit)
	}
	selector.noteCold(now, target, attempt.SentAt, report)
	latencyHistogram := selector.latencyHistogram(attempt.Route)
	waited := now.Sub(attempt.SentAt)
	switch outcome {
	case Answered:
		targetHealth.consecutiveFailures = 0
		targetHealth.failureRate -= failureWeight * targetHealth.failureRate
		median := latencyHistogram.quantile(0.5, waited)
		targetHealth.observeLatency(float64(waited) / float64(max(median, minLatency)))
		if targetHealth.latencyFactor <= slowThreshold {
			latencyHistogram.add(waited)
		}
		targetHealth.answeredFactor, targetHealth.answeredFailures = targetHealth.latencyFactor, targetHealth.failureRate
	case Misdirected:
		targetHealth.misdirectedAt, targetHealth.misdirected = now, target
	case Refused, Failed:
		targetHealth.consecutiveFailures++
		targetHealth.failedAt = now
		targetHealth.failureRate += failureWeight * (1 - targetHealth.failureRate)
	case Abandoned:
		// The time waited is a lower bound of the latency, so it counts only if it raises the estimate.
		if median := latencyHistogram.quantile(0.5, waited); float64(waited) > targetHealth.latencyFactor*float64(max(median, minLatency)) {
			targetHealth.observeLatency(float64(waited) / float64(max(median, minLatency)))
		}
	case ConnectionsExhausted, Inconclusive:
	}
	selector.noteOutcome(target.ID, targetHealth, outcome)
}

// adaptWindow shrinks the window multiplicatively while requests of any instance queue at the target, and grows it
// additively while none does.
func (targetHealth *targetHealth) adaptWindow(now time.Time, load Load) {
	queue := float64(load.Waiting) / float64(max(load.Slots, 1))
	switch {
	case queue > maxQueueShare && now.Sub(targetHealth.windowCutAt) >= windowCutInterval:
		inFlight := float64(len(targetHealth.inFlight) + 1)
		if targetHealth.window > 0 {
			inFlight = min(inFlight, targetHealth.window)
		}
		targetHealth.window = max(1, inFlight*windowCutFactor)
		targetHealth.windowCutAt = now
	case load.Waiting == 0 && targetHealth.window > 0:
		targetHealth.window += 1 / targetHealth.window
		if targetHealth.window > maxWindow {
			targetHealth.window = 0
		}
	}
}

// healthy reports whether the target's latency and failure rate are within the thresholds.
func (targetHealth *targetHealth) healthy() bool {
	return targetHealth.latencyFactor <= slowThreshold && targetHealth.failureRate <= maxFailureRate
}

// observeLatency adds a sample, a multiple of the route's median latency, to the moving average.
func (targetHealth *targetHealth) observeLatency(sample float64) {
	sample = min(sample, maxLatencySample)
	weight := slowerSampleWeight
	if sample < targetHealth.latencyFactor {
		weight = fasterSampleWeight
	}
	targetHealth.latencyFactor += weight * (sample - targetHealth.latencyFactor)
}

// LatencyQuantile returns the q-quantile of the route's latency, with q from 0 to 1, or the fallback while there are
// too few samples.
func (selector *Selector) LatencyQuantile(route string, q float64, fallback time.Duration) time.Duration {
	return selector.latencyHistogram(route).quantile(q, fallback)
}

// Sweep deletes the statistics of targets and services that were not used for idleTTL.
func (selector *Selector) Sweep(now time.Time) {
	if now.Sub(selector.sweptAt) < idleTTL {
		return
	}
	selector.sweptAt = now
	selector.warmup.Sweep(now)
	for service, unservedRate := range selector.unservedRates {
		if now.Sub(unservedRate.updatedAt) >= idleTTL {
			delete(selector.unservedRates, service)
		}
	}
	for id, targetHealth := range selector.targets {
		if len(targetHealth.inFlight) == 0 && !now.Before(targetHealth.quietUntil) && now.Sub(targetHealth.lastUsed) >= targetHealth.ttl() {
			delete(selector.targets, id)
		}
	}
}

// ttl returns the time without use after which the statistics are deleted. An instance whose turn to send to a target with a
// limit comes seldom must not forget the limit.
func (targetHealth *targetHealth) ttl() time.Duration {
	if targetHealth.limit != nil {
		return limitTTL
	}
	return idleTTL
}

// targetHealth returns the statistics of the target, which it creates if there are none.
func (selector *Selector) targetHealth(id string) *targetHealth {
	health, ok := selector.targets[id]
	if !ok {
		health = &targetHealth{latencyFactor: 1, answeredFactor: 1}
		selector.targets[id] = health
	}
	return health
}

// latencyHistogram returns the histogram of the route, which it creates if there is none.
func (selector *Selector) latencyHistogram(route string) *latencyHistogram {
	histogram, ok := selector.latencies[route]
	if !ok {
		histogram = &latencyHistogram{}
		selector.latencies[route] = histogram
	}
	return histogram
}
