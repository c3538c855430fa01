package catalogue

import (
	"time"

	"shallotreel.example/reel/storepos"
)

// reregistrationTimeout is how long a running target may take to register again after the store recovers. Targets
// are required to do so within reportTimeout; the rest is for reading the registration.
const (
	reregistrationTimeout = reportTimeout + 300*time.Millisecond
	reportTimeout         = 2 * time.Second
)

// MinExpiry is the least time after the begin of an outage in which the registration of a running target can expire: three heartbeat
// intervals of 1.2 s after its last report, which it made at most one interval before the outage. Peers leave a reader that has not
// read the store for as long.
const MinExpiry = 2400 * time.Millisecond

// Removal is the end of a registration.
type Removal struct {
	ID string
	// Position is that of the deletion in the store, or of a listing that lacks the target, and zero if it is not known.
	Position storepos.Position
}

// PendingRemoval tells another instance that a target of the delta is not registered any more, and stays usable only because its
// registration may have expired during an outage of the store.
type PendingRemoval struct {
	ID       string
	Born     int64 // of the process whose registration ended
	Seq      uint64
	Left     time.Duration     // until the target is not usable any more
	Position storepos.Position // as of a Removal
}

// Remove applies the end of a registration and reports whether the target was registered. While the store is
// recovering, the registration of a running target may have expired; the target then stays usable until
// reregistrationTimeout after the recovery. It cannot have expired before MinExpiry after the store answered last.
// A removal that is older than what is known has no effect.
func (catalogue *Catalogue) Remove(now time.Time, removal Removal) (Change, bool) {
	unusableAt := now
	if catalogue.StoreRecovering(now) && now.Sub(catalogue.storeLostAt) >= MinExpiry {
		unusableAt = catalogue.storeRecoveredAt.Add(reregistrationTimeout)
	}
	return catalogue.remove(now, removal, unusableAt)
}

// remove applies the end of a registration of a target that stays usable until the given time.
func (catalogue *Catalogue) remove(now time.Time, removal Removal, unusableAt time.Time) (Change, bool) {
	existing, ok := catalogue.entries[removal.ID]
	if !ok || existing.Position.IsAfter(removal.Position) {
		return Change{}, false
	}
	existing.Position = existing.Position.Latest(removal.Position)
	catalogue.dropHeld(existing)
	if existing.isRemoved() {
		return Change{}, false
	}
	existing.removedAt, existing.unusableAt = now, unusableAt
	kind := "removed"
	if existing.isPending() {
		kind = "registration expired while the store was recovering"
	}
	catalogue.changed(existing)
	return Change{Target: removal.ID, Kind: kind, Ended: !existing.Leaving && !existing.isPending()}, true
}

// removePending applies a removal that another instance holds back, unless this instance knows a newer registration. A removal that
// is pending here ends at the earlier of the two times.
func (catalogue *Catalogue) removePending(now time.Time, pending PendingRemoval) (Change, bool) {
	existing, ok := catalogue.entries[pending.ID]
	if !ok || existing.isNewerThan(pending) {
		return Change{}, false
	}
	unusableAt := now.Add(min(pending.Left, reregistrationTimeout))
	if existing.isPending() && unusableAt.Before(existing.unusableAt) {
		existing.unusableAt = unusableAt
		catalogue.changed(existing)
	}
	return catalogue.remove(now, Removal{pending.ID, pending.Position}, unusableAt)
}

// removeListed applies the end of a registration that a full catalogue of another instance tells. That is its own state of the target, so that
// nothing follows from the position of the catalogue.
func (catalogue *Catalogue) removeListed(now time.Time, removal Removal) (Change, bool) {
	change, ok := catalogue.Remove(now, removal)
	if existing, known := catalogue.entries[removal.ID]; known {
		existing.listed = true
	}
	return change, ok
}

// isNewerThan reports whether something newer is known of the target than the removal.
func (entry *entry) isNewerThan(pending PendingRemoval) bool {
	if entry.Position.IsSameEra(pending.Position) {
		return entry.Position.IsAfter(pending.Position)
	}
	return entry.Born != pending.Born || entry.Seq > pending.Seq
}

// hasRemoved reports whether this instance knows the end of the registration, which another one holds back.
func (catalogue *Catalogue) hasRemoved(target Target) bool {
	existing, ok := catalogue.entries[target.ID]
	if !ok || !existing.isRemoved() {
		return false
	}
	if existing.Position.IsSameEra(target.Position) {
		return !target.Position.IsAfter(existing.Position)
	}
	return existing.Born >= target.Born
}

// finishRemoval applies the end of a registration that another instance does not hold back any more.
func (catalogue *Catalogue) finishRemoval(now time.Time, removal Removal) (Change, bool) {
	existing, ok := catalogue.entries[removal.ID]
	if ok && existing.isPending() && !existing.Position.IsAfter(removal.Position) {
		existing.Position = existing.Position.Latest(removal.Position)
		catalogue.dropHeld(existing)
		return catalogue.endPending(existing), true
	}
	return catalogue.remove(now, removal, now)
}

// endPending ends the use of a target whose removal was held back.
func (catalogue *Catalogue) endPending(entry *entry) Change {
	entry.unusableAt = entry.removedAt
	catalogue.changed(entry)
	return Change{Target: entry.ID, Kind: "removed after its registration expired", Ended: !entry.Leaving}
}

// isRemoved reports whether the registration has ended.
func (entry *entry) isRemoved() bool { return !entry.removedAt.IsZero() }

// isPending reports whether the registration has ended and the target stays usable for some time.
func (entry *entry) isPending() bool { return entry.unusableAt.After(entry.removedAt) }

// presumedAlive reports whether the target is registered, or may be alive although its registration expired.
func (entry *entry) presumedAlive() bool { return !entry.isRemoved() || entry.isPending() }

// StoreFailed records that a call to the store failed or timed out. An outage that begins before all running targets have reported again
// after the one before continues it.
func (catalogue *Catalogue) StoreFailed() {
	if !catalogue.storeFailing && catalogue.storeAnsweredAt.Sub(catalogue.storeRecoveredAt) >= reportTimeout {
		catalogue.storeLostAt = catalogue.storeAnsweredAt
	}
	catalogue.storeFailing = true
}

// StoreAnswered records that the store answered a call of this instance, or the given time ago one of a peer.
func (catalogue *Catalogue) StoreAnswered(now time.Time, age time.Duration) {
	if catalogue.storeFailing {
		catalogue.storeFailing = false
		catalogue.storeRecoveredAt = now
	}
	catalogue.storeAnsweredAt = now.Add(-age)
}

// StoreRestored records that the store was restored from a copy, which lacks registrations that were made after it. They
// are made again within reregistrationTimeout, like those that expire during an outage.
func (catalogue *Catalogue) StoreRestored(now time.Time) {
	catalogue.storeRecoveredAt, catalogue.storeLostAt = now, time.Time{}
}

// StoreRecovering reports whether the store recovered less than reregistrationTimeout ago, so that a removal may be the
// expired registration of a running target.
func (catalogue *Catalogue) StoreRecovering(now time.Time) bool {
	return !catalogue.storeRecoveredAt.IsZero() && now.Sub(catalogue.storeRecoveredAt) < reregistrationTimeout
}
