package cursor

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

var start = time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)

// TestAccept checks what a cursor at revision 9 of era 3 reads next after an answer of an era.
func TestAccept(t *testing.T) {
	for _, test := range []struct {
		name string
		era  uint64
		err  error
		next Read
	}{
		{"the same era", 3, nil, Read{After: 9, Wait: WatchTimeout}},
		{"an answer that does not say its era", 0, nil, Read{After: 9, Wait: WatchTimeout}},
		{"the next era", 4, ErrRestored, Read{Whole: true}},
		{"an era after two losses", 5, ErrRestored, Read{Whole: true}},
		{"a late answer of an earlier era", 2, ErrOldEra, Read{After: 9, Wait: WatchTimeout}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var cursor Cursor
			if err := cursor.Accept(3); err != nil {
				t.Fatal(err)
			}
			cursor.ReadPage(true, 9)
			cursor.ReadAll(false)
			if err := cursor.Accept(test.era); !errors.Is(err, test.err) {
				t.Errorf("got error %v, want %v", err, test.err)
			}
			if next := cursor.Next(start, false); next != test.next {
				t.Errorf("the next read is %+v, want %+v", next, test.next)
			}
		})
	}
}

// TestReadPeer checks which catalogues of a peer an instance uses that has read revision 9 of era 3.
func TestReadPeer(t *testing.T) {
	for _, test := range []struct {
		name   string
		reply  PeerReply
		usable bool
		want   Position
	}{
		{"newer", PeerReply{Whole: true, Position: Position{Era: 3, Revision: 10}}, true, Position{Era: 3, Revision: 10}},
		{"older changes of the same era", PeerReply{Position: Position{Era: 3, Revision: 8}}, true, Position{Era: 3, Revision: 9}},
		{"older whole catalogue", PeerReply{Whole: true, Position: Position{Era: 3, Revision: 8}}, false, Position{Era: 3, Revision: 9}},
		{"newer era at a lower revision", PeerReply{Position: Position{Era: 4, Revision: 2}}, true, Position{Era: 4, Revision: 2}},
		{"older era at a higher revision", PeerReply{Position: Position{Era: 2, Revision: 50}}, false, Position{Era: 3, Revision: 9}},
		{"too old", PeerReply{Position: Position{Era: 3, Revision: 10}, Age: MaxAge + 1}, false, Position{Era: 3, Revision: 9}},
	} {
		t.Run(test.name, func(t *testing.T) {
			cursor := Cursor{position: Position{Era: 3, Revision: 9}, listed: true}
			_, err := cursor.ReadPeer(start, test.reply)
			if usable := err == nil; usable != test.usable {
				t.Errorf("the reply is used: %v, want %v", usable, test.usable)
			}
			if cursor.Position() != test.want {
				t.Errorf("the position is %+v, want %+v", cursor.Position(), test.want)
			}
			if next := cursor.Next(start.Add(time.Millisecond), true); next.Peer != test.usable {
				t.Errorf("the next read is from the peer: %v, want %v", next.Peer, test.usable)
			}
		})
	}
}

// TestPeerWithoutPendingRemovals guards against a watch that misses a removal: the peer in production does not tell which removals before its
// position are pending, so that all keys are read once that peer is lost.
func TestPeerWithoutPendingRemovals(t *testing.T) {
	for _, test := range []struct {
		supports bool
		next     Read
	}{
		{true, Read{After: 10, Wait: WatchTimeout}},
		{false, Read{Whole: true}},
	} {
		cursor := Cursor{position: Position{Era: 3, Revision: 9}, listed: true}
		if _, err := cursor.ReadPeer(start, PeerReply{Whole: true, Position: Position{Era: 3, Revision: 10}, SupportsPending: test.supports}); err != nil {
			t.Fatal(err)
		}
		cursor.FailPeer(start)
		if next := cursor.Next(start, true); next != test.next {
			t.Errorf("the next read after a peer that tells them (%v) is %+v, want %+v", test.supports, next, test.next)
		}
		cursor.ReadPage(true, 12)
		cursor.ReadAll(false)
		if next, want := cursor.Next(start, true), (Read{After: 12, Wait: WatchTimeout}); next != want {
			t.Errorf("the next read after a full one is %+v, want %+v", next, want)
		}
	}
}

// TestFail checks that the pauses after failures grow to a limit.
func TestFail(t *testing.T) {
	var cursor Cursor
	pause := time.Duration(0)
	for range 200 {
		next, _ := cursor.Fail(errors.New("no answer"))
		if next < pause || next > time.Second {
			t.Fatalf("a pause of %v follows one of %v", next, pause)
		}
		pause = next
	}
	cursor.ReadChanges(1)
	if next, _ := cursor.Fail(errors.New("no answer")); next >= pause {
		t.Errorf("the first pause after a success is %v, want less than %v", next, pause)
	}
}

// TestOutage guards against removals that are held back because the store has cut a single watch, and against expired registrations that count
// as removed because an outage is not seen.
func TestOutage(t *testing.T) {
	cut, timeout := errors.New("connection reset"), errors.Wrap(context.DeadlineExceeded, "call store")
	for _, test := range []struct {
		name     string
		failures []error // nil is an answer
		want     bool    // whether the last failure shows an outage
	}{
		{"a watch that is cut", []error{cut}, false},
		{"watches that are cut one after the other", []error{cut, nil, cut, nil, cut}, false},
		{"a call without an answer", []error{timeout}, true},
		{"a call without an answer on a connection that may have gone silent", []error{reusedError{timeout}}, false},
		{"the next call without an answer, too", []error{reusedError{timeout}, timeout}, true},
		{"two failures in succession", []error{cut, cut}, true},
		{"lost history", []error{cut, ErrHistoryLost}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var cursor Cursor
			outage := false
			for _, err := range test.failures {
				if err == nil {
					cursor.ReadChanges(1)
					continue
				}
				_, outage = cursor.Fail(err)
			}
			if outage != test.want {
				t.Errorf("outage: %v, want %v", outage, test.want)
			}
		})
	}
}
