package route

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyMax     = 60 * time.Second
	latencyDigits  = 1
	latencyWindows = 2
	latencyWindow  = 5 * time.Second
	latencyFew     = 20 // fewer samples than this tell no quantile
	quantilePeriod = 50 * time.Millisecond
	hedgeDefault   = 50 * time.Millisecond
	shortestHedge  = 2 * time.Millisecond
)

// latency learns one service's quantile over the last windows.
type latency struct {
	windows  *hdrhistogram.WindowedHistogram
	rotateAt time.Time
	readAt   time.Time
	value    time.Duration
}

func newLatency() *latency {
	return &latency{
		windows: hdrhistogram.NewWindowed(latencyWindows, 1, latencyMax.Microseconds(), latencyDigits),
		value:   hedgeDefault,
	}
}

func (latency *latency) record(now time.Time, took time.Duration) {
	if now.Sub(latency.rotateAt) >= latencyWindow {
		latency.rotateAt = now
		latency.windows.Rotate()
	}
	// A value beyond the histogram's range counts as its largest.
	took = min(max(took, time.Microsecond), latencyMax)
	_ = latency.windows.Current.RecordValue(took.Microseconds())
}

func (latency *latency) quantile(now time.Time, quantile float64) time.Duration {
	if now.Sub(latency.readAt) < quantilePeriod {
		return latency.value
	}
	latency.readAt = now
	merged := latency.windows.Merge()
	if merged.TotalCount() < latencyFew {
		return latency.value
	}
	micros := merged.ValueAtQuantile(100 * quantile)
	latency.value = max(shortestHedge, time.Duration(micros)*time.Microsecond)
	return latency.value
}
