package holder

import (
	"time"

	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

// SubRequest is the part of a request that an entry sends to the holder of one target.
type SubRequest struct {
	Request     target.Request
	From        string // name of the instance whose entry sent it
	Target      string
	Weight      float64 // weight of the request kind in the fair queue
	Fingerprint quarantine.Fingerprint
	Trust       quarantine.Trust
	Alone       bool // the single trial of a suspect fingerprint, during which the target runs nothing else
	arrivedAt   time.Time
}

// Answer is the result of one sub-request that the holder returns to the entry.
type Answer struct {
	Attempt    target.Attempt
	Target     string
	Code       result.Code
	Ran        result.Ran
	Snapshot   uint64
	Range      coverage.Range
	Hits       []target.Hit
	RetryAfter time.Duration
	Waited     time.Duration // time in the holder's queue
	Status     Status
}

// Status is the state and load of a target as its holder sees them.
type Status struct {
	Target    string        `json:"target"`
	State     target.State  `json:"state"`
	Down      bool          `json:"down,omitempty"` // the target is in the backoff after a failure
	InFlight  int           `json:"in_flight"`
	Queued    int           `json:"queued"`
	Limit     int           `json:"limit"`      // sub-requests that may run at the same time
	Service   time.Duration `json:"service_ns"` // EWMA of the service time
	Snapshots []uint64      `json:"snapshots"`
	Known     bool          `json:"known"` // the target has replied or reported at least once
}

// Event is an input of a Machine.
type Event interface{ event() }

// Offered submits a sub-request for scheduling.
type Offered struct{ Sub SubRequest }

// Replied delivers the target's reply to an attempt.
type Replied struct{ Reply target.Reply }

// Failed states that an attempt ended without a reply.
type Failed struct {
	Attempt target.Attempt
	Code    result.Code
	Ran     result.Ran
}

// Canceled states that the entry no longer needs an attempt.
type Canceled struct{ Attempt target.Attempt }

// Reported delivers the target's own report, or states that the target did not send one.
type Reported struct {
	Report target.Report
	Failed bool
}

// Configured replaces the limits of the target.
type Configured struct {
	Slots        int
	SlotFraction float64       // share of the slots that may be used
	QueuePerSlot float64       // waiting sub-requests per slot
	RetryAfter   time.Duration // least RetryAfter of an overload answer
}

// MarkedLeaving states that the target list or a peer marks the target as leaving.
type MarkedLeaving struct{}

// Ticked advances the time without any other input; the host sends it periodically.
type Ticked struct{}

func (Offered) event()       {}
func (Replied) event()       {}
func (Failed) event()        {}
func (Canceled) event()      {}
func (Reported) event()      {}
func (Configured) event()    {}
func (MarkedLeaving) event() {}
func (Ticked) event()        {}

// Action is an output of a Machine that its host performs.
type Action interface{ action() }

// Send sends the sub-request to the target.
type Send struct{ Sub SubRequest }

// Finish returns the answer to the instance whose entry sent the sub-request.
type Finish struct {
	To     string
	Answer Answer
	Reason string
}

// Abort cancels a running attempt at the target.
type Abort struct{ Attempt target.Attempt }

// AnnounceLeaving informs the peers that the target is leaving.
type AnnounceLeaving struct{ Target string }

func (Send) action()            {}
func (Finish) action()          {}
func (Abort) action()           {}
func (AnnounceLeaving) action() {}
