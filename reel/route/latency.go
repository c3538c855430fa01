package route

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency               = 60 * time.Second
	latencySignificantDigits = 1
	latencyWindowCount       = 2
	latencyWindowLength      = 5 * time.Second
	minLatencySamples        = 20 // fewer samples do not give a usable quantile
	quantileRefreshInterval  = 50 * time.Millisecond
	defaultHedgeDelay        = 50 * time.Millisecond
	minHedgeDelay            = 2 * time.Millisecond
)

// latency estimates a latency quantile of one shard from the samples of the most recent windows.
type latency struct {
	windows  *hdrhistogram.WindowedHistogram
	rotateAt time.Time
	cachedAt time.Time
	cached   time.Duration
}

func newLatency() *latency {
	return &latency{
		windows: hdrhistogram.NewWindowed(latencyWindowCount, 1, maxLatency.Microseconds(), latencySignificantDigits),
		cached:  defaultHedgeDelay,
	}
}

func (latency *latency) record(now time.Time, elapsed time.Duration) {
	if now.Sub(latency.rotateAt) >= latencyWindowLength {
		latency.rotateAt = now
		latency.windows.Rotate()
	}
	// Values outside the histogram's range are clamped to it.
	elapsed = min(max(elapsed, time.Microsecond), maxLatency)
	_ = latency.windows.Current.RecordValue(elapsed.Microseconds())
}

// quantile returns the latency at the quantile, recomputed once per quantileRefreshInterval. With too few samples it
// returns the previous value, which is initially defaultHedgeDelay.
func (latency *latency) quantile(now time.Time, quantile float64) time.Duration {
	if now.Sub(latency.cachedAt) < quantileRefreshInterval {
		return latency.cached
	}
	latency.cachedAt = now
	merged := latency.windows.Merge()
	if merged.TotalCount() < minLatencySamples {
		return latency.cached
	}
	micros := merged.ValueAtQuantile(100 * quantile)
	latency.cached = max(minHedgeDelay, time.Duration(micros)*time.Microsecond)
	return latency.cached
}
