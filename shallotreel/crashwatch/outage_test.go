package crashwatch

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
)

const (
	outagePeriod   = 7 * time.Second
	servedAgain    = 45 * time.Second // after the targets of the last outage are back, within which each harmless request is served again
	observedTime   = 5 * time.Second  // for which they are observed then
	quietPeriod    = 400 * time.Millisecond
	burstTime      = 2 * time.Second // for which the popular request comes often, around each outage
	longestOutages = 3
)

// crashServices crashes all targets of the services of the outage.
func (simulation *simulation) crashServices(outage int) {
	names := simulation.route.ServiceNames()
	for _, target := range slices.Clone(simulation.targets) {
		position := slices.Index(names, target.Service) - outage*simulation.services
		if (position%len(names)+len(names))%len(names) < simulation.services && !target.down {
			target.crash()
		}
	}
}

// startOutages starts the outages, and harmless requests of which many have the same content.
func (simulation *simulation) startOutages(popular time.Duration) {
	fingerprint := quarantine.Fingerprint(firstFingerprint)
	simulation.sendHarmless(quietPeriod, func() quarantine.Fingerprint { fingerprint++; return fingerprint })
	simulation.sendHarmless(quietPeriod, func() quarantine.Fingerprint { return popularFingerprint })
	for outage := range simulation.outages {
		at := queueFrom + time.Duration(outage)*outagePeriod
		simulation.Schedule(at, func() { simulation.crashServices(outage) })
		simulation.Schedule(at-burstTime/2, func() { simulation.sendBurst(popular, simulation.Now.Add(burstTime)) })
	}
}

// sendBurst sends popular requests until the time given.
func (simulation *simulation) sendBurst(period time.Duration, until time.Time) {
	if simulation.Now.Before(until) {
		simulation.request("popular", popularFingerprint, false, func(result.Code) {})
		simulation.Schedule(period, func() { simulation.sendBurst(period, until) })
	}
}

// drawOutages draws conditions with outages and the period of a popular request.
func drawOutages(t *rapid.T) (conditions, time.Duration) {
	drawn := drawConditions(t)
	drawn.outages = rapid.IntRange(1, longestOutages).Draw(t, "outages")
	drawn.services = rapid.IntRange(1, max(1, (drawn.shards+1)/2)).Draw(t, "services in an outage")
	drawn.down = min(drawn.down, outagePeriod-time.Second)
	return drawn, time.Duration(rapid.IntRange(5, 50).Draw(t, "popular period ms")) * time.Millisecond
}

// TestServedAfterOutages guards against a mark on a harmless request that lasts by its own effect: all targets of some services crash together while many callers
// send the same request, nothing of it is sent any more, and so nothing clears the mark (review/7).
func TestServedAfterOutages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn, popular := drawOutages(t)
		playOutages(t, drawn, popular)
	})
}

// playOutages checks that all harmless requests are served some time after the outages.
func playOutages(t fataler, conditions conditions, popular time.Duration) {
	t.Helper()
	simulation := newSimulation(conditions)
	simulation.startOutages(popular)
	simulation.Run(queueFrom + time.Duration(conditions.outages)*outagePeriod + conditions.down + servedAgain)
	before := len(simulation.harmless)
	simulation.Run(observedTime)
	for _, outcome := range simulation.harmless[before:] {
		if outcome.refused {
			t.Fatalf("a harmless request is refused by a mark %v after the last outage", servedAgain)
		}
	}
}

// TestServedAfterLongOutage guards against trials that are used up while a shard has no targets, so that no other one clears the mark for half a day.
func TestServedAfterLongOutage(t *testing.T) {
	const down = time.Minute
	for _, seed := range []uint64{0, 3} { // of six in which the request is refused at all
		session, _ := playPopular(outage{seed: seed, services: 1, down: down, perSecond: 500}, false)
		if session.refused == 0 {
			t.Errorf("seed %d: no request was refused, so the session shows nothing", seed)
		}
		if left := session.last.Sub(epoch.Add(queueFrom + down)); left > servedAgain {
			t.Errorf("seed %d: requests are refused %v after the outage", seed, left)
		}
	}
}

// TestTrialsOfCrashingRequest guards against trials of a quarantined request that crash more targets than a repeat may.
func TestTrialsOfCrashingRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn, popular := drawOutages(t)
		drawn.silent = false
		simulation := newSimulation(drawn)
		simulation.startOutages(popular)
		simulation.repeatCulprit(culpritFingerprint, 0)
		simulation.Run(queueFrom + servedAgain + time.Minute)
		if late := simulation.lateRepeats(); late > maxLateRepeats {
			t.Fatalf("%d repeats reached targets later than %v after crash %d, allowed are %d; %d crashes in all",
				late, spreadTime, freeCrashes, maxLateRepeats, len(simulation.crashes))
		}
	})
}
