package crashwatch

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/choice"
	"shallotreel.example/reel/extra"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/replication"
)

// instance is one process of shallotreel.
type instance struct {
	simulation   *simulation
	catalogue    *catalogue.Catalogue
	watch        *Watch
	replication  *replication.Machine
	failedAt     map[string]time.Time
	waitingSince map[string]time.Time // when the first attempt was sent since the target's last answer
	startedAt    time.Time
	incarnation  int
}

func (instance *instance) start() {
	instance.incarnation++
	instance.startedAt = instance.simulation.Now
	instance.failedAt, instance.waitingSince = map[string]time.Time{}, map[string]time.Time{}
	instance.catalogue = catalogue.New()
	for _, target := range instance.simulation.targets {
		if !target.down {
			instance.catalogue.Register(target.Target)
		}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	tracker := &quarantine.Tracker{}
	instance.replication = replication.New(tracker)
	instance.watch = New(tracker, instance, func(fingerprint quarantine.Fingerprint) {
		instance.replication.Changed(instance.simulation.Now, fingerprint)
		instance.push()
	}, log, tally.NoopScope)
	instance.watch.SetMembers(instance.name(), instance.simulation.members())
	instance.repeat(tickPeriod, func() { instance.watch.Tick(instance.simulation.Now) })
	instance.repeat(gossipPeriod, func() {
		instance.push()
		instance.send(instance.peer(), instance.replication.Message(instance.simulation.Now))
	})
}

// inTouch reports whether the process has been running for long enough to know the marks.
func (instance *instance) inTouch() bool {
	return instance.startedAt.Equal(epoch) || instance.simulation.Now.Sub(instance.startedAt) >= spreadTime
}

// repeat runs the function periodically until the process is killed.
func (instance *instance) repeat(period time.Duration, run func()) {
	incarnation := instance.incarnation
	instance.simulation.Schedule(period, func() {
		if instance.incarnation == incarnation {
			run()
			instance.repeat(period, run)
		}
	})
}

// hear applies a change of the registrations after a delay.
func (instance *instance) hear(apply func(now time.Time) []catalogue.Change) {
	if instance.catalogue == nil {
		return // not started yet
	}
	instance.simulation.Schedule(instance.simulation.draw(400*time.Millisecond), func() {
		for _, change := range apply(instance.simulation.Now) {
			instance.watch.TargetChanged(instance.simulation.Now, change)
		}
	})
}

// View returns the current view of the targets.
func (instance *instance) View() *catalogue.View { return instance.catalogue.View() }

// peer returns a random other instance.
func (instance *instance) peer() *instanceProcess {
	for {
		peer := instance.simulation.instances[instance.simulation.random.IntN(len(instance.simulation.instances))]
		if peer != instance {
			return peer
		}
	}
}

type instanceProcess = instance

// name returns the name under which the peers know the instance.
func (instance *instance) name() string {
	return fmt.Sprint("front-", slices.Index(instance.simulation.instances, instance))
}

func (instance *instance) push() {
	if !instance.replication.Pending() {
		return
	}
	for range gossipFanout {
		instance.send(instance.peer(), instance.replication.Message(instance.simulation.Now))
	}
}

// send sends a datagram, which may be lost or arrive twice.
func (instance *instance) send(peer *instanceProcess, message replication.Message) {
	simulation := instance.simulation
	if simulation.random.Float64() < simulation.loss {
		return
	}
	copies := 1
	if simulation.random.Float64() < simulation.duplicates {
		copies = 2
	}
	for range copies {
		simulation.Schedule(simulation.draw(simulation.maxDelay), func() { peer.receive(instance, message) })
	}
}

func (instance *instance) receive(from *instanceProcess, message replication.Message) {
	now, peer := instance.simulation.Now, from.name()
	changed, differs := instance.replication.Receive(now, peer, message)
	if len(changed) > 0 {
		instance.push()
	}
	if marks, ok := instance.replication.CatchUp(now, peer); differs && ok {
		instance.send(from, marks)
	}
}

// Choose implements query.Router.
func (instance *instance) Choose(now time.Time, _ *catalogue.Route, service string, tried []string) (choice.Pick, bool) {
	var usable, silent []catalogue.Target
	for _, target := range instance.View().Targets(service) {
		switch {
		case slices.Contains(tried, target.ID) || now.Sub(instance.failedAt[target.ID]) < failureBackoff:
		case now.Sub(cmp.Or(instance.waitingSince[target.ID], now)) > suspicionTimeout:
			silent = append(silent, target)
		default:
			usable = append(usable, target)
		}
	}
	if len(usable) == 0 {
		usable = silent
	}
	if len(usable) == 0 {
		return choice.Pick{}, false
	}
	return choice.Pick{Target: usable[instance.simulation.random.IntN(len(usable))]}, true
}

// HasTargets implements query.Router.
func (instance *instance) HasTargets(service string) bool {
	return len(instance.View().Targets(service)) > 0
}

// QuietFor implements query.Router.
func (instance *instance) QuietFor(time.Time, string) time.Duration { return 0 }

// Saturated implements query.Router.
func (instance *instance) Saturated(time.Time, string) (time.Duration, bool) { return 0, false }

// RecordWait implements query.Router.
func (instance *instance) RecordWait(time.Time, string, bool) {}

// CountRequest implements query.Router.
func (instance *instance) CountRequest(time.Time, string) {}

// SpendExtra implements query.Router.
func (instance *instance) SpendExtra(time.Time, string, extra.Purpose) bool { return true }

// LatencyQuantile implements query.Router.
func (instance *instance) LatencyQuantile(*catalogue.Route, float64) time.Duration {
	return 30 * time.Millisecond
}

// RecentLatency implements query.Router.
func (instance *instance) RecentLatency(time.Time, *catalogue.Route, float64) time.Duration { return 0 }

// Overloaded implements query.Router.
func (instance *instance) Overloaded(time.Time, *catalogue.Route) bool { return false }

// BeginTrial implements query.Router.
func (instance *instance) BeginTrial(now time.Time, fingerprint quarantine.Fingerprint) bool {
	return instance.watch.BeginTrial(now, fingerprint)
}

// EndTrial implements query.Router.
func (instance *instance) EndTrial(fingerprint quarantine.Fingerprint, next time.Time) {
	instance.watch.EndTrial(fingerprint, next)
}

// Verdict implements query.Router.
func (instance *instance) Verdict(now time.Time, fingerprint quarantine.Fingerprint) (quarantine.Verdict, time.Duration) {
	return instance.watch.Verdict(now, fingerprint)
}
