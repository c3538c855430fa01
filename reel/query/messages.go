package query

import (
	"net/http"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/choice"
	"shallotreel.example/reel/extra"
	"shallotreel.example/reel/result"
)

// Plan is what is known of a request when it starts.
type Plan struct {
	Route    *catalogue.Route
	Services []string // one, or all shards of the route
	Begun    time.Time
	Goal     time.Time // last moment at which an answer is worth most to the caller
	Deadline time.Time // last moment to answer
}

// Router decides about targets and extra arrivals for all requests of an instance.
type Router interface {
	Choose(now time.Time, route *catalogue.Route, service string, tried []string) (choice.Pick, bool)
	// Serves reports whether any target is registered for the service, with or without room.
	Serves(service string) bool
	// Scarce reports whether most requests of late waited in vain for a target of the service, and for how long.
	Scarce(now time.Time, service string) (time.Duration, bool)
	// Waited notes that a request got a target of the service, or waited for one in vain.
	Waited(now time.Time, service string, inVain bool)
	First(now time.Time, service string)
	Spend(now time.Time, service string, purpose extra.Purpose) bool
	Usual(route *catalogue.Route, share float64) time.Duration
}

// Fate says whether the target ran an attempt.
type Fate int

// Fates of an attempt.
const (
	NotRun Fate = iota // proved: it was not sent, or the target said so
	MayHaveRun
	Ran
)

// Answer is how an attempt ended.
type Answer struct {
	Serial uint64
	Fate   Fate
	Sent   bool // whether any of it was sent, so that the service may have seen an arrival
	Status int  // of the target, 0 if there was no whole answer
	Header http.Header
	Body   []byte
	Stamp  string // the target's signature
	Cause  string // why there is no whole answer
}

// Whole reports whether the target answered.
func (answer *Answer) Whole() bool {
	return answer.Status != 0
}

// Success reports whether the target answered with a signed result.
func (answer *Answer) Success() bool {
	return answer.Status >= 200 && answer.Status < 300 && answer.Stamp != ""
}

// Final reports whether the target answered with a failure that another target would repeat.
func (answer *Answer) Final() bool {
	return answer.Fate == Ran && answer.Status >= 300 && answer.Status < 500
}

// Action is what the machine asks its host to do: Send or Finish.
type Action interface{ action() }

// Send asks to send an attempt.
type Send struct {
	Serial  uint64
	Service string
	Pick    choice.Pick
	Why     string
	Until   time.Time
}

// Finish ends the request.
type Finish struct {
	Code       result.Code
	Answer     *Answer  // of the one service, for a served or relayed request
	Parts      []string // signatures of the shards that are in, for a gathered one
	Missing    int
	Body       []byte // merged
	RetryAfter time.Duration
	Reason     string
}

func (Send) action()   {}
func (Finish) action() {}
