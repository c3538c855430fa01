package replication

import (
	"cmp"
	"slices"
	"time"

	"shallotreel.example/reel/gossip"
	"shallotreel.example/reel/quarantine"
)

const (
	// marksPerMessage and lossesPerMessage are the maximum numbers of marks and of their losses in one message, which keep
	// it in one packet of the network.
	marksPerMessage  = 8
	lossesPerMessage = 16
	// transmitLimit is the number of transmissions of a changed mark by each instance. It does not grow with the fleet: the
	// digests show those that no transmission reached.
	transmitLimit = 6
	// queuedPerMessage is the maximum number of changed marks in one message.
	queuedPerMessage = 4
	// catchUpPeriod is the period in which catchUpMessages is the maximum number of messages with marks to peers whose
	// digest differs, besides the first one to each of firstMessages peers.
	catchUpPeriod   = time.Second
	catchUpMessages = 5
	firstMessages   = 5
	// marksWait is how long after its start an instance waits for a peer that knows the marks: some round trips between data
	// centres. After a loss of all instances there is none.
	marksWait = 100 * time.Millisecond
)

// Message is the part of a datagram between instances that concerns marks.
type Message struct {
	Digest uint64            `msgpack:"h,omitempty"` // of all marks of the sender
	Marks  []quarantine.Mark `msgpack:"m,omitempty"`
	Knows  bool              `msgpack:"k,omitempty"` // whether the sender knows the marks of its peers
	Worst  bool              `msgpack:"w,omitempty"` // whether Marks has all marks that refuse a request
}

// Machine is the state machine that replicates the marks of one instance. It is not safe for concurrent use.
type Machine struct {
	tracker     *quarantine.Tracker
	crashed     gossip.Queue[quarantine.Fingerprint] // changed marks with crashes
	others      gossip.Queue[quarantine.Fingerprint] // other changed marks, which are sent after those
	next        map[string]int                       // index among the marks at which the next message to each peer begins
	periodStart time.Time                            // of the current catchUpPeriod
	messages    int                                  // messages to catch up in this period
	firsts      int                                  // of these, first ones to a peer
	startedAt   time.Time                            // zero before the first call of CheckStart
	knows       bool                                 // whether this instance knows the marks of its peers
	inVain      bool                                 // whether it gave up waiting for them
}

// New returns a machine that replicates the marks of the tracker.
func New(tracker *quarantine.Tracker) *Machine {
	return &Machine{tracker: tracker, next: map[string]int{}}
}

// Changed queues a mark that changed on this instance for all peers. A queue that is full drops it; the peers then notice
// that their marks differ.
func (machine *Machine) Changed(now time.Time, fingerprint quarantine.Fingerprint) {
	queue := &machine.others
	if mark, ok := machine.tracker.Mark(now, fingerprint); ok && mark.Crashes() > 0 {
		queue = &machine.crashed
	}
	if queue.Len() < quarantine.MaxMarks {
		queue.Put(fingerprint.String(), fingerprint)
	}
}

// Knows reports whether this instance knows the marks of its peers. Before, it must not serve requests.
func (machine *Machine) Knows() bool { return machine.knows }

// CheckStart gives up waiting for the marks of a peer when the time for it is over, and at once if there are no peers.
func (machine *Machine) CheckStart(now time.Time, hasPeers bool) {
	if machine.startedAt.IsZero() {
		machine.startedAt = now
	}
	if machine.knows {
		return
	}
	machine.inVain = hasPeers && now.Sub(machine.startedAt) >= marksWait
	machine.knows = machine.inVain || !hasPeers
}

// WaitedInVain reports whether no peer that knows the marks was heard of in time after the start.
func (machine *Machine) WaitedInVain() bool { return machine.inVain }

// Pending reports whether marks are queued.
func (machine *Machine) Pending() bool {
	return machine.crashed.Len()+machine.others.Len() > 0
}

// Message returns the content of the next datagram to any peer.
func (machine *Machine) Message(now time.Time) Message {
	message := Message{Digest: machine.tracker.Digest(), Knows: machine.knows}
	if !machine.Pending() {
		return message
	}
	queued := machine.crashed.Take(queuedPerMessage, transmitLimit)
	queued = append(queued, machine.others.Take(queuedPerMessage-len(queued), transmitLimit)...)
	for _, fingerprint := range queued {
		if mark, ok := machine.tracker.Mark(now, fingerprint); ok {
			message.Marks = append(message.Marks, mark)
		}
	}
	return message
}

// Receive merges the marks that the peer sent. It returns those that changed, which are queued for other peers, and whether
// to answer the peer with CatchUp because its marks differ from those of this instance.
func (machine *Machine) Receive(now time.Time, peer string, message Message) (changed []quarantine.Mark, differs bool) {
	for _, mark := range message.Marks {
		if machine.tracker.Merge(now, mark) {
			machine.Changed(now, mark.Fingerprint)
			changed = append(changed, mark)
		}
	}
	differs = machine.tracker.Digest() != message.Digest
	if !differs || message.Digest == 0 {
		delete(machine.next, peer) // it has all marks, or none since it has just started
	}
	machine.knows = machine.knows || message.Knows && (!differs || message.Worst)
	return changed, differs
}

// CatchUp returns a message with some of the marks for the peer, whose marks differ; the first one has those with the most
// crashes. It reports false if there are none or the maximum for this period is reached.
func (machine *Machine) CatchUp(now time.Time, peer string) (Message, bool) {
	if now.Sub(machine.periodStart) >= catchUpPeriod {
		machine.periodStart, machine.messages, machine.firsts = now, 0, 0
	}
	marks := machine.tracker.Marks(now)
	next, known := machine.next[peer]
	switch {
	case len(marks) == 0:
		return Message{}, false
	case !known && machine.firsts < firstMessages:
		machine.firsts++
	case machine.messages >= catchUpMessages:
		return Message{}, false
	default:
		machine.messages++
	}
	slices.SortStableFunc(marks, func(a, b quarantine.Mark) int { return cmp.Compare(b.Crashes(), a.Crashes()) })
	if next >= len(marks) {
		next = 0
	}
	page := pageOf(marks[next:])
	machine.next[peer] = next + len(page)
	worst := next == 0 && (len(page) == len(marks) || marks[len(page)].Crashes() < quarantine.MaxLosses)
	return Message{Digest: machine.tracker.Digest(), Marks: page, Knows: machine.knows, Worst: worst}, true
}

// pageOf returns the first marks, as many as fit into one message and at least one.
func pageOf(marks []quarantine.Mark) []quarantine.Mark {
	losses := 0
	for i, mark := range marks {
		losses += len(mark.Losses)
		if i == marksPerMessage || i > 0 && losses > lossesPerMessage {
			return marks[:i]
		}
	}
	return marks
}
