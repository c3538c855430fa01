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

// fataler is implemented by testing.T and rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// fleet is a simulated network of state machines with message loss and partitions.
// Its clock advances in steps.
type fleet struct {
	t        fataler
	now      time.Time
	nodes    []*node
	loss     float64 // probability that a message is lost
	random   *rand.Rand
	started  uint64
	inFlight []Send
	centres  int // number of data centres, over which the instances are spread in turn
	crossed  int // descriptions of members sent from one data centre to another
	hops     int // messages that can follow one another within a step, or 0 for one, with a check of each change
}

type node struct {
	*Machine
	up           bool
	partitioned  bool
	incarnations map[string]uint64 // highest incarnation of each member since the start of the process
}

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7000)
}

func numberOf(address netip.AddrPort) int {
	bytes := address.Addr().As4()
	return int(bytes[2])<<8 | int(bytes[3])
}

func newFleet(t fataler, seed uint64, size, centres int) *fleet {
	fleet := &fleet{t: t, now: time.Unix(1_700_000_000, 0), centres: centres, random: rand.New(rand.NewPCG(seed, 1))}
	for number := range size {
		fleet.nodes = append(fleet.nodes, &node{})
		fleet.start(number)
	}
	return fleet
}

func (fleet *fleet) dataCentre(number int) string { return fmt.Sprint("centre-", number%fleet.centres) }

func (fleet *fleet) start(number int) {
	fleet.started++
	self := Member{Name: fmt.Sprintf("instance-%04d", number), DataCentre: fleet.dataCentre(number), Peer: address(number),
		Incarnation: fleet.started}
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
		for range max(fleet.hops, 1) {
			fleet.deliver()
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

// deliver delivers the messages in flight, and puts those that answer them in flight.
func (fleet *fleet) deliver() {
	arriving := fleet.inFlight
	fleet.inFlight = nil
	for _, send := range arriving {
		to, from := numberOf(send.To), numberOf(send.Message.From.Peer)
		if fleet.dataCentre(to) != fleet.dataCentre(from) {
			fleet.crossed += 1 + len(send.Message.Updates)
		}
		if fleet.reaches(from, to) {
			fleet.apply(to, fleet.nodes[to].Receive(fleet.now, send.Message))
		}
	}
}

// apply sends the messages of a step and checks that no member's incarnation decreases.
func (fleet *fleet) apply(number int, output Output) {
	node := fleet.nodes[number]
	fleet.inFlight = append(fleet.inFlight, output.Sends...)
	if fleet.hops > 0 {
		return
	}
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
		fleet := newFleet(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 7).Draw(t, "instances"), rapid.IntRange(1, 3).Draw(t, "data centres"))
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
