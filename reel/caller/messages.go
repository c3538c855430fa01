package caller

import (
	"net/netip"
	"time"

	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

// Paths of the HTTP interface for callers.
const (
	AddressesPath = "/v1/addresses"
	SearchPath    = "/v1/search"
	FetchPath     = "/v1/fetch"
	RecordPath    = "/v1/record"
	LivePath      = "/health/live"
)

// Request is the body of a search, fetch or record request. A record request needs a ticket, and each request needs a
// query or a key. The earlier of Deadline, if set, and the deadline of the kind applies.
type Request struct {
	RequestID string    `json:"request_id,omitempty" validate:"max=128"`
	Caller    string    `json:"caller" validate:"required,max=128"`
	Event     string    `json:"event" validate:"required"`
	Kind      string    `json:"kind" validate:"required"`
	Query     string    `json:"query" validate:"required_without=Key,max=65536"`
	Key       string    `json:"key,omitempty" validate:"max=1024"`
	Ticket    string    `json:"ticket,omitempty" validate:"max=256"`
	Deadline  time.Time `json:"deadline,omitzero"`
}

// Answer is the response to a request. Result is the name of the code; Ran reports whether a target ran the request.
// Field and Detail explain a refusal. RetryAfter is the delay after which the caller may send the request again.
type Answer struct {
	RequestID  string            `json:"request_id"`
	Code       result.Code       `json:"code"`
	Result     string            `json:"result"`
	Ran        result.Ran        `json:"ran"`
	Field      string            `json:"field,omitempty"`
	Detail     string            `json:"detail,omitempty"`
	Coverage   *coverage.Report  `json:"coverage,omitempty"`
	Snapshot   uint64            `json:"snapshot,omitempty"`
	Revision   uint64            `json:"revision,omitempty"`
	Preset     string            `json:"preset,omitempty"`
	Hits       []target.Hit      `json:"hits,omitempty"`
	RetryAfter document.Duration `json:"retry_after,omitzero"`
	Instance   string            `json:"instance"`
	Ticket     string            `json:"ticket,omitempty"`
	Addresses  *Addresses        `json:"addresses,omitempty"`
}

// Address is the address of an instance that serves callers.
type Address struct {
	Instance   string         `json:"instance"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data_centre"`
}

// Addresses lists the instances that a caller may use, best first. The list is valid for the duration Keep. Ticket, if
// set, is a new ticket for one record request.
type Addresses struct {
	Keep      document.Duration `json:"keep"`
	Addresses []Address         `json:"addresses"`
	Ticket    string            `json:"ticket,omitempty"`
}
