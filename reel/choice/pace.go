package choice

import (
	"math"
	"time"
)

const (
	paceSteps   = 8 // buckets for each doubling of a latency
	paceBuckets = 14 * paceSteps
	paceBase    = time.Millisecond
	paceFew     = 40  // samples before quantiles are trusted
	paceMost    = 800 // samples after which old ones are halved
)

// pace learns how long answers of one route's parts take, over all targets that are not known to be slow.
type pace struct {
	counts [paceBuckets]float64
	total  float64
}

func (pace *pace) add(latency time.Duration) {
	pace.counts[paceBucket(latency)]++
	pace.total++
	if pace.total < paceMost {
		return
	}
	pace.total = 0
	for i := range pace.counts {
		pace.counts[i] /= 2
		pace.total += pace.counts[i]
	}
}

// quantile returns the latency that the share of answers stays under, or the fallback while few are known.
func (pace *pace) quantile(share float64, fallback time.Duration) time.Duration {
	if pace.total < paceFew {
		return fallback
	}
	rest := share * pace.total
	for i, count := range pace.counts {
		rest -= count
		if rest <= 0 {
			return paceLatency(i + 1)
		}
	}
	return paceLatency(paceBuckets)
}

func paceBucket(latency time.Duration) int {
	if latency <= paceBase {
		return 0
	}
	at := int(math.Log2(float64(latency)/float64(paceBase)) * paceSteps)
	return min(at, paceBuckets-1)
}

func paceLatency(bucket int) time.Duration {
	return time.Duration(float64(paceBase) * math.Exp2(float64(bucket)/paceSteps))
}
