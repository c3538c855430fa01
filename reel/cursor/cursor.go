package cursor

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	catchUpTimeout   = 10 * time.Millisecond  // wait of the first watch after a stale read; short because peers may query soon
	watchInterval    = 200 * time.Millisecond // pause between two watches, so that one call returns several changes
	peerPollInterval = 50 * time.Millisecond  // pause after a change, so that one answer returns several changes
	directReadPeriod = 2 * time.Second        // for which the store is read directly after a peer failed
	minBackoff       = 100 * time.Millisecond
	doublings        = 2 // of minBackoff at most, so that removals that are held back after a cut end within four seconds of it
)

// Errors that end a read.
var (
	// ErrRestored means that the store was restored from a copy since the last read, so that all keys must be read again.
	ErrRestored = errors.New("the store was restored from a copy")
	// ErrOldEra means that the answer is from before the store was restored.
	ErrOldEra = errors.New("the answer is from before the store was restored")
	// ErrHistoryLost means that the store no longer has the changes after the last read, or cannot return them in one answer.
	ErrHistoryLost = errors.New("the changes after this revision are not available")
	// ErrPeerStale means that the peer's catalogue is too old, or older than this instance's.
	ErrPeerStale = errors.New("the peer's catalogue is stale")
)

// Read is what to read next.
type Read struct {
	Peer       bool // whether to read from the peer instead of the store
	Whole      bool // whether to read all keys, instead of the changes after a revision
	AllowStale bool // whether a full read may return a state that is seconds old
	After      uint64
	Wait       time.Duration // for which the store may wait for a change
}

// Peer identifies the last catalogue that was read from a peer.
type Peer struct {
	Process uint64 // incarnation of the peer
	Serial  uint64 // of its catalogue
}

// PeerReply describes the catalogue, or the changes to it, that a peer has sent.
type PeerReply struct {
	Peer
	Whole    bool          // whether it is a full catalogue
	Position Position      // of the store when the peer read it
	Age      time.Duration // time since then
	// SupportsPending says whether the peer tells which removals up to its position are pending. Otherwise its catalogue may still
	// have targets whose removal a watch from the position would not return.
	SupportsPending bool
}

// Cursor records how far an instance has read. It is not safe for concurrent use.
type Cursor struct {
	position    Position // newest state that was read
	listing     uint64   // lowest revision of the pages of the full read in progress
	listed      bool     // whether a full read of this era has succeeded
	stale       bool     // whether the only read so far is a stale one
	requireNew  bool     // whether the next full read must not be stale
	unconfirmed bool     // whether a full read must come before the next watch, as the last peer does not tell pending removals
	peer        Peer
	directUntil time.Time // time until which the store is read instead of a peer
	failures    int       // failed reads of the store in succession
}

// Position returns the newest state of the store that was read, directly or by a peer.
func (cursor *Cursor) Position() Position { return cursor.position }

// Peer returns the last catalogue that was read from a peer.
func (cursor *Cursor) Peer() Peer { return cursor.peer }

// Listed reports whether the catalogue was read completely in the current era.
func (cursor *Cursor) Listed() bool { return cursor.listed }

// Next returns what to read next; hasPeer says whether a peer reads the store for this instance.
func (cursor *Cursor) Next(now time.Time, hasPeer bool) Read {
	switch {
	case hasPeer && now.After(cursor.directUntil):
		return Read{Peer: true}
	case !cursor.listed || cursor.unconfirmed:
		return Read{Whole: true, AllowStale: !cursor.requireNew && !cursor.unconfirmed}
	case cursor.stale:
		return Read{After: cursor.position.Revision, Wait: catchUpTimeout}
	}
	return Read{After: cursor.position.Revision, Wait: WatchTimeout}
}

// Accept checks the era of an answer of the store. If it is newer than the known one, the error is ErrRestored, and the
// next read is a full one.
func (cursor *Cursor) Accept(era uint64) error {
	known := cursor.position.Era
	switch {
	case known == 0:
		cursor.position.Era = era
		return nil
	case era < known && era != 0:
		return ErrOldEra
	case era > known:
		cursor.restored(Position{Era: era})
		return ErrRestored
	}
	return nil
}

func (cursor *Cursor) restored(position Position) {
	cursor.position = position
	cursor.listed, cursor.stale, cursor.requireNew = false, false, true
}

// ReadPage records that a page of a full read was read at the revision, and returns the position of the read so far: the oldest state that a
// page is of. Pages of a read that may be stale come from replicas of different age.
func (cursor *Cursor) ReadPage(isFirst bool, revision uint64) Position {
	if isFirst || revision < cursor.listing {
		cursor.listing = revision
	}
	return Position{Era: cursor.position.Era, Revision: cursor.listing}
}

// ReadAll records that all pages were read, and returns how long to wait before the next read. The changes after the oldest page have been
// read in part, and are all read again.
func (cursor *Cursor) ReadAll(allowedStale bool) time.Duration {
	cursor.position.Revision = cursor.listing
	cursor.listed, cursor.stale = true, allowedStale
	if allowedStale {
		return 0 // the next watch returns the changes since then
	}
	cursor.failures, cursor.unconfirmed = 0, false
	return watchInterval
}

// ReadChanges records that the changes up to the revision were read, and returns how long to wait before the next read.
func (cursor *Cursor) ReadChanges(revision uint64) time.Duration {
	cursor.position.Revision = max(cursor.position.Revision, revision)
	cursor.stale, cursor.failures = false, 0
	return watchInterval
}

// Fail records a failed read of the store and returns how long to wait before the next one. It reports whether the failure is the
// sign of an outage. A single call that ends early is none, since the store may cut a watch at any time. Neither is one without an answer on a
// connection that an earlier call has used, which may have gone silent: an outage that ends before the next call is too short for the
// registration of a running target to expire.
func (cursor *Cursor) Fail(err error) (pause time.Duration, outage bool) {
	switch {
	case errors.Is(err, ErrRestored):
		return 0, false
	case errors.Is(err, ErrHistoryLost):
		cursor.listed, cursor.requireNew = false, true
		return 0, false
	}
	cursor.failures++
	return minBackoff << min(cursor.failures-1, doublings), cursor.failures > 1 || isTimeout(err) && !isReused(err)
}

// isTimeout reports whether a call ended because there was no answer.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isReused reports whether the call that failed went by a connection that an earlier one had used.
func isReused(err error) bool {
	var call interface{ ReusedConnection() bool }
	return errors.As(err, &call) && call.ReusedConnection()
}

// ReadPeer checks the answer of a peer and records how far the peer has read. It returns how long to wait before the next
// read. After an error the store is read for some time.
func (cursor *Cursor) ReadPeer(now time.Time, reply PeerReply) (time.Duration, error) {
	older := reply.Position.Compare(cursor.position) < 0
	if reply.Age > MaxAge || older && (reply.Whole || reply.Position.Era < cursor.position.Era) {
		cursor.FailPeer(now)
		return 0, ErrPeerStale
	}
	changed := reply.Peer != cursor.peer
	if !older {
		cursor.position = reply.Position
	}
	cursor.peer, cursor.listed, cursor.stale = reply.Peer, true, false
	cursor.unconfirmed = !reply.SupportsPending
	if changed {
		return peerPollInterval, nil
	}
	return 0, nil
}

// FailPeer records that the peer gave no usable answer.
func (cursor *Cursor) FailPeer(now time.Time) {
	cursor.directUntil = now.Add(directReadPeriod)
}
