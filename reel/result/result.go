package result

import (
	"fmt"
	"time"
)

// Code is the result code of a request; docs/RESULT-CODES.md lists all codes.
type Code int

// Result codes of callers' requests and of sub-requests to targets. Codes below 100 carry an answer; the request did
// not run with codes from 100 to 399, and may have run with codes from 400 to 499.
const (
	OK                Code = 0
	Partial           Code = 1
	Relayed           Code = 2
	BadRequest        Code = 100
	UnknownKind       Code = 101
	UnknownEvent      Code = 102
	NotServed         Code = 103
	TicketNeeded      Code = 104
	TicketInvalid     Code = 105
	TicketMismatch    Code = 106
	UnknownRoute      Code = 107
	TooLarge          Code = 108
	NotReady          Code = 200
	Isolated          Code = 201
	Overloaded        Code = 202
	TooLate           Code = 203
	EventStarted      Code = 204
	Quarantined       Code = 205
	Stopping          Code = 206
	NoTarget          Code = 207
	Paused            Code = 208
	Draining          Code = 300
	Shed              Code = 301
	SnapshotGone      Code = 302
	RangeNotHeld      Code = 303
	ConnectRefused    Code = 304
	Suspect           Code = 305
	NotHolder         Code = 306
	Canceled          Code = 307
	DeadlineExceeded  Code = 400
	Broken            Code = 401
	OwnerGone         Code = 402
	OutcomeForgotten  Code = 403
	Mismatch          Code = 404
	HolderLost        Code = 405
	Uncovered         Code = 406
	PlatformDown      Code = 500
	PlatformDiscarded Code = 501
)

var names = map[Code]string{
	OK: "ok", Partial: "partial", Relayed: "relayed", UnknownRoute: "unknown_route",
	TooLarge: "too_large", Uncovered: "uncovered", BadRequest: "bad_request", UnknownKind: "unknown_kind",
	UnknownEvent: "unknown_event", NotServed: "not_served", TicketNeeded: "ticket_needed",
	TicketInvalid: "ticket_invalid", TicketMismatch: "ticket_mismatch", NotReady: "not_ready",
	Isolated: "isolated", Overloaded: "overloaded", TooLate: "too_late",
	EventStarted: "event_started", Quarantined: "quarantined", Stopping: "stopping",
	NoTarget: "no_target", Paused: "paused", Draining: "draining", Shed: "shed",
	SnapshotGone: "snapshot_gone", RangeNotHeld: "range_not_held",
	ConnectRefused: "connect_refused", Suspect: "suspect", NotHolder: "not_holder",
	Canceled: "canceled", DeadlineExceeded: "deadline_exceeded", Broken: "broken",
	OwnerGone: "owner_gone", OutcomeForgotten: "outcome_forgotten", Mismatch: "mismatch",
	HolderLost:   "holder_lost",
	PlatformDown: "platform_down", PlatformDiscarded: "platform_discarded",
}

// String returns the name of the code in snake case, or code_N for an unknown code N.
func (code Code) String() string {
	if name, ok := names[code]; ok {
		return name
	}
	return fmt.Sprintf("code_%d", int(code))
}

// Ran says whether a request ran at a target, as far as this is known.
type Ran string

// Values of Ran.
const (
	RanYes     Ran = "yes"     // the request ran
	RanNo      Ran = "not_run" // the request certainly did not run
	RanUnknown Ran = "unknown" // the request may have run
)

// Ran reports whether a sub-request that ended with the code ran, as far as the code determines it.
func (code Code) Ran() Ran {
	switch {
	case code == OK || code == Partial:
		return RanYes
	case code >= DeadlineExceeded && code < PlatformDown:
		return RanUnknown
	default:
		return RanNo
	}
}

// Error is the refusal or failure of a request.
type Error struct {
	Code       Code
	Ran        Ran           // whether the request ran
	Field      string        // field of the request that is invalid, empty if none
	Detail     string        // explanation for human readers
	RetryAfter time.Duration // how long the caller should wait before a retry, 0 if unspecified
}

// Error returns the name of the code, the field and the detail on one line.
func (err *Error) Error() string {
	text := err.Code.String()
	if err.Field != "" {
		text += ": field " + err.Field
	}
	if err.Detail != "" {
		text += ": " + err.Detail
	}
	return text
}

// Refuse returns an error for a request that did not run; retryAfter is 0 if unspecified.
func Refuse(code Code, retryAfter time.Duration, detail string) *Error {
	return &Error{Code: code, Ran: RanNo, Detail: detail, RetryAfter: retryAfter}
}
