package servers

import (
	"maps"
	"sync"
	"time"

	"shallotreel.example/reel/target"
)

// LeavingGrace is how long after its first sign a leaving target may still be sent work.
const LeavingGrace = 2 * time.Second

// Counts is the truth as the targets saw it.
type Counts struct {
	Runs               int64            `json:"runs"`
	RunsByTarget       map[string]int64 `json:"runs_by_target"`
	RunsByRequest      map[string]int   `json:"runs_by_request"`
	RecordRuns         map[string]int   `json:"record_runs"`
	SlotsOver          int64            `json:"slots_over"`
	SentToLeaving      int64            `json:"sent_to_leaving"`
	Crashed            map[string]int   `json:"crashed"`
	ConnectionsOverCap int64            `json:"connections_over_cap"`
	Connects           int64            `json:"connects"`
	ConnectionsMax     int              `json:"connections_max"`
}

// Tally collects the counts of all stand-in targets.
type Tally struct {
	mutex  sync.Mutex
	counts Counts
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{counts: Counts{RunsByTarget: map[string]int64{}, RunsByRequest: map[string]int{},
		RecordRuns: map[string]int{}, Crashed: map[string]int{}}}
}

// Counts returns a copy of the counts.
func (tally *Tally) Counts() Counts {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	counts := tally.counts
	counts.RunsByTarget = maps.Clone(counts.RunsByTarget)
	counts.RunsByRequest = maps.Clone(counts.RunsByRequest)
	counts.RecordRuns = maps.Clone(counts.RecordRuns)
	counts.Crashed = maps.Clone(counts.Crashed)
	return counts
}

func (tally *Tally) ran(name string, request target.Request) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.counts.Runs++
	tally.counts.RunsByTarget[name]++
	tally.counts.RunsByRequest[request.RequestID]++
	if request.Operation == "record" {
		tally.counts.RecordRuns[request.RequestID]++
	}
}

func (tally *Tally) slotsOver() {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.counts.SlotsOver++
}

func (tally *Tally) offeredToLeaving(_ string, since time.Duration) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	if since > LeavingGrace {
		tally.counts.SentToLeaving++
	}
}

func (tally *Tally) crashed(name string) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.counts.Crashed[name]++
}

func (tally *Tally) connected(_ string, open, most int) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.counts.Connects++
	tally.counts.ConnectionsMax = max(tally.counts.ConnectionsMax, open)
	if open > most {
		tally.counts.ConnectionsOverCap++
	}
}
