package admit

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"shallotreel.example/reel/result"
)

// service is a number of targets in virtual time, each with slots and a queue, and the instances that use them.
type service struct {
	now       time.Time
	random    *rand.Rand
	events    events
	targets   []*slots
	instances []*Machine
	waiting   map[ID]func(Decision)
	lastID    ID
	counts    map[string]*count // by kind
}

// slots is one target, which works on nothing while it pauses.
type slots struct {
	free, size int
	queue      []func()
	paused     bool
}

// count is what became of the requests of one kind.
type count struct{ offered, admitted, good, refused int }

type event struct {
	at  time.Time
	run func()
}

type events []event

func (events events) Len() int           { return len(events) }
func (events events) Less(i, j int) bool { return events[i].at.Before(events[j].at) }
func (events events) Swap(i, j int)      { events[i], events[j] = events[j], events[i] }
func (events *events) Push(item any)     { *events = append(*events, item.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

const (
	serviceTime = 15 * time.Millisecond
	goal        = 200 * time.Millisecond
	patience    = time.Second
)

func newService(seed uint64, instances, targets, slotsEach int) *service {
	service := &service{now: start, random: rand.New(rand.NewPCG(seed, 1)), waiting: map[ID]func(Decision){},
		counts: map[string]*count{}}
	for range targets {
		service.targets = append(service.targets, &slots{free: slotsEach, size: slotsEach})
	}
	for i := range instances {
		service.instances = append(service.instances, NewAdaptive(rand.New(rand.NewPCG(seed, uint64(i)))))
	}
	return service
}

func (service *service) after(delay time.Duration, run func()) {
	heap.Push(&service.events, event{service.now.Add(delay), run})
}

// run lets the time pass.
func (service *service) run(duration time.Duration) {
	end := service.now.Add(duration)
	for len(service.events) > 0 && !service.events[0].at.After(end) {
		next := heap.Pop(&service.events).(event)
		service.now = next.at
		next.run()
	}
	service.now = end
}

// traffic offers requests of the kind at the rate, to the instances from and up, until the duration is over.
func (service *service) traffic(kind string, rank int, perSecond float64, instances []*Machine, duration time.Duration) {
	end := service.now.Add(duration)
	var next func()
	next = func() {
		if service.now.After(end) {
			return
		}
		service.offer(instances[service.random.IntN(len(instances))], kind, rank)
		service.after(time.Duration(service.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	service.after(time.Duration(service.random.ExpFloat64()/perSecond*float64(time.Second)), next)
}

func (service *service) count(kind string) *count {
	if service.counts[kind] == nil {
		service.counts[kind] = &count{}
	}
	return service.counts[kind]
}

func (service *service) offer(machine *Machine, kind string, rank int) {
	service.lastID++
	id, arrived := service.lastID, service.now
	service.count(kind).offered++
	service.waiting[id] = func(decision Decision) {
		if decision.Code != result.OK {
			service.count(kind).refused++
			return
		}
		service.count(kind).admitted++
		service.attempt(machine, kind, arrived, Evidence{Goal: goal})
	}
	service.decide(machine.Offer(service.now, Request{ID: id, Kind: kind, Weight: 1, Rank: rank, Deadline: arrived.Add(patience), MaxWait: goal / 10}))
	service.after(goal/10, func() { service.decide(machine.Tick(service.now)) })
}

func (service *service) decide(decisions []Decision) {
	for _, decision := range decisions {
		decided := service.waiting[decision.ID]
		delete(service.waiting, decision.ID)
		decided(decision)
	}
}

// attempt sends a request to the less loaded of two targets.
func (service *service) attempt(machine *Machine, kind string, arrived time.Time, evidence Evidence) {
	chosen, other := service.targets[service.random.IntN(len(service.targets))], service.targets[service.random.IntN(len(service.targets))]
	if other.free-len(other.queue) > chosen.free-len(chosen.queue) {
		chosen = other
	}
	evidence.Attempts++
	if chosen.free == 0 && len(chosen.queue) >= 4*chosen.size {
		evidence.Refused++
		service.decide(machine.Attempt(service.now, "s", 1, true))
		if evidence.Refused < 3 && service.now.Sub(arrived) < goal {
			service.after(time.Millisecond, func() { service.attempt(machine, kind, arrived, evidence) })
			return
		}
		service.end(machine, kind, arrived, evidence, true)
		return
	}
	work := func() {
		took := time.Duration((0.3 + 0.7*service.random.ExpFloat64()) * float64(serviceTime))
		service.after(took, func() {
			chosen.free++
			chosen.next()
			queue := float64(len(chosen.queue)) / float64(chosen.size)
			if queue >= 1 {
				evidence.Queued++
			}
			service.decide(machine.Attempt(service.now, "s", queue, false))
			service.end(machine, kind, arrived, evidence, false)
		})
	}
	chosen.queue = append(chosen.queue, work)
	chosen.next()
}

func (slots *slots) next() {
	if slots.free > 0 && len(slots.queue) > 0 && !slots.paused {
		slots.free--
		work := slots.queue[0]
		slots.queue = slots.queue[1:]
		work()
	}
}

func (service *service) end(machine *Machine, kind string, arrived time.Time, evidence Evidence, failed bool) {
	evidence.Failed, evidence.Took = failed, service.now.Sub(arrived)
	if !failed && evidence.Took <= goal {
		service.count(kind).good++
	}
	service.decide(machine.End(service.now, evidence.Took, evidence.Signal()))
}
