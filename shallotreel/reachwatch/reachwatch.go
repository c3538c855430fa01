package reachwatch

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/reach"
	"shallotreel.example/shallotreel/connpool"
)

const (
	// TickPeriod is the time between two calls of Tick.
	TickPeriod = 50 * time.Millisecond
	// maxConfirmRounds is the number of times that other targets are connected to, in order to confirm that one has ended. Many may
	// have ended at once.
	maxConfirmRounds = 3
	// confirmProbes is the number of targets that are connected to at once for that.
	confirmProbes = 2
)

// Prober opens connections to targets.
type Prober interface {
	// Accepts reports whether the target accepts a connection, which is closed at once.
	Accepts(address netip.AddrPort) bool
}

// Catalogue provides the newest view of the targets.
type Catalogue interface{ View() *catalogue.View }

// Watch is the belief of this process about its path to the targets. It is safe for concurrent use.
type Watch struct {
	catalogue Catalogue
	prober    Prober
	log       logrus.FieldLogger
	onChange  func(reach.Change) // called without the lock
	counters  counters
	mutex     sync.Mutex
	monitor   *reach.Monitor
	lost      chan struct{} // closed when the path is lost; a new one while it is there
	// announcements are those of changes that are not announced yet, the oldest first.
	announcements []announcement
	// announcing holds a value while changes are announced, so that others hear of them in their order.
	announcing chan struct{}
	// confirming holds a value while failed attempts have targets probed, so that one probe answers all who wait.
	confirming chan struct{}
}

type counters struct{ lost, found, probes tally.Counter }

// announcement is what others are told of one change.
type announcement struct {
	change       reach.Change
	probesFailed int
	lost         chan struct{} // closed once the loss is announced, nil if the path is back
}

// New returns a Watch that believes that targets can be reached and calls onChange when that changes.
func New(targets Catalogue, prober Prober, onChange func(reach.Change), log logrus.FieldLogger, scope tally.Scope) *Watch {
	return &Watch{catalogue: targets, prober: prober, log: log, onChange: onChange, monitor: reach.New(time.Now()),
		lost: make(chan struct{}), announcing: make(chan struct{}, 1), confirming: make(chan struct{}, 1),
		counters: counters{scope.Counter("path_lost"), scope.Counter("path_found"), scope.Counter("path_probes")}}
}

// IsLost reports whether the path to the targets is lost.
func (watch *Watch) IsLost() bool {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	return watch.monitor.Lost()
}

// InDoubt reports whether the path to the targets is lost or may be lost.
func (watch *Watch) InDoubt(now time.Time) bool {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	return watch.monitor.InDoubt(now)
}

// Lost returns a channel that is closed when the path is lost, or is closed already.
func (watch *Watch) Lost() <-chan struct{} {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	return watch.lost
}

// AliveSince reports whether any target has given a sign of life after the given time.
func (watch *Watch) AliveSince(at time.Time) bool {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	return watch.monitor.AliveSince(at)
}

// Sent records an attempt; it is overdue if it has no answer after the suspicion time.
func (watch *Watch) Sent(now time.Time, id uint64, suspicion time.Duration) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.monitor.Sent(now, id, suspicion)
}

// Ended records the end of the attempt at the target.
func (watch *Watch) Ended(now time.Time, id uint64, target netip.AddrPort, ended connpool.Result) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	switch {
	case ended.Response != nil:
		watch.monitor.Answered(now, id, target)
	case ended.Err == connpool.ErrCanceled || ended.Err == connpool.ErrExcluded:
		watch.monitor.Abandoned(now, id, target)
	case ended.IsOwnShortage():
		watch.monitor.Abandoned(now, id, target)
		if ended.Sent { // the target was answering
			watch.monitor.Accepted(now)
		}
	case ended.Err == connpool.ErrTooLate:
		watch.monitor.Abandoned(now, id, target)
		watch.monitor.Accepted(now)
	default:
		watch.monitor.Failed(now, id, target, ended.Sent || ended.Err == connpool.ErrConnectionLimit)
		if ended.Listens == connpool.Accepted {
			watch.monitor.Accepted(now)
		}
	}
}

// Verify reports whether the path is lost, after a request has failed at the given time. Without a sign of life since, it connects to
// other targets, which takes as long as one connection.
func (watch *Watch) Verify(failedAt time.Time) bool {
	watch.confirming <- struct{}{}
	defer func() { <-watch.confirming }()
	if watch.IsLost() || watch.AliveSince(failedAt) {
		return watch.IsLost()
	}
	began := time.Now()
	watch.mutex.Lock()
	round := watch.monitor.Doubt()
	watch.mutex.Unlock()
	accepted, failed := watch.connect(watch.randomTargets(round.Targets, round.Count))
	watch.mutex.Lock()
	change, changed := watch.monitor.Verified(time.Now(), began, accepted, failed)
	watch.noteChange(change, changed, failed)
	watch.mutex.Unlock()
	if changed {
		watch.announce()
	}
	return watch.IsLost()
}

// ConfirmRefusal reports whether the target, which has refused a connection at the given time, still does so after another one has
// accepted one, or if there is no other, so that its process has ended. It may take as long as some connections.
func (watch *Watch) ConfirmRefusal(refusedAt time.Time, refusing netip.AddrPort) bool {
	return watch.othersAccept(refusedAt, refusing) && watch.refuses(refusing)
}

// refuses reports whether the target refuses a connection. Of an evacuated one nothing is known, since it is not connected to.
func (watch *Watch) refuses(target netip.AddrPort) bool {
	return !watch.prober.Accepts(target) && !watch.catalogue.View().IsEvacuatedAddress(target)
}

// othersAccept reports whether another target has accepted a connection since the given time, or there is no other.
func (watch *Watch) othersAccept(refusedAt time.Time, refusing netip.AddrPort) bool {
	watch.confirming <- struct{}{}
	defer func() { <-watch.confirming }()
	for range maxConfirmRounds {
		if watch.IsLost() {
			return false
		}
		if watch.acceptedSince(refusedAt) {
			return true
		}
		others := slices.DeleteFunc(watch.randomTargets([]netip.AddrPort{refusing}, 1+confirmProbes),
			func(address netip.AddrPort) bool { return address == refusing })
		if len(others) == 0 {
			return true
		}
		if accepted, _ := watch.connect(others); accepted > 0 {
			watch.recordAccepted()
		}
	}
	return watch.acceptedSince(refusedAt)
}

func (watch *Watch) acceptedSince(at time.Time) bool {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	return watch.monitor.AcceptedSince(at)
}

func (watch *Watch) recordAccepted() {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.monitor.Accepted(time.Now())
}

// NoHelper records that no other instance serves requests while the path is lost.
func (watch *Watch) NoHelper() {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.monitor.NoHelper()
}

// LostFor returns for how long the path has been lost, or 0 if it is not.
func (watch *Watch) LostFor(now time.Time) time.Duration {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	return watch.monitor.LostFor(now)
}

// Tick starts a round of probes if one is due.
func (watch *Watch) Tick(now time.Time) {
	watch.mutex.Lock()
	round, due := watch.monitor.Tick(now)
	watch.mutex.Unlock()
	if due {
		go watch.probe(round)
	}
}

// probe connects to the targets of the round, or to random ones.
func (watch *Watch) probe(round reach.Round) {
	accepted, failed := watch.connect(watch.randomTargets(round.Targets, round.Count))
	watch.mutex.Lock()
	change, changed := watch.monitor.RoundEnded(time.Now(), accepted, failed)
	watch.noteChange(change, changed, failed)
	watch.mutex.Unlock()
	if changed {
		watch.announce()
	}
}

// noteChange adds the change, if there is one, to those that are to be announced. The lock is held.
func (watch *Watch) noteChange(change reach.Change, changed bool, probesFailed int) {
	if !changed {
		return
	}
	announcement := announcement{change: change, probesFailed: probesFailed}
	if change.Lost {
		announcement.lost = watch.lost
	} else {
		watch.lost = make(chan struct{})
	}
	watch.announcements = append(watch.announcements, announcement)
}

// announce reports all changes that are not reported yet, and ends the waiting for a lost path. Those of the caller are
// reported when it returns.
func (watch *Watch) announce() {
	watch.announcing <- struct{}{}
	defer func() { <-watch.announcing }()
	for announcement, ok := watch.nextAnnouncement(); ok; announcement, ok = watch.nextAnnouncement() {
		watch.report(announcement.change, announcement.probesFailed)
		if announcement.lost != nil {
			close(announcement.lost) // after onChange, by which the silence of targets is no evidence of crashes any more
		}
	}
}

func (watch *Watch) nextAnnouncement() (announcement, bool) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if len(watch.announcements) == 0 {
		return announcement{}, false
	}
	next := watch.announcements[0]
	watch.announcements = watch.announcements[1:]
	return next, true
}

// connect connects to the targets and returns how many accepted the connection and how many did not. Those that are evacuated
// meanwhile count as neither.
func (watch *Watch) connect(targets []netip.AddrPort) (accepted, failed int) {
	type result struct{ accepts, refuses bool }
	results := make(chan result, len(targets))
	for _, target := range targets {
		watch.counters.probes.Inc(1)
		go func() {
			accepts := watch.prober.Accepts(target)
			results <- result{accepts, !accepts && !watch.catalogue.View().IsEvacuatedAddress(target)}
		}()
	}
	for range targets {
		switch result := <-results; {
		case result.accepts:
			accepted++
		case result.refuses:
			failed++
		}
	}
	return accepted, failed
}

// randomTargets returns the given targets and random other ones up to the count, of different services if there are as many.
func (watch *Watch) randomTargets(targets []netip.AddrPort, count int) []netip.AddrPort {
	view := watch.catalogue.View()
	targets = slices.DeleteFunc(slices.Clone(targets), view.IsEvacuatedAddress)
	if view.Configuration == nil {
		return targets
	}
	for range count {
		for service := range view.Configuration.Services { // in random order
			registered := view.Targets(service)
			if len(registered) == 0 || len(targets) >= count {
				continue
			}
			address := registered[rand.IntN(len(registered))].Address
			if !slices.Contains(targets, address) {
				targets = append(targets, address)
			}
		}
	}
	return targets
}

// report logs the change and passes it on.
func (watch *Watch) report(change reach.Change, probesFailed int) {
	now := time.Now()
	fields := logrus.Fields{"evidence": string(change.Cause), "pending": change.Pending, "since_ms": now.Sub(change.Since).Milliseconds()}
	if change.Lost {
		watch.counters.lost.Inc(1)
		fields["failed_targets"], fields["failed_probes"] = change.Failed, probesFailed
		watch.log.WithFields(fields).Warn("path to the targets lost")
	} else {
		watch.counters.found.Inc(1)
		watch.log.WithFields(fields).Info("path to the targets is back")
	}
	watch.onChange(change)
}
