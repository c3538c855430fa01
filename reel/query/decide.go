package query

import (
	"time"

	"shallotreel.example/reel/extra"
)

// decision says when an extra attempt is sent.
type decision int

const (
	sendNow decision = iota
	sendLater
	sendNever
)

// need describes an extra attempt that is due, and its request.
type need struct {
	purpose    extra.Purpose
	left       time.Duration // until the soft deadline
	answerTime time.Duration // within which most attempts are answered
	missing    int           // parts that the answer would lack without the attempt
	mayLack    int           // parts that the answer may lack
	rank       int           // of the route, 0 is the highest
	overloaded bool          // whether admission control refuses requests of the group
}

// decide returns when the extra attempt is sent. Without overload it is sent as soon as it is due. Under overload each attempt takes the
// place of another request, so only those are sent that save their own: a hedge waits for the end of the overload, which may
// be why there is no answer yet, and a retry is sent for a part that the answer must not lack. After the latency goal, only
// the highest rank retries.
func decide(need need) decision {
	switch {
	case !need.overloaded:
		return sendNow
	case need.missing <= need.mayLack:
		return sendNever
	case need.purpose == extra.Hedge && need.left <= need.answerTime:
		return sendNever
	case need.purpose == extra.Hedge:
		return sendLater
	case need.left <= 0 && need.rank > 0:
		return sendNever
	default:
		return sendNow
	}
}
