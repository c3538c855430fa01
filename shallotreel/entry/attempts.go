package entry

import (
	"net/netip"
	"sync"
	"time"

	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/route"
	"shallotreel.example/reel/target"
)

// lateAnswerTimeout is the time after its deadline for which an attempt still accepts an answer.
const lateAnswerTimeout = 5 * time.Second

// pendingAttempts stores the attempts without an answer. The zero value is empty and ready to use. It is safe for
// concurrent use.
type pendingAttempts struct {
	mutex sync.Mutex
	byID  map[target.Attempt]*pendingAttempt
}

// pendingAttempt is an attempt without an answer. The field answers is nil once the request has ended; a late answer
// then only updates the routing table.
type pendingAttempt struct {
	target    string
	peer      netip.AddrPort
	table     *route.Table
	shard     route.Shard
	sentAt    time.Time
	expiresAt time.Time
	answers   chan<- holder.Answer
}

func (pendingAttempts *pendingAttempts) add(attempt target.Attempt, pending *pendingAttempt) {
	pendingAttempts.mutex.Lock()
	defer pendingAttempts.mutex.Unlock()
	if pendingAttempts.byID == nil {
		pendingAttempts.byID = map[target.Attempt]*pendingAttempt{}
	}
	pendingAttempts.byID[attempt] = pending
}

// deliver removes the attempt and passes the answer to its request, or to the routing table if the request has ended.
// It returns false if it drops the answer, because no such attempt is pending or the request's channel is full.
func (pendingAttempts *pendingAttempts) deliver(now time.Time, answer holder.Answer) bool {
	pendingAttempts.mutex.Lock()
	defer pendingAttempts.mutex.Unlock()
	pending, ok := pendingAttempts.byID[answer.Attempt]
	if !ok || pending.target != answer.Target {
		return false
	}
	delete(pendingAttempts.byID, answer.Attempt)
	if pending.answers == nil {
		pending.table.AttemptEnded(now, pending.shard, answer, now.Sub(pending.sentAt))
		return true
	}
	select {
	case pending.answers <- answer:
		return true
	default:
		return false
	}
}

// detach marks the attempts of an ended request, so that late answers go to the routing table only.
func (pendingAttempts *pendingAttempts) detach(ids []target.Attempt) {
	pendingAttempts.mutex.Lock()
	defer pendingAttempts.mutex.Unlock()
	for _, id := range ids {
		if pending, ok := pendingAttempts.byID[id]; ok {
			pending.answers = nil
		}
	}
}

// failuresAt returns a failure of unknown outcome for each pending attempt that was sent to the peer.
func (pendingAttempts *pendingAttempts) failuresAt(peer netip.AddrPort) []holder.Answer {
	return pendingAttempts.failures(func(pending *pendingAttempt) bool { return pending.peer == peer })
}

// expiredFailures returns a failure of unknown outcome for each pending attempt that has expired at now.
func (pendingAttempts *pendingAttempts) expiredFailures(now time.Time) []holder.Answer {
	return pendingAttempts.failures(func(pending *pendingAttempt) bool { return now.After(pending.expiresAt) })
}

// failures returns a failure of unknown outcome for each pending attempt for which match returns true. The attempts
// stay pending until deliver gets these answers.
func (pendingAttempts *pendingAttempts) failures(match func(*pendingAttempt) bool) []holder.Answer {
	pendingAttempts.mutex.Lock()
	defer pendingAttempts.mutex.Unlock()
	var answers []holder.Answer
	for id, pending := range pendingAttempts.byID {
		if match(pending) {
			answers = append(answers, holder.Answer{Attempt: id, Target: pending.target,
				Code: result.HolderLost, Ran: result.RanUnknown})
		}
	}
	return answers
}
