package choice

import (
	"math"
	"time"
)

const (
	bucketsPerDoubling = 8                       // buckets for each doubling of the latency
	bucketCount        = 14 * bucketsPerDoubling // buckets from minLatency to 2^14 times minLatency, about 16 s
	minLatency         = time.Millisecond        // upper bound of latencies that count as equally short
	minSamples         = 40                      // samples below which quantile returns its fallback
	maxSamples         = 800                     // samples at which all counts are halved, so that old ones decay
)

// latencyHistogram is a decaying histogram, with logarithmic buckets, of the answer latencies of one route. It leaves
// out targets whose average latency is above slowThreshold, so that they do not raise the baseline.
type latencyHistogram struct {
	counts [bucketCount]float64
	total  float64
}

// add counts the latency, and halves all counts once there are maxSamples.
func (latencyHistogram *latencyHistogram) add(latency time.Duration) {
	latencyHistogram.counts[bucketOf(latency)]++
	latencyHistogram.total++
	if latencyHistogram.total < maxSamples {
		return
	}
	latencyHistogram.total = 0
	for i := range latencyHistogram.counts {
		latencyHistogram.counts[i] /= 2
		latencyHistogram.total += latencyHistogram.counts[i]
	}
}

// quantile returns the upper bound of the bucket that holds the q-quantile, with q from 0 to 1, or the fallback while
// there are fewer than minSamples samples.
func (latencyHistogram *latencyHistogram) quantile(q float64, fallback time.Duration) time.Duration {
	if latencyHistogram.total < minSamples {
		return fallback
	}
	rest := q * latencyHistogram.total
	for i, count := range latencyHistogram.counts {
		rest -= count
		if rest <= 0 {
			return bucketBound(i + 1)
		}
	}
	return bucketBound(bucketCount)
}

// bucketOf returns the index of the bucket that counts the latency.
func bucketOf(latency time.Duration) int {
	if latency <= minLatency {
		return 0
	}
	bucket := int(math.Log2(float64(latency)/float64(minLatency)) * bucketsPerDoubling)
	return min(bucket, bucketCount-1)
}

// bucketBound returns the lower bound of the bucket, which is the upper bound of the one before it.
func bucketBound(bucket int) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}
