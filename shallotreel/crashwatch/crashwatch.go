package crashwatch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/crash"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/shallotreel/linelimit"
)

const (
	// linesPerSecond limits the log lines; further ones are counted.
	linesPerSecond = 50
	// pendingPerSecond is the number of requests that are marked without evidence in a second at most.
	pendingPerSecond = 10
	// sweepPeriod is the interval between two removals of expired marks.
	sweepPeriod = 10 * time.Second
)

// Catalogue provides the newest view of the targets.
type Catalogue interface{ View() *catalogue.View }

// Watch attributes crashes of targets to requests and keeps the marks on these. It is safe for concurrent use.
type Watch struct {
	tracker      *quarantine.Tracker
	catalogue    Catalogue
	log          logrus.FieldLogger
	replicate    func(quarantine.Fingerprint) // called without the lock for each mark that changes here
	counters     counters
	mutex        sync.Mutex
	ledger       *crash.Ledger
	sweptAt      time.Time
	lines        *linelimit.Limiter
	pendingSince time.Time // start of the second to which pending applies
	pending      int
	trials       map[quarantine.Fingerprint]time.Time // when the next trial may begin, zero while one is in progress
	retrials     map[quarantine.Fingerprint]*retrial  // those trials in progress whose request is quarantined
	retried      map[string]time.Time                 // when quarantined requests were tried here, by the ID of the request
	self         string                               // name of this instance
	others       []string                             // names of the other instances that reach targets
	alive        func(time.Time) bool                 // reports whether any target has given a sign of life after the time
	doubtful     []uint64                             // abandoned attempts at silent targets, since which no target has given one
}

// Option changes a new Watch.
type Option func(*Watch)

// WithSignsOfLife makes the silence of a target count only after a sign of life of any target, which the function reports for
// the time after the given one. Without it, this instance may have no path to the targets.
func WithSignsOfLife(alive func(time.Time) bool) Option {
	return func(watch *Watch) { watch.alive = alive }
}

type counters struct{ attributed, dismissed, pending, learned, refused, retried, cleared, dropped tally.Counter }

// New returns a Watch that keeps its marks in the tracker and calls replicate for each one that changes.
func New(tracker *quarantine.Tracker, targets Catalogue, replicate func(quarantine.Fingerprint), log logrus.FieldLogger, scope tally.Scope, options ...Option) *Watch {
	watch := &Watch{tracker: tracker, catalogue: targets, log: log, replicate: replicate, ledger: crash.NewLedger(), lines: linelimit.New(linesPerSecond),
		trials: map[quarantine.Fingerprint]time.Time{}, retrials: map[quarantine.Fingerprint]*retrial{}, retried: map[string]time.Time{}, alive: func(time.Time) bool { return true },
		counters: counters{attributed: scope.Counter("crashes_attributed"), dismissed: scope.Counter("crashes_dismissed"),
			pending: scope.Counter("crashes_suspected"),
			learned: scope.Counter("crash_marks_learned"),
			refused: scope.Counter("crash_refusals"), retried: scope.Counter("crash_retrials"), cleared: scope.Counter("crash_marks_cleared"),
			dropped: scope.Counter("crash_lines_dropped")}}
	for _, option := range options {
		option(watch)
	}
	return watch
}

// Verdict returns the verdict on the requests with the fingerprint, and for how long it lasts; that of a quarantined one lasts until its next
// trial. A request under which a target may have crashed is suspect until it runs, or until its attempts are too old to be attributed.
func (watch *Watch) Verdict(now time.Time, fingerprint quarantine.Fingerprint) (quarantine.Verdict, time.Duration) {
	verdict := watch.tracker.Verdict(now, fingerprint)
	if verdict == quarantine.Untried {
		watch.mutex.Lock()
		defer watch.mutex.Unlock()
		if watch.ledger.MayHaveCrashed(now, fingerprint) {
			verdict = quarantine.Suspect
		}
	}
	if verdict == quarantine.Quarantined {
		return watch.quarantineVerdict(now, fingerprint)
	}
	return verdict, watch.tracker.Remaining(now, fingerprint)
}

// BeginTrial reports whether a request with the fingerprint that is suspect, or whose trial is due, may be tried now. No other one may until EndTrial.
func (watch *Watch) BeginTrial(now time.Time, fingerprint quarantine.Fingerprint) bool {
	quarantined := watch.tracker.Verdict(now, fingerprint) == quarantine.Quarantined
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if !watch.mayTry(now, fingerprint) {
		return false
	}
	watch.trials[fingerprint] = time.Time{}
	if quarantined {
		watch.retrials[fingerprint] = &retrial{beganAt: now}
	}
	return true
}

// EndTrial ends the trial; the next one may begin at the time given.
func (watch *Watch) EndTrial(fingerprint quarantine.Fingerprint, next time.Time) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	next = watch.endRetrial(fingerprint, next)
	if next.IsZero() {
		delete(watch.trials, fingerprint)
		return
	}
	watch.trials[fingerprint] = next
}

// Sent records an attempt that is about to be sent.
func (watch *Watch) Sent(attempt crash.Attempt) {
	watch.mutex.Lock()
	watch.ledger.Sent(attempt)
	first := watch.spendRetrial(attempt.Fingerprint)
	watch.mutex.Unlock()
	if first {
		watch.recordRetrial(attempt)
	}
}

// Answered records a sign of life of the target: any answer, to whatever request.
func (watch *Watch) Answered(targetID string) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.ledger.Answered(targetID)
}

// NotRun records that the target did not run the attempt, or outlived it.
func (watch *Watch) NotRun(id uint64) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.ledger.NotRun(id)
}

// Broken records that the connection of the attempt broke without an answer.
func (watch *Watch) Broken(id uint64) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.ledger.Broken(id)
}

// Abandoned records that this instance stopped waiting for the answer of the attempt. If no target has answered the request and this one was
// silent for longer than usual, the loss is pending: it counts for some time although there is no evidence of a crash.
func (watch *Watch) Abandoned(now time.Time, id uint64, answered bool) {
	watch.mutex.Lock()
	watch.ledger.Abandoned(now, id)
	attempt, suspected := watch.ledger.Suspected(id)
	watch.mutex.Unlock()
	if answered || !suspected {
		return
	}
	if !watch.alive(attempt.SentAt.Add(attempt.Suspicion)) {
		watch.mutex.Lock()
		watch.doubtful = append(watch.doubtful, id)
		watch.mutex.Unlock()
		return
	}
	watch.recordPending(now, attempt)
}

// recordPending marks the request whose attempt was abandoned, unless there are many such requests.
func (watch *Watch) recordPending(now time.Time, attempt crash.Attempt) {
	watch.failRetrial(now, attempt)
	mark, marked := watch.tracker.Mark(now, attempt.Fingerprint)
	if mark.HasWave(attempt.Wave) || !marked && !watch.allowPending(now) {
		return
	}
	loss := crash.Attribution{Attempt: attempt}.Loss(now)
	loss.Silent, loss.Pending = true, true
	mark = watch.tracker.RecordLoss(now, attempt.Fingerprint, loss)
	watch.counters.pending.Inc(1)
	watch.write(now, "request without an answer may have crashed its target", logrus.Fields{"request": attempt.Request,
		"fingerprint": attempt.Fingerprint.String(), "target": attempt.Target.ID, "service": attempt.Target.Service,
		"age_ms": now.Sub(attempt.SentAt).Milliseconds(), "crashes": mark.Crashes(),
		"verdict": watch.tracker.Verdict(now, attempt.Fingerprint).String()})
	watch.replicate(attempt.Fingerprint)
}

// allowPending reports whether another request may be marked without evidence. Their number is limited, since many
// requests get no answer while the network or many targets fail.
func (watch *Watch) allowPending(now time.Time) bool {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if now.Sub(watch.pendingSince) >= time.Second {
		watch.pendingSince, watch.pending = now, 0
	}
	watch.pending++
	return watch.pending <= pendingPerSecond
}

// IsSuspected reports whether the target may have crashed under the ended attempt.
func (watch *Watch) IsSuspected(id uint64) bool {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	_, suspected := watch.ledger.Suspected(id)
	return suspected
}

// Ran records that the target answered the attempt.
func (watch *Watch) Ran(now time.Time, id uint64) {
	watch.mutex.Lock()
	attempt, ok := watch.ledger.Ran(id)
	watch.mutex.Unlock()
	if !ok {
		return
	}
	mark, cleared := watch.tracker.RecordServiceSuccess(now, attempt.Fingerprint, attempt.Target.Service)
	if !cleared {
		return
	}
	watch.counters.cleared.Inc(1)
	watch.write(now, "mark on a request that ran without a crash is cleared", logrus.Fields{"request": attempt.Request,
		"fingerprint": attempt.Fingerprint.String(), "target": attempt.Target.ID, "crashes": mark.Crashes()})
	watch.replicate(attempt.Fingerprint)
}

// Completed records that all services of a request on the route answered it.
func (watch *Watch) Completed(now time.Time, fingerprint quarantine.Fingerprint, route *catalogue.Route) {
	goesTo := func(service string) bool {
		return slices.Contains(route.ServiceNames(), service) || watch.leadsTo(route.Name, service)
	}
	if _, changed := watch.tracker.RecordCompletion(now, fingerprint, goesTo); changed {
		watch.replicate(fingerprint)
	}
}

// leadsTo reports whether the newest configuration sends requests on the route to the service.
func (watch *Watch) leadsTo(route, service string) bool {
	configuration := watch.catalogue.View().Configuration
	return configuration != nil && slices.ContainsFunc(configuration.Routes, func(newest catalogue.Route) bool {
		return newest.Name == route && slices.Contains(newest.ServiceNames(), service)
	})
}

// HasAbandoned reports whether Refused would attribute any attempt at the target.
func (watch *Watch) HasAbandoned(target catalogue.Target) bool {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	return watch.ledger.HasAbandoned(target.ID)
}

// Refused records that the target refuses connections. Unless it is leaving or its registration has ended, its process has
// crashed.
func (watch *Watch) Refused(now time.Time, target catalogue.Target) {
	if !watch.catalogue.View().Registered(target) {
		return
	}
	watch.mutex.Lock()
	attributions := watch.ledger.Ended(now, target, crash.Refused)
	watch.mutex.Unlock()
	watch.record(now, attributions)
}

// TargetChanged compares a change in the catalogue with the attempts.
func (watch *Watch) TargetChanged(now time.Time, change catalogue.Change) {
	watch.mutex.Lock()
	var attributions []crash.Attribution
	switch {
	case change.Ended:
		watch.ledger.Unregistered(now, change.Target)
	case change.Registration.ID != "":
		attributions = watch.ledger.Registered(now, change.Registration)
	}
	watch.mutex.Unlock()
	watch.record(now, attributions)
}

// PathLost forgets the attempts that are silent because this instance reaches no target, since the given time.
func (watch *Watch) PathLost(since time.Time) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.ledger.Forget(since)
	watch.doubtful = nil
}

// takeVouched returns the doubtful attempts since whose silence any target has given a sign of life. The caller must hold the lock.
func (watch *Watch) takeVouched() []crash.Attempt {
	var vouched []crash.Attempt
	watch.doubtful = slices.DeleteFunc(watch.doubtful, func(id uint64) bool {
		attempt, suspected := watch.ledger.Suspected(id)
		if suspected && !watch.alive(attempt.SentAt.Add(attempt.Suspicion)) {
			return false
		}
		if suspected {
			vouched = append(vouched, attempt)
		}
		return true
	})
	return vouched
}

// Tick attributes attempts at silent targets and removes what has expired. It must be called several times a second.
func (watch *Watch) Tick(now time.Time) {
	watch.mutex.Lock()
	attributions := watch.ledger.Tick(now)
	vouched := watch.takeVouched()
	sweep := now.Sub(watch.sweptAt) >= sweepPeriod
	if sweep {
		watch.sweptAt = now
		maps.DeleteFunc(watch.trials, func(_ quarantine.Fingerprint, next time.Time) bool {
			return !next.IsZero() && !now.Before(next)
		})
		maps.DeleteFunc(watch.retried, func(_ string, at time.Time) bool { return now.Sub(at) >= outcomeTime })
	}
	watch.mutex.Unlock()
	for _, attempt := range vouched {
		watch.recordPending(now, attempt)
	}
	if sweep {
		watch.tracker.RemoveExpired(now)
	}
	watch.record(now, attributions)
}

// record adds the attributed losses to the marks.
func (watch *Watch) record(now time.Time, attributions []crash.Attribution) {
	for _, attribution := range attributions {
		watch.failRetrial(now, attribution.Attempt)
		if attribution.Evidence != crash.Refused && watch.tracker.IsProven(now, attribution.Fingerprint) {
			watch.counters.dismissed.Inc(1)
			continue // would not count, and marks are sent to all instances
		}
		mark := watch.tracker.RecordLoss(now, attribution.Fingerprint, attribution.Loss(now))
		watch.counters.attributed.Inc(1)
		watch.write(now, "crash attributed to a request", logrus.Fields{"request": attribution.Request,
			"fingerprint": attribution.Fingerprint.String(), "target": attribution.Target.ID, "service": attribution.Target.Service,
			"evidence": string(attribution.Evidence), "age_ms": now.Sub(attribution.SentAt).Milliseconds(),
			"crashes": mark.Crashes(), "proven": mark.Proven, "complete": mark.Complete, "verdict": watch.tracker.Verdict(now, attribution.Fingerprint).String()})
		watch.replicate(attribution.Fingerprint)
	}
}

// Learned logs a mark that a peer reported.
func (watch *Watch) Learned(now time.Time, mark quarantine.Mark, peer string) {
	watch.counters.learned.Inc(1)
	fields := logrus.Fields{"fingerprint": mark.Fingerprint.String(), "peer": peer, "crashes": mark.Crashes(),
		"verdict": watch.tracker.Verdict(now, mark.Fingerprint).String(), "mark_version": mark.Version}
	if len(mark.Losses) > 0 {
		fields["target"], fields["age_ms"] = mark.Losses[0].Target, now.Sub(mark.Losses[0].At).Milliseconds()
	}
	watch.write(now, "mark learned from a peer", fields)
}

// RecordRefusal renews the mark on a request that was refused because it is quarantined.
func (watch *Watch) RecordRefusal(now time.Time, request string, fingerprint quarantine.Fingerprint) {
	watch.counters.refused.Inc(1)
	mark, changed := watch.tracker.RecordRefusal(now, fingerprint)
	watch.write(now, "request refused by its mark", logrus.Fields{"request": request, "fingerprint": fingerprint.String(),
		"crashes": mark.Crashes(), "mark_version": mark.Version, "until": mark.Until})
	if changed {
		watch.replicate(fingerprint)
	}
}

// write writes a log line unless linesPerSecond are reached.
func (watch *Watch) write(now time.Time, text string, fields logrus.Fields) {
	if !watch.lines.Allow(now) {
		watch.counters.dropped.Inc(1)
		return
	}
	watch.log.WithFields(fields).Info(text)
}
