package workingset

import (
	"time"

	"shallotreel.example/reel/member"
)

const (
	// meterInterval is the time between two measurements.
	meterInterval = time.Second
	// newestWeight is the weight of a measurement in the moving average: a burst shows within two, a spike does not.
	newestWeight = 0.4
	// startTime is the time after the start in which the use is not announced: it is that of the start.
	startTime = 10 * time.Second
	// decay is the share of the announced use that is kept after a meterInterval with less load, so that the working set
	// shrinks slowly.
	decay = 0.95
	// worthTelling is the least use that is announced, as a share of the processor. Less asks for no further instances.
	worthTelling = targetUse / 2
	// lowerBy is the number of levels by which the use must have fallen to be announced. Each announcement goes to all
	// instances, many times.
	lowerBy = 2
)

// Meter measures the load of this instance that it announces. It is not safe for concurrent use.
type Meter struct {
	processor float64 // share of this instance, in thousandths of a core
	at        time.Time
	used      time.Duration
	requests  int64
	startedAt time.Time
	average   float64 // of the use, in thousandths of a core
	use       float64 // decaying maximum of the average
	announced member.Load
}

// NewMeter returns a meter of the instance, which announces no load at first.
func NewMeter(self member.Member) *Meter {
	return &Meter{processor: processor(self)}
}

// Observe takes the processor time that this process has used and the number of requests that it has got, both since its
// start. It returns the load to announce, and true if it has changed.
func (meter *Meter) Observe(now time.Time, used time.Duration, requests int64) (member.Load, bool) {
	elapsed := now.Sub(meter.at)
	if meter.at.IsZero() || elapsed < 0 {
		meter.startedAt, meter.at, meter.used, meter.requests = now, now, used, requests
		return meter.announced, false
	}
	if elapsed < meterInterval {
		return meter.announced, false
	}
	use := 0.0 // what an instance without requests uses moves nowhere if it leaves
	if requests > meter.requests {
		use = 1000 * float64(used-meter.used) / float64(elapsed)
	}
	meter.at, meter.used, meter.requests = now, used, requests
	meter.average += newestWeight * (use - meter.average)
	if now.Sub(meter.startedAt) < startTime {
		return meter.announced, false
	}
	meter.use = max(meter.average, meter.use*decay)
	level := member.LoadOf(meter.use)
	if meter.use < worthTelling*meter.processor {
		level = 0
	}
	if level <= meter.announced && level+lowerBy > meter.announced {

		return meter.announced, false
	}
	meter.announced = level
	return level, true
}
