package query

import (
	"net/http"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/choice"
	"shallotreel.example/reel/extra"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
)

// Plan describes a request when it starts.
type Plan struct {
	Route        *catalogue.Route
	Services     []string // one service, or all shards of the route
	Fingerprint  quarantine.Fingerprint
	Start        time.Time
	SoftDeadline time.Time // last moment to send an answer that meets the route's latency goal at the caller
	Deadline     time.Time // moment at which the caller or the route stops waiting
	// Spent is what earlier instances have spent. It counts against the limit of attempts; they have paid for the next one.
	Spent   Spending
	Counted bool // whether an earlier instance has counted the request for the budgets of its services
	Once    bool // whether the request must not be repeated by the configuration of an earlier instance, whatever the Route says
}

// Router selects targets and limits extra attempts for all requests of an instance.
type Router interface {
	// Choose picks a target of the service that has free capacity and is not among the tried targets; it reports false
	// if there is none.
	Choose(now time.Time, route *catalogue.Route, service string, tried []string) (choice.Pick, bool)
	// HasTargets reports whether any target is registered for the service, with or without free capacity.
	HasTargets(service string) bool
	// QuietFor returns for how long all targets of the service take no request, as they asked, or 0 if any takes one.
	QuietFor(now time.Time, service string) time.Duration
	// Saturated reports whether most recent requests to the service found no target with free capacity in time, and
	// for how long this has been so.
	Saturated(now time.Time, service string) (time.Duration, bool)
	// RecordWait records that a request got a target of the service, or that it timed out waiting for one.
	RecordWait(now time.Time, service string, timedOut bool)
	// CountRequest counts a request to the service; each request raises the budget for extra attempts.
	CountRequest(now time.Time, service string)
	// SpendExtra reports whether the budget of the service allows an extra attempt, and counts it if so.
	SpendExtra(now time.Time, service string, purpose extra.Purpose) bool
	// Verdict returns the verdict on the requests with the fingerprint, and for how long it lasts. The losses of an attempt
	// are recorded before its end is passed to HandleAnswer.
	Verdict(now time.Time, fingerprint quarantine.Fingerprint) (quarantine.Verdict, time.Duration)
	// BeginTrial reports whether a request with the fingerprint that is suspect, or whose trial is due, may be tried now. No other one may until EndTrial.
	BeginTrial(now time.Time, fingerprint quarantine.Fingerprint) bool
	// EndTrial ends the trial; the next one may begin at the time given.
	EndTrial(fingerprint quarantine.Fingerprint, next time.Time)
	// LatencyQuantile returns the given quantile, from 0 to 1, of the latency of the route's answers.
	LatencyQuantile(route *catalogue.Route, quantile float64) time.Duration
	// RecentLatency is like LatencyQuantile, but returns 0 if the latency is unknown or no answer has arrived recently.
	RecentLatency(now time.Time, route *catalogue.Route, quantile float64) time.Duration
	// Overloaded reports whether admission control refuses requests of the route's group, so that its targets are overloaded.
	Overloaded(now time.Time, route *catalogue.Route) bool
}

// Execution says whether the target executed an attempt.
type Execution int

// Execution states of an attempt.
const (
	NotRun     Execution = iota // certain: nothing was sent, or the target reported that it did not run the request
	MayHaveRun                  // unknown: the request was sent, and no conclusive answer arrived
	Ran                         // certain: the target answered
)

// Answer describes the end of an attempt, with or without a response from the target.
type Answer struct {
	AttemptID uint64
	Execution Execution
	Sent      bool // whether any byte was sent, so that the attempt may have arrived at the service
	Refused   bool // whether the target refused a connection, so that its process has ended
	Status    int  // HTTP status of the target, 0 without a complete response
	Header    http.Header
	Body      []byte
	Signature string // signature of the target, empty if the response carries none
	Cause     string // why there is no usable response
	// Connection is the host's number of the connection that the attempt was sent on, for the log; 0 if none is known.
	Connection uint64
}

// Complete reports whether a complete response of the target arrived.
func (answer *Answer) Complete() bool {
	return answer.Status != 0
}

// Success reports whether the target answered with a signed result.
func (answer *Answer) Success() bool {
	return answer.Status >= 200 && answer.Status < 300 && answer.Signature != ""
}

// IsUnsigned reports whether the target answered with a result that does not count, since it has no signature.
func (answer *Answer) IsUnsigned() bool {
	return answer.Status >= 200 && answer.Status < 300 && answer.Signature == ""
}

// PermanentFailure reports whether the target answered with an error that any other target would also return, so
// that a retry is useless.
func (answer *Answer) PermanentFailure() bool {
	return answer.Execution == Ran && answer.Status >= 300 && answer.Status < 500
}

// Action is an instruction from the machine to its host, either Send or Finish.
type Action interface{ action() }

// Send instructs the host to send an attempt to the picked target.
type Send struct {
	AttemptID  uint64
	Service    string
	Pick       choice.Pick
	Kind       string // "first", "retry", "hedge", or "room" after a wait for free capacity
	Generation int    // number of earlier attempts of the part that may have run, or may still run
	Deadline   time.Time
}

// Finish ends the request and describes the answer to the caller.
type Finish struct {
	Code       result.Code
	Answer     *Answer  // response to pass on, for a request to a single service
	Signatures []string // signatures of the shards that answered, for a scatter-gather request
	Missing    int      // number of shards that did not answer
	Body       []byte   // merged records, for a scatter-gather request
	RetryAfter time.Duration
	Reason     string
}

func (Send) action()   {}
func (Finish) action() {}
