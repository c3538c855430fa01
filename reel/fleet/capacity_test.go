package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
)

// newSizedMachine returns a machine that knows size instances, and a packet from one of them.
func newSizedMachine(size int) (*Machine, Packet) {
	now := time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)
	members := make([]member.Member, size)
	for i := range members {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
		members[i] = member.Member{Name: fmt.Sprintf("instance-%d", i), DataCentre: "bole-hall", Caller: address,
			Peer: address, Incarnation: 1, State: member.Alive}
	}
	machine := New(now, members[0], nil, &quarantine.Tracker{}, rand.New(rand.NewPCG(1, 1)))
	machine.members.Merge(now, members[1:])
	for machine.members.Tick(now); len(machine.members.GossipMessage(members[1]).Updates) > 0; {
		continue
	}
	packet := machine.newPacket(now, machine.members.GossipMessage(members[1]))
	packet.Member.From = members[1]
	packet.Member.Type = member.Ping
	return machine, packet
}

func BenchmarkPacket(b *testing.B) {
	for _, size := range []int{9, 90, 2300} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			machine, packet := newSizedMachine(size)
			now := time.Now()
			for b.Loop() {
				data, err := packet.Encode()
				if err != nil {
					b.Fatal(err)
				}
				received, err := Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				machine.Receive(now, received)
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, size := range []int{9, 90, 2300} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			machine, _ := newSizedMachine(size)
			now := time.Now()
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				machine.Tick(now)
			}
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{9, 2300} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			machines := make([]*Machine, 0, b.N)
			for range b.N {
				machine, _ := newSizedMachine(size)
				machines = append(machines, machine)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "heap-bytes")
			runtime.KeepAlive(machines)
		})
	}
}
