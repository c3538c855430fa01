package quota

import "time"

const (
	// burstTime is the time for which an instance can save up its part of the rate, beyond a single request.
	burstTime = 250 * time.Millisecond
	// strictBurstTime is that time for a rate that no single second may exceed by much. It makes up for requests that come a
	// little late.
	strictBurstTime = 25 * time.Millisecond
	// handoverTime is the time after which an instance uses a part that another one held, which may not know that yet.
	handoverTime = time.Second
)

// Bucket is a token bucket for the part of one instance.
type Bucket struct {
	part     Part
	tokens   float64
	filledAt time.Time
	used     int64 // the newest turn in which a request was sent
	burst    time.Duration
}

// NewBucket returns a bucket without a part, which holds the given number of requests once it has one.
func NewBucket(requests float64) *Bucket { return &Bucket{tokens: requests, burst: burstTime} }

// NewStrictBucket returns a bucket like NewBucket that saves up hardly more than one request.
func NewStrictBucket(requests float64) *Bucket {
	return &Bucket{tokens: requests, burst: strictBurstTime}
}

// Part returns the part of the bucket.
func (bucket *Bucket) Part() Part { return bucket.part }

// SetPart changes the part. The tokens are kept as far as the new part can save them up.
func (bucket *Bucket) SetPart(now time.Time, part Part) {
	if bucket.part.Turn == 0 {
		bucket.part, bucket.filledAt = part, now
	}
	bucket.fill(now)
	if bucket.part.Rate == 0 && part.Rate > 0 {
		bucket.tokens = -part.Rate * handoverTime.Seconds()
	}
	bucket.part = part
	bucket.fill(now)
}

// IsStale reports whether a turn has begun for which the part does not tell.
func (bucket *Bucket) IsStale(now time.Time, setAt time.Time) bool {
	return bucket.part.Rate == 0 && bucket.part.turnAt(now) != bucket.part.turnAt(setAt)
}

// Wait returns the time until the instance may send the next request, 0 if it may do so now. For an instance that takes turns
// it is the time until the next turn, which may be another one's.
func (bucket *Bucket) Wait(now time.Time) time.Duration {
	if bucket.part.Rate > 0 {
		bucket.fill(now)
		if bucket.tokens >= 1 {
			return 0
		}
		return time.Duration((1-bucket.tokens)/bucket.part.Rate*float64(time.Second)) + 1 // rounded up
	}
	turn := bucket.part.turnAt(now)
	if bucket.part.OwnTurn == turn && bucket.used != turn {
		return 0
	}
	return bucket.part.turnEnd(now).Sub(now)
}

// Take counts a request. Without a token it delays the next ones.
func (bucket *Bucket) Take(now time.Time) {
	bucket.fill(now)
	if bucket.part.Rate > 0 {
		bucket.tokens--
	}
	bucket.used = bucket.part.turnAt(now)
}

// fill adds the tokens of the time since the last call.
func (bucket *Bucket) fill(now time.Time) {
	if passed := now.Sub(bucket.filledAt); passed > 0 && !bucket.filledAt.IsZero() {
		bucket.tokens += passed.Seconds() * bucket.part.Rate
	}
	bucket.filledAt = now
	capacity := 0.0
	if bucket.part.Rate > 0 {
		capacity = 1 + bucket.part.Rate*bucket.burst.Seconds()
	}
	bucket.tokens = min(bucket.tokens, capacity)
}
