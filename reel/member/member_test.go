package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	step             = 100 * time.Millisecond
	seedSteps        = 50  // steps between pings to the seeds; in the daemon, package roster sends them
	convergenceSteps = 300 // steps without faults, after which all instances must agree
)

// fleet is a simulated network of state machines with message loss and partitions.
// Its clock advances in steps.
type fleet struct {
	t        *rapid.T
	now      time.Time
	nodes    []*node
	loss     float64 // probability that a message is lost
	random   *rand.Rand
	started  uint64
	inFlight []Send
}

type node struct {
	*Machine
	up           bool
	partitioned  bool
	incarnations map[string]uint64 // highest incarnation of each member since the start of the process
}

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7000)
}

func newFleet(t *rapid.T, size int) *fleet {
	fleet := &fleet{t: t, now: time.Unix(1_700_000_000, 0),
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
	for number := range size {
		fleet.nodes = append(fleet.nodes, &node{})
		fleet.start(number)
	}
	return fleet
}

func (fleet *fleet) start(number int) {
	fleet.started++
	self := Member{Name: fmt.Sprint("instance-", number), Peer: address(number), Incarnation: fleet.started}
	fleet.nodes[number] = &node{Machine: New(self, fleet.random), up: true, incarnations: map[string]uint64{}}
	fleet.inFlight = append(fleet.inFlight, fleet.nodes[number].Ready(fleet.now).Sends...)
	fleet.pingSeeds(number)
}

// pingSeeds pings the first two instances, which are the seeds.
func (fleet *fleet) pingSeeds(number int) {
	for seed := range 2 {
		if seed != number {
			message := Message{Type: Ping, From: fleet.nodes[number].Self()}
			fleet.inFlight = append(fleet.inFlight, Send{To: address(seed), Message: message})
		}
	}
}

func (fleet *fleet) reaches(from, to int) bool {
	a, b := fleet.nodes[from], fleet.nodes[to]
	return a.up && b.up && !a.partitioned && !b.partitioned && fleet.random.Float64() >= fleet.loss
}

func (fleet *fleet) run(steps int) {
	for count := range steps {
		fleet.now = fleet.now.Add(step)
		arriving := fleet.inFlight
		fleet.inFlight = nil
		for _, send := range arriving {
			to, from := int(send.To.Addr().As4()[3]), int(send.Message.From.Peer.Addr().As4()[3])
			if fleet.reaches(from, to) {
				fleet.apply(to, fleet.nodes[to].Receive(fleet.now, send.Message))
			}
		}
		for number, node := range fleet.nodes {
			if node.up {
				fleet.apply(number, node.Tick(fleet.now))
				if (count+number)%seedSteps == 0 {
					fleet.pingSeeds(number)
				}
			}
		}
	}
}

// apply sends the messages of a step and checks that no member's incarnation decreases.
func (fleet *fleet) apply(number int, output Output) {
	node := fleet.nodes[number]
	fleet.inFlight = append(fleet.inFlight, output.Sends...)
	for _, member := range node.Members() {
		if member.Incarnation < node.incarnations[member.Name] {
			fleet.t.Fatalf("instance %d went back to incarnation %d of %s", number, member.Incarnation, member.Name)
		}
		node.incarnations[member.Name] = member.Incarnation
	}
}

func (fleet *fleet) assertAgreement() {
	for number, node := range fleet.nodes {
		members := node.Members()
		if len(members) != len(fleet.nodes) {
			fleet.t.Fatalf("instance %d knows %d of %d instances", number, len(members), len(fleet.nodes))
		}
		for index, member := range members {
			self := fleet.nodes[index].Self()
			if member.State != self.State || member.Incarnation != self.Incarnation {
				fleet.t.Fatalf("instance %d sees %s as %s with incarnation %d, want %s with incarnation %d",
					number, member.Name, member.State, member.Incarnation, self.State, self.Incarnation)
			}
		}
	}
}

// TestConvergence draws partitions, kills, restarts, departures and message loss, and
// checks that all instances agree on the members after the faults end.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(t, rapid.IntRange(2, 7).Draw(t, "instances"))
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			number := rapid.IntRange(0, len(fleet.nodes)-1).Draw(t, "instance")
			node := fleet.nodes[number]
			switch rapid.SampledFrom([]string{"partition", "heal", "kill", "restart", "leave", "loss"}).Draw(t, "fault") {
			case "partition":
				node.partitioned = true
			case "heal":
				node.partitioned = false
			case "kill":
				node.up = false
			case "restart":
				fleet.start(number)
			case "leave":
				if node.up {
					fleet.apply(number, node.Leave(fleet.now))
				}
			case "loss":
				fleet.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
			}
			fleet.run(rapid.IntRange(1, 60).Draw(t, "steps"))
		}
		fleet.loss = 0
		for number, node := range fleet.nodes {
			node.partitioned = false
			if !node.up {
				fleet.start(number)
			}
		}
		fleet.run(convergenceSteps)
		fleet.assertAgreement()
	})
}
