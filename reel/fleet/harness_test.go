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

// harness simulates instances, the network and the platform under a fake clock; runs with the same seed are identical.
type harness struct {
	now             time.Time
	random          *rand.Rand
	nodes           []*node
	events          eventQueue
	order           int                 // number of scheduled events, which orders those at the same time
	values          map[string]value    // values that the platform publishes, by key
	platformDown    bool                // the platform does not answer
	partitioned     func(a, b int) bool // reports whether packets between the instances are lost
	watchesPlatform func(node int) bool // reports whether the instance polls the platform after its start
	onTick          func()              // called after each tick of an instance
	switches        []string            // descriptions of the revisions that took effect
	preset          string              // preset in force in the document published last
	presetRevision  uint64              // revision that chose the preset
}

type value struct {
	version uint64
	data    []byte
}

type node struct {
	number       int
	machine      *Machine
	crashHistory *quarantine.Tracker
	address      netip.AddrPort
	paused       bool // the process is paused
	dead         bool // the process has ended or was replaced
	sentBytes    int
	packets      int // sent
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
	latency    = time.Millisecond // minimum; the maximum is twice as long
	pollPeriod = 400 * time.Millisecond
)

func newHarness(seed uint64, size int) *harness {
	harness := &harness{now: time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(seed, 2)),
		values: map[string]value{}, partitioned: func(int, int) bool { return false },
		watchesPlatform: func(node int) bool { return node < 2 }, onTick: func() {}}
	for number := range size {
		harness.start(number)
	}
	harness.publishList(1, size)
	harness.publish(1, "ordinary")
	return harness
}

// start starts an instance with the number. It replaces the instance that has the number, if there is one.
func (harness *harness) start(number int) *node {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 1)
	self := member.Member{Name: fmt.Sprintf("i%d", number), DataCentre: fmt.Sprintf("dc%d", number%3), Peer: address,
		Caller: address, Incarnation: uint64(harness.now.UnixMilli()), State: member.Joining}
	started := &node{number: number, address: address, crashHistory: &quarantine.Tracker{}}
	random := rand.New(rand.NewPCG(harness.random.Uint64(), 3))
	started.machine = New(harness.now, self, nil, started.crashHistory, random)
	started.machine.SetReady()
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

// after schedules a call at the given delay from now.
func (harness *harness) after(delay time.Duration, run func()) {
	harness.order++
	heap.Push(&harness.events, event{harness.now.Add(delay), harness.order, run})
}

// run executes the events of the given duration and advances the clock by it.
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
	if !node.paused {
		harness.perform(node, node.machine.Tick(harness.now))
		harness.onTick()
	}
	harness.after(tickPeriod, func() { harness.tick(node) })
}

// poll reads all values from the platform: periodically on an instance that watches it, on others only at their start.
func (harness *harness) poll(node *node, first bool) {
	if node.dead {
		return
	}
	if !node.paused && !harness.platformDown && (first || harness.watchesPlatform(node.number)) {
		for _, key := range []string{platform.InstancesKey, platform.DocumentKey} {
			value := harness.values[key]
			harness.perform(node, node.machine.HandlePlatformValue(harness.now, key, value.version, value.data))
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
		from.sentBytes += len(data)
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
	request := from.machine.PullRequest()
	harness.deliver(from, address, func(to *node) {
		reply, output := to.machine.HandlePull(harness.now, request)
		harness.perform(to, output)
		harness.deliver(to, from.address, func(requester *node) {
			harness.perform(requester, requester.machine.HandlePullReply(harness.now, to.address, &reply))
		})
	})
}

// deliver calls handle with the node at the address after the latency. A paused node is called after it resumes, as
// if the packet had waited in its socket buffer.
func (harness *harness) deliver(from *node, address netip.AddrPort, handle func(to *node)) {
	at := slices.IndexFunc(harness.nodes, func(node *node) bool { return node.address == address })
	if at < 0 || harness.partitioned(from.number, at) {
		return
	}
	delay := latency + time.Duration(harness.random.Int64N(int64(latency)))
	harness.after(delay, func() {
		to := harness.nodes[at]
		switch {
		case to.dead:
		case to.paused:
			harness.after(tickPeriod, func() { harness.deliver(from, address, handle) })
		default:
			handle(to)
		}
	})
}

// publishList publishes an instance list with the first instances.
func (harness *harness) publishList(version uint64, size int) {
	list := InstanceList{Version: version}
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

// publish publishes a document that has the preset in force.
func (harness *harness) publish(revision uint64, preset string) {
	if preset != harness.preset {
		harness.preset, harness.presetRevision = preset, revision
	}
	data := fmt.Sprintf(`{"format":1,"revision":%d,"published_at":"2026-12-03T06:00:00Z","deployment":"test",
"data_centres":["dc0","dc1","dc2"],"sources":[{"name":"s","slots":3,"connections":30,"connect_cost":"1ms"}],
"kinds":[{"name":"k","source":"s","operation":"search","weight":1,"deadline":"1s","rule":"coverage","repeatable":true}],
"events":[],"presets":[
{"name":"ordinary","hedge_quantile":0.9,"extra_load":0.05,"queue_per_slot":1,"slot_fraction":1,"canary":true,"retry_after":"1s","address_keep":"5s"},
{"name":"peak","hedge_quantile":0.9,"extra_load":0.02,"queue_per_slot":1,"slot_fraction":1,"canary":true,"retry_after":"1s","address_keep":"5s"},
{"name":"maintenance","hedge_quantile":0.9,"extra_load":0.01,"queue_per_slot":1,"slot_fraction":1,"canary":true,"retry_after":"1s","address_keep":"5s"}],
"preset_in_force":%q,"preset_revision":%d}`, revision, preset, harness.presetRevision)
	harness.values[platform.DocumentKey] = value{revision, []byte(data)}
}

// admittingPresets counts the instances that would admit a request now, by preset.
func (harness *harness) admittingPresets() map[string]int {
	presets := map[string]int{}
	for _, node := range harness.nodes {
		if node.dead || node.paused {
			continue
		}
		if preset, ok := admits(node, harness.now); ok {
			presets[preset]++
		}
	}
	return presets
}

// admits returns the preset under which the instance would admit a request now, and whether it would; the host of a
// Machine decides in the same way.
func admits(node *node, now time.Time) (string, bool) {
	doc := node.machine.InForce()
	if doc == nil {
		return "", false
	}
	next, at := node.machine.NextRevision()
	if next != nil && !now.Before(at) {
		doc = next
	} else if until, known := node.machine.AdmitUntil(); known && !now.Before(until) {
		return "", false
	}
	standing := node.machine.Standing(now)
	good := standing == contact.Good || standing == contact.Undecided
	return doc.PresetInForce, good && !now.After(node.machine.LeaseExpiry())
}

// revisions returns the revisions in force on the instances that are not dead.
func (harness *harness) revisions() []uint64 {
	var revisions []uint64
	for _, node := range harness.nodes {
		if !node.dead && node.machine.InForce() != nil {
			revisions = append(revisions, node.machine.InForce().Revision)
		}
	}
	return revisions
}

// standings returns the standings of the instances that are not dead.
func (harness *harness) standings() []contact.Standing {
	var standings []contact.Standing
	for _, node := range harness.nodes {
		if !node.dead {
			standings = append(standings, node.machine.Standing(harness.now))
		}
	}
	return standings
}

// describe returns the state that decides whether each instance admits requests.
func (harness *harness) describe() string {
	var text strings.Builder
	for _, node := range harness.nodes {
		machine := node.machine
		until, known := machine.AdmitUntil()
		_, next := machine.NextRevision()
		fmt.Fprintf(&text, "i%d paused=%v in force %d newest %d standing %v lease expires %v, admits until %v (%v), next switch at %v\n",
			node.number, node.paused, machine.InForce().Revision, machine.NewestStamp().Revision, machine.Standing(harness.now),
			machine.LeaseExpiry().Format("05.000"), until.Format("05.000"), known, next.Format("05.000"))
	}
	return text.String()
}
