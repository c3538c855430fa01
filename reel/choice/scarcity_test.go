package choice

import (
	"testing"
	"time"
)

func TestScarce(t *testing.T) {
	waits := func(board *Board, from, times int, inVain bool) {
		for i := range times {
			board.Waited(at(from+i), "menus", inVain)
		}
	}
	assert := func(t *testing.T, board *Board, now int, want bool) {
		t.Helper()
		if _, got := board.Scarce(at(now), "menus"); got != want {
			t.Errorf("scarce %v at %d ms", got, now)
		}
	}
	t.Run("while most wait in vain", func(t *testing.T) {
		board := newBoard()
		waits(board, 0, 5, true)
		assert(t, board, 5, false)
		waits(board, 5, 30, true)
		assert(t, board, 35, true)
		if lasted, _ := board.Scarce(at(1000), "menus"); lasted < 900*time.Millisecond || lasted > time.Second {
			t.Errorf("it has lasted %v", lasted)
		}
	})
	t.Run("no longer than a moment after nobody waits", func(t *testing.T) {
		board := newBoard()
		waits(board, 0, 60, true)
		assert(t, board, 100, true)
		assert(t, board, 2500, false)
	})
	t.Run("not once most are served", func(t *testing.T) {
		board := newBoard()
		waits(board, 0, 60, true)
		waits(board, 60, 30, false)
		assert(t, board, 90, false)
	})
}
