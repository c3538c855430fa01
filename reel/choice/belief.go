package choice

import "time"

// Belief is a change of what the board believes of a target or a service, and what decided it.
type Belief struct {
	Subject  string // id of the target, or name of the service
	What     string
	Factor   float64       // the target's usual latency as a multiple of the route's
	Failures float64       // its share of failures
	Silence  time.Duration // of its oldest open attempt
	Share    float64       // of requests that wait in vain for the service
}

// What a belief says.
const (
	ServesWell     = "serves well"
	ServesBadly    = "serves slowly or fails often"
	Silent         = "silent for longer than usual answers take"
	AnswersAgain   = "answers again"
	AnotherProcess = "another process has its address"
	ScarceNow      = "most requests wait in vain"
	ScarceNoLonger = "most requests are served"
	beliefsMost    = 256 // that wait to be taken; a host that takes none loses the newest
)

// TakeBeliefs returns the changes since the last call.
func (board *Board) TakeBeliefs() []Belief {
	beliefs := board.beliefs
	board.beliefs = nil
	return beliefs
}

func (board *Board) believe(belief Belief) {
	if len(board.beliefs) < beliefsMost {
		board.beliefs = append(board.beliefs, belief)
	}
}

// weigh notes whether an attempt's end has changed how the target is judged.
func (board *Board) weigh(target string, record *record, verdict Verdict) {
	belief := Belief{Subject: target, Factor: record.factor, Failures: record.failures}
	if verdict == Misdirected {
		belief.What = AnotherProcess
		board.believe(belief)
	}
	if record.silent && verdict == Answered {
		record.silent = false
		belief.What = AnswersAgain
		board.believe(belief)
	}
	if bad := !record.serves(); bad != record.bad {
		record.bad = bad
		belief.What = ServesWell
		if bad {
			belief.What = ServesBadly
		}
		board.believe(belief)
	}
}

// hear notes that a target has become silent.
func (board *Board) hear(now time.Time, target string, record *record) {
	if record.silent {
		return
	}
	record.silent = true
	belief := Belief{Subject: target, What: Silent, Factor: record.factor, Failures: record.failures}
	for _, ticket := range record.open {
		belief.Silence = max(belief.Silence, now.Sub(ticket.Sent))
	}
	board.believe(belief)
}
