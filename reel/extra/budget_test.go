package extra

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	epoch  = time.Unix(1_700_000_000, 0)
	limits = Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 58}
)

// TestBound draws traffic of nine instances and checks every window: extra arrivals stay under the ratio of the
// requests of that window or the one before, and the slack.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 9
		var budgets []*Budget
		for range instances {
			budgets = append(budgets, NewBudget(epoch, limits))
		}
		rate := rapid.IntRange(1, 40).Draw(t, "requests for each instance in 100 ms")
		wish := rapid.IntRange(0, 3).Draw(t, "extra arrivals wished for each request")
		quietFrom := rapid.IntRange(50, 250).Draw(t, "tenth of a second from which there are no requests")
		var firsts, extras []int
		for tenth := range 300 {
			now := epoch.Add(time.Duration(tenth) * 100 * time.Millisecond)
			first, extra := 0, 0
			for _, budget := range budgets {
				requests := rate
				if tenth >= quietFrom {
					requests = 0
				}
				for range requests {
					budget.First(now)
					first++
				}
				for range wish * rate {
					if budget.Spend(now, Retry, instances) {
						extra++
					}
				}
			}
			firsts, extras = append(firsts, first), append(extras, extra)
		}
		for from := 0; from+100 <= len(extras); from++ {
			requests := max(sum(firsts, from, from+100), sum(firsts, from-100, from), sum(firsts, from-50, from+50))
			if got := sum(extras, from, from+100); float64(got) > limits.Ratio*float64(requests)+limits.Slack {
				t.Fatalf("%d extra arrivals for %d requests in the window from %d", got, requests, from)
			}
		}
	})
}

func sum(counts []int, from, to int) int {
	total := 0
	for i := max(from, 0); i < min(to, len(counts)); i++ {
		total += counts[i]
	}
	return total
}

func TestHedgesYield(t *testing.T) {
	budget := NewBudget(epoch, limits)
	for range 200 {
		budget.First(epoch)
	}
	for budget.Spend(epoch, Hedge, 9) {
	}
	if !budget.Spend(epoch, Retry, 9) {
		t.Error("hedges left nothing for refused work")
	}
}

func TestWindowEnds(t *testing.T) {
	budget := NewBudget(epoch, limits)
	budget.First(epoch)
	budget.Spend(epoch, Retry, 1)
	if firsts, extras := budget.Counts(epoch.Add(time.Minute)); firsts != 0 || extras != 0 {
		t.Errorf("%d and %d arrivals are counted after the window", firsts, extras)
	}
}

func TestLimit(t *testing.T) {
	spend := func(budget *Budget, now time.Time) int {
		spent := 0
		for budget.Spend(now, Retry, 9) {
			spent++
		}
		return spent
	}
	fill := func() (*Budget, time.Time) {
		budget := NewBudget(epoch, limits)
		now := epoch.Add(5 * time.Second)
		for range 100 {
			budget.First(now)
		}
		return budget, now
	}
	for _, test := range []struct {
		name    string
		changed Limits
		most    int
	}{
		{"a lower ratio holds at once", Limits{Ratio: 0.1, Window: limits.Window, Slack: limits.Slack}, 11},
		{"another window begins without requests", Limits{Ratio: 0.2, Window: 5 * time.Second, Slack: limits.Slack}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget, now := fill()
			budget.Limit(test.changed)
			if got := spend(budget, now); got > test.most || got == 0 {
				t.Errorf("%d extra arrivals, at most %d", got, test.most)
			}
		})
	}
}
