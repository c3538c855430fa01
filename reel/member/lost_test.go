package member

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestLostBeforeTheStart guards against an instance that starts in one part of a cut fleet and does not count the other part, which
// still sends requests.
func TestLostBeforeTheStart(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	machine := New(Member{Name: "self", DataCentre: "a"}, rand.New(rand.NewPCG(1, 2)))
	machine.Tick(now)
	assertLost := func(want int) {
		t.Helper()
		if got := machine.Lost(); len(got) != want {
			t.Errorf("lost are %v, want %d", got, want)
		}
	}
	peer := Member{Name: "peer", DataCentre: "a", State: Alive}
	dead := Member{Name: "other", DataCentre: "a", State: Dead, Version: 3}
	for range 2 {
		machine.Receive(now, Message{Type: Members, From: peer, Updates: []Member{dead, {Name: "further", State: Dead}}, Complete: true})
	}
	assertLost(2)
	if members := machine.Members(); len(members) != 2 {
		t.Errorf("the members are %v, want this instance and the peer", members)
	}
	if !machine.Complete() {
		t.Error("the members are not complete although a peer sent all of them")
	}
	dead.State, dead.Version = Alive, 4
	machine.Merge(now, []Member{dead})
	assertLost(1)
	machine.Tick(now.Add(deadRetention))
	assertLost(0)
}
