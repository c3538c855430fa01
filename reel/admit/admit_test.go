package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/result"
)

var start = time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func request(ticket int, kind string, weight float64) Request {
	return Request{Ticket: Ticket(ticket), Kind: kind, Weight: weight, Deadline: at(100000)}
}

func TestRefusalComesAtOnceWithATimeToComeBack(t *testing.T) {
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
				t.Fatalf("refused with %v to come back, want at least 2s", decision.RetryAfter)
			}
		}
	}
	running, waiting, limit := machine.Load()
	if running != limit || refused != 200-running-waiting {
		t.Fatalf("running %d of %d, waiting %d, refused %d", running, limit, waiting, refused)
	}
}

func TestDeadlineIsKept(t *testing.T) {
	machine := New()
	late := Request{Ticket: 1, Kind: "k", Weight: 1, Deadline: start}
	if got := machine.Offer(start, late)[0].Code; got != result.TooLate {
		t.Fatalf("a request past its deadline is %v", got)
	}
	for i := 2; i < 40; i++ {
		machine.Offer(start, request(i, "k", 1))
	}
	short := Request{Ticket: 50, Kind: "k", Weight: 1, Deadline: at(1)}
	if got := machine.Offer(start, short)[0].Code; got != result.Overloaded {
		t.Fatalf("a request that would wait past its deadline is %v", got)
	}
}

// TestSharesFollowWeights keeps two kinds waiting and counts which start.
func TestSharesFollowWeights(t *testing.T) {
	machine := New()
	machine.Configure(2, time.Second)
	started := map[Ticket]string{}
	kinds := map[Ticket]string{}
	next := Ticket(0)
	counts := map[string]int{}
	offer := func(now time.Time, kind string, weight float64) {
		next++
		kinds[next] = kind
		for _, decision := range machine.Offer(now, Request{next, kind, weight, at(100000)}) {
			if decision.Code == result.OK {
				started[decision.Ticket] = kinds[decision.Ticket]
			}
		}
	}
	for step := range 4000 {
		now := at(step)
		offer(now, "heavy", 3)
		offer(now, "light", 1)
		for _, decision := range machine.Done(now, 20*time.Millisecond, Congested) {
			if decision.Code == result.OK {
				counts[kinds[decision.Ticket]]++
			}
		}
	}
	share := float64(counts["heavy"]) / float64(counts["heavy"]+counts["light"])
	if share < 0.75*0.9 || share > 0.75*1.1 {
		t.Fatalf("heavy got %.2f of the starts, want 0.75 within 10 %%: %v", share, counts)
	}
	if counts["light"] == 0 {
		t.Fatal("the light kind starved")
	}
}

func TestWindowShrinksAndGrowsBack(t *testing.T) {
	machine := New()
	for i := range 1000 {
		machine.Offer(at(10*i), request(i, "k", 1))
		machine.Done(at(10*i), 10*time.Millisecond, Overloaded)
	}
	_, _, small := machine.Load()
	if small != int(windowMin) {
		t.Fatalf("limit %d under overload, want %v", small, windowMin)
	}
	for i := range 1000 {
		machine.Offer(at(20000+i), request(2000+2*i, "k", 1))
		machine.Offer(at(20000+i), request(2001+2*i, "k", 1))
		machine.Done(at(20000+i), 10*time.Millisecond, Free)
	}
	if _, _, grown := machine.Load(); grown <= 2*small {
		t.Fatalf("limit %d once the overload is over", grown)
	}
}

// TestEveryRequestIsDecidedOnce draws offers, ends and hang-ups.
func TestEveryRequestIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := New()
		machine.Configure(rapid.Float64Range(0, 2).Draw(t, "queue"), time.Second)
		decided := map[Ticket]result.Code{}
		running, offered, gone := 0, 0, 0
		take := func(decisions []Decision) {
			for _, decision := range decisions {
				if _, twice := decided[decision.Ticket]; twice {
					t.Fatalf("ticket %d is decided twice", decision.Ticket)
				}
				decided[decision.Ticket] = decision.Code
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
				take(machine.Offer(at(now), Request{Ticket(offered), "k", 1, deadline}))
			case 3:
				if running > 0 {
					running--
					signal := rapid.SampledFrom([]Signal{Free, Congested, Overloaded}).Draw(t, "signal")
					take(machine.Done(at(now), 20*time.Millisecond, signal))
				}
			case 4:
				ticket := Ticket(rapid.IntRange(1, offered+1).Draw(t, "gone"))
				if _, known := decided[ticket]; !known && int(ticket) <= offered {
					machine.GiveUp(ticket)
					decided[ticket] = result.Canceled
					gone++
				}
			}
			_, waiting, _ := machine.Load()
			if offered != len(decided)+waiting {
				t.Fatalf("%d offered, %d decided, %d waiting", offered, len(decided), waiting)
			}
		}
	})
}
