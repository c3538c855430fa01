package replication

import (
	"fmt"
	"testing"
	"time"

	"shallotreel.example/reel/quarantine"
)

var start = time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)

// node is a machine and its tracker.
type node struct {
	*Machine
	tracker *quarantine.Tracker
}

func newNode() *node {
	tracker := &quarantine.Tracker{}
	return &node{New(tracker), tracker}
}

// lose records losses on the fingerprint and queues its mark.
func (node *node) lose(fingerprint quarantine.Fingerprint, count int) {
	for i := range count {
		node.tracker.RecordLoss(start, fingerprint, quarantine.Loss{Target: fmt.Sprint(fingerprint, "-", i), Born: 1,
			Wave: uint64(fingerprint)*10 + uint64(i) + 1, At: start})
	}
	node.Changed(start, fingerprint)
}

func assertCrashes(t *testing.T, node *node, fingerprint quarantine.Fingerprint, want int) {
	t.Helper()
	if mark, _ := node.tracker.Mark(start, fingerprint); mark.Crashes() != want {
		t.Errorf("the mark on %v has %d crashes, want %d", fingerprint, mark.Crashes(), want)
	}
}

func TestNewMarkIsPassedOn(t *testing.T) {
	first, second, third := newNode(), newNode(), newNode()
	first.lose(7, 2)
	changed, differs := second.Receive(start, "peer", first.Message(start))
	if len(changed) != 1 || differs {
		t.Fatalf("%d marks changed, differs %v, want one and no difference", len(changed), differs)
	}
	third.Receive(start, "peer", second.Message(start))
	assertCrashes(t, third, 7, 2)
	if changed, _ := third.Receive(start, "peer", first.Message(start)); len(changed) != 0 {
		t.Error("a mark that arrives twice is taken for a change")
	}
}

func TestMarksWithCrashesGoFirst(t *testing.T) {
	node := newNode()
	for fingerprint := range quarantine.Fingerprint(50) {
		node.tracker.RecordLoss(start, 100+fingerprint, quarantine.Loss{Target: fmt.Sprint(fingerprint), Born: 1,
			Wave: uint64(fingerprint) + 1, Pending: true, At: start})
		node.Changed(start, 100+fingerprint)
	}
	node.lose(7, 1)
	if message := node.Message(start); len(message.Marks) != queuedPerMessage || message.Marks[0].Fingerprint != 7 {
		t.Errorf("the first message has %d marks and begins with %v, want %d and the one with a crash", len(message.Marks),
			message.Marks[0].Fingerprint, queuedPerMessage)
	}
}

// TestCatchUp checks that an instance that knows nothing, such as one that just started, learns all marks from a peer, the
// most important ones first, in messages of limited size and number.
func TestCatchUp(t *testing.T) {
	old, started := newNode(), newNode()
	for fingerprint := range quarantine.Fingerprint(40) {
		old.lose(fingerprint, 1)
	}
	old.lose(100, 3)
	now := start
	for messages := 0; ; messages++ {
		if _, differs := old.Receive(now, "started", started.Message(now)); !differs {
			break
		}
		message, ok := old.CatchUp(now, "started")
		switch {
		case !ok && messages%catchUpMessages != 0:
			t.Fatalf("no message to catch up after %d of a period", messages%catchUpMessages)
		case !ok:
			now = now.Add(catchUpPeriod)
			continue
		case len(message.Marks) == 0 || len(message.Marks) > marksPerMessage:
			t.Fatalf("a message has %d marks", len(message.Marks))
		case messages == 0 && message.Marks[0].Fingerprint != 100:
			t.Errorf("the first mark is that on %v, want the one with the most crashes", message.Marks[0].Fingerprint)
		case messages > 20:
			t.Fatal("the instance does not catch up")
		}
		started.Receive(now, "peer", message)
	}
	assertCrashes(t, started, 100, 3)
	assertCrashes(t, started, 39, 1)
}

// TestStartedInstanceLearnsWorstMarksFirst guards against an instance that starts while others catch up too, and gets some
// later page of the marks first: until it knows those with the most crashes, it sends such requests to further targets (the
// incident BUDGET).
func TestStartedInstanceLearnsWorstMarksFirst(t *testing.T) {
	old, behind, started := newNode(), newNode(), newNode()
	for fingerprint := range quarantine.Fingerprint(90) {
		old.lose(fingerprint+1, 1)
	}
	old.lose(100, 3)
	behind.lose(200, 1)
	now := start
	for range 3 {
		old.Receive(now, "behind", behind.Message(now))
		if message, ok := old.CatchUp(now, "behind"); ok {
			behind.Receive(now, "peer", message)
		}
	}
	for range catchUpMessages {
		old.CatchUp(now, "another one")
	}
	old.Receive(now, "started", started.Message(now))
	message, ok := old.CatchUp(now, "started")
	if !ok || message.Marks[0].Fingerprint != 100 {
		t.Errorf("the first message, sent %v, has %v, want the mark with the most crashes first", ok, message.Marks)
	}
}

func TestNothingToCatchUp(t *testing.T) {
	if _, ok := newNode().CatchUp(start, "peer"); ok {
		t.Error("an instance without marks sends some")
	}
}

// TestKnowsMarksOfPeers guards against an instance that has just started and sends a request to targets although its peers
// refuse it (the incident BUDGET).
func TestKnowsMarksOfPeers(t *testing.T) {
	old := newNode()
	old.CheckStart(start, false)
	old.lose(100, 3)
	for fingerprint := range quarantine.Fingerprint(40) {
		old.lose(fingerprint+1, 1)
	}
	catchUp := func(peer *node) Message {
		message, _ := peer.CatchUp(start, "started")
		return message
	}
	starting := newNode()
	starting.CheckStart(start, true)
	for _, test := range []struct {
		name     string
		hasPeers bool
		message  *Message
		after    time.Duration
		want     bool
	}{
		{"without peers", false, nil, 0, true},
		{"before a message", true, nil, marksWait - 1, false},
		{"without a message for long", true, nil, marksWait, true},
		{"after the worst marks", true, new(catchUp(old)), 0, true},
		{"after other marks", true, new(catchUp(old)), 0, false},
		{"after a digest of marks that are missing", true, new(old.Message(start)), 0, false},
		{"after a peer that is starting", true, new(starting.Message(start)), 0, false},
		{"after peers that are starting, for long", true, new(starting.Message(start)), marksWait, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			started := newNode()
			started.CheckStart(start, test.hasPeers)
			if test.message != nil {
				started.Receive(start, "old", *test.message)
			}
			started.CheckStart(start.Add(test.after), test.hasPeers)
			if inVain := test.want && test.after > 0; started.WaitedInVain() != inVain {
				t.Errorf("waited in vain: %v, want %v", started.WaitedInVain(), inVain)
			}
			if started.Knows() != test.want {
				t.Errorf("knows the marks: %v, want %v", started.Knows(), test.want)
			}
		})
	}
}
