package catalogue

import "time"

// restoredReportTime is how long a restored store may have the registration of a process that had ended before: three heartbeat intervals of
// 1.2 s, and the time to learn of the removal.
const restoredReportTime = 5 * time.Second

// held is a report that seems older than what is known, but is of a later era of the store. The copy from which the store was restored may have
// a registration that has ended since; the store keeps it if the process runs.
type held struct {
	target Target
	since  time.Time // zero until the next tick
}

// hold keeps a report that is older than what is known, in case the restored store keeps it.
func (entry *entry) hold(target Target) {
	if !entry.Position.IsKnown() || target.Position.Era <= entry.Position.Era {
		return
	}
	if entry.held == nil {
		entry.held = &held{}
	}
	entry.held.target = target
}

// dropHeld drops the report that the entry holds, if there is one, since its registration has ended. Peers that hold it too are told.
func (catalogue *Catalogue) dropHeld(entry *entry) {
	if entry.held != nil {
		entry.held = nil
		catalogue.changed(entry)
	}
}

// tickHeld applies the report that the entry holds once the store has kept it for long enough.
func (catalogue *Catalogue) tickHeld(now time.Time, entry *entry) (Change, bool) {
	held := entry.held
	switch {
	case held == nil:
		return Change{}, false
	case held.since.IsZero():
		held.since = now
		return Change{}, false
	case now.Sub(held.since) < restoredReportTime:
		return Change{}, false
	}
	return catalogue.replace(entry, held.target)
}
