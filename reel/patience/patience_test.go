package patience

import (
	"testing"
	"time"
)

const (
	ms    = time.Millisecond
	goal  = 200 * ms
	whole = 1200 * ms
)

var epoch = time.Unix(1_700_000_000, 0)

func assertGoal(t *testing.T, learner *Learner, left, want time.Duration) {
	t.Helper()
	spent := learner.Spent("menus", left)
	if got := learner.Goal(epoch, goal, spent).Sub(epoch); got != want {
		t.Errorf("with %v left the goal is in %v, want %v", left, got, want)
	}
}

func TestGoal(t *testing.T) {
	t.Run("before anything is learned", func(t *testing.T) {
		assertGoal(t, New(), whole, goal-roundTripDefault-slack)
	})
	t.Run("what a caller spent on connecting counts", func(t *testing.T) {
		learner := New()
		learner.Spent("menus", whole)
		learner.Spent("menus", whole-2*ms) // one odd sample among many
		for range samplesMost {
			learner.Spent("menus", whole-7*ms)
		}
		assertGoal(t, learner, whole, goal-7*ms-slack)
		assertGoal(t, learner, whole-15*ms, goal-15*ms-7*ms-slack)
	})
	t.Run("a spent goal starts anew", func(t *testing.T) {
		learner := New()
		learner.Spent("menus", whole)
		assertGoal(t, learner, whole-300*ms, goal)
	})
	t.Run("a caller that says nothing has spent nothing", func(t *testing.T) {
		if spent := New().Spent("menus", 0); spent != 0 {
			t.Errorf("spent %v", spent)
		}
	})
}
