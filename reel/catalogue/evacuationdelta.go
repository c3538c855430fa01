package catalogue

import (
	"time"

	"shallotreel.example/reel/storepos"
)

// EvacuationDelta is all that one instance knows of evacuations, in force or ended.
type EvacuationDelta struct {
	Read   storepos.Position // newest complete listing of the store, which lacked all evacuations that are not in States and not newer
	States []EvacuationState
}

// EvacuationState is the newest known write or deletion of the evacuation of one data centre. Times are durations, since the clocks
// of instances differ.
type EvacuationState struct {
	DataCentre string
	Active     bool
	Position   storepos.Position // of the write or deletion in the store
	Age        time.Duration     // time since it began or ended
	Retained   time.Duration     // how much longer it is retained, 0 unless the store was restored and lacks it
}

// EvacuationsSince returns what is known of evacuations, or nil if that has not changed after the serial.
func (catalogue *Catalogue) EvacuationsSince(now time.Time, serial uint64) *EvacuationDelta {
	if serial > 0 && catalogue.evacuations.serial <= serial {
		return nil
	}
	delta := &EvacuationDelta{Read: catalogue.evacuations.read}
	for _, dataCentre := range catalogue.evacuatedDataCentres() {
		state := catalogue.evacuations.states[dataCentre]
		wire := EvacuationState{DataCentre: dataCentre, Active: state.active, Position: state.position, Age: now.Sub(state.since)}
		if !state.retainedUntil.IsZero() {
			wire.Retained = max(state.retainedUntil.Sub(now), 1)
		}
		delta.States = append(delta.States, wire)
	}
	return delta
}

// ApplyEvacuations applies what a peer knows of evacuations. Where this instance knows newer things, they stay. A peer that has not
// read the store since it was restored starts no evacuation, since that may have ended meanwhile.
func (catalogue *Catalogue) ApplyEvacuations(now time.Time, delta *EvacuationDelta) {
	if delta == nil {
		return
	}
	listed := map[string]bool{}
	for _, peer := range delta.States {
		listed[peer.DataCentre] = peer.Active && peer.Position.Era >= delta.Read.Era // the peer retains others, which the store lacks
		catalogue.applyEvacuation(now, peer, delta.Read.Era)
	}
	catalogue.endMissing(now, delta.Read, func(dataCentre string) bool { return listed[dataCentre] })
}

// applyEvacuation applies the state that a peer knows of one data centre; the peer has read the store in the era.
func (catalogue *Catalogue) applyEvacuation(now time.Time, peer EvacuationState, era uint64) {
	since := now.Add(-max(peer.Age, 0))
	if !peer.Active {
		catalogue.applyEnd(now, peer, since)
		return
	}
	read := catalogue.evacuations.read
	if era >= read.Era {
		catalogue.applyWrite(now, peer.DataCentre, since, peer.Position)
	}
	state, ok := catalogue.evacuations.states[peer.DataCentre]
	if ok && state.active && state.position == peer.Position && state.position.Era < max(era, read.Era) {
		catalogue.retainEvacuation(now, peer.DataCentre, state, retentionOf(peer))
	}
}

// applyEnd applies a deletion that a peer knows. If this instance has missed the whole evacuation, it ended when the peer says.
func (catalogue *Catalogue) applyEnd(now time.Time, peer EvacuationState, at time.Time) {
	state, ok := catalogue.evacuations.states[peer.DataCentre]
	switch {
	case !ok:
		catalogue.endEvacuation(peer.DataCentre, catalogue.evacuationState(peer.DataCentre), at, peer.Position, EvacuationEnded)
	case !state.endedBy(peer.Position):
	case state.active:
		catalogue.endEvacuation(peer.DataCentre, state, now, peer.Position, EvacuationEnded)
	default:
		if at.After(state.since) {
			state.since = at
		}
		catalogue.endEvacuation(peer.DataCentre, state, at, peer.Position, EvacuationEnded)
	}
}

// retentionOf returns how much longer the evacuation, which the store lost by a restore, is retained.
func retentionOf(peer EvacuationState) time.Duration {
	if peer.Retained > 0 {
		return peer.Retained
	}
	return retentionAfterRestore
}
