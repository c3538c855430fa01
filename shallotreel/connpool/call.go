package connpool

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/shallotreel/intake"
)

// Call is one request to a target.
type Call struct {
	Address      netip.AddrPort           // of the target
	Method       string                   // HTTP method of the request
	Request      net.Buffers              // serialized request, whose parts calls may share
	ID           string                   // of the request, the same for all of its attempts
	EchoedID     func(http.Header) string // returns the ID of the request that a response answers, "" if the header names none
	History      *History                 // of the request, shared by all of its attempts; nil if it has only one
	MaxBody      int64                    // bytes of the response body, 0 for the default
	Hold         *intake.Hold             // counts the body of the response from its arrival on, nil to count it until it is complete
	RequireFresh bool                     // whether to avoid connections idle for over a second, which may fail; set for requests that must not be repeated
	// Refresh returns the serialized request as of now, for a call that had to wait for its connection, or false if it is too late to
	// send it; nil if Request does not change.
	Refresh func(now time.Time) (net.Buffers, bool)
	Done    func(Result) // receives the result; called exactly once

	finished   atomic.Bool
	cancel     context.CancelFunc // cancels the dial
	connection *connection        // guarded by the pool's mutex
	sent       bool               // whether a connection was ever assigned; guarded by the pool's mutex
	canceled   bool               // whether Cancel was called; guarded by the pool's mutex
}

// Result is the outcome of a call.
type Result struct {
	Sent     bool           // whether any part of the request may have reached the target
	Listens  Listens        // whether the target's process accepts connections after a failed call
	Response *http.Response // nil if Err is not nil
	Body     []byte         // complete body of the response
	Err      error          // nil if the response is complete and names the request
	// Connection is the number of the connection that the request was sent on, unique within the pool; 0 if none is known.
	Connection uint64
}

// IsOwnShortage reports whether the call failed because this process has no memory or connection for it, which says nothing of the target.
func (result Result) IsOwnShortage() bool {
	return errors.Is(result.Err, ErrTooManyConnections) || errors.Is(result.Err, intake.ErrExhausted)
}

// Listens says whether a target accepts connections.
type Listens int

// Values of Listens.
const (
	Unknown  Listens = iota // not tried, or no answer in time
	Accepted                // the target accepted a connection and kept it open
	Refused                 // nothing listens at its address: its process has ended
)

// ErrConnectionLimit is the error of a call to a target that accepts no more connections.
var ErrConnectionLimit = errors.New("the target accepts no more connections")

// ErrTooManyConnections is the error of a call for which the pool may open no further connection, so that nothing was sent.
var ErrTooManyConnections = errors.New("this process may open no more connections to targets")

// ErrTooLate is the error of a call whose connection was opened too late, so that nothing was sent.
var ErrTooLate = errors.New("the connection was opened too late")

// ErrExcluded is the error of a call to an address that is excluded, so that nothing was sent.
var ErrExcluded = errors.New("the address is excluded")

// ErrCanceled is the error of a call that ended by Cancel.
var ErrCanceled = errors.New("call canceled")

// refresh renews the request after the call has waited for its connection. It reports false if it is too late.
func (call *Call) refresh() bool {
	if call.Refresh == nil {
		return true
	}
	request, ok := call.Refresh(time.Now())
	call.Request = request
	return ok
}

func (call *Call) finish(result Result) {
	if call.finished.CompareAndSwap(false, true) { // Cancel does not wait for Done, which may take some time
		call.Done(result)
	}
}
