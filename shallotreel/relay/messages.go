package relay

import (
	"net/http"
	"time"

	"shallotreel.example/reel/query"
	"shallotreel.example/reel/result"
)

// ServiceName is the name of the net/rpc service.
const ServiceName = "Relay"

// Request is a caller's request that another instance is asked to serve.
type Request struct {
	Call     uint64 // identifies the call on its connection
	Origin   string // name of the instance that the caller is connected to
	Method   string
	Host     string
	URI      string // path and query as the caller sent them
	Header   http.Header
	Body     []byte
	Left     time.Duration  // until the answer must be sent back
	GoalLeft time.Duration  // until the answer must be sent back to meet the latency goal
	Version  uint64         // newest configuration by which the origin's callers were served; an older one must not be used
	Once     bool           // whether the request must not be repeated
	Counted  bool           // whether the origin has counted the request for the budgets of extra attempts
	Spent    query.Spending // by the origin and by the helpers before
}

// Reply is the answer to a Request.
type Reply struct {
	Refusal    string // why the helper did nothing at all; empty if it served the request, with success or not
	PathLost   bool   // whether the helper lost its own path meanwhile, so that another may go on with the attempts left
	Code       result.Code
	Overloaded bool // whether the helper refused the request because of overload; Code is then one that earlier versions know
	Reason     string
	RetryAfter time.Duration
	Status     int // of the target's response, 0 without one to pass on
	Header     http.Header
	Body       []byte
	Signatures []string // of a merged answer
	Missing    int
	Version    uint64         // of the configuration that was used
	Spent      query.Spending // that of the Request, with the attempts of the helper; earlier versions leave out services that they do not know
	Repeatable bool           // whether the request may be repeated as the helper knows it; earlier versions do not say
}

// Reasons of a Refusal.
const (
	RefusedNotReady = "the helper is not ready"
	RefusedStopping = "the helper is stopping"
	RefusedNoPath   = "the helper may reach no target either"
	RefusedOutdated = "the helper has an older configuration"
	RefusedBusy     = "the helper serves too many requests of others"
)
