package admit

import "time"

// Signal is the load at the targets that an ended request observed.
type Signal int

// Signals of ended requests, from the lightest load to the heaviest, and that of a request that observed nothing of it.
const (
	Uncongested Signal = iota // none of the other signals applies
	Congested                 // a good share of the sub-requests waited at their targets
	Overloaded                // a sub-request was refused because of overload, or the request failed for lack of capacity
	Neutral                   // the request failed for a reason other than load
)

var signalNames = []string{"uncongested", "congested", "overloaded", "neutral"}

// String returns the name of the signal in lower case.
func (signal Signal) String() string { return signalNames[signal] }

const (
	// congestedShare is the share of the answers that must report queues for the request to count as congested.
	congestedShare = 0.25
	// loadedShare is the share of the attempts that must show load for a failed request to count as overloaded. One
	// target that pauses or is slow shows queues too, but is one of many.
	loadedShare = 0.2
)

// Evidence is what an ended request observed.
type Evidence struct {
	Failed   bool          // whether too few parts were answered, or none
	Took     time.Duration // from the arrival of the request to its end
	Goal     time.Duration // latency goal
	Attempts int           // attempts that ended, and waits for a target with free capacity
	Refused  int           // attempts that targets refused without running them
	NoRoom   int           // waits for a target with free capacity
	Queued   int           // answers of targets that reported a queue
}

// Signal returns the load that the evidence shows. A failure without signs of load is neutral: its targets are down, silent or
// cut off, and fewer requests do not help.
func (evidence Evidence) Signal() Signal {
	loaded := evidence.Refused + evidence.NoRoom + evidence.Queued
	unserved := evidence.Failed || evidence.Took > evidence.Goal
	share := float64(loaded) / float64(max(evidence.Attempts, 1))
	switch {
	case unserved && share >= loadedShare:
		return Overloaded
	case unserved:
		return Neutral
	case share >= congestedShare:
		return Congested
	}
	return Uncongested
}
