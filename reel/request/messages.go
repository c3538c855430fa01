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

// Plan holds the parameters of one request. Only Pin and Patience change while the request runs.
type Plan struct {
	RequestID    string
	From         string // name of the instance that executes the request
	Kind         document.Kind
	Preset       document.Preset
	Query        string
	Key          uint64 // key to look up, for operations on a single shard
	Fingerprint  quarantine.Fingerprint
	CrashHistory CrashHistory
	Pin          route.Pin
	Deadline     time.Time
	Patience     time.Time // time from which a partial result is returned; zero means never
}

// CrashHistory provides the target crashes attributed to fingerprints; quarantine.Tracker implements it.
type CrashHistory interface {
	Judge(now time.Time, fingerprint quarantine.Fingerprint) quarantine.Verdict
	Version(fingerprint quarantine.Fingerprint) uint64
	CrashedTargets(fingerprint quarantine.Fingerprint) []string
	ChangedAt(fingerprint quarantine.Fingerprint) time.Time
}

// Router selects targets and limits the number of hedges and retries; route.Table implements it.
type Router interface {
	Choose(now time.Time, pin route.Pin, shard int, exclude []string) (route.Choice, bool)
	ChooseByFingerprint(now time.Time, pin route.Pin, shard int, fingerprint quarantine.Fingerprint, exclude []string) (route.Choice, bool)
	HedgeDelay(now time.Time, shard route.Shard, quantile float64) time.Duration
	AttemptStarted(target string, first bool, extraLoad float64)
	AttemptEnded(now time.Time, shard route.Shard, answer holder.Answer, took time.Duration)
	SpendBudget() bool
	AvoidHolder(now time.Time, name string)
	Pin(now time.Time) (route.Pin, bool)
}

// Action is an instruction of a Machine to its host.
type Action interface{ action() }

// Send instructs the host to send the sub-request to the holder of the target.
type Send struct {
	Sub    holder.Sub
	Choice route.Choice
	Kind   AttemptKind
}

// Cancel instructs the host to cancel an attempt.
type Cancel struct {
	Attempt target.Attempt
	Choice  route.Choice
}

// Finish reports the outcome of the request; it is the last action of a Machine.
type Finish struct{ Outcome Outcome }

func (Send) action()   {}
func (Cancel) action() {}
func (Finish) action() {}

// AttemptKind is the purpose of an attempt.
type AttemptKind string

// The kinds of attempts.
const (
	First  AttemptKind = "first"  // first attempt at a shard
	Hedge  AttemptKind = "hedge"  // second attempt while the first one is in flight
	Retry  AttemptKind = "retry"  // attempt after a failed one
	Canary AttemptKind = "canary" // first attempt of an untried fingerprint, on one shard only
	Trial  AttemptKind = "trial"  // attempt of a suspect fingerprint, alone on its target
)

// Outcome is the merged result of a request.
type Outcome struct {
	Code       result.Code
	Ran        result.Ran
	Snapshot   uint64
	Coverage   coverage.Report
	Hits       []target.Hit
	RetryAfter time.Duration
	Overloaded bool // a target or holder rejected an attempt because of overload
	Congested  bool // a sub-request waited in its holder's queue for longer than the service time
	Attempts   int
	Detail     string
}
