package entry

import (
	"context"
	"sync"
	"time"

	"shallotreel.example/reel/admit"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/result"
)

// gate hosts the admission machine of one source.
type gate struct {
	mutex   sync.Mutex
	machine *admit.Machine
	next    admit.ID
	waiting map[admit.ID]chan admit.Decision
}

func newGate() *gate {
	return &gate{machine: admit.New(), waiting: map[admit.ID]chan admit.Decision{}}
}

func (gate *gate) configure(preset document.Preset) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.machine.Configure(preset.QueuePerSlot, preset.RetryAfter.Std())
}

// enter waits until the request may start or is refused.
func (gate *gate) enter(ctx context.Context, kind document.Kind, deadline time.Time) admit.Decision {
	gate.mutex.Lock()
	gate.next++
	ticket := gate.next
	decided := make(chan admit.Decision, 1)
	gate.waiting[ticket] = decided
	gate.tell(gate.machine.Offer(time.Now(), admit.Request{ID: ticket, Kind: kind.Name,
		Weight: kind.Weight, Deadline: deadline}))
	gate.mutex.Unlock()
	select {
	case decision := <-decided:
		return decision
	case <-ctx.Done():
		return gate.giveUp(ticket, decided)
	}
}

// giveUp leaves the queue; a start that was decided meanwhile is given back.
func (gate *gate) giveUp(ticket admit.ID, decided chan admit.Decision) admit.Decision {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.machine.Cancel(ticket)
	delete(gate.waiting, ticket)
	select {
	case decision := <-decided:
		if decision.Code == result.OK {
			gate.tell(gate.machine.Done(time.Now(), 0, admit.Uncongested))
		}
	default:
	}
	return admit.Decision{ID: ticket, Code: result.Canceled, Reason: "the caller hung up"}
}

func (gate *gate) leave(took time.Duration, signal admit.Signal) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.tell(gate.machine.Done(time.Now(), took, signal))
}

func (gate *gate) tick(now time.Time) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.tell(gate.machine.Tick(now))
}

func (gate *gate) load() (running, waiting, limit int) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.machine.Load()
}

func (gate *gate) tell(decisions []admit.Decision) {
	for _, decision := range decisions {
		if decided, ok := gate.waiting[decision.ID]; ok {
			delete(gate.waiting, decision.ID)
			decided <- decision
		}
	}
}
