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
	step      = 100 * time.Millisecond
	seedEvery = 50  // steps between calls to the seeds, as the host makes them
	settling  = 300 // steps without faults, after which all must agree
)

// fleet is a network of machines that loses and parts; its clock moves in steps.
type fleet struct {
	t        *rapid.T
	now      time.Time
	nodes    []*node
	loss     float64
	random   *rand.Rand
	started  uint64
	inFlight []Send
}

type node struct {
	*Machine
	up    bool
	cut   bool
	known map[string]uint64 // newest incarnations that it knew since its start
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
	fleet.nodes[number] = &node{Machine: New(self, fleet.random), up: true, known: map[string]uint64{}}
	fleet.inFlight = append(fleet.inFlight, fleet.nodes[number].Ready(fleet.now).Sends...)
	fleet.callSeed(number)
}

// callSeed pings the first two instances, which the settings name.
func (fleet *fleet) callSeed(number int) {
	for seed := range 2 {
		if seed != number {
			message := Message{Type: Ping, From: fleet.nodes[number].Self()}
			fleet.inFlight = append(fleet.inFlight, Send{To: address(seed), Message: message})
		}
	}
}

func (fleet *fleet) reaches(from, to int) bool {
	a, b := fleet.nodes[from], fleet.nodes[to]
	return a.up && b.up && !a.cut && !b.cut && fleet.random.Float64() >= fleet.loss
}

func (fleet *fleet) run(steps int) {
	for count := range steps {
		fleet.now = fleet.now.Add(step)
		arriving := fleet.inFlight
		fleet.inFlight = nil
		for _, send := range arriving {
			to, from := int(send.To.Addr().As4()[3]), int(send.Message.From.Peer.Addr().As4()[3])
			if fleet.reaches(from, to) {
				fleet.take(to, fleet.nodes[to].Receive(fleet.now, send.Message))
			}
		}
		for number, node := range fleet.nodes {
			if node.up {
				fleet.take(number, node.Tick(fleet.now))
				if (count+number)%seedEvery == 0 {
					fleet.callSeed(number)
				}
			}
		}
	}
}

// take sends what a step asks for and checks that no knowledge falls back to an earlier process.
func (fleet *fleet) take(number int, output Output) {
	node := fleet.nodes[number]
	fleet.inFlight = append(fleet.inFlight, output.Sends...)
	for _, member := range node.Members() {
		if member.Incarnation < node.known[member.Name] {
			fleet.t.Fatalf("%d fell back to process %d of %s", number, member.Incarnation, member.Name)
		}
		node.known[member.Name] = member.Incarnation
	}
}

func (fleet *fleet) assertAgreed() {
	for number, node := range fleet.nodes {
		members := node.Members()
		if len(members) != len(fleet.nodes) {
			fleet.t.Fatalf("%d knows %d of %d instances", number, len(members), len(fleet.nodes))
		}
		for at, member := range members {
			self := fleet.nodes[at].Self()
			if member.State != self.State || member.Incarnation != self.Incarnation {
				fleet.t.Fatalf("%d believes %s to be %s as process %d, it is %s as process %d",
					number, member.Name, member.State, member.Incarnation, self.State, self.Incarnation)
			}
		}
	}
}

// TestAgreement draws cuts, kills, restarts, leaving and loss, and checks that all agree once they end.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(t, rapid.IntRange(2, 7).Draw(t, "instances"))
		for range rapid.IntRange(1, 8).Draw(t, "troubles") {
			number := rapid.IntRange(0, len(fleet.nodes)-1).Draw(t, "instance")
			node := fleet.nodes[number]
			switch rapid.SampledFrom([]string{"cut", "heal", "kill", "restart", "leave", "loss"}).Draw(t, "trouble") {
			case "cut":
				node.cut = true
			case "heal":
				node.cut = false
			case "kill":
				node.up = false
			case "restart":
				fleet.start(number)
			case "leave":
				if node.up {
					fleet.take(number, node.Leave(fleet.now))
				}
			case "loss":
				fleet.loss = rapid.Float64Range(0, 0.4).Draw(t, "share")
			}
			fleet.run(rapid.IntRange(1, 60).Draw(t, "steps"))
		}
		fleet.loss = 0
		for number, node := range fleet.nodes {
			node.cut = false
			if !node.up {
				fleet.start(number)
			}
		}
		fleet.run(settling)
		fleet.assertAgreed()
	})
}
