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

// Plan holds the parameters of one request. Only Pin and SoftDeadline change while the request runs.
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
	SoftDeadline time.Time // time from which a partial result is returned; zero means never
}

// CrashHistory provides the target crashes attributed to fingerprints; quarantine.Tracker implements it.
type CrashHistory interface {
	// Verdict returns the verdict on the fingerprint at now.
	Verdict(now time.Time, fingerprint quarantine.Fingerprint) quarantine.Verdict
	// Version returns the version of the mark on the fingerprint, or 0 without a mark.
	Version(fingerprint quarantine.Fingerprint) uint64
	// CrashedTargets returns the names of the targets that crashed while the fingerprint ran on them.
	CrashedTargets(fingerprint quarantine.Fingerprint) []string
	// ChangedAt returns when the mark on the fingerprint last changed on this instance.
	ChangedAt(fingerprint quarantine.Fingerprint) time.Time
}

// Router selects targets and limits the number of hedges and retries; route.Table implements it.
type Router interface {
	// Choose returns the best target of the pin's shard with the given index, except the excluded ones.
	Choose(now time.Time, pin route.Pin, shard int, exclude []string) (route.Choice, bool)
	// ChooseByFingerprint returns a target in an order that depends on the fingerprint only.
	ChooseByFingerprint(now time.Time, pin route.Pin, shard int, fingerprint quarantine.Fingerprint, exclude []string) (route.Choice, bool)
	// HedgeDelay returns how long to wait for an answer from the shard before hedging.
	HedgeDelay(now time.Time, shard route.Shard, quantile float64) time.Duration
	// AttemptStarted counts an attempt in flight; a first attempt adds extraLoad tokens to the budget.
	AttemptStarted(target string, first bool, extraLoad float64)
	// AttemptEnded records the answer to an attempt and the time since the attempt was sent.
	AttemptEnded(now time.Time, shard route.Shard, answer holder.Answer, elapsed time.Duration)
	// SpendBudget takes one token for a hedge or a retry and reports whether one was available.
	SpendBudget() bool
	// AvoidHolder excludes an unreachable holder for a short time.
	AvoidHolder(now time.Time, name string)
	// Pin returns the current snapshot and partition map, and false if no snapshot is served.
	Pin(now time.Time) (route.Pin, bool)
}

// Action is an instruction of a Machine to its host.
type Action interface{ action() }

// Send instructs the host to send the sub-request to the holder of the target.
type Send struct {
	Sub    holder.SubRequest
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
