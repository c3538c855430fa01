package virtualtime

import (
	"cmp"
	"container/heap"
	"time"
)

// Clock is a virtual clock with the functions that are due later. Functions that are due at the same time run in the order
// in which they were scheduled. It is not safe for concurrent use.
type Clock struct {
	Now    time.Time // current time
	events events
	order  int
}

// Schedule runs the function after the delay.
func (clock *Clock) Schedule(delay time.Duration, run func()) {
	clock.order++
	heap.Push(&clock.events, event{clock.Now.Add(delay), clock.order, run})
}

// Run runs the functions that are due within the duration, also those that are scheduled meanwhile, and advances the time
// by the duration.
func (clock *Clock) Run(duration time.Duration) {
	end := clock.Now.Add(duration)
	for len(clock.events) > 0 && !clock.events[0].at.After(end) {
		next := heap.Pop(&clock.events).(event)
		clock.Now = next.at
		next.run()
	}
	clock.Now = end
}

// event is a function call at a virtual time.
type event struct {
	at    time.Time
	order int
	run   func()
}

// events is a heap of events ordered by time and sequence number.
type events []event

func (events events) Len() int      { return len(events) }
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events events) Less(i, j int) bool {
	return cmp.Or(events[i].at.Compare(events[j].at), cmp.Compare(events[i].order, events[j].order)) < 0
}

// Push implements heap.Interface.
func (events *events) Push(x any) { *events = append(*events, x.(event)) }

// Pop implements heap.Interface.
func (events *events) Pop() any {
	last := len(*events) - 1
	popped := (*events)[last]
	*events = (*events)[:last]
	return popped
}
