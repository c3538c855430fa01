package choice

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"shallotreel.example/reel/catalogue"
)

const (
	outlier       = 4.0 // latencies count as at most so many times the usual one
	slowPace      = 2.0 // a target above it gets only probes while a better one serves
	slowerWeight  = 0.15
	fasterWeight  = 0.4
	failureWeight = 0.12                   // of one outcome in a target's share of failures
	failuresMost  = 0.15                   // share of failures above which a target is treated as slow
	probePeriod   = time.Second            // between first attempts at a target that is known to be slow
	suspectShare  = 0.9                    // of usual answers that arrive within the time
	suspectFactor = 2.0                    // times that time, after which silence is suspect
	failedTerm    = 300 * time.Millisecond // in which a target that refused or broke off is passed over
	secondShare   = 1                      // connections kept back for attempts after the first one
	queueMost     = 0.4                    // of its slots, waiting at a target, above which fewer are sent there
	windowMost    = 32                     // attempts in flight, from where the window bounds nothing
	windowDrop    = 0.75                   // of the attempts in flight that stay when a queue is seen
	windowDropGap = 100 * time.Millisecond // between two drops, so that the first one can show
	loadTerm      = 300 * time.Millisecond // after which a target's report of its load counts nothing
	distantCost   = 3.0                    // usual answers of waiting that make another data centre worthwhile
	nearShare     = 0.7                    // of a target's connections for the instances of its own data centre
	farShare      = 0.3                    // for the others, which seldom need theirs all at a time
	misdirectTerm = 10 * time.Second       // in which a target whose address another process has is not asked
	forgetAfter   = time.Minute
)

// Load is what a target reported of itself with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Verdict is what one attempt showed of its target.
type Verdict int

// Verdicts of attempts.
const (
	Answered    Verdict = iota
	Refused             // it did not run the request
	Misdirected         // another process has its address
	Crowded             // it takes no more connections
	Failed              // it broke off, answered wrongly, or could not be reached
	Abandoned           // this instance stopped waiting
)

// Fleet is how many instances share the connections of targets.
type Fleet struct {
	Home      string         // this instance's data centre
	Instances map[string]int // instances by data centre
	Total     int
}

// Board keeps what is known of each target; it has no clock and no lock.
type Board struct {
	fleet   Fleet
	records map[string]*record
	paces   map[string]*pace
	random  *rand.Rand
	sweptAt time.Time
	// scarcities has the services for which a request has waited in vain.
	scarcities map[string]*scarcity
	beliefs    []Belief // changes that nobody has taken yet
}

type record struct {
	factor   float64 // usual latency as a multiple of the route's
	open     []Ticket
	probedAt time.Time
	failedAt time.Time
	misses   int     // failures since the last answer
	failures float64 // share of failures
	load     Load
	loadAt   time.Time
	window   float64 // attempts in flight, 0 while only the share of connections bounds them
	dropAt   time.Time
	usedAt   time.Time
	bad      bool             // whether it was last believed to serve badly
	silent   bool             // whether it was last believed to be silent
	wrongAt  time.Time        // when another process answered at its address
	wrong    catalogue.Target // as it was registered then
}

// Ticket is one open attempt.
type Ticket struct {
	Serial uint64
	Route  string
	Sent   time.Time
}

// New returns a board that knows nothing of any target.
func New(random *rand.Rand) *Board {
	return &Board{records: map[string]*record{}, paces: map[string]*pace{}, random: random,
		scarcities: map[string]*scarcity{}, fleet: Fleet{Total: 1}}
}

// SetFleet tells with how many instances the targets are shared.
func (board *Board) SetFleet(fleet Fleet) {
	board.fleet = fleet
}

// Fleet returns with how many instances the targets are shared.
func (board *Board) Fleet() Fleet {
	return board.fleet
}

// Pick is a chosen target and what decided it.
type Pick struct {
	Target catalogue.Target
	Reason string
}

// Choose picks a target of the candidates that was not tried and has room, for an attempt of the route.
// Targets that serve well go before slow ones, then the own data centre, then the least busy.
func (board *Board) Choose(now time.Time, route *catalogue.Route, candidates []catalogue.Target, service catalogue.Service, tried []string, room func(catalogue.Target) bool) (Pick, bool) {
	var best catalogue.Target
	bestScore := score{grade: unusable}
	for _, target := range candidates {
		if slices.Contains(tried, target.ID) || !room(target) {
			continue
		}
		share := board.Share(target, service, candidates)
		if len(tried) > 0 {
			share += secondShare
		}
		score := board.score(now, route, target, share)
		if score.grade == suspect {
			board.hear(now, target.ID, board.record(target.ID))
		}
		if score.less(bestScore) {
			best, bestScore = target, score
		}
	}
	if bestScore.grade >= full {
		return Pick{}, false
	}
	if bestScore.grade == probe {
		board.record(best.ID).probedAt = now
	}
	return Pick{best, bestScore.grade.String()}, true
}

// grade orders targets by how well they serve; a lower one is better.
type grade int

const (
	probe grade = iota // slow, but due for a look
	good
	slow
	suspect // silent for longer than usual answers take
	failing
	full // no connection left to it
	unusable
)

var gradeNames = []string{"probe", "good", "slow", "suspect", "failing", "full", "unusable"}

func (grade grade) String() string { return gradeNames[grade] }

type score struct {
	grade grade
	cost  float64
}

func (score score) less(other score) bool {
	return cmp.Or(cmp.Compare(score.grade, other.grade), cmp.Compare(score.cost, other.cost)) < 0
}

func (board *Board) score(now time.Time, route *catalogue.Route, target catalogue.Target, share int) score {
	record := board.record(target.ID)
	local := target.DataCentre == board.fleet.Home
	cost := record.factor * (1 + board.pressure(now, record, target))
	if !local {
		cost += distantCost
	}
	cost += board.random.Float64() * 0.2 // spreads equal targets
	return score{board.grade(now, route, target, record, share), cost}
}

func (board *Board) grade(now time.Time, route *catalogue.Route, target catalogue.Target, record *record, share int) grade {
	switch {
	case now.Sub(record.wrongAt) < misdirectTerm && record.wrong.Address == target.Address && record.wrong.Born == target.Born:
		return unusable
	case len(record.open) >= share || record.window > 0 && float64(len(record.open)) >= record.window:
		return full
	case record.misses > 0 && now.Sub(record.failedAt) < failedTerm*time.Duration(min(record.misses, 4)):
		return failing
	case board.silent(now, route, record):
		return suspect
	case record.serves():
		return good
	case len(record.open) == 0 && now.Sub(record.probedAt) >= probePeriod && target.DataCentre == board.fleet.Home:
		return probe
	default:
		return slow
	}
}

// pressure is how busy the target is, as a part of its slots.
func (board *Board) pressure(now time.Time, record *record, target catalogue.Target) float64 {
	slots := max(target.Slots, 1)
	busy := float64(len(record.open))
	if now.Sub(record.loadAt) < loadTerm {
		busy = max(busy, float64(record.load.Running+2*record.load.Waiting))
	}
	return busy / float64(slots)
}

// silent reports whether an open attempt has waited for longer than answers usually take.
func (board *Board) silent(now time.Time, route *catalogue.Route, record *record) bool {
	for _, ticket := range record.open {
		usual := board.pace(ticket.Route).quantile(suspectShare, route.Goal/4)
		if now.Sub(ticket.Sent) > time.Duration(suspectFactor*float64(usual)) {
			return true
		}
	}
	return false
}

// Share returns how many connections this instance may have to the target, one of those that serve the service.
// Instances without a target in their own data centre count as near to all.
func (board *Board) Share(target catalogue.Target, service catalogue.Service, candidates []catalogue.Target) int {
	near := 0
	for centre, instances := range board.fleet.Instances {
		if centre == target.DataCentre || !serves(candidates, centre) {
			near += instances
		}
	}
	far := board.fleet.Total - near
	home := target.DataCentre == board.fleet.Home || !serves(candidates, board.fleet.Home)
	most := float64(service.MaxConnections)
	switch {
	case home && far == 0, !home && near == 0:
	case home:
		most *= nearShare
	default:
		most *= farShare
	}
	if home {
		return max(1, int(most)/max(near, 1))
	}
	return max(1, int(most)/max(far, 1))
}

// serves reports whether any of the targets is in the data centre.
func serves(targets []catalogue.Target, centre string) bool {
	return slices.ContainsFunc(targets, func(target catalogue.Target) bool { return target.DataCentre == centre })
}

// Sent notes an attempt that was sent to the target.
func (board *Board) Sent(now time.Time, target string, ticket Ticket) {
	record := board.record(target)
	record.usedAt = now
	record.open = append(record.open, ticket)
}

// Ended notes what the attempt showed of the target.
func (board *Board) Ended(now time.Time, target catalogue.Target, serial uint64, verdict Verdict, load *Load) {
	record := board.record(target.ID)
	at := slices.IndexFunc(record.open, func(ticket Ticket) bool { return ticket.Serial == serial })
	if at < 0 {
		return
	}
	ticket := record.open[at]
	record.open = slices.Delete(record.open, at, at+1)
	record.usedAt = now
	if load != nil {
		record.load, record.loadAt = *load, now
		record.adapt(now, *load)
	}
	pace := board.pace(ticket.Route)
	waited := now.Sub(ticket.Sent)
	switch verdict {
	case Answered:
		record.misses = 0
		record.failures -= failureWeight * record.failures
		usual := pace.quantile(0.5, waited)
		record.learn(float64(waited) / float64(max(usual, paceBase)))
		if record.factor <= slowPace {
			pace.add(waited)
		}
	case Misdirected:
		record.wrongAt, record.wrong = now, target
	case Refused, Failed:
		record.misses++
		record.failedAt = now
		record.failures += failureWeight * (1 - record.failures)
	case Abandoned:
		// The answer would have taken longer still.
		if usual := pace.quantile(0.5, waited); float64(waited) > record.factor*float64(max(usual, paceBase)) {
			record.learn(float64(waited) / float64(max(usual, paceBase)))
		}
	case Crowded:
	}
	board.weigh(target.ID, record, verdict)
}

// adapt narrows the window while others' or own attempts queue at the target, and widens it when none does.
func (record *record) adapt(now time.Time, load Load) {
	queue := float64(load.Waiting) / float64(max(load.Slots, 1))
	switch {
	case queue > queueMost && now.Sub(record.dropAt) >= windowDropGap:
		inFlight := float64(len(record.open) + 1)
		if record.window > 0 {
			inFlight = min(inFlight, record.window)
		}
		record.window = max(1, inFlight*windowDrop)
		record.dropAt = now
	case load.Waiting == 0 && record.window > 0:
		record.window += 1 / record.window
		if record.window > windowMost {
			record.window = 0
		}
	}
}

// serves reports whether the target answers about as fast and as often as others.
func (record *record) serves() bool {
	return record.factor <= slowPace && record.failures <= failuresMost
}

func (record *record) learn(sample float64) {
	sample = min(sample, outlier)
	weight := slowerWeight
	if sample < record.factor {
		weight = fasterWeight
	}
	record.factor += weight * (sample - record.factor)
}

// Usual returns the latency that the share of the route's answers stays under.
func (board *Board) Usual(route string, share float64, fallback time.Duration) time.Duration {
	return board.pace(route).quantile(share, fallback)
}

// Sweep forgets targets that were not used for long.
func (board *Board) Sweep(now time.Time) {
	if now.Sub(board.sweptAt) < forgetAfter {
		return
	}
	board.sweptAt = now
	for service, scarcity := range board.scarcities {
		if now.Sub(scarcity.at) >= forgetAfter {
			delete(board.scarcities, service)
		}
	}
	for id, record := range board.records {
		if len(record.open) == 0 && now.Sub(record.usedAt) >= forgetAfter {
			delete(board.records, id)
		}
	}
}

func (board *Board) record(id string) *record {
	known, ok := board.records[id]
	if !ok {
		known = &record{factor: 1}
		board.records[id] = known
	}
	return known
}

func (board *Board) pace(route string) *pace {
	known, ok := board.paces[route]
	if !ok {
		known = &pace{}
		board.paces[route] = known
	}
	return known
}
