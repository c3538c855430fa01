package warmup

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/quota"
)

const (
	// defaultWarmUp is the warm-up of services that configure none.
	defaultWarmUp = 3 * time.Second
	// suspicionMargin is added to the warm-up of a target that may be cold, which learned of its return or has restarted a little
	// later than this instance noticed.
	suspicionMargin = time.Second
	// leastWarmth is the share of its usual load that a target gets at the beginning of its warm-up.
	leastWarmth = 0.1
	// returnSteps is the number of steps in which the load of a returned data centre rises.
	returnSteps = 10
	// recheckTime is the time after which a target may be tried again of whose rate this instance holds no part.
	recheckTime = time.Second
	// idleTTL is the time without use after which the state of a target is deleted.
	idleTTL = time.Minute
)

// View tells of the return of data centres from an evacuation.
type View interface {
	ReturnedAt(dataCentre string) (time.Time, bool)
}

// Load is the load that a target may get from this instance.
type Load struct {
	Cold   bool
	Wait   time.Duration // until this instance may send the next request, 0 if it may do so now
	Warmth float64       // how far the warm-up has got, up to 1
	Return float64       // share of its usual load that a target of a returned data centre gets, 1 for any other one
}

// warm is the load of a target of which nothing else is known.
var warm = Load{Warmth: 1, Return: 1}

// Change is the begin or the end of a cold period as this instance sees it.
type Change struct {
	Target      string
	Service     string
	Cold        bool
	Rate        float64 // that all instances may send together, 0 if none is configured
	Part        float64 // of this instance
	Members     int     // that share the rate
	Evidence    Evidence
	EvidenceAge time.Duration
}

// Tracker knows which targets are cold. It is not safe for concurrent use.
type Tracker struct {
	senders   *Senders
	view      View
	processes map[string]*process // by ID of the target
	changes   []Change
}

// New returns a tracker that shares the rates of cold targets with the senders.
func New(senders *Senders) *Tracker {
	return &Tracker{senders: senders, processes: map[string]*process{}}
}

// SetView sets the view that tells of returns.
func (tracker *Tracker) SetView(view View) { tracker.view = view }

// Load returns the load that the target of the service may get now.
func (tracker *Tracker) Load(now time.Time, target catalogue.Target, service catalogue.Service) Load {
	returnedAt := tracker.returnedAt(target.DataCentre)
	process := tracker.observe(now, target, service, returnedAt)
	if process == nil {
		return warm
	}
	load := warm
	if !returnedAt.IsZero() {
		load.Return = returnShare(now.Sub(returnedAt), process.warmUp)
	}
	tracker.note(now, target.ID, process)
	if process.isCold {
		load.Cold, load.Warmth, load.Wait = true, process.warmth(now), tracker.wait(now, target.ID, process)
	}
	return load
}

// Wait returns the time until this instance may send a request to the target, by what Load last saw of it.
func (tracker *Tracker) Wait(now time.Time, target catalogue.Target) time.Duration {
	process, ok := tracker.processes[target.ID]
	if !ok || process.born != target.Born || !now.Before(process.coldEnd()) {
		return 0
	}
	return tracker.wait(now, target.ID, process)
}

// Take counts a request that is about to be sent to the target.
func (tracker *Tracker) Take(now time.Time, target string) {
	process, ok := tracker.processes[target]
	if !ok {
		return
	}
	process.sentAt = now
	if process.bucket != nil {
		process.bucket.Take(now)
	}
}

// Report records what the answer to an attempt that was sent to the target at sentAt says: for how long the target is still cold.
func (tracker *Tracker) Report(now time.Time, target catalogue.Target, sentAt time.Time, left time.Duration) {
	process, ok := tracker.processes[target.ID]
	switch {
	case !ok && left <= 0, ok && process.born > target.Born:
		return
	case !ok || process.born != target.Born:
		process = tracker.create(target)
	}
	if left > 0 {
		sentAt = now // the process said so when it answered
	}
	process.report(sentAt, left, Answered)
}

// ReportNothing records an answer to an attempt sent at sentAt that does not tell of a cold period. It shows that a target that
// was only presumed to be cold is not, but does not end a period that the target has reported.
func (tracker *Tracker) ReportNothing(target catalogue.Target, sentAt time.Time) {
	if process, ok := tracker.processes[target.ID]; ok && process.born == target.Born {
		process.endSuspicion(sentAt)
	}
}

// ReportBroken records that a connection to the target broke or could not be opened, so that the process may have restarted.
func (tracker *Tracker) ReportBroken(now time.Time, target catalogue.Target) {
	process, ok := tracker.processes[target.ID]
	switch {
	case ok && process.born > target.Born:
		return
	case !ok || process.born != target.Born:
		process = tracker.create(target)
	}
	process.suspect(now, Broken)
}

// TakeChanges returns and clears the changes since the last call.
func (tracker *Tracker) TakeChanges() []Change {
	changes := tracker.changes
	tracker.changes = nil
	return changes
}

// Sweep deletes the state of warm targets that were not used for some time.
func (tracker *Tracker) Sweep(now time.Time) {
	maps.DeleteFunc(tracker.processes, func(_ string, process *process) bool {
		return !now.Before(process.coldEnd()) && now.Sub(process.usedAt) >= idleTTL
	})
}

// observe applies the registration and the return of the target's data centre. It returns nil for a target of which nothing
// tells that it is or was cold.
func (tracker *Tracker) observe(now time.Time, target catalogue.Target, service catalogue.Service, returnedAt time.Time) *process {
	warmUp := cmp.Or(service.WarmUp, defaultWarmUp)
	known, ok := tracker.processes[target.ID]
	if !ok && !mayBeCold(now, target, warmUp, returnedAt) {
		return nil
	}
	if ok && known.born > target.Born {
		return known // the view is older than what is known
	}
	if !ok || known.born != target.Born {
		known = tracker.create(target)
		if target.ColdAt.IsZero() {
			known.suspect(now, Started)
		}
	}
	known.usedAt, known.warmUp, known.rate, known.service = now, warmUp, service.ColdRate, target.Service
	if target.ColdAt.After(known.registered) {
		known.registered = target.ColdAt
		known.report(earlier(now, target.ColdAt), target.ColdLeft, Registered)
	}
	if !returnedAt.IsZero() {
		known.suspect(returnedAt, Returned)
	}
	return known
}

// mayBeCold reports whether the target, of which nothing is known yet, may be cold by its registration and by the return of its data
// centre. Without a report of the target the start of its process tells.
func mayBeCold(now time.Time, target catalogue.Target, warmUp time.Duration, returnedAt time.Time) bool {
	switch {
	case !returnedAt.IsZero() && now.Sub(returnedAt) < warmUp+suspicionMargin:
		return true
	case !target.ColdAt.IsZero():
		return target.ColdUntil().After(now)
	}
	return target.Born > 0 && now.Sub(time.UnixMilli(target.Born)) < warmUp+suspicionMargin
}

// create returns the state of the target's process, and keeps what an earlier process was sent.
func (tracker *Tracker) create(target catalogue.Target) *process {
	created := &process{service: target.Service, dataCentre: target.DataCentre, born: target.Born, warmUp: defaultWarmUp}
	if earlier, ok := tracker.processes[target.ID]; ok {
		created.bucket, created.sentAt, created.isCold = earlier.bucket, earlier.sentAt, earlier.isCold
		created.warmUp, created.rate = earlier.warmUp, earlier.rate
	}
	tracker.processes[target.ID] = created
	return created
}

// note records a change if the process has become cold or warm.
func (tracker *Tracker) note(now time.Time, target string, process *process) {
	cold := now.Before(process.coldEnd())
	if cold == process.isCold {
		return
	}
	process.isCold = cold
	evidence, at := process.reason(now)
	if !cold && (process.suspicion != "" || !process.coldUntil.IsZero()) {
		evidence = Elapsed
	}
	if cold {
		tracker.divide(now, target, process)
	} else {
		process.bucket = nil
	}
	tracker.changes = append(tracker.changes, Change{Target: target, Service: process.service, Cold: cold, Rate: process.rate,
		Part: process.part, Members: len(tracker.senders.counted), Evidence: evidence, EvidenceAge: now.Sub(at)})
}

// wait returns the time until this instance may send a request to the cold process by its part of the rate.
func (tracker *Tracker) wait(now time.Time, target string, process *process) time.Duration {
	if process.rate <= 0 {
		return 0
	}
	tracker.divide(now, target, process)
	if process.part <= 0 {
		return min(recheckTime, process.coldEnd().Sub(now))
	}
	return process.bucket.Wait(now)
}

// divide sets this instance's part of the rate of the cold process, if it may have changed.
func (tracker *Tracker) divide(now time.Time, target string, process *process) {
	if process.rate <= 0 {
		return
	}
	tracker.senders.refresh(now)
	mayHold := tracker.senders.mayHold(now)
	if process.bucket != nil && process.partVersion == tracker.senders.version && process.partMayHold == mayHold {
		return
	}
	if process.bucket == nil {
		process.bucket = quota.NewStrictBucket(1)
		if now.Sub(process.sentAt) < time.Second {
			process.bucket = quota.NewStrictBucket(0)
		}
	}
	process.partVersion, process.partMayHold = tracker.senders.version, mayHold
	process.part = tracker.senders.part(now, process.rate, target, process.dataCentre)
	process.bucket.SetPart(now, quota.PartOf(process.part))
}

// returnedAt returns when the data centre returned to service, zero if it did not.
func (tracker *Tracker) returnedAt(dataCentre string) time.Time {
	if tracker.view == nil {
		return time.Time{}
	}
	at, returned := tracker.view.ReturnedAt(dataCentre)
	if !returned {
		return time.Time{}
	}
	return at
}

// returnShare returns the share of its usual load that a target gets the given time after the return of its data centre. It rises
// in steps.
func returnShare(passed, warmUp time.Duration) float64 {
	step := int(returnSteps * passed.Seconds() / warmUp.Seconds())
	return min(1, float64(max(step, 1))/returnSteps)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// ColdTarget is a target that this instance treats as cold.
type ColdTarget struct {
	ID          string
	Service     string
	DataCentre  string
	Until       time.Time // when the cold period ends without further evidence
	Rate        float64   // requests a second from all instances together, 0 if none is configured
	Part        float64   // this instance's part of it
	Evidence    Evidence
	EvidenceAge time.Duration
}

// ColdTargets returns the targets that are treated as cold at now, ordered by ID.
func (tracker *Tracker) ColdTargets(now time.Time) []ColdTarget {
	var targets []ColdTarget
	for id, process := range tracker.processes {
		if !now.Before(process.coldEnd()) {
			continue
		}
		evidence, at := process.reason(now)
		targets = append(targets, ColdTarget{ID: id, Service: process.service, DataCentre: process.dataCentre, Until: process.coldEnd(),
			Rate: process.rate, Part: process.part, Evidence: evidence, EvidenceAge: now.Sub(at)})
	}
	slices.SortFunc(targets, func(a, b ColdTarget) int { return cmp.Compare(a.ID, b.ID) })
	return targets
}
