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

// TestBound generates random traffic of nine instances and checks every window: its extra attempts do not exceed the
// slack plus the ratio of the requests in that window, in the one before, or in the one half a window earlier.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 9
		var budgets []*Budget
		for range instances {
			budgets = append(budgets, NewBudget(epoch, limits))
		}
		rate := rapid.IntRange(1, 40).Draw(t, "requests for each instance in 100 ms")
		wanted := rapid.IntRange(0, 3).Draw(t, "extra attempts wanted for each request")
		quietFrom := rapid.IntRange(50, 250).Draw(t, "first tenth of a second without requests")
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
					budget.CountRequest(now)
					first++
				}
				for range wanted * rate {
					if budget.Spend(now, Retry, 1.0/instances) {
						extra++
					}
				}
			}
			firsts, extras = append(firsts, first), append(extras, extra)
		}
		for from := 0; from+100 <= len(extras); from++ {
			requests := max(sum(firsts, from, from+100), sum(firsts, from-100, from), sum(firsts, from-50, from+50))
			if got := sum(extras, from, from+100); float64(got) > limits.Ratio*float64(requests)+limits.Slack {
				t.Fatalf("%d extra attempts for %d requests in the window that starts after %d tenths of a second", got, requests, from)
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

func TestHedgesLeaveReserveForRetries(t *testing.T) {
	budget := NewBudget(epoch, limits)
	for range 200 {
		budget.CountRequest(epoch)
	}
	for budget.Spend(epoch, Hedge, 1.0/9) {
	}
	if !budget.Spend(epoch, Retry, 1.0/9) {
		t.Error("hedges used the whole budget, want a reserve for retries")
	}
}

func TestWindowExpires(t *testing.T) {
	budget := NewBudget(epoch, limits)
	budget.CountRequest(epoch)
	budget.Spend(epoch, Retry, 1)
	if firsts, extras := budget.Counts(epoch.Add(time.Minute)); firsts != 0 || extras != 0 {
		t.Errorf("%d requests and %d extra attempts are counted after the window, want none", firsts, extras)
	}
}

func TestSetLimits(t *testing.T) {
	spend := func(budget *Budget, now time.Time) int {
		spent := 0
		for budget.Spend(now, Retry, 1.0/9) {
			spent++
		}
		return spent
	}
	fill := func() (*Budget, time.Time) {
		budget := NewBudget(epoch, limits)
		now := epoch.Add(5 * time.Second)
		for range 100 {
			budget.CountRequest(now)
		}
		return budget, now
	}
	for _, test := range []struct {
		name    string
		changed Limits
		limit   int
	}{
		{"a lower ratio applies at once", Limits{Ratio: 0.1, Window: limits.Window, Slack: limits.Slack}, 11},
		{"a changed window length clears the requests", Limits{Ratio: 0.2, Window: 5 * time.Second, Slack: limits.Slack}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget, now := fill()
			budget.SetLimits(test.changed)
			if got := spend(budget, now); got > test.limit || got == 0 {
				t.Errorf("%d extra attempts were allowed, want 1 to %d", got, test.limit)
			}
		})
	}
}

// TestFewServeAll plays a large fleet of which a few instances get all requests, and a growing number of them under a burst. The
// pattern: the slack of instances that get no requests is lost, so that those that do cannot repeat what a target refused. All
// together must stay under the bound also while the set changes.
func TestFewServeAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: float64(rapid.IntRange(20, 500).Draw(t, "slack"))}
		size := rapid.IntRange(2, 200).Draw(t, "instances")
		budgets, shares := make([]*Budget, size), make([]Shares, size)
		for i := range budgets {
			budgets[i] = NewBudget(epoch, limits)
		}
		working := rapid.IntRange(1, size).Draw(t, "working")
		var extras []int
		for tenth := range 200 {
			if tenth == 60 {
				working = rapid.IntRange(working, size).Draw(t, "working later")
			}
			now, count := epoch.Add(time.Duration(tenth)*100*time.Millisecond), 0
			for i, budget := range budgets {
				shares[i].SetInstances(working, size-working)
				for budget.Spend(now, Retry, shares[i].Of(i >= working)) {
					count++
				}
			}
			extras = append(extras, count)
		}
		for from := 0; from+100 <= len(extras); from++ {
			if got := sum(extras, from, from+100); float64(got) > limits.Slack {
				t.Fatalf("%d extra attempts in the window after %d tenths of a second, the slack is %v", got, from, limits.Slack)
			}
		}
	})
	var shares Shares
	shares.SetInstances(36, 159)
	budget, spent := NewBudget(epoch, Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 430}), 0
	for budget.Spend(epoch, Retry, shares.Of(false)) {
		spent++
	}
	if want := 3; spent < want {
		t.Errorf("an instance of the working set may send %d extra attempts, want %d at least", spent, want)
	}
}
