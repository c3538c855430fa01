package choice

import "testing"

func TestScarce(t *testing.T) {
	waits := func(board *Board, from, times int, inVain bool) {
		for i := range times {
			board.Waited(at(from+i), "menus", inVain)
		}
	}
	assert := func(t *testing.T, board *Board, now int, want bool) {
		t.Helper()
		if got := board.Scarce(at(now), "menus"); got != want {
			t.Errorf("scarce %v at %d ms", got, now)
		}
	}
	t.Run("while most wait in vain", func(t *testing.T) {
		board := newBoard()
		waits(board, 0, 10, true)
		assert(t, board, 10, false)
		waits(board, 10, 30, true)
		assert(t, board, 40, true)
	})
	t.Run("no longer than a moment after nobody waits", func(t *testing.T) {
		board := newBoard()
		waits(board, 0, 60, true)
		assert(t, board, 100, true)
		assert(t, board, 1500, false)
	})
	t.Run("not once most are served", func(t *testing.T) {
		board := newBoard()
		waits(board, 0, 60, true)
		waits(board, 60, 30, false)
		assert(t, board, 90, false)
	})
}
