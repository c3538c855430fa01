package cursor

import "time"

// InForceTime is the time after its acknowledgement by the store within which a change must be in force at each instance. The bounds below
// add up on its way, also if nothing tells an instance of a failure but a timeout. An instance that reads from a peer learns of a change
// that the peer misses after
//
//	MaxAge + PeerHold + PeerTimeout
//
// at the latest, and one call of the store, on a connection that is new or was used within IdleTimeout. An instance whose connection to the
// store goes silent during a watch learns of it after WatchTimeout + CallTimeout, and the pause after a failure.
const InForceTime = 3 * time.Second

// Bounds of reads from the store.
const (
	// WatchTimeout is how long the store may wait for a change. The end of an idle watch shows that the store is reachable.
	WatchTimeout = 1300 * time.Millisecond
	// CallTimeout is the limit of one call, in addition to the time for which the store may wait.
	CallTimeout = time.Second
	// DialTimeout is the limit for opening a connection, within CallTimeout.
	DialTimeout = 500 * time.Millisecond
	// IdleTimeout is how long an idle connection is kept. It may go silent meanwhile, which only the timeout of a call shows. It is longer
	// than the pauses between two reads.
	IdleTimeout = time.Second
)

// Bounds of reads from a peer.
const (
	// MaxAge is the age above which the catalogue of a peer is not used while anything else is known.
	MaxAge = 1800 * time.Millisecond
	// PeerHold is for how long a peer may delay its answer while nothing changes.
	PeerHold = 500 * time.Millisecond
	// PeerTimeout is the limit of a call, in addition to PeerHold.
	PeerTimeout = 300 * time.Millisecond
)
