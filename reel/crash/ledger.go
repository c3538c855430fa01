package crash

import (
	"cmp"
	"slices"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/quarantine"
)

const (
	// maxAge is the age above which an attempt is not attributed any more. A target that crashed silently has started
	// again, or its registration has expired, before.
	maxAge = 15 * time.Second
	// minSilence is the age below which an attempt at a target whose registration ended may still be answered.
	minSilence = time.Second
	// maxAttempts is the number of attempts that are kept at most; the oldest ones are dropped first.
	maxAttempts = 1 << 16
	// compactAt is the number of entries in the order of sending from which removed ones are dropped.
	compactAt = 1 << 10
)

// Attempt is an attempt that was sent to a target.
type Attempt struct {
	ID          uint64 // unique within the process
	Request     string // ID of the request
	Fingerprint quarantine.Fingerprint
	Target      catalogue.Target
	Wave        uint64 // same for the attempts of a request that were sent without waiting for each other
	SentAt      time.Time
	Suspicion   time.Duration // time without an answer after which a target is likely to be dead already
}

// Evidence says why the process of a target is believed to have crashed.
type Evidence string

// Kinds of evidence.
const (
	Refused   Evidence = "the target refuses connections"
	Restarted Evidence = "the target started again"
	Replaced  Evidence = "another target has the address"
	Unlisted  Evidence = "the registration ended while the target was silent"
)

// Attribution is an attempt that was running, or may have been, when the process of its target crashed.
type Attribution struct {
	Attempt
	Evidence Evidence
}

// Loss returns the loss to record for the attempt's fingerprint.
func (attribution Attribution) Loss(now time.Time) quarantine.Loss {
	target := attribution.Target
	return quarantine.Loss{Target: target.ID, Born: target.Born, Service: target.Service, Wave: attribution.Wave,
		Silent: attribution.Evidence != Refused, At: now}
}

// Ledger keeps the attempts without an answer, and attributes them to crashes. It is not safe for concurrent use.
type Ledger struct {
	attempts map[uint64]*entry
	targets  map[string][]*entry                 // by target ID
	requests map[quarantine.Fingerprint][]*entry // by fingerprint
	order    []*entry                            // as sent; may contain removed entries
	ends     map[string]time.Time                // when the registration of a target ended that was not leaving
	silent   map[string]time.Time                // since when each target has answered none of the attempts sent to it
}

// entry is an attempt without an answer.
type entry struct {
	Attempt
	abandoned bool // whether the attempt ended without an answer
	suspected bool // whether its connection broke, or the target gave no answer for so long that it may have crashed
	late      bool // whether the target was silent for too long when the attempt was sent, so that it hardly runs it
	removed   bool
}

// NewLedger returns a Ledger without attempts.
func NewLedger() *Ledger {
	return &Ledger{attempts: map[uint64]*entry{}, targets: map[string][]*entry{},
		requests: map[quarantine.Fingerprint][]*entry{}, ends: map[string]time.Time{},
		silent: map[string]time.Time{}}
}

// Sent records that the attempt was sent.
func (ledger *Ledger) Sent(attempt Attempt) {
	added := &entry{Attempt: attempt}
	if since, silent := ledger.silent[attempt.Target.ID]; !silent {
		ledger.silent[attempt.Target.ID] = attempt.SentAt
	} else {
		added.late = attempt.SentAt.Sub(since) > attempt.Suspicion
	}
	ledger.attempts[attempt.ID] = added
	ledger.targets[attempt.Target.ID] = append(ledger.targets[attempt.Target.ID], added)
	ledger.requests[attempt.Fingerprint] = append(ledger.requests[attempt.Fingerprint], added)
	ledger.order = append(ledger.order, added)
	if len(ledger.attempts) > maxAttempts {
		ledger.remove(ledger.oldest())
	}
	if len(ledger.order) > compactAt+2*len(ledger.attempts) {
		ledger.order = slices.DeleteFunc(ledger.order, func(entry *entry) bool { return entry.removed })
	}
}

// Answered records a sign of life of the target.
func (ledger *Ledger) Answered(targetID string) {
	delete(ledger.silent, targetID)
}

// NotRun records that the attempt did not run, or that its target outlived it.
func (ledger *Ledger) NotRun(id uint64) {
	if entry, ok := ledger.attempts[id]; ok {
		ledger.remove(entry)
	}
}

// Ran records that the target answered the attempt, and returns the attempt, or false if it is unknown. The request
// does not crash the targets of that service, so its earlier and abandoned attempts there are removed too.
func (ledger *Ledger) Ran(id uint64) (Attempt, bool) {
	answered, ok := ledger.attempts[id]
	if !ok {
		return Attempt{}, false
	}
	for _, entry := range slices.Clone(ledger.requests[answered.Fingerprint]) {
		if entry.Target.Service == answered.Target.Service && (entry.abandoned || !entry.SentAt.After(answered.SentAt)) {
			ledger.remove(entry)
		}
	}
	return answered.Attempt, true
}

// Abandoned records that this instance stopped waiting for the answer of the attempt. It can still be attributed to a
// crash that is found later.
func (ledger *Ledger) Abandoned(now time.Time, id uint64) {
	entry, ok := ledger.attempts[id]
	if !ok {
		return
	}
	entry.abandoned = true
	entry.suspected = now.Sub(entry.SentAt) > entry.Suspicion && !entry.late
	if !entry.suspected && ledger.silent[entry.Target.ID].Equal(entry.SentAt) {
		delete(ledger.silent, entry.Target.ID) // too short to tell
	}
}

// Broken records that the connection of the attempt broke without an answer, so that the target was alive when the
// attempt was sent.
func (ledger *Ledger) Broken(id uint64) {
	if entry, ok := ledger.attempts[id]; ok {
		entry.abandoned, entry.suspected, entry.late = true, true, false
	}
}

// HasAbandoned reports whether any attempt at the target ended without an answer, which Ended would attribute.
func (ledger *Ledger) HasAbandoned(targetID string) bool {
	return slices.ContainsFunc(ledger.targets[targetID], func(entry *entry) bool { return entry.abandoned })
}

// Forget removes the attempts whose silence shows nothing, because no target could be reached: those in flight, and those that were
// not overdue at the given time.
func (ledger *Ledger) Forget(since time.Time) {
	for _, entry := range ledger.order {
		if !entry.removed && (!entry.abandoned || entry.SentAt.Add(entry.Suspicion).After(since)) {
			ledger.remove(entry)
		}
	}
	clear(ledger.silent)
}

// Suspected returns the ended attempt with the ID, and whether its target may have crashed under it.
func (ledger *Ledger) Suspected(id uint64) (Attempt, bool) {
	entry, ok := ledger.attempts[id]
	if !ok {
		return Attempt{}, false
	}
	return entry.Attempt, entry.suspected
}

// MayHaveCrashed reports whether a target may have crashed under the fingerprint: it has an ended attempt for which this
// is neither known nor ruled out.
func (ledger *Ledger) MayHaveCrashed(now time.Time, fingerprint quarantine.Fingerprint) bool {
	return slices.ContainsFunc(ledger.requests[fingerprint], func(entry *entry) bool {
		return entry.suspected && now.Sub(entry.SentAt) < maxAge
	})
}

// Ended records that the target's process was found to have ended, and attributes the abandoned attempts at it. An attempt
// in flight may have been sent after the end; if it was not, its connection breaks or it is abandoned.
func (ledger *Ledger) Ended(now time.Time, target catalogue.Target, evidence Evidence) []Attribution {
	return ledger.attribute(now, evidence, slices.Clone(ledger.targets[target.ID]), func(entry *entry) bool {
		return entry.abandoned && entry.Target.Born == target.Born
	})
}

// Registered compares a registration with the attempts and attributes those at an earlier process under the target's ID
// or at its address.
func (ledger *Ledger) Registered(now time.Time, target catalogue.Target) []Attribution {
	if target.Leaving {
		delete(ledger.silent, target.ID)
		for _, entry := range slices.Clone(ledger.targets[target.ID]) {
			ledger.remove(entry)
		}
		return nil
	}
	delete(ledger.ends, target.ID)
	delete(ledger.silent, target.ID)
	attributions := ledger.attribute(now, Restarted, slices.Clone(ledger.targets[target.ID]), func(entry *entry) bool {
		return entry.Target.Born < target.Born
	})
	var replaced []*entry
	for id, entries := range ledger.targets {
		if id != target.ID && len(entries) > 0 && entries[0].Target.Address == target.Address {
			replaced = append(replaced, entries...)
		}
	}
	attributions = append(attributions, ledger.attribute(now, Replaced, replaced, func(entry *entry) bool {
		return entry.Target.Address == target.Address
	})...)
	return ordered(attributions)
}

// Unregistered records that the registration of a target ended that was not leaving. Attempts at it are attributed
// by Tick once they have been unanswered for minSilence, because some targets leave without saying so.
func (ledger *Ledger) Unregistered(now time.Time, id string) {
	ledger.ends[id] = now
}

// Tick attributes the attempts at silent targets whose registration ended, and drops attempts that are too old.
func (ledger *Ledger) Tick(now time.Time) []Attribution {
	var attributions []Attribution
	for id, end := range ledger.ends {
		attributions = append(attributions, ledger.attribute(now, Unlisted, slices.Clone(ledger.targets[id]), func(entry *entry) bool {
			return !entry.SentAt.After(end) && now.Sub(entry.SentAt) >= minSilence
		})...)
		if now.Sub(end) >= maxAge {
			delete(ledger.ends, id)
			delete(ledger.silent, id)
		}
	}
	for oldest := ledger.oldest(); oldest != nil && now.Sub(oldest.SentAt) >= maxAge; oldest = ledger.oldest() {
		ledger.remove(oldest)
	}
	return ordered(attributions)
}

// ordered sorts the attributions by the time of sending.
func ordered(attributions []Attribution) []Attribution {
	slices.SortFunc(attributions, func(a, b Attribution) int { return cmp.Compare(a.ID, b.ID) })
	return attributions
}

// attribute removes the entries that the condition accepts and returns their attributions.
func (ledger *Ledger) attribute(now time.Time, evidence Evidence, entries []*entry, accepts func(*entry) bool) []Attribution {
	var attributions []Attribution
	for _, entry := range entries {
		if !accepts(entry) || now.Sub(entry.SentAt) >= maxAge {
			continue
		}
		ledger.remove(entry)
		silent := evidence != Refused
		if !entry.late && !(silent && entry.abandoned && !entry.suspected) {
			attributions = append(attributions, Attribution{entry.Attempt, evidence})
		}
	}
	return attributions
}

func (ledger *Ledger) remove(removed *entry) {
	removed.removed = true
	delete(ledger.attempts, removed.ID)
	ledger.targets[removed.Target.ID] = without(ledger.targets[removed.Target.ID], removed)
	if len(ledger.targets[removed.Target.ID]) == 0 {
		delete(ledger.targets, removed.Target.ID)
	}
	ledger.requests[removed.Fingerprint] = without(ledger.requests[removed.Fingerprint], removed)
	if len(ledger.requests[removed.Fingerprint]) == 0 {
		delete(ledger.requests, removed.Fingerprint)
	}
}

func without(entries []*entry, removed *entry) []*entry {
	return slices.DeleteFunc(entries, func(entry *entry) bool { return entry == removed })
}

// oldest returns the attempt that was sent first, or nil if there is none.
func (ledger *Ledger) oldest() *entry {
	for len(ledger.order) > 0 {
		if !ledger.order[0].removed {
			return ledger.order[0]
		}
		ledger.order[0] = nil
		ledger.order = ledger.order[1:]
	}
	return nil
}
