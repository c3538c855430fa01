package admit

import (
	"math"
	"time"
)

// noLimit is the number of concurrent requests that a machine without a limit allows.
const noLimit = 1 << 30

const (
	minPeriod        = 20 * time.Millisecond  // least reaction time
	maxPeriod        = 250 * time.Millisecond // greatest reaction time
	minEvidence      = 3                      // overloaded requests, or refused attempts, that start a limit
	overloadedShare  = 0.2                    // share of the ended requests that is overloaded from which a limit starts or shrinks
	turnedAwayShare  = 0.5                    // share of the attempts that found no room from which a limit starts
	pressureSetpoint = 0.6                    // pressure at which the limit is constant
	recoverySetpoint = 0.25                   // pressure up to which the limit grows fast or is removed
	maxDecrease      = 0.6                    // greatest decrease within one reaction time, as a factor
	increaseStep     = 0.4                    // growth of the limit within one reaction time, as a multiple of its square root
	noQueueFactor    = 0.5                    // greatest growth in the same time at no pressure, as a part of the limit
	recoveryFactor   = 1.5                    // growth in the same time while nothing is refused
	minLimit         = 1.0                    // requests, so that the state of the targets is still observed
	minRemovalTime   = 250 * time.Millisecond // without a refusal, after which the limit is removed
	minRecoveryTime  = 60 * time.Millisecond  // without a refusal, after which the limit grows fast
	idleTime         = time.Second            // without evidence, after which the limit is removed
	limitMemory      = 10 * time.Second       // for which a removed limit is remembered
	minAttempts      = 8                      // least number of attempts in a reaction time below maxPeriod
	rateTime         = 500 * time.Millisecond // time constant of the averages from which the admitted rate is computed
	rateSlack        = 1.1                    // factor on that rate, so that some requests wait when one ends
)

// adaptive limits the concurrent requests while there is evidence of overload. Within one reaction time, the latency of the
// requests, the limit shrinks once at most, in proportion to the excess of the pressure over its setpoint, or grows by a
// step if it is in use.
type adaptive struct {
	value       float64 // 0 for none
	remembered  float64 // value when the last limit was removed
	changedAt   time.Time
	periodStart time.Time
	counts      periodCounts
	signal      Signal // newest evidence
	signalAt    time.Time
	refusedAt   time.Time
	averageRate float64       // average over rateTime of the requests a second that the limit allows; 0 without a limit
	averageTime time.Duration // average of heldTime over rateTime
	heldTime    time.Duration // EWMA of the time for which requests are in flight
}

// periodCounts is the evidence of one reaction time.
type periodCounts struct {
	attempts     int
	turnedAway   int // attempts refused by targets, and waits for a target with free capacity
	serviceLoads serviceLoads
	ended        int
	overloaded   int
	refused      int // requests
	peak         int // greatest number of requests in flight
}

func (adaptive *adaptive) limit() int {
	if adaptive.value == 0 {
		return noLimit
	}
	return max(1, int(math.Round(adaptive.value)))
}

// attempt records the end of a sub-request, or a wait for a target: the share of the target's slots for which requests wait,
// at least 1 if it was turned away.
func (adaptive *adaptive) attempt(now time.Time, running int, service string, queue float64, turnedAway bool) {
	adaptive.counts.attempts++
	if adaptive.counts.serviceLoads == nil {
		adaptive.counts.serviceLoads = serviceLoads{}
	}
	adaptive.counts.serviceLoads.add(service, min(queue, 1))
	if turnedAway {
		adaptive.counts.turnedAway++
	}
	adaptive.advance(now, running)
}

func (adaptive *adaptive) ended(now time.Time, running int, signal Signal) {
	if signal == Neutral && adaptive.counts.showPressure() {
		signal = Overloaded // its attempts may wait in the queues that others report
	}
	if signal == Neutral {
		return
	}
	adaptive.signal, adaptive.signalAt = signal, now
	adaptive.counts.ended++
	if signal == Overloaded {
		adaptive.counts.overloaded++
	}
	adaptive.advance(now, running)
}

// noteRefusal records that a request was refused because of the limit.
func (adaptive *adaptive) noteRefusal(now time.Time) {
	adaptive.refusedAt = now
	adaptive.counts.refused++
}

// advance starts a limit as soon as the evidence suffices, and ends the period after the reaction time.
func (adaptive *adaptive) advance(now time.Time, running int) {
	counts := &adaptive.counts
	counts.peak = max(counts.peak, running)
	if adaptive.value == 0 && counts.showOverload() {
		adaptive.begin(now, running)
		return
	}
	period := min(max(adaptive.heldTime, minPeriod), maxPeriod)
	elapsed := now.Sub(adaptive.periodStart)
	if elapsed < period || counts.attempts < minAttempts && elapsed < maxPeriod {
		return
	}
	switch {
	case adaptive.value > 0:
		adaptive.adjust(now)
	case now.Sub(adaptive.changedAt) < limitMemory && counts.showPressure():
		adaptive.begin(now, running)
		return
	}
	adaptive.periodStart, adaptive.counts = now, periodCounts{peak: running}
}

// showPressure reports whether the pressure exceeds its setpoint, over sufficient attempts.
func (counts *periodCounts) showPressure() bool {
	return counts.attempts >= minAttempts && counts.serviceLoads.median() > pressureSetpoint
}

// expire removes the limit after a time without traffic, in which it has become outdated.
func (adaptive *adaptive) expire(now time.Time) {
	if adaptive.value > 0 && now.Sub(adaptive.periodStart) >= idleTime {
		adaptive.remove(now)
	}
}

func (adaptive *adaptive) remove(now time.Time) {
	adaptive.remembered, adaptive.value, adaptive.changedAt = adaptive.value, 0, now
}

// showOverload reports whether the counts suffice to start a limit.
func (counts *periodCounts) showOverload() bool {
	if counts.overloaded < minEvidence && counts.turnedAway < minEvidence {
		return false
	}
	pressure := counts.serviceLoads.median()
	if counts.isOverloaded(pressure) && counts.overloaded >= minEvidence {
		return true
	}
	return counts.turnedAway >= minEvidence && pressure >= turnedAwayShare &&
		float64(counts.turnedAway) >= turnedAwayShare*float64(counts.attempts)
}

// isOverloaded reports whether enough of the ended requests were overloaded, at a pressure that shows that their number is the cause.
func (counts *periodCounts) isOverloaded(pressure float64) bool {
	return counts.overloaded > 0 && float64(counts.overloaded) >= overloadedShare*float64(counts.ended) && pressure >= recoverySetpoint
}

// begin starts a limit at what is in flight, or at the last limit if that was lower and is not long ago.
func (adaptive *adaptive) begin(now time.Time, running int) {
	adaptive.value = max(minLimit, float64(running))
	if adaptive.remembered > 0 && now.Sub(adaptive.changedAt) < limitMemory {
		adaptive.value = min(adaptive.value, adaptive.remembered)
	}
	adaptive.changedAt, adaptive.refusedAt = now, now
	adaptive.periodStart, adaptive.counts = now, periodCounts{peak: running}
}

// adjust changes the limit at the end of a period.
func (adaptive *adaptive) adjust(now time.Time) {
	counts := adaptive.counts
	pressure := counts.serviceLoads.median()
	switch {
	case counts.isOverloaded(pressure):
		adaptive.value *= maxDecrease
	case pressure > pressureSetpoint:
		excess := (pressure - pressureSetpoint) / (1 - pressureSetpoint)
		adaptive.value *= 1 - (1-maxDecrease)*excess
	case counts.ended+counts.attempts == 0:
	case pressure > recoverySetpoint && counts.refused == 0:
	case counts.refused == 0 && now.Sub(adaptive.refusedAt) >= minRemovalTime:
		adaptive.remove(now)
		return
	case 2*float64(counts.peak) < adaptive.value: // what is not in use would be used at once when the demand rises
	case counts.refused == 0 && now.Sub(adaptive.refusedAt) >= minRecoveryTime:
		adaptive.value *= recoveryFactor
	default:
		idle := max(0, 1-pressure/recoverySetpoint)
		adaptive.value += max(increaseStep*math.Sqrt(adaptive.value), noQueueFactor*idle*adaptive.value)
	}
	adaptive.value = max(adaptive.value, minLimit)
}

// rate returns the requests a second that the limit allows at the average time in flight, which it updates after the time
// elapsed.
func (adaptive *adaptive) rate(elapsed time.Duration) float64 {
	if adaptive.averageTime == 0 {
		adaptive.averageTime = adaptive.heldTime
	}
	adaptive.averageTime += time.Duration(gain(elapsed, rateTime) * float64(adaptive.heldTime-adaptive.averageTime))
	if adaptive.value == 0 {
		adaptive.averageRate = 0
		return math.Inf(1)
	}
	current := rateSlack * adaptive.value / max(adaptive.averageTime, time.Millisecond).Seconds()
	if adaptive.averageRate == 0 {
		adaptive.averageRate = current
	}
	adaptive.averageRate += gain(elapsed, rateTime) * (current - adaptive.averageRate)
	return adaptive.averageRate
}
