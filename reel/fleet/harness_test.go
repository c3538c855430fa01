package fleet

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"shallotreel.example/reel/contact"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/platform"
	"shallotreel.example/reel/quarantine"
)

// harness runs machines under a fake clock with a fake network; the same seed gives the same run.
type harness struct {
	now      time.Time
	random   *rand.Rand
	nodes    []*node
	events   eventQueue
	order    int
	values   map[string]value // what the platform publishes
	down     bool             // the platform does not answer
	cut      func(a, b int) bool
	watch    func(node int) bool
	onTick   func()
	switches []string
	preset   string // published last
	chosen   uint64 // revision that chose it
}

type value struct {
	version uint64
	data    []byte
}

type node struct {
	number  int
	machine *Machine
	book    *quarantine.Tracker
	address netip.AddrPort
	frozen  bool
	dead    bool
	sent    int // bytes
	packets int
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(i, j int) bool {
	if !queue[i].at.Equal(queue[j].at) {
		return queue[i].at.Before(queue[j].at)
	}
	return queue[i].order < queue[j].order
}
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(x any)   { *queue = append(*queue, x.(event)) }
func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	popped := (*queue)[last]
	*queue = (*queue)[:last]
	return popped
}

const (
	tickPeriod = 100 * time.Millisecond
	latency    = time.Millisecond
	pollPeriod = 400 * time.Millisecond
)

func newHarness(seed uint64, size int) *harness {
	harness := &harness{now: time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(seed, 2)),
		values: map[string]value{}, cut: func(int, int) bool { return false },
		watch: func(node int) bool { return node < 2 }, onTick: func() {}}
	for number := range size {
		harness.start(number)
	}
	harness.publishList(1, size)
	harness.publish(1, "ordinary")
	return harness
}

func (harness *harness) start(number int) *node {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 1)
	self := member.Member{Name: fmt.Sprintf("i%d", number), DataCentre: fmt.Sprintf("dc%d", number%3), Peer: address,
		Caller: address, Incarnation: uint64(harness.now.UnixMilli()), State: member.Joining}
	started := &node{number: number, address: address, book: &quarantine.Tracker{}}
	random := rand.New(rand.NewPCG(harness.random.Uint64(), 3))
	started.machine = New(harness.now, self, nil, started.book, random)
	started.machine.Prepare()
	if number < len(harness.nodes) {
		harness.nodes[number].dead = true
		harness.nodes[number] = started
	} else {
		harness.nodes = append(harness.nodes, started)
	}
	offset := time.Duration(harness.random.Int64N(int64(tickPeriod)))
	harness.after(offset, func() { harness.tick(started) })
	harness.after(offset/2, func() { harness.poll(started, true) })
	return started
}

func (harness *harness) after(delay time.Duration, run func()) {
	harness.order++
	heap.Push(&harness.events, event{harness.now.Add(delay), harness.order, run})
}

// run lets the time pass.
func (harness *harness) run(duration time.Duration) {
	end := harness.now.Add(duration)
	for len(harness.events) > 0 && !harness.events[0].at.After(end) {
		next := heap.Pop(&harness.events).(event)
		harness.now = next.at
		next.run()
	}
	harness.now = end
}

func (harness *harness) tick(node *node) {
	if node.dead {
		return
	}
	if !node.frozen {
		harness.perform(node, node.machine.Tick(harness.now))
		harness.onTick()
	}
	harness.after(tickPeriod, func() { harness.tick(node) })
}

// poll reads all values, as a watcher does; others read them once at their start.
func (harness *harness) poll(node *node, first bool) {
	if node.dead {
		return
	}
	if !node.frozen && !harness.down && (first || harness.watch(node.number)) {
		for _, key := range []string{platform.InstancesKey, platform.DocumentKey} {
			value := harness.values[key]
			harness.perform(node, node.machine.Read(harness.now, key, value.version, value.data))
		}
	}
	harness.after(pollPeriod, func() { harness.poll(node, false) })
}

func (harness *harness) perform(from *node, output Output) {
	if output.InForce != nil {
		harness.switches = append(harness.switches, fmt.Sprintf("%v i%d %d %s", harness.now.Format("05.000"),
			from.number, output.InForce.Revision, output.InForce.PresetInForce))
	}
	for _, send := range output.Sends {
		data, err := send.Packet.Encode()
		if err != nil {
			panic(err)
		}
		from.sent += len(data)
		from.packets++
		harness.deliver(from, send.To, func(to *node) {
			packet, err := Decode(data)
			if err != nil {
				panic(err)
			}
			harness.perform(to, to.machine.Receive(harness.now, packet))
		})
	}
	for _, pull := range output.Pulls {
		harness.pull(from, pull.From)
	}
}

func (harness *harness) pull(from *node, address netip.AddrPort) {
	request := from.machine.Request()
	harness.deliver(from, address, func(to *node) {
		reply, output := to.machine.Answer(harness.now, request)
		harness.perform(to, output)
		harness.deliver(to, from.address, func(back *node) {
			harness.perform(back, back.machine.Pulled(harness.now, to.address, &reply))
		})
	})
}

func (harness *harness) deliver(from *node, address netip.AddrPort, take func(to *node)) {
	at := slices.IndexFunc(harness.nodes, func(node *node) bool { return node.address == address })
	if at < 0 || harness.cut(from.number, at) {
		return
	}
	delay := latency + time.Duration(harness.random.Int64N(int64(latency)))
	harness.after(delay, func() {
		to := harness.nodes[at]
		switch {
		case to.dead:
		case to.frozen:
			harness.after(tickPeriod, func() { harness.deliver(from, address, take) })
		default:
			take(to)
		}
	})
}

func (harness *harness) publishList(version uint64, size int) {
	list := List{Version: version}
	for number := range size {
		node := harness.nodes[number]
		list.Instances = append(list.Instances, platform.Instance{Name: fmt.Sprintf("i%d", number),
			Peer: node.address, Caller: node.address, DataCentre: fmt.Sprintf("dc%d", number%3)})
	}
	data, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	harness.values[platform.InstancesKey] = value{version, data}
}

func (harness *harness) publish(revision uint64, preset string) {
	if preset != harness.preset {
		harness.preset, harness.chosen = preset, revision
	}
	data := fmt.Sprintf(`{"format":1,"revision":%d,"published_at":"2026-12-03T06:00:00Z","deployment":"test",
"data_centres":["dc0","dc1","dc2"],"sources":[{"name":"s","slots":3,"connections":30,"connect_cost":"1ms"}],
"kinds":[{"name":"k","source":"s","operation":"search","weight":1,"deadline":"1s","rule":"coverage","repeatable":true}],
"events":[],"presets":[
{"name":"ordinary","hedge_quantile":0.9,"extra_load":0.05,"queue_per_slot":1,"slot_fraction":1,"canary":true,"retry_after":"1s","address_keep":"5s"},
{"name":"peak","hedge_quantile":0.9,"extra_load":0.02,"queue_per_slot":1,"slot_fraction":1,"canary":true,"retry_after":"1s","address_keep":"5s"},
{"name":"maintenance","hedge_quantile":0.9,"extra_load":0.01,"queue_per_slot":1,"slot_fraction":1,"canary":true,"retry_after":"1s","address_keep":"5s"}],
"preset_in_force":%q,"preset_revision":%d}`, revision, preset, harness.chosen)
	harness.values[platform.DocumentKey] = value{revision, []byte(data)}
}

// admitting returns the presets under which instances would admit a request now.
func (harness *harness) admitting() map[string]int {
	presets := map[string]int{}
	for _, node := range harness.nodes {
		if node.dead || node.frozen {
			continue
		}
		if preset, ok := admits(node, harness.now); ok {
			presets[preset]++
		}
	}
	return presets
}

// admits returns the preset under which the instance would admit a request now, as its host judges.
func admits(node *node, now time.Time) (string, bool) {
	doc := node.machine.InForce()
	if doc == nil {
		return "", false
	}
	next, at := node.machine.Next()
	if next != nil && !now.Before(at) {
		doc = next
	} else if until, coming := node.machine.Until(); coming && !now.Before(until) {
		return "", false
	}
	standing := node.machine.Standing(now)
	good := standing == contact.Good || standing == contact.Undecided
	return doc.PresetInForce, good && !now.After(node.machine.GoodUntil())
}

func (harness *harness) revisions() []uint64 {
	var revisions []uint64
	for _, node := range harness.nodes {
		if !node.dead && node.machine.InForce() != nil {
			revisions = append(revisions, node.machine.InForce().Revision)
		}
	}
	return revisions
}

func (harness *harness) standings() []contact.Standing {
	var standings []contact.Standing
	for _, node := range harness.nodes {
		if !node.dead {
			standings = append(standings, node.machine.Standing(harness.now))
		}
	}
	return standings
}

// describe tells what decides the admission of each instance.
func (harness *harness) describe() string {
	var text strings.Builder
	for _, node := range harness.nodes {
		machine := node.machine
		until, known := machine.Until()
		_, next := machine.Next()
		fmt.Fprintf(&text, "i%d frozen=%v in force %d held %d standing %v good until %v, admits until %v (%v), next at %v\n",
			node.number, node.frozen, machine.InForce().Revision, machine.Held().Revision, machine.Standing(harness.now),
			machine.GoodUntil().Format("05.000"), until.Format("05.000"), known, next.Format("05.000"))
	}
	return text.String()
}
