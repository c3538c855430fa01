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

// orphanTerm is how long an attempt is remembered after its deadline.
const orphanTerm = 5 * time.Second

// attempts has the attempts that wait for an answer; its zero value is ready.
type attempts struct {
	mutex sync.Mutex
	open  map[target.Attempt]*open
}

// open is one attempt without an answer; after its request ended, its answer only teaches the table.
type open struct {
	target string
	peer   netip.AddrPort
	table  *route.Table
	shard  route.Shard
	sent   time.Time
	until  time.Time
	answer chan<- holder.Answer
}

func (attempts *attempts) add(attempt target.Attempt, opened *open) {
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	if attempts.open == nil {
		attempts.open = map[target.Attempt]*open{}
	}
	attempts.open[attempt] = opened
}

// answer hands the answer to the request that waits for it; it reports whether the attempt was known.
func (attempts *attempts) answer(now time.Time, answer holder.Answer) bool {
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	opened, ok := attempts.open[answer.Attempt]
	if !ok || opened.target != answer.Target {
		return false
	}
	delete(attempts.open, answer.Attempt)
	if opened.answer == nil {
		opened.table.AttemptEnded(now, opened.shard, answer, now.Sub(opened.sent))
		return true
	}
	select {
	case opened.answer <- answer:
		return true
	default:
		return false
	}
}

// orphan makes the attempts of an ended request teach the table when their answers come.
func (attempts *attempts) orphan(ids []target.Attempt) {
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	for _, id := range ids {
		if opened, ok := attempts.open[id]; ok {
			opened.answer = nil
		}
	}
}

// lostTo returns an answer of unknown outcome for each attempt at the peer.
func (attempts *attempts) lostTo(peer netip.AddrPort) []holder.Answer {
	return attempts.unanswered(func(opened *open) bool { return opened.peer == peer })
}

func (attempts *attempts) expired(now time.Time) []holder.Answer {
	return attempts.unanswered(func(opened *open) bool { return now.After(opened.until) })
}

func (attempts *attempts) unanswered(match func(*open) bool) []holder.Answer {
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	var answers []holder.Answer
	for id, opened := range attempts.open {
		if match(opened) {
			answers = append(answers, holder.Answer{Attempt: id, Target: opened.target,
				Code: result.HolderLost, Ran: result.RanUnknown})
		}
	}
	return answers
}
