package ticket

import "sync"

// DefaultWindow is how many of the newest tickets a ledger keeps outcomes for.
const DefaultWindow = 1 << 14

// Standing says what a claim on a ticket found.
type Standing int

// Standings of a claimed ticket.
const (
	Run       Standing = iota // the claimer must run the request and finish the ticket
	Running                   // another claimer runs it; wait for Done
	Finished                  // the outcome is known
	Foreign                   // another process owns the ticket
	Forged                    // no process issued the ticket
	Reused                    // the ticket belongs to another request
	Forgotten                 // the ticket is older than the window
)

// Claim is the answer to a claim on a ticket.
type Claim[T any] struct {
	Standing Standing
	Outcome  T
	Done     <-chan struct{}
}

// Ledger owns the tickets of one process; it may be shared.
type Ledger[T any] struct {
	mutex       sync.Mutex
	instance    string
	incarnation uint64
	key         []byte
	window      uint64
	issued      uint64
	floor       uint64 // tickets up to here are forgotten
	entries     map[uint64]*entry[T]
}

type entry[T any] struct {
	fingerprint uint64
	finished    bool
	outcome     T
	done        chan struct{}
}

// Option changes a ledger under construction.
type Option[T any] func(*Ledger[T])

// WithWindow sets how many of the newest tickets the ledger keeps outcomes for.
func WithWindow[T any](tickets int) Option[T] {
	return func(ledger *Ledger[T]) { ledger.window = uint64(tickets) }
}

// NewLedger returns the ledger of one process, which signs its tickets with the key.
func NewLedger[T any](instance string, incarnation uint64, key []byte, options ...Option[T]) *Ledger[T] {
	ledger := &Ledger[T]{instance: instance, incarnation: incarnation, key: key,
		window: DefaultWindow, entries: map[uint64]*entry[T]{}}
	for _, option := range options {
		option(ledger)
	}
	return ledger
}

// Issue returns a new ticket.
func (ledger *Ledger[T]) Issue() Ticket {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.issued++
	if ledger.issued > ledger.window {
		ledger.forget(ledger.issued - ledger.window)
	}
	ticket := Ticket{Instance: ledger.instance, Incarnation: ledger.incarnation, Sequence: ledger.issued}
	ticket.Proof = ticket.sign(ledger.key)
	return ticket
}

// Claim asks to run the request with the fingerprint under the ticket.
func (ledger *Ledger[T]) Claim(ticket Ticket, fingerprint uint64) Claim[T] {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ticket.Instance != ledger.instance || ticket.Incarnation != ledger.incarnation {
		return Claim[T]{Standing: Foreign}
	}
	if !ticket.signedBy(ledger.key) || ticket.Sequence > ledger.issued {
		return Claim[T]{Standing: Forged}
	}
	if ticket.Sequence <= ledger.floor {
		return Claim[T]{Standing: Forgotten}
	}
	known, ok := ledger.entries[ticket.Sequence]
	switch {
	case !ok:
		ledger.entries[ticket.Sequence] = &entry[T]{fingerprint: fingerprint, done: make(chan struct{})}
		return Claim[T]{Standing: Run}
	case known.fingerprint != fingerprint:
		return Claim[T]{Standing: Reused}
	case known.finished:
		return Claim[T]{Standing: Finished, Outcome: known.outcome}
	default:
		return Claim[T]{Standing: Running, Done: known.done}
	}
}

// Finish records the outcome of a run.
func (ledger *Ledger[T]) Finish(ticket Ticket, outcome T) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if known, ok := ledger.entries[ticket.Sequence]; ok && !known.finished {
		known.finished = true
		known.outcome = outcome
		close(known.done)
	}
}

// Release frees a claimed ticket whose request is proved not to have run.
func (ledger *Ledger[T]) Release(ticket Ticket) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if known, ok := ledger.entries[ticket.Sequence]; ok && !known.finished {
		delete(ledger.entries, ticket.Sequence)
		close(known.done)
	}
}

// Len returns the number of outcomes and runs that the ledger keeps.
func (ledger *Ledger[T]) Len() int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return len(ledger.entries)
}

// forget drops the tickets up to the floor; a run among them ends unrecorded and stays refused.
func (ledger *Ledger[T]) forget(floor uint64) {
	for ledger.floor < floor {
		ledger.floor++
		if known, ok := ledger.entries[ledger.floor]; ok {
			delete(ledger.entries, ledger.floor)
			if !known.finished {
				close(known.done)
			}
		}
	}
}
