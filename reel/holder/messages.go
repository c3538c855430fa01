package holder

import (
	"time"

	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

// Sub is one sub-request on its way from an entry to a target.
type Sub struct {
	Request     target.Request
	From        string
	Target      string
	Weight      float64
	Fingerprint quarantine.Fingerprint
	Trust       quarantine.Trust
	Alone       bool // the one trial of a suspect fingerprint
	arrived     time.Time
}

// Answer is the end of one sub-request on its way back to the entry.
type Answer struct {
	Attempt    target.Attempt
	Target     string
	Code       result.Code
	Ran        result.Ran
	Snapshot   uint64
	Range      coverage.Range
	Hits       []target.Hit
	RetryAfter time.Duration
	Waited     time.Duration // in the holder's queue
	Status     Status
}

// Status is what the holder of a target knows of it.
type Status struct {
	Target    string        `json:"target"`
	State     target.State  `json:"state"`
	Down      bool          `json:"down,omitempty"`
	InFlight  int           `json:"in_flight"`
	Queued    int           `json:"queued"`
	Limit     int           `json:"limit"`
	Service   time.Duration `json:"service_ns"`
	Snapshots []uint64      `json:"snapshots"`
	Known     bool          `json:"known"`
}

// Event is something that happens to a machine.
type Event interface{ event() }

// Offered brings a sub-request to the target's holder.
type Offered struct{ Sub Sub }

// Replied brings a target's reply to an attempt.
type Replied struct{ Reply target.Reply }

// Failed brings the failure of an attempt without a reply.
type Failed struct {
	Attempt target.Attempt
	Code    result.Code
	Ran     result.Ran
}

// Canceled tells that the entry no longer needs an attempt.
type Canceled struct{ Attempt target.Attempt }

// Reported brings a target's own report, or the failure to get one.
type Reported struct {
	Report target.Report
	Failed bool
}

// Configured changes the limits of the target.
type Configured struct {
	Slots        int
	SlotFraction float64
	QueuePerSlot float64
	RetryAfter   time.Duration
}

// Marked tells that the target is leaving, from the list or from a peer.
type Marked struct{}

// Ticked lets time pass.
type Ticked struct{}

func (Offered) event()    {}
func (Replied) event()    {}
func (Failed) event()     {}
func (Canceled) event()   {}
func (Reported) event()   {}
func (Configured) event() {}
func (Marked) event()     {}
func (Ticked) event()     {}

// Action is something that a machine asks its host to do.
type Action interface{ action() }

// Send asks the host to send the sub-request to the target now.
type Send struct{ Sub Sub }

// Finish asks the host to return the answer to the entry that the sub-request came from.
type Finish struct {
	To     string
	Answer Answer
	Reason string
}

// Abort asks the host to cancel an attempt at the target.
type Abort struct{ Attempt target.Attempt }

// Leave asks the host to tell the peers that the target is leaving.
type Leave struct{ Target string }

func (Send) action()   {}
func (Finish) action() {}
func (Abort) action()  {}
func (Leave) action()  {}
