package admit

import (
	"time"

	"shallotreel.example/reel/queue"
	"shallotreel.example/reel/result"
)

const (
	minQueueLimit      = 2                     // requests that may wait even if the preset allows fewer
	initialServiceTime = 20 * time.Millisecond // estimate before the first complete request
	serviceTimeGain    = 0.05                  // weight of the newest sample in the EWMA of the service time
)

// ID identifies one request within a Machine; the host assigns it.
type ID uint64

// Request describes a request to be admitted.
type Request struct {
	ID       ID
	Kind     string  // class of the fair queue
	Weight   float64 // share of the kind in the fair queue, relative to the other kinds
	Deadline time.Time
	Rank     int           // 0 is the highest; a waiting request starts before those of lower ranks
	MaxWait  time.Duration // longest time in the queue, 0 for as long as the deadline allows
	Key      string        // same when a caller repeats the request, empty if that is not known
}

// Decision states that a request may start or is refused.
type Decision struct {
	ID         ID
	Code       result.Code   // OK to start, else the code of the refusal
	RetryAfter time.Duration // 0 unless the request is refused as overloaded
	Reason     string
}

// control decides how many requests may run at the same time.
type control interface {
	limit() int
	// ended records the end of a request, which was one of running.
	ended(now time.Time, running int, signal Signal)
}

// Machine limits the concurrent requests to one source. Requests outside the limit wait in a fair queue, in order of their
// ranks. The machine of New has a limit from the first request on; that of NewAdaptive has one only while there is evidence of
// overload. A Machine is not safe for concurrent use.
type Machine struct {
	control       control
	running       int
	queues        [maxRank + 1]queue.Queue[Request]
	serviceTime   time.Duration // EWMA over the complete requests
	queuePerSlot  float64       // waiting requests per request of the limit
	minRetryAfter time.Duration
	overload      *overload // nil without an adaptive limit
}

// New returns a machine with the initial window and no requests.
func New() *Machine {
	return &Machine{control: &window{size: initialWindow}, serviceTime: initialServiceTime, queuePerSlot: 0.5, minRetryAfter: time.Second}
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
	if refusal, refused := machine.refuseAtOnce(now, request); refused {
		return []Decision{refusal}
	}
	if machine.hasRoom(request) && machine.waitingAhead(request) == 0 {
		return []Decision{machine.start(request, "window has room")}
	}
	if wait := machine.expectedWait(); wait+machine.serviceTime > remaining {
		return []Decision{machine.refuse(now, request, "would miss its deadline")}
	}
	machine.push(now, request)
	var decisions []Decision
	for machine.waiting() > machine.queueLimit() {
		decisions = append(decisions, machine.refuse(now, machine.evict(), "queue is full"))
	}
	return decisions
}

// push queues the request.
func (machine *Machine) push(now time.Time, request Request) {
	latest := request.Deadline
	if longest := now.Add(request.MaxWait + machine.serviceTime); request.MaxWait > 0 && longest.Before(latest) {
		latest = longest
	}
	machine.queues[rankOf(request)].Push(request.Kind, request.Weight, latest, request)
}

// evict removes a waiting request of the lowest rank.
func (machine *Machine) evict() Request {
	for rank := maxRank; rank > 0; rank-- {
		if request, ok := machine.queues[rank].Evict(); ok {
			return request
		}
	}
	request, _ := machine.queues[0].Evict()
	return request
}

func rankOf(request Request) int { return min(max(request.Rank, 0), maxRank) }

// Done records the end of a started request and returns the decisions that follow from it. The duration elapsed is 0
// if the request did not complete, and then does not count towards the service time.
func (machine *Machine) Done(now time.Time, elapsed time.Duration, signal Signal) []Decision {
	running := machine.running
	machine.running = max(0, machine.running-1)
	if elapsed > 0 {
		machine.serviceTime += time.Duration(serviceTimeGain * float64(elapsed-machine.serviceTime))
	}
	machine.control.ended(now, running, signal)
	return machine.Tick(now)
}

// Cancel removes a waiting request without a decision; it has no effect on a request that already has one.
func (machine *Machine) Cancel(id ID) {
	for rank := range machine.queues {
		machine.queues[rank].Remove(func(request Request) bool { return request.ID == id })
	}
}

// Tick refuses the waiting requests that would miss their deadline and starts those for which the window has room.
func (machine *Machine) Tick(now time.Time) []Decision {
	var decisions []Decision
	for rank := range machine.queues {
		queue := &machine.queues[rank]
		for _, expired := range queue.Expire(now.Add(machine.serviceTime)) {
			decisions = append(decisions, machine.refuse(now, expired, "would miss its deadline"))
		}
		for machine.running < machine.limit() {
			request, ok := queue.Pop()
			if !ok {
				break
			}
			decisions = append(decisions, machine.start(request, "window has room after a wait"))
		}
	}
	return decisions
}

// Load returns the number of running requests, of waiting ones, and of those that may run at the same time.
func (machine *Machine) Load() (running, waiting, limit int) {
	return machine.running, machine.waiting(), machine.limit()
}

func (machine *Machine) start(request Request, reason string) Decision {
	machine.running++
	machine.overload.noteStart(request)
	return Decision{request.ID, result.OK, 0, reason}
}

// refuse returns the refusal of a request that was to wait.
func (machine *Machine) refuse(now time.Time, request Request, reason string) Decision {
	retryAfter := max(machine.minRetryAfter, machine.expectedWait())
	if machine.overload != nil {
		retryAfter = machine.overload.refuse(now, request)
	}
	return Decision{request.ID, result.Overloaded, retryAfter, reason}
}

// waitingAhead returns the number of waiting requests that start before the request.
func (machine *Machine) waitingAhead(request Request) int {
	total := 0
	for rank := range rankOf(request) + 1 {
		total += machine.queues[rank].Len()
	}
	return total
}

func (machine *Machine) waiting() int {
	total := 0
	for rank := range machine.queues {
		total += machine.queues[rank].Len()
	}
	return total
}

func (machine *Machine) limit() int {
	return machine.control.limit()
}

// hasRoom reports whether the limit allows the request to start now.
func (machine *Machine) hasRoom(request Request) bool {
	return machine.running < machine.limit() || machine.overload.mayExceed(request, machine.running, machine.limit())
}

// queueLimit returns the number of requests that may wait.
func (machine *Machine) queueLimit() int {
	return max(minQueueLimit, int(float64(machine.limit())*machine.queuePerSlot))
}

// expectedWait estimates how long a request that arrives now would wait.
func (machine *Machine) expectedWait() time.Duration {
	return machine.serviceTime * time.Duration(machine.waiting()) / time.Duration(max(1, machine.limit()))
}
