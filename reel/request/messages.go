package request

import (
	"time"

	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/route"
	"shallotreel.example/reel/target"
)

// Plan is what a request is pinned to for its whole life.
type Plan struct {
	RequestID   string
	From        string
	Kind        document.Kind
	Preset      document.Preset
	Query       string
	Key         uint64 // for one-shard operations, the key asked for
	Fingerprint quarantine.Fingerprint
	Marks       Marks
	Pin         route.Pin
	Deadline    time.Time
	Patience    time.Time // when a tail request takes what it has; zero for never
}

// Marks tells what is known against fingerprints.
type Marks interface {
	Judge(now time.Time, fingerprint quarantine.Fingerprint) quarantine.Verdict
	Version(fingerprint quarantine.Fingerprint) uint64
	Lost(fingerprint quarantine.Fingerprint) []string
	Changed(fingerprint quarantine.Fingerprint) time.Time
}

// Router chooses targets and keeps the budget of extra attempts.
type Router interface {
	Choose(now time.Time, pin route.Pin, shard int, not []string) (route.Choice, bool)
	ChooseFor(now time.Time, pin route.Pin, shard int, fingerprint quarantine.Fingerprint, not []string) (route.Choice, bool)
	HedgeDelay(now time.Time, shard route.Shard, quantile float64) time.Duration
	Started(target string, first bool, extraLoad float64)
	Ended(now time.Time, shard route.Shard, answer holder.Answer, took time.Duration)
	Spend() bool
	AvoidHolder(now time.Time, name string)
	Pin(now time.Time) (route.Pin, bool)
}

// Action is something that a machine asks its host to do.
type Action interface{ action() }

// Send asks the host to send the sub-request to the holder of the target.
type Send struct {
	Sub    holder.SubRequest
	Choice route.Choice
	Why    Why
}

// Cancel asks the host to cancel an attempt.
type Cancel struct {
	Attempt target.Attempt
	Choice  route.Choice
}

// Finish gives the request's final answer.
type Finish struct{ Outcome Outcome }

func (Send) action()   {}
func (Cancel) action() {}
func (Finish) action() {}

// Why tells first attempts from extra ones.
type Why string

// Reasons for an attempt.
const (
	First  Why = "first"
	Hedge  Why = "hedge"
	Retry  Why = "retry"
	Canary Why = "canary"
	Trial  Why = "trial"
)

// Outcome is the end of a request.
type Outcome struct {
	Code       result.Code
	Ran        result.Ran
	Snapshot   uint64
	Coverage   coverage.Report
	Hits       []target.Hit
	RetryAfter time.Duration
	Overloaded bool // a target or holder refused for load
	Congested  bool // a shard's answer waited at its holder for longer than it ran
	Attempts   int
	Detail     string
}
