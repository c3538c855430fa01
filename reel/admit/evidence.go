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
	Missing  int           // services that gave no answer, of a request that failed
	Loaded   int           // those of them that refused attempts or had no free capacity
}

// Signal returns the load that the evidence shows. A failure without signs of load is neutral: its targets are down, silent or
// cut off, and fewer requests do not help.
func (evidence Evidence) Signal() Signal {
	share := float64(evidence.Refused+evidence.NoRoom+evidence.Queued) / float64(max(evidence.Attempts, 1))
	isLate := evidence.Goal > 0 && evidence.Took > evidence.Goal
	switch {
	case evidence.Failed && evidence.Loaded > 0 && 2*evidence.Loaded >= evidence.Missing:
		return Overloaded // for lack of few services, which its other attempts do not show
	case (evidence.Failed || isLate) && share >= loadedShare:
		return Overloaded
	case evidence.Failed || isLate:
		return Neutral
	case share >= congestedShare:
		return Congested
	}
	return Uncongested
}
