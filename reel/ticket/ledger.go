package ticket

import "sync"

// DefaultWindow is the default number of newest tickets whose outcomes a Ledger keeps.
const DefaultWindow = 1 << 14

// ClaimStatus is the result of a claim on a ticket.
type ClaimStatus int

// Results of a claim.
const (
	Granted    ClaimStatus = iota // the caller must run the request and then call Finish or Release
	InProgress                    // another caller runs the request; wait for Done and claim again
	Finished                      // the request has run and Outcome is set
	OtherOwner                    // another process issued the ticket
	Forged                        // the proof is invalid or the ticket was never issued
	Reused                        // the ticket was claimed for a request with another fingerprint
	Forgotten                     // the ticket is older than the window, so its outcome is no longer kept
)

// Claim is the result of Ledger.Claim.
type Claim[T any] struct {
	Status  ClaimStatus
	Outcome T               // set if Status is Finished
	Done    <-chan struct{} // closed at the end of the run; set if Status is InProgress
}

// Ledger issues the tickets of one process and keeps the outcomes of their runs. It is safe for concurrent use.
type Ledger[T any] struct {
	mutex         sync.Mutex
	instance      string
	incarnation   uint64
	key           []byte
	window        uint64 // number of newest tickets to keep
	issued        uint64 // sequence number of the newest ticket
	forgottenUpTo uint64 // sequence number of the newest ticket that is no longer kept
	entries       map[uint64]*entry[T]
}

type entry[T any] struct {
	fingerprint uint64
	finished    bool
	outcome     T
	done        chan struct{}
}

// Option configures a Ledger in NewLedger.
type Option[T any] func(*Ledger[T])

// WithWindow sets the number of newest tickets whose outcomes the ledger keeps.
func WithWindow[T any](tickets int) Option[T] {
	return func(ledger *Ledger[T]) { ledger.window = uint64(tickets) }
}

// NewLedger returns the ledger of the given process, which signs its tickets with the key.
func NewLedger[T any](instance string, incarnation uint64, key []byte, options ...Option[T]) *Ledger[T] {
	ledger := &Ledger[T]{instance: instance, incarnation: incarnation, key: key,
		window: DefaultWindow, entries: map[uint64]*entry[T]{}}
	for _, option := range options {
		option(ledger)
	}
	return ledger
}

// Issue returns a new ticket and drops the one that leaves the window.
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

// Claim requests permission to run the request with the given fingerprint under the ticket.
func (ledger *Ledger[T]) Claim(ticket Ticket, fingerprint uint64) Claim[T] {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ticket.Instance != ledger.instance || ticket.Incarnation != ledger.incarnation {
		return Claim[T]{Status: OtherOwner}
	}
	if !ticket.signedBy(ledger.key) || ticket.Sequence > ledger.issued {
		return Claim[T]{Status: Forged}
	}
	if ticket.Sequence <= ledger.forgottenUpTo {
		return Claim[T]{Status: Forgotten}
	}
	claimed, ok := ledger.entries[ticket.Sequence]
	switch {
	case !ok:
		ledger.entries[ticket.Sequence] = &entry[T]{fingerprint: fingerprint, done: make(chan struct{})}
		return Claim[T]{Status: Granted}
	case claimed.fingerprint != fingerprint:
		return Claim[T]{Status: Reused}
	case claimed.finished:
		return Claim[T]{Status: Finished, Outcome: claimed.outcome}
	default:
		return Claim[T]{Status: InProgress, Done: claimed.done}
	}
}

// Finish records the outcome of a granted run; it has no effect on a finished or forgotten ticket.
func (ledger *Ledger[T]) Finish(ticket Ticket, outcome T) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if claimed, ok := ledger.entries[ticket.Sequence]; ok && !claimed.finished {
		claimed.finished = true
		claimed.outcome = outcome
		close(claimed.done)
	}
}

// Release undoes a granted claim whose request is proved not to have run, so that the ticket can be claimed again.
func (ledger *Ledger[T]) Release(ticket Ticket) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if claimed, ok := ledger.entries[ticket.Sequence]; ok && !claimed.finished {
		delete(ledger.entries, ticket.Sequence)
		close(claimed.done)
	}
}

// Len returns the number of kept tickets that have been claimed.
func (ledger *Ledger[T]) Len() int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return len(ledger.entries)
}

// forget drops the tickets up to the given sequence number. The outcome of a run that is still in progress on one of
// them is not recorded, and further claims on the ticket return Forgotten.
func (ledger *Ledger[T]) forget(sequence uint64) {
	for ledger.forgottenUpTo < sequence {
		ledger.forgottenUpTo++
		if claimed, ok := ledger.entries[ledger.forgottenUpTo]; ok {
			delete(ledger.entries, ledger.forgottenUpTo)
			if !claimed.finished {
				close(claimed.done)
			}
		}
	}
}
