package admit

import (
	"time"

	"shallotreel.example/reel/queue"
	"shallotreel.example/reel/result"
)

const (
	initialWindow       = 32.0                   // concurrent requests
	minWindow           = 2.0                    // concurrent requests
	maxWindow           = 4096.0                 // concurrent requests
	decreaseFactor      = 0.9                    // multiplies the window after an overload refusal
	adjustmentStep      = 0.5                    // scales the additive changes of the window, in requests
	congestedSetpoint   = 0.3                    // fraction of congested requests at which the window is constant
	minDecreaseInterval = 100 * time.Millisecond // least time between two multiplicative decreases
	minQueueLimit       = 2                      // requests that may wait even if the preset allows fewer
	initialServiceTime  = 20 * time.Millisecond  // estimate before the first complete request
	serviceTimeGain     = 0.05                   // weight of the newest sample in the EWMA of the service time
)

// ID identifies one request within a Machine; the host assigns it.
type ID uint64

// Request describes a request to be admitted.
type Request struct {
	ID       ID
	Kind     string  // class of the fair queue
	Weight   float64 // share of the kind in the fair queue, relative to the other kinds
	Deadline time.Time
}

// Decision states that a request may start or is refused.
type Decision struct {
	ID         ID
	Code       result.Code   // OK to start, else the code of the refusal
	RetryAfter time.Duration // 0 unless the request is refused as overloaded
	Reason     string
}

// Machine limits the concurrent requests to one source by a window. An overload refusal shrinks the window
// multiplicatively. Otherwise it shrinks after each congested request and grows after each uncongested one, by steps
// that balance when the fraction congestedSetpoint of the requests is congested. It grows only while at least half of
// it is in use. Requests outside the window wait in a fair queue. A Machine is not safe for concurrent use.
type Machine struct {
	window        float64 // limit of running requests; its fraction is kept between adjustments
	running       int
	queue         queue.Queue[Request]
	serviceTime   time.Duration // EWMA over the complete requests
	decreasedAt   time.Time     // last multiplicative decrease
	queuePerSlot  float64       // waiting requests per request of the window
	minRetryAfter time.Duration
}

// New returns a machine with the initial window and no requests.
func New() *Machine {
	return &Machine{window: initialWindow, serviceTime: initialServiceTime, queuePerSlot: 0.5, minRetryAfter: time.Second}
}

// Configure sets the number of requests that may wait per request of the window and the least RetryAfter of an overload
// refusal.
func (machine *Machine) Configure(queuePerSlot float64, minRetryAfter time.Duration) {
	machine.queuePerSlot = queuePerSlot
	machine.minRetryAfter = minRetryAfter
}

// Offer submits a request and returns the decisions that follow from it. The request waits if none of them
// has its ID; the others refuse requests that were evicted from the queue.
func (machine *Machine) Offer(now time.Time, request Request) []Decision {
	remaining := request.Deadline.Sub(now)
	if remaining <= 0 {
		return []Decision{{request.ID, result.TooLate, 0, "deadline passed"}}
	}
	if machine.running < machine.limit() && machine.queue.Len() == 0 {
		return []Decision{machine.start(request, "window has room")}
	}
	if wait := machine.expectedWait(); wait+machine.serviceTime > remaining {
		return []Decision{{request.ID, result.Overloaded, machine.retryAfter(wait), "would miss its deadline"}}
	}
	machine.queue.Push(request.Kind, request.Weight, request.Deadline, request)
	var decisions []Decision
	for machine.queue.Len() > machine.queueLimit() {
		evicted, _ := machine.queue.Evict()
		decisions = append(decisions, Decision{evicted.ID, result.Overloaded,
			machine.retryAfter(machine.expectedWait()), "queue is full"})
	}
	return decisions
}

// Signal is the load at the targets that an ended request observed.
type Signal int

// Signals of ended requests, from the lightest load to the heaviest.
const (
	Uncongested Signal = iota // neither of the other signals applies
	Congested                 // a sub-request waited at a holder for longer than it ran
	Overloaded                // a sub-request was refused because of overload
)

// Done records the end of a started request and returns the decisions that follow from it. The duration elapsed is 0
// if the request did not complete, and then does not count towards the service time.
func (machine *Machine) Done(now time.Time, elapsed time.Duration, signal Signal) []Decision {
	busy := 2*machine.running >= machine.limit()
	machine.running = max(0, machine.running-1)
	if elapsed > 0 {
		machine.serviceTime += time.Duration(serviceTimeGain * float64(elapsed-machine.serviceTime))
	}
	switch signal {
	case Overloaded:
		if now.Sub(machine.decreasedAt) >= minDecreaseInterval {
			machine.decreasedAt = now
			machine.resize(machine.window * decreaseFactor)
		}
	case Congested:
		machine.resize(machine.window - adjustmentStep*(1-congestedSetpoint))
	case Uncongested:
		if busy {
			machine.resize(machine.window + adjustmentStep*congestedSetpoint)
		}
	}
	return machine.Tick(now)
}

func (machine *Machine) resize(window float64) {
	machine.window = min(maxWindow, max(minWindow, window))
}

// Cancel removes a waiting request without a decision; it has no effect on a request that already has one.
func (machine *Machine) Cancel(id ID) {
	machine.queue.Remove(func(request Request) bool { return request.ID == id })
}

// Tick refuses the waiting requests that would miss their deadline and starts those for which the window has room.
func (machine *Machine) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, expired := range machine.queue.Expire(now.Add(machine.serviceTime)) {
		decisions = append(decisions, Decision{expired.ID, result.Overloaded,
			machine.retryAfter(machine.expectedWait()), "would miss its deadline"})
	}
	for machine.running < machine.limit() {
		request, ok := machine.queue.Pop()
		if !ok {
			break
		}
		decisions = append(decisions, machine.start(request, "window has room after a wait"))
	}
	return decisions
}

// Load returns the number of running requests, of waiting ones, and of those that may run at the same time.
func (machine *Machine) Load() (running, waiting, limit int) {
	return machine.running, machine.queue.Len(), machine.limit()
}

func (machine *Machine) start(request Request, reason string) Decision {
	machine.running++
	return Decision{request.ID, result.OK, 0, reason}
}

func (machine *Machine) limit() int {
	return int(machine.window)
}

// queueLimit returns the number of requests that may wait.
func (machine *Machine) queueLimit() int {
	return max(minQueueLimit, int(machine.window*machine.queuePerSlot))
}

// expectedWait estimates how long a request that arrives now would wait.
func (machine *Machine) expectedWait() time.Duration {
	return machine.serviceTime * time.Duration(machine.queue.Len()) / time.Duration(max(1, machine.limit()))
}

func (machine *Machine) retryAfter(wait time.Duration) time.Duration {
	return max(machine.minRetryAfter, wait)
}
