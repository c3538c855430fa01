package catalogue

import "time"

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

// PendingRemoval tells another instance that a target of the delta is not registered any more, and stays usable only because its
// registration may have expired during an outage of the store.
type PendingRemoval struct {
	ID   string
	Born int64 // of the process whose registration ended
	Seq  uint64
	Left time.Duration // until the target is not usable any more
}

// Remove applies the end of a registration and reports whether the target was registered. While the store is
// recovering, the registration of a running target may have expired; the target then stays usable until
// reregistrationTimeout after the recovery. It cannot have expired before MinExpiry after the store answered last.
func (catalogue *Catalogue) Remove(now time.Time, id string) (Change, bool) {
	unusableAt := now
	if catalogue.StoreRecovering(now) && now.Sub(catalogue.storeLostAt) >= MinExpiry {
		unusableAt = catalogue.storeRecoveredAt.Add(reregistrationTimeout)
	}
	return catalogue.remove(now, id, unusableAt)
}

// remove applies the end of a registration of a target that stays usable until the given time.
func (catalogue *Catalogue) remove(now time.Time, id string, unusableAt time.Time) (Change, bool) {
	existing, ok := catalogue.entries[id]
	if !ok || !existing.removedAt.IsZero() {
		return Change{}, false
	}
	existing.removedAt, existing.unusableAt = now, unusableAt
	kind := "removed"
	if existing.isPending() {
		kind = "registration expired while the store was recovering"
	}
	catalogue.changed(existing)
	return Change{Target: id, Kind: kind, Ended: !existing.Leaving && !existing.isPending()}, true
}

// removePending applies a removal that another instance holds back, unless this instance knows a newer registration. A removal that
// is pending here ends at the earlier of the two times.
func (catalogue *Catalogue) removePending(now time.Time, pending PendingRemoval) (Change, bool) {
	existing, ok := catalogue.entries[pending.ID]
	if !ok || existing.Born != pending.Born || existing.Seq > pending.Seq {
		return Change{}, false
	}
	unusableAt := now.Add(min(pending.Left, reregistrationTimeout))
	if existing.isPending() && unusableAt.Before(existing.unusableAt) {
		existing.unusableAt = unusableAt
		catalogue.changed(existing)
	}
	return catalogue.remove(now, pending.ID, unusableAt)
}

// hasRemoved reports whether this instance knows that the registration of the target's process, or of a later one, has ended.
func (catalogue *Catalogue) hasRemoved(target Target) bool {
	existing, ok := catalogue.entries[target.ID]
	return ok && !existing.removedAt.IsZero() && existing.Born >= target.Born
}

// finishRemoval applies the end of a registration that another instance does not hold back any more.
func (catalogue *Catalogue) finishRemoval(now time.Time, id string) (Change, bool) {
	if existing, ok := catalogue.entries[id]; ok && existing.isPending() {
		return catalogue.endPending(existing), true
	}
	return catalogue.remove(now, id, now)
}

// endPending ends the use of a target whose removal was held back.
func (catalogue *Catalogue) endPending(entry *entry) Change {
	entry.unusableAt = entry.removedAt
	catalogue.changed(entry)
	return Change{Target: entry.ID, Kind: "removed after its registration expired", Ended: !entry.Leaving}
}

// isPending reports whether the registration has ended and the target stays usable for some time.
func (entry *entry) isPending() bool { return entry.unusableAt.After(entry.removedAt) }

// presumedAlive reports whether the target is registered, or may be alive although its registration expired.
func (entry *entry) presumedAlive() bool { return entry.removedAt.IsZero() || entry.isPending() }

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
