package servers

import (
	"maps"
	"sync"
	"time"

	"shallotreel.example/reel/target"
)

// LeavingGrace is the time after a target begins to leave for which instances may still send requests to it; only later
// requests count as sent to a leaving target.
const LeavingGrace = 2 * time.Second

// Counts holds the counters of all simulated targets.
type Counts struct {
	Runs               int64            `json:"runs"`
	RunsByTarget       map[string]int64 `json:"runs_by_target"`
	RunsByRequest      map[string]int   `json:"runs_by_request"`
	RecordRuns         map[string]int   `json:"record_runs"` // runs of record requests, by request ID
	SlotOverflows      int64            `json:"slots_over"`  // requests refused because all slots were in use
	SentToLeaving      int64            `json:"sent_to_leaving"`
	Crashed            map[string]int   `json:"crashed"`
	ConnectionsOverCap int64            `json:"connections_over_cap"` // connections opened above their target's limit
	Connects           int64            `json:"connects"`
	ConnectionsMax     int              `json:"connections_max"` // most connections open at one target
}

// Tally accumulates the counters of all simulated targets; it is safe for concurrent use.
type Tally struct {
	mutex  sync.Mutex
	counts Counts
}

// NewTally returns a tally with all counters at 0.
func NewTally() *Tally {
	return &Tally{counts: Counts{RunsByTarget: map[string]int64{}, RunsByRequest: map[string]int{},
		RecordRuns: map[string]int{}, Crashed: map[string]int{}}}
}

// Counts returns a copy of the counters.
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

func (tally *Tally) recordRun(name string, request target.Request) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.counts.Runs++
	tally.counts.RunsByTarget[name]++
	tally.counts.RunsByRequest[request.RequestID]++
	if request.Operation == "record" {
		tally.counts.RecordRuns[request.RequestID]++
	}
}

func (tally *Tally) recordSlotOverflow() {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.counts.SlotOverflows++
}

func (tally *Tally) recordRequestToLeaving(_ string, since time.Duration) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	if since > LeavingGrace {
		tally.counts.SentToLeaving++
	}
}

func (tally *Tally) recordCrash(name string) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.counts.Crashed[name]++
}

func (tally *Tally) recordConnection(_ string, open, limit int) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.counts.Connects++
	tally.counts.ConnectionsMax = max(tally.counts.ConnectionsMax, open)
	if open > limit {
		tally.counts.ConnectionsOverCap++
	}
}
