package entry

import (
	"context"
	"sync"
	"time"

	"shallotreel.example/reel/admit"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/result"
)

// limiter runs the admission control of one source. It is safe for concurrent use.
type limiter struct {
	mutex   sync.Mutex
	machine *admit.Machine
	lastID  admit.ID
	waiting map[admit.ID]chan admit.Decision
}

func newLimiter() *limiter {
	return &limiter{machine: admit.New(), waiting: map[admit.ID]chan admit.Decision{}}
}

func (limiter *limiter) configure(preset document.Preset) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.machine.Configure(preset.QueuePerSlot, preset.RetryAfter.Std())
}

// acquire waits until the request may start, is rejected, or ctx is done. After a decision with the code OK, the caller
// must call release.
func (limiter *limiter) acquire(ctx context.Context, kind document.Kind, deadline time.Time) admit.Decision {
	limiter.mutex.Lock()
	limiter.lastID++
	id := limiter.lastID
	decided := make(chan admit.Decision, 1)
	limiter.waiting[id] = decided
	limiter.notify(limiter.machine.Offer(time.Now(), admit.Request{ID: id, Kind: kind.Name,
		Weight: kind.Weight, Deadline: deadline}))
	limiter.mutex.Unlock()
	select {
	case decision := <-decided:
		return decision
	case <-ctx.Done():
		return limiter.cancel(id, decided)
	}
}

// cancel removes a request from the queue. If its start has been granted in the meantime, cancel releases it.
func (limiter *limiter) cancel(id admit.ID, decided chan admit.Decision) admit.Decision {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.machine.Cancel(id)
	delete(limiter.waiting, id)
	select {
	case decision := <-decided:
		if decision.Code == result.OK {
			limiter.notify(limiter.machine.Done(time.Now(), 0, admit.Uncongested))
		}
	default:
	}
	return admit.Decision{ID: id, Code: result.Canceled, Reason: "the caller closed the connection"}
}

// release ends a started request and starts waiting ones. elapsed is its duration, or 0 if it did not succeed.
func (limiter *limiter) release(elapsed time.Duration, signal admit.Signal) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.notify(limiter.machine.Done(time.Now(), elapsed, signal))
}

// tick rejects the waiting requests that would miss their deadline, and starts others if the limit allows it.
func (limiter *limiter) tick(now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.notify(limiter.machine.Tick(now))
}

// load returns the number of running and of waiting requests, and the current limit on the running ones.
func (limiter *limiter) load() (running, waiting, limit int) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.machine.Load()
}

// notify passes the decisions to the requests that wait for them.
func (limiter *limiter) notify(decisions []admit.Decision) {
	for _, decision := range decisions {
		if decided, ok := limiter.waiting[decision.ID]; ok {
			delete(limiter.waiting, decision.ID)
			decided <- decision
		}
	}
}
