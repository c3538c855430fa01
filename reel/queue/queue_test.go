package queue

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestSharesFollowWeights(t *testing.T) {
	var queue Queue[string]
	deadline := time.Unix(100, 0)
	for range 400 {
		queue.Push("heavy", 3, deadline, "heavy")
		queue.Push("light", 1, deadline, "light")
	}
	counts := map[string]int{}
	for range 400 {
		name, _ := queue.Pop()
		counts[name]++
	}
	if counts["heavy"] != 300 || counts["light"] != 100 {
		t.Fatalf("served %v items, want 300 heavy and 100 light", counts)
	}
}

func TestIdleClassEarnsNoCredit(t *testing.T) {
	var queue Queue[string]
	deadline := time.Unix(100, 0)
	for range 100 {
		queue.Push("busy", 1, deadline, "busy")
	}
	for range 50 {
		queue.Pop()
	}
	for range 50 {
		queue.Push("late", 1, deadline, "late")
	}
	late := 0
	for range 20 {
		if name, _ := queue.Pop(); name == "late" {
			late++
		}
	}
	if late != 10 {
		t.Fatalf("the late class got %d of 20 items, want 10", late)
	}
}

func TestEvictTakesFromTheFullestClass(t *testing.T) {
	var queue Queue[int]
	queue.Push("a", 1, time.Unix(9, 0), 1)
	queue.Push("b", 1, time.Unix(9, 0), 2)
	queue.Push("b", 1, time.Unix(9, 0), 3)
	if item, _ := queue.Evict(); item != 3 {
		t.Fatalf("evicted item %d, want 3, the newest of class b", item)
	}
}

func TestLenMatchesPushedAndRemovedItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue Queue[int]
		pushed, removed := 0, 0
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "class")
				deadline := time.Unix(int64(rapid.IntRange(1, 20).Draw(t, "deadline")), 0)
				queue.Push(name, rapid.Float64Range(0.1, 10).Draw(t, "weight"), deadline, pushed)
				pushed++
			case 2:
				if _, ok := queue.Pop(); ok {
					removed++
				}
			case 3:
				if _, ok := queue.Evict(); ok {
					removed++
				}
			case 4:
				now := time.Unix(int64(rapid.IntRange(1, 20).Draw(t, "now")), 0)
				removed += len(queue.Expire(now))
			}
			if queue.Len() != pushed-removed {
				t.Fatalf("Len is %d after %d items were pushed and %d removed", queue.Len(), pushed, removed)
			}
		}
	})
}

func TestShortQueueKeepsTheSharesOfLightClasses(t *testing.T) {
	var queue Queue[string]
	counts := map[string]int{}
	for range 5000 {
		for _, name := range []string{"heavy", "light"} {
			weight := map[string]float64{"heavy": 4, "light": 1}[name]
			queue.Push(name, weight, time.Unix(9, 0), name)
			if queue.Len() > 2 {
				queue.Evict()
			}
		}
		if name, ok := queue.Pop(); ok {
			counts[name]++
		}
	}
	if share := float64(counts["light"]) / 5000; share < 0.18 || share > 0.22 {
		t.Fatalf("the light class got a share of %.3f, want 0.2 within 10 %%", share)
	}
}
