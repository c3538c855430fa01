package catalogue

import (
	"maps"
	"slices"
	"time"

	"shallotreel.example/reel/storepos"
)

// retentionAfterRestore is how long an evacuation that the store lost by a restore stays in force at most, unless the
// operator writes it again.
const retentionAfterRestore = time.Hour

// Evacuation is a data centre whose targets get no requests.
type Evacuation struct {
	DataCentre    string
	Since         time.Time         // when it began, by the clock of this instance
	Position      storepos.Position // of the write in the store
	RetainedUntil time.Time         // when it ends although nobody ended it, zero unless the store was restored and lacks it
}

// EvacuationChange is a change to the evacuation of one data centre.
type EvacuationChange struct {
	Evacuation
	Kind  EvacuationChangeKind
	Known bool // whether any target of the data centre is registered
}

// EvacuationChangeKind says how an evacuation changed.
type EvacuationChangeKind string

// Kinds of changes.
const (
	EvacuationBegan    EvacuationChangeKind = "began"
	EvacuationWritten  EvacuationChangeKind = "written again"
	EvacuationEnded    EvacuationChangeKind = "ended"
	EvacuationRetained EvacuationChangeKind = "retained, as the restored store lacks it"
	EvacuationExpired  EvacuationChangeKind = "ended, as it was not written again since the restore"
)

// evacuations is the newest known write or deletion of the evacuation of each data centre. Deletions are kept, so that an
// older listing or peer cannot start an evacuation that has ended; there are as many as there are data centres.
type evacuations struct {
	states  map[string]*evacuationState
	read    storepos.Position // of the newest complete listing
	serial  uint64            // of the catalogue at the latest change
	changes []EvacuationChange
}

// evacuationState is the newest known state of the evacuation of one data centre.
type evacuationState struct {
	active        bool
	position      storepos.Position // of the write or deletion
	since         time.Time         // when it began or, if it is not active, ended
	retainedUntil time.Time         // see Evacuation
	listed        bool              // whether the listing in progress contains it
}

// Evacuate applies a write of the evacuation of the data centre at the position of the store. A write that is older than
// what is known has no effect.
func (catalogue *Catalogue) Evacuate(now time.Time, dataCentre string, position storepos.Position) {
	catalogue.applyWrite(now, dataCentre, now, position)
	if state, ok := catalogue.evacuations.states[dataCentre]; ok {
		state.listed = true
	}
}

// applyWrite applies a write at the position, unless something newer is known. A write that the newest complete listing should have
// had, but lacks, was deleted before it.
func (catalogue *Catalogue) applyWrite(now time.Time, dataCentre string, since time.Time, position storepos.Position) {
	read := catalogue.evacuations.read
	state, ok := catalogue.evacuations.states[dataCentre]
	isMissing := position.Era == read.Era && position.Revision <= read.Revision
	switch {
	case ok && position.Compare(state.position) <= 0:
	case !isMissing:
		catalogue.beginEvacuation(dataCentre, catalogue.evacuationState(dataCentre), since, position)
	case ok && state.active:
		catalogue.endEvacuation(dataCentre, state, now, read, EvacuationEnded)
	}
}

// TakeBack applies a deletion, by which the targets of the data centre get requests again. A deletion that is older than
// what is known has no effect.
func (catalogue *Catalogue) TakeBack(now time.Time, dataCentre string, position storepos.Position) {
	state := catalogue.evacuationState(dataCentre)
	if state.endedBy(position) {
		catalogue.endEvacuation(dataCentre, state, now, position, EvacuationEnded)
	}
}

// endedBy reports whether a deletion at the position is news. At the same position, which a complete listing may have, the end counts.
func (state *evacuationState) endedBy(position storepos.Position) bool {
	order := position.Compare(state.position)
	return order > 0 || order == 0 && state.active
}

// TakeEvacuationChanges returns the changes since the last call.
func (catalogue *Catalogue) TakeEvacuationChanges() []EvacuationChange {
	changes := catalogue.evacuations.changes
	catalogue.evacuations.changes = nil
	return changes
}

// evacuationState returns the state of the data centre, which it creates if there is none.
func (catalogue *Catalogue) evacuationState(dataCentre string) *evacuationState {
	state, ok := catalogue.evacuations.states[dataCentre]
	if !ok {
		state = &evacuationState{}
		catalogue.evacuations.states[dataCentre] = state
	}
	return state
}

// beginEvacuation makes the evacuation active by the write at the position. One that is active already goes on.
func (catalogue *Catalogue) beginEvacuation(dataCentre string, state *evacuationState, since time.Time, position storepos.Position) {
	kind := EvacuationBegan
	if state.active {
		kind, since = EvacuationWritten, state.since
	}
	state.active, state.position, state.since, state.retainedUntil = true, position, since, time.Time{}
	catalogue.evacuationChanged(dataCentre, state, kind)
}

// endEvacuation records that the evacuation is not active at the position. Without an active one only the position and the time are
// recorded.
func (catalogue *Catalogue) endEvacuation(dataCentre string, state *evacuationState, at time.Time, position storepos.Position,
	kind EvacuationChangeKind) {
	wasActive := state.active
	if wasActive || state.since.IsZero() {
		state.since = at
	}
	state.active, state.position, state.retainedUntil = false, position, time.Time{}
	if wasActive {
		catalogue.evacuationChanged(dataCentre, state, kind)
		return
	}
	catalogue.evacuationsChanged()
}

// retainEvacuation keeps an evacuation of an earlier era, which the restored store lacks, in force for at most the given time.
func (catalogue *Catalogue) retainEvacuation(now time.Time, dataCentre string, state *evacuationState, limit time.Duration) {
	until := now.Add(min(limit, retentionAfterRestore))
	if !state.retainedUntil.IsZero() && !until.Before(state.retainedUntil) {
		return
	}
	isNew := state.retainedUntil.IsZero()
	state.retainedUntil = until
	if isNew {
		catalogue.evacuationChanged(dataCentre, state, EvacuationRetained)
		return
	}
	catalogue.evacuationsChanged()
}

// endMissing ends the evacuations that a complete listing of the given position lacks; those of an earlier era are retained.
func (catalogue *Catalogue) endMissing(now time.Time, position storepos.Position, isListed func(string) bool) {
	for _, dataCentre := range catalogue.evacuatedDataCentres() {
		state := catalogue.evacuations.states[dataCentre]
		switch {
		case !state.active || isListed(dataCentre):
		case state.position.Era < position.Era:
			catalogue.retainEvacuation(now, dataCentre, state, retentionAfterRestore)
		case state.position.Compare(position) <= 0:
			catalogue.endEvacuation(dataCentre, state, now, position, EvacuationEnded)
		}
	}
	if position.Compare(catalogue.evacuations.read) > 0 {
		catalogue.evacuations.read = position
		catalogue.evacuationsChanged() // peers compare what they know with this position
	}
}

// beginEvacuationListing starts a full listing.
func (catalogue *Catalogue) beginEvacuationListing() {
	for _, state := range catalogue.evacuations.states {
		state.listed = false
	}
}

// EndEvacuationListing ends a full listing that began with the state of the store at the position: evacuations that were not written in
// between and are not newer have ended. Those of an earlier era were lost by a restore and are retained.
func (catalogue *Catalogue) EndEvacuationListing(now time.Time, position storepos.Position) {
	catalogue.endMissing(now, position, func(dataCentre string) bool { return catalogue.evacuations.states[dataCentre].listed })
}

// tickEvacuations ends the evacuations that were retained for long enough.
func (catalogue *Catalogue) tickEvacuations(now time.Time) {
	for _, dataCentre := range catalogue.evacuatedDataCentres() {
		state := catalogue.evacuations.states[dataCentre]
		if state.active && !state.retainedUntil.IsZero() && !now.Before(state.retainedUntil) {
			catalogue.endEvacuation(dataCentre, state, now, catalogue.evacuations.read, EvacuationExpired)
		}
	}
}

// evacuatedDataCentres returns the data centres with a known state in order.
func (catalogue *Catalogue) evacuatedDataCentres() []string {
	return slices.Sorted(maps.Keys(catalogue.evacuations.states))
}

func (catalogue *Catalogue) evacuationChanged(dataCentre string, state *evacuationState, kind EvacuationChangeKind) {
	known := false
	for _, entry := range catalogue.entries {
		known = known || entry.DataCentre == dataCentre && entry.presumedAlive()
	}
	catalogue.evacuations.changes = append(catalogue.evacuations.changes,
		EvacuationChange{Evacuation: state.evacuation(dataCentre), Kind: kind, Known: known})
	catalogue.evacuationsChanged()
}

func (catalogue *Catalogue) evacuationsChanged() {
	catalogue.changed(nil)
	catalogue.evacuations.serial = catalogue.serial
}

func (state *evacuationState) evacuation(dataCentre string) Evacuation {
	return Evacuation{DataCentre: dataCentre, Since: state.since, Position: state.position, RetainedUntil: state.retainedUntil}
}
