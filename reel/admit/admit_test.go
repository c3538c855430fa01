package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/result"
)

var start = time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func request(id int, kind string, weight float64) Request {
	return Request{ID: ID(id), Kind: kind, Weight: weight, Deadline: at(100000)}
}

func TestRefusalIsImmediateAndHasRetryAfter(t *testing.T) {
	machine := New()
	machine.Configure(0, 2*time.Second)
	refused := 0
	for i := range 200 {
		for _, decision := range machine.Offer(start, request(i, "k", 1)) {
			if decision.Code == result.OK {
				continue
			}
			refused++
			if decision.RetryAfter < 2*time.Second {
				t.Fatalf("refused with RetryAfter %v, want at least 2s", decision.RetryAfter)
			}
		}
	}
	running, waiting, limit := machine.Load()
	if running != limit || refused != 200-running-waiting {
		t.Fatalf("running %d of %d, waiting %d, refused %d", running, limit, waiting, refused)
	}
}

func TestRequestThatMissesItsDeadlineIsRefused(t *testing.T) {
	machine := New()
	late := Request{ID: 1, Kind: "k", Weight: 1, Deadline: start}
	if got := machine.Offer(start, late)[0].Code; got != result.TooLate {
		t.Fatalf("a request past its deadline has code %v, want too_late", got)
	}
	for i := 2; i < 40; i++ {
		machine.Offer(start, request(i, "k", 1))
	}
	short := Request{ID: 50, Kind: "k", Weight: 1, Deadline: at(1)}
	if got := machine.Offer(start, short)[0].Code; got != result.Overloaded {
		t.Fatalf("a request whose expected wait exceeds its deadline has code %v, want overloaded", got)
	}
}

// TestSharesFollowWeights keeps requests of two kinds waiting and counts the starts of each kind.
func TestSharesFollowWeights(t *testing.T) {
	machine := New()
	machine.Configure(2, time.Second)
	started := map[ID]string{}
	kinds := map[ID]string{}
	next := ID(0)
	counts := map[string]int{}
	offer := func(now time.Time, kind string, weight float64) {
		next++
		kinds[next] = kind
		for _, decision := range machine.Offer(now, Request{ID: next, Kind: kind, Weight: weight, Deadline: at(100000)}) {
			if decision.Code == result.OK {
				started[decision.ID] = kinds[decision.ID]
			}
		}
	}
	for step := range 4000 {
		now := at(step)
		offer(now, "heavy", 3)
		offer(now, "light", 1)
		for _, decision := range machine.Done(now, 20*time.Millisecond, Congested) {
			if decision.Code == result.OK {
				counts[kinds[decision.ID]]++
			}
		}
	}
	share := float64(counts["heavy"]) / float64(counts["heavy"]+counts["light"])
	if share < 0.75*0.9 || share > 0.75*1.1 {
		t.Fatalf("heavy got %.2f of the starts, want 0.75 within 10 %%: %v", share, counts)
	}
	if counts["light"] == 0 {
		t.Fatal("no request of the light kind started")
	}
}

func TestWindowShrinksAndGrowsBack(t *testing.T) {
	machine := New()
	for i := range 1000 {
		machine.Offer(at(10*i), request(i, "k", 1))
		machine.Done(at(10*i), 10*time.Millisecond, Overloaded)
	}
	_, _, small := machine.Load()
	if small != int(minWindow) {
		t.Fatalf("limit %d under overload, want %v", small, minWindow)
	}
	for i := range 1000 {
		machine.Offer(at(20000+i), request(2000+2*i, "k", 1))
		machine.Offer(at(20000+i), request(2001+2*i, "k", 1))
		machine.Done(at(20000+i), 10*time.Millisecond, Uncongested)
	}
	if _, _, grown := machine.Load(); grown <= 2*small {
		t.Fatalf("limit %d after the overload ended, want more than twice the least limit", grown)
	}
}

// TestEveryRequestIsDecidedOnce applies random sequences of offers, ends and cancellations, and guards against requests
// that get no decision or more than one.
func TestEveryRequestIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := New()
		machine.Configure(rapid.Float64Range(0, 2).Draw(t, "queue"), time.Second)
		decided := map[ID]result.Code{}
		running, offered, canceled := 0, 0, 0
		apply := func(decisions []Decision) {
			for _, decision := range decisions {
				if _, twice := decided[decision.ID]; twice {
					t.Fatalf("request %d is decided twice", decision.ID)
				}
				decided[decision.ID] = decision.Code
				if decision.Code == result.OK {
					running++
				}
			}
		}
		now := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.IntRange(0, 20).Draw(t, "pause")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1, 2:
				offered++
				deadline := at(now + rapid.IntRange(-5, 500).Draw(t, "deadline"))
				apply(machine.Offer(at(now), Request{ID: ID(offered), Kind: "k", Weight: 1, Deadline: deadline}))
			case 3:
				if running > 0 {
					running--
					signal := rapid.SampledFrom([]Signal{Uncongested, Congested, Overloaded}).Draw(t, "signal")
					apply(machine.Done(at(now), 20*time.Millisecond, signal))
				}
			case 4:
				id := ID(rapid.IntRange(1, offered+1).Draw(t, "canceled"))
				if _, known := decided[id]; !known && int(id) <= offered {
					machine.Cancel(id)
					decided[id] = result.Canceled
					canceled++
				}
			}
			_, waiting, _ := machine.Load()
			if offered != len(decided)+waiting {
				t.Fatalf("%d offered, %d decided, %d waiting", offered, len(decided), waiting)
			}
		}
	})
}
