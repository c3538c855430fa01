package admit

import (
	"time"

	"shallotreel.example/reel/queue"
	"shallotreel.example/reel/result"
)

const (
	windowStart   = 32.0
	windowMin     = 2.0
	windowMax     = 4096.0
	decrease      = 0.9
	gain          = 0.5
	congestedGoal = 0.3 // fraction of requests that may find a queue at a holder
	decreasePause = 100 * time.Millisecond
	queueFloor    = 2
	serviceStart  = 20 * time.Millisecond
	serviceGain   = 0.05
)

// Ticket stands for one request that waits or runs.
type Ticket uint64

// Request is what the machine needs to know of a request.
type Request struct {
	Ticket   Ticket
	Kind     string
	Weight   float64
	Deadline time.Time
}

// Decision is the fate of a request.
type Decision struct {
	Ticket     Ticket
	Code       result.Code // OK to start, else the refusal
	RetryAfter time.Duration
	Reason     string
}

// Machine admits the requests to one source through a window that adapts to refusals.
type Machine struct {
	window    float64
	running   int
	queue     queue.Queue[Request]
	service   time.Duration
	shrunkAt  time.Time
	perWindow float64
	retry     time.Duration
}

// New returns a machine with an empty window.
func New() *Machine {
	return &Machine{window: windowStart, service: serviceStart, perWindow: 0.5, retry: time.Second}
}

// Configure sets how many requests may wait for each running one and the least time to come back.
func (machine *Machine) Configure(queuePerSlot float64, retry time.Duration) {
	machine.perWindow = queuePerSlot
	machine.retry = retry
}

// Offer brings a request and returns the decisions that can be made now; a request without one waits.
func (machine *Machine) Offer(now time.Time, request Request) []Decision {
	remaining := request.Deadline.Sub(now)
	if remaining <= 0 {
		return []Decision{{request.Ticket, result.TooLate, 0, "deadline passed"}}
	}
	if machine.running < machine.limit() && machine.queue.Len() == 0 {
		return []Decision{machine.start(request, "window is open")}
	}
	if wait := machine.wait(); wait+machine.service > remaining {
		return []Decision{{request.Ticket, result.Overloaded, machine.comeBack(wait), "would miss its deadline"}}
	}
	machine.queue.Push(request.Kind, request.Weight, request.Deadline, request)
	var decisions []Decision
	for machine.queue.Len() > machine.queueLimit() {
		evicted, _ := machine.queue.Evict()
		decisions = append(decisions, Decision{evicted.Ticket, result.Overloaded,
			machine.comeBack(machine.wait()), "queue is full"})
	}
	return decisions
}

// Signal is what an ended request tells of the load on its targets.
type Signal int

// Signals of ended requests.
const (
	Free       Signal = iota
	Congested         // a sub-request waited at a holder for longer than it ran
	Overloaded        // a sub-request was refused for load
)

// Done tells that a started request ended and what it found; took is 0 if it ended before it was whole.
func (machine *Machine) Done(now time.Time, took time.Duration, signal Signal) []Decision {
	full := 2*machine.running >= machine.limit()
	machine.running = max(0, machine.running-1)
	if took > 0 {
		machine.service += time.Duration(serviceGain * float64(took-machine.service))
	}
	switch signal {
	case Overloaded:
		if now.Sub(machine.shrunkAt) >= decreasePause {
			machine.shrunkAt = now
			machine.resize(machine.window * decrease)
		}
	case Congested:
		machine.resize(machine.window - gain*(1-congestedGoal))
	case Free:
		if full {
			machine.resize(machine.window + gain*congestedGoal)
		}
	}
	return machine.Tick(now)
}

func (machine *Machine) resize(window float64) {
	machine.window = min(windowMax, max(windowMin, window))
}

// GiveUp removes a waiting request whose caller hung up.
func (machine *Machine) GiveUp(ticket Ticket) {
	machine.queue.Remove(func(request Request) bool { return request.Ticket == ticket })
}

// Tick refuses what waited past its deadline and starts what fits.
func (machine *Machine) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, expired := range machine.queue.Expire(now.Add(machine.service)) {
		decisions = append(decisions, Decision{expired.Ticket, result.Overloaded,
			machine.comeBack(machine.wait()), "would miss its deadline"})
	}
	for machine.running < machine.limit() {
		request, ok := machine.queue.Pop()
		if !ok {
			break
		}
		decisions = append(decisions, machine.start(request, "waited for the window"))
	}
	return decisions
}

// Load returns how many requests run, wait and may run.
func (machine *Machine) Load() (running, waiting, limit int) {
	return machine.running, machine.queue.Len(), machine.limit()
}

func (machine *Machine) start(request Request, reason string) Decision {
	machine.running++
	return Decision{request.Ticket, result.OK, 0, reason}
}

func (machine *Machine) limit() int {
	return int(machine.window)
}

func (machine *Machine) queueLimit() int {
	return max(queueFloor, int(machine.window*machine.perWindow))
}

func (machine *Machine) wait() time.Duration {
	return machine.service * time.Duration(machine.queue.Len()) / time.Duration(max(1, machine.limit()))
}

func (machine *Machine) comeBack(wait time.Duration) time.Duration {
	return max(machine.retry, wait)
}
