package route

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

var start = time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)

func instances(count int) []member.Member {
	members := make([]member.Member, count)
	for i := range members {
		members[i] = member.Member{Name: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), State: member.Alive,
			Incarnation: 1, Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)}
	}
	return members
}

func partition(shards, replicas int) *target.PartitionMap {
	partition := &target.PartitionMap{Source: "s", Version: 1}
	width := coverage.KeySpace / uint64(shards)
	for i := range shards {
		shard := target.Shard{Name: fmt.Sprintf("s/%d", i+1), Range: coverage.Range{From: uint64(i) * width, To: uint64(i+1) * width}}
		for j := range replicas {
			shard.Servers = append(shard.Servers, target.Server{Name: fmt.Sprintf("s/%d/%d", i+1, j+1), DataCentre: fmt.Sprintf("dc%d", j%3)})
		}
		partition.Shards = append(partition.Shards, shard)
	}
	return partition
}

func serving(name string, snapshots ...uint64) holder.Status {
	return holder.Status{Target: name, State: target.Serving, Limit: 5, Snapshots: snapshots, Known: true}
}

func newTable(shards, replicas, instanceCount int) *Table {
	return newTableIn("dc0", shards, replicas, instanceCount)
}

func newTableIn(dataCentre string, shards, replicas, instanceCount int) *Table {
	table := NewTable(dataCentre, rand.New(rand.NewPCG(1, 1)))
	table.Update(partition(shards, replicas))
	table.SetHolders(NewHolders(1, instances(instanceCount)))
	for i := range shards {
		for j := range replicas {
			table.ObserveStatus(start, serving(fmt.Sprintf("s/%d/%d", i+1, j+1), 41))
		}
	}
	return table
}

func assertPin(t *testing.T, table *Table, snapshot uint64) Pin {
	t.Helper()
	pin, ok := table.Pin(start)
	if !ok || pin.Snapshot != snapshot {
		t.Fatalf("pinned to snapshot %d (%v), want %d", pin.Snapshot, ok, snapshot)
	}
	return pin
}

func TestPinPrefersTheSnapshotServedByMostShards(t *testing.T) {
	table := newTable(3, 2, 9)
	assertPin(t, table, 41)
	table.ObserveStatus(start, serving("s/1/1", 41, 42))
	table.ObserveStatus(start, serving("s/2/1", 41, 42))
	assertPin(t, table, 41)
	table.ObserveStatus(start, serving("s/3/1", 41, 42))
	assertPin(t, table, 42)
	for shard := range 3 {
		for replica := range 2 {
			table.ObserveStatus(start, serving(fmt.Sprintf("s/%d/%d", shard+1, replica+1), 42))
		}
	}
	assertPin(t, table, 42)
}

func TestChooseRequiresTheSnapshotAndSkipsExcludedTargets(t *testing.T) {
	table := newTable(1, 3, 9)
	pin := assertPin(t, table, 41)
	table.ObserveStatus(start, serving("s/1/1", 42))
	for range 20 {
		choice, ok := table.Choose(start, pin, 0, []string{"s/1/2"})
		if !ok || choice.Target != "s/1/3" {
			t.Fatalf("chose %q", choice.Target)
		}
	}
	if choice, ok := table.Choose(start, pin, 0, []string{"s/1/2", "s/1/3"}); ok {
		t.Fatalf("chose %q, which does not serve the snapshot", choice.Target)
	}
}

func TestLeavingTargetsAreNotChosen(t *testing.T) {
	table := newTable(1, 2, 9)
	pin := assertPin(t, table, 41)
	table.MarkLeaving(start, "s/1/1")
	for range 20 {
		if choice, _ := table.Choose(start, pin, 0, nil); choice.Target == "s/1/1" {
			t.Fatal("chose a target that is leaving")
		}
	}
}

func TestChooseFallsBackWhenAllTargetsAppearDown(t *testing.T) {
	table := newTable(1, 2, 9)
	pin := assertPin(t, table, 41)
	for _, name := range []string{"s/1/1", "s/1/2"} {
		table.AttemptEnded(start, pin.Shards[0], holder.Answer{Target: name, Code: result.ConnectRefused, Status: serving(name, 41)}, 0)
	}
	choice, ok := table.Choose(start, pin, 0, nil)
	if !ok || choice.Reason != "all candidates appear to be down" {
		t.Fatalf("chose %+v, %v when all targets appear to be down", choice, ok)
	}
}

func TestSlowReplicaGetsFewSubRequests(t *testing.T) {
	table := newTable(1, 3, 9)
	pin := assertPin(t, table, 41)
	chosen := map[string]int{}
	now := start
	for range 3000 {
		now = now.Add(time.Millisecond)
		choice, _ := table.Choose(now, pin, 0, nil)
		chosen[choice.Target]++
		elapsed := 10 * time.Millisecond
		if choice.Target == "s/1/2" {
			elapsed = 200 * time.Millisecond
		}
		table.AttemptStarted(choice.Target, true, 0.05)
		table.AttemptEnded(now, pin.Shards[0], holder.Answer{Target: choice.Target, Code: result.OK, Status: serving(choice.Target, 41)}, elapsed)
	}
	if chosen["s/1/2"] > 30 {
		t.Fatalf("sub-requests by replica: %v, want at most 30 of 3000 for the slow one", chosen)
	}
}

func TestLoadReportsDoNotCauseHerding(t *testing.T) {
	tables := []*Table{newTableIn("dc0", 1, 3, 9), newTableIn("dc1", 1, 3, 9), newTableIn("dc2", 1, 3, 9)}
	pin := assertPin(t, tables[0], 41)
	chosen := map[string]int{}
	for i := range 3000 {
		table := tables[i%3]
		now := start.Add(time.Duration(i) * time.Millisecond)
		choice, _ := table.Choose(now, pin, 0, nil)
		chosen[choice.Target]++
		table.AttemptStarted(choice.Target, true, 0.05)
		table.AttemptEnded(now, pin.Shards[0], holder.Answer{Target: choice.Target, Code: result.OK, Status: serving(choice.Target, 41)}, 10*time.Millisecond)
	}
	for name, count := range chosen {
		if ratio := float64(count) / 1000; ratio > 1.3 {
			t.Errorf("%s got %.2f times the mean number of sub-requests, want at most 1.3", name, ratio)
		}
	}
}

func TestBudgetBoundsExtraAttempts(t *testing.T) {
	table := newTable(1, 1, 9)
	extra := 0
	for range 10000 {
		table.AttemptStarted("s/1/1", true, 0.05)
		if table.SpendBudget() {
			extra++
		}
	}
	if extra > 501 {
		t.Fatalf("%d extra attempts for 10000 first attempts, want at most 501 with extra load 0.05", extra)
	}
}

func TestUnreachableHolderIsAvoided(t *testing.T) {
	table := newTable(1, 1, 9)
	pin := assertPin(t, table, 41)
	first, _ := table.Choose(start, pin, 0, nil)
	table.AvoidHolder(start, first.Holder.Name)
	second, _ := table.Choose(start, pin, 0, nil)
	if second.Holder.Name == first.Holder.Name {
		t.Fatalf("the unreachable holder %s is still chosen", second.Holder.Name)
	}
	later, _ := table.Choose(start.Add(time.Second), pin, 0, nil)
	if later.Holder.Name != first.Holder.Name {
		t.Fatalf("holder %s after the avoidance time, want %s", later.Holder.Name, first.Holder.Name)
	}
}

func TestTargetsKeepTheirHolderWhenAnotherInstanceLeaves(t *testing.T) {
	before, after := NewHolders(1, instances(9)), NewHolders(2, instances(9)[:8])
	moved := 0
	for i := range 300 {
		name := fmt.Sprintf("s/%d/1", i)
		was, is := before.Rank(name, "dc1", 1)[0], after.Rank(name, "dc1", 1)[0]
		if was.Name != is.Name {
			moved++
		}
		if is.DataCentre != "dc1" {
			t.Fatalf("%s has a holder in %s although dc1 has instances", name, is.DataCentre)
		}
	}
	if moved != 0 {
		t.Fatalf("%d targets of dc1 moved when an instance of dc2 left", moved)
	}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	table := newTable(10, 3, 9)
	pin := assertPin(t, table, 41)
	if got := testing.AllocsPerRun(1000, func() { table.Choose(start, pin, 3, nil) }); got != 0 {
		t.Fatalf("a routing decision makes %v allocations, want none", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ shards, replicas, instanceCount int }{{10, 3, 9}, {140, 3, 2300}, {21667, 3, 2300}} {
		b.Run(fmt.Sprintf("targets=%d/instances=%d", size.shards*size.replicas, size.instanceCount), func(b *testing.B) {
			table := newTable(size.shards, size.replicas, size.instanceCount)
			pin, _ := table.Pin(start)
			for shard := range min(140, size.shards) {
				table.Choose(start, pin, shard, nil)
			}
			b.ReportAllocs()
			shard := 0
			for b.Loop() {
				shard = (shard + 1) % min(140, size.shards)
				table.Choose(start, pin, shard, nil)
			}
		})
	}
}

func BenchmarkHedgeDelay(b *testing.B) {
	table := newTable(10, 3, 9)
	pin, _ := table.Pin(start)
	for i := range 1000 {
		table.AttemptEnded(start, pin.Shards[0], holder.Answer{Target: "s/1/1", Code: result.OK}, time.Duration(i)*time.Microsecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.HedgeDelay(start, pin.Shards[0], 0.97)
	}
}

func TestTargetWithoutReachableHolderIsAvoided(t *testing.T) {
	table := newTable(1, 2, 9)
	pin := assertPin(t, table, 41)
	for _, name := range []string{"i0", "i3", "i6"} {
		table.AvoidHolder(start, name) // all instances of the data centre of s/1/1
	}
	for range 20 {
		if choice, _ := table.Choose(start, pin, 0, nil); choice.Target != "s/1/2" {
			t.Fatalf("chose target %s with holder %s, want target s/1/2", choice.Target, choice.Holder.Name)
		}
	}
}

func BenchmarkTableMemory(b *testing.B) {
	for _, shards := range []int{140, 1400} {
		b.Run(fmt.Sprintf("targets=%d", 3*shards), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			tables := make([]*Table, 0, b.N)
			for range b.N {
				tables = append(tables, newTable(shards, 3, 9))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N*shards*3), "heap-bytes/target")
			runtime.KeepAlive(tables)
		})
	}
}

func BenchmarkRank(b *testing.B) {
	for _, size := range []int{9, 230, 2300} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			holders := NewHolders(1, instances(size))
			for b.Loop() {
				holders.Rank("s/1/1", "dc1", 3)
			}
		})
	}
}
