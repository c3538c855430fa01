package admit

import (
	"math"
	"math/rand/v2"
	"time"

	"shallotreel.example/reel/result"
)

const (
	heldTimeGain    = 0.05                   // weight of the newest sample in the EWMA of the time in flight
	refusingTime    = 500 * time.Millisecond // after a refusal, within which a machine counts as refusing
	adaptivePerSlot = 1.0                    // requests that may wait per request of the limit
	overflowSpread  = 2.0                    // standard deviations by which requests within the share of their class may exceed the limit
	reasonShare     = "the share of its kind is used up"
	reasonEarly     = "repeated before the time to retry"
	reasonUsualTime = "the usual latency exceeds the time left"
)

// overload is the state of a machine that limits requests only while there is evidence of overload. The methods of a nil
// overload do nothing.
type overload struct {
	adaptive *adaptive
	shares   shares
	retries  retries
}

// NewAdaptive returns a machine without a limit, which gets one when there is evidence of overload.
func NewAdaptive(random *rand.Rand) *Machine {
	limit := &adaptive{heldTime: initialServiceTime}
	return &Machine{control: limit, serviceTime: initialServiceTime, queuePerSlot: adaptivePerSlot,
		overload: &overload{adaptive: limit, retries: retries{due: map[string]time.Time{}, random: random}}}
}

// refuseAtOnce refuses a request that is not to wait: the caller retries too early, the share of its class is used up, or its time does not
// suffice.
func (machine *Machine) refuseAtOnce(now time.Time, request Request) (Decision, bool) {
	overload := machine.overload
	if overload == nil {
		return Decision{}, false
	}
	overload.adaptive.expire(now)
	overload.shares.update(now, overload.adaptive.rate)
	class := overload.shares.classOf(now, request.Kind, rankOf(request))
	retryKind, left := notRetried, time.Duration(0)
	if overload.adaptive.value > 0 && class.share < 1 {
		retryKind, left = overload.retries.compare(now, request.Key)
	}
	if retryKind == retriedEarly {
		return Decision{request.ID, result.Overloaded, left, reasonEarly}, true
	}
	class.arrivals++
	switch {
	case overload.adaptive.value == 0:
		return Decision{}, false
	case now.Add(machine.serviceTime).After(request.Deadline):
		return machine.refuse(now, request, reasonUsualTime), true
	case !class.take(retryKind == retriedInTime):
		return machine.refuse(now, request, reasonShare), true
	}
	return Decision{}, false
}

// mayExceed reports whether the request may start although the limit is reached: the whole demand of its class
// is within its share. While a class of a lower rank gets less than its demand, the limit does not apply, so that the request does
// not wait for those of the lower rank to end. Otherwise the limit may be exceeded by the random variation of arrivals only.
func (overload *overload) mayExceed(request Request, running, limit int) bool {
	if overload == nil {
		return false
	}
	rank := rankOf(request)
	class := overload.shares.find(request.Kind, rank)
	if class == nil || class.share < 1 {
		return false
	}
	return overload.shares.limitsLowerRank(rank) || float64(running) < float64(limit)+overflowSpread*math.Sqrt(float64(limit))
}

// Attempt records the end of a sub-request at the service, or a wait of a request for a target with free capacity: queue is the
// number of requests that wait at the target for each of its slots, and turnedAway whether the sub-request was refused or found
// no target. It returns the decisions that follow from it.
func (machine *Machine) Attempt(now time.Time, service string, queue float64, turnedAway bool) []Decision {
	machine.overload.adaptive.attempt(now, machine.running, service, queue, turnedAway)
	if machine.waiting() == 0 {
		return nil
	}
	return machine.Tick(now)
}

// End records the end of a started request that was in flight for the time held, and returns the decisions that follow from it.
func (machine *Machine) End(now time.Time, held time.Duration, signal Signal) []Decision {
	adaptive := machine.overload.adaptive
	if signal != Neutral { // a start that was withdrawn, or a failure that ended early, says nothing of the time in flight
		adaptive.heldTime += time.Duration(heldTimeGain * float64(held-adaptive.heldTime))
	}
	if signal == Overloaded || signal == Neutral {
		held = 0 // says nothing of the usual latency
	}
	return machine.Done(now, held, signal)
}

// State is the state of a machine with an adaptive limit.
type State struct {
	Limit    int // 0 for none
	Refusing bool
	Signal   Signal    // newest evidence
	SignalAt time.Time // zero if there is none yet
}

// State returns the state at now.
func (machine *Machine) State(now time.Time) State {
	adaptive := machine.overload.adaptive
	state := State{Signal: adaptive.signal, SignalAt: adaptive.signalAt}
	if adaptive.value > 0 {
		state.Limit = adaptive.limit()
		state.Refusing = now.Sub(adaptive.refusedAt) < refusingTime
	}
	return state
}

func (overload *overload) noteStart(request Request) {
	if overload != nil {
		overload.retries.forget(request.Key)
	}
}

func (overload *overload) refuse(now time.Time, request Request) time.Duration {
	overload.adaptive.noteRefusal(now)
	return overload.retries.refuse(now, request.Key, overload.shares.classOf(now, request.Kind, rankOf(request)).share)
}
