package choice

import (
	"slices"
	"testing"
)

func assertBeliefs(t *testing.T, board *Board, want ...string) {
	t.Helper()
	var got []string
	for _, belief := range board.TakeBeliefs() {
		got = append(got, belief.Subject+" "+belief.What)
	}
	if !slices.Equal(got, want) {
		t.Errorf("believed %q, want %q", got, want)
	}
}

func TestBeliefs(t *testing.T) {
	t.Run("slow, then well again", func(t *testing.T) {
		board, all := newBoard(), targets()
		now := serve(board, 0, all[0], 60, 20)
		assertBeliefs(t, board)
		now = serve(board, now, all[0], 10, 160)
		assertBeliefs(t, board, "in-a "+ServesBadly)
		serve(board, now, all[0], 10, 20)
		assertBeliefs(t, board, "in-a "+ServesWell)
	})
	t.Run("silent, told once, then answers", func(t *testing.T) {
		board, all := newBoard(), targets()
		now := serve(board, 0, all[0], 60, 20)
		board.Sent(at(now), all[0].ID, Ticket{Serial: 1, Route: route.Name, Sent: at(now)})
		for i := range 3 {
			board.Choose(at(now+80+i), route, all, service, nil, anyRoom)
		}
		assertBeliefs(t, board, "in-a "+Silent)
		board.Ended(at(now+90), all[0], 1, Answered, nil)
		assertBeliefs(t, board, "in-a "+AnswersAgain)
	})
	t.Run("another process has the address", func(t *testing.T) {
		board, all := newBoard(), targets()
		board.Sent(at(0), all[0].ID, Ticket{Serial: 1, Route: route.Name, Sent: at(0)})
		board.Ended(at(3), all[0], 1, Misdirected, nil)
		assertBeliefs(t, board, "in-a "+AnotherProcess)
	})
	t.Run("scarce, then served", func(t *testing.T) {
		board := newBoard()
		for i := range 60 {
			board.Waited(at(i), "menus", i < 30)
		}
		assertBeliefs(t, board, "menus "+ScarceNow, "menus "+ScarceNoLonger)
	})
	t.Run("bounded while nobody takes them", func(t *testing.T) {
		board, all := newBoard(), targets()
		for i := range 3 * beliefsMost {
			board.Sent(at(i), all[0].ID, Ticket{Serial: uint64(i), Route: route.Name, Sent: at(i)})
			board.Ended(at(i), all[0], uint64(i), Misdirected, nil)
		}
		if got := len(board.TakeBeliefs()); got != beliefsMost {
			t.Errorf("%d beliefs wait, want %d", got, beliefsMost)
		}
	})
}
