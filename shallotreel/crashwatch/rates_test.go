package crashwatch

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"shallotreel.example/reel/result"
)

var rates = flag.Bool("rates", false, "print how often harmless requests are refused after outages, and crashing ones bounded; it takes minutes")

const (
	rateSessions = 20
	rateShards   = 10
	rateDown     = 4400 * time.Millisecond // as in review/7
)

// popularSession is what became of the popular request in one session.
type popularSession struct {
	refused     int
	first, last time.Time // of the refusals
}

// sendCounted sends popular requests, or those of the culprit, until the time given, and counts the refusals.
func (simulation *simulation) sendCounted(session *popularSession, crashes bool, period time.Duration, until time.Time) {
	if !simulation.Now.Before(until) {
		return
	}
	fingerprint := popularFingerprint
	if crashes {
		fingerprint = culpritFingerprint
	}
	simulation.request(fmt.Sprint("popular-", simulation.nextID()), fingerprint, crashes, func(code result.Code) {
		if code == result.Quarantined {
			if session.refused == 0 {
				session.first = simulation.Now
			}
			session.refused, session.last = session.refused+1, simulation.Now
		}
	})
	simulation.Schedule(period, func() { simulation.sendCounted(session, crashes, period, until) })
}

// outage is one of all targets of some services under a popular request.
type outage struct {
	seed      uint64
	services  int
	down      time.Duration
	perSecond int // requests for a second after it; then they come less often
}

// playPopular plays a session with the outage and two minutes after it. The popular request crashes its targets or is harmless.
func playPopular(outage outage, crashes bool) (popularSession, *simulation) {
	simulation := newSimulation(conditions{seed: outage.seed, instances: 6, shards: rateShards, targets: 3, idempotent: true, down: outage.down,
		maxDelay: 50 * time.Millisecond, loss: 0.05, lostAnswer: 0.01, outages: 1, services: outage.services})
	var session popularSession
	length := queueFrom + outage.down + 2*time.Minute
	simulation.Schedule(queueFrom, func() { simulation.crashServices(0) })
	simulation.sendCounted(&session, crashes, time.Second/time.Duration(outage.perSecond), epoch.Add(queueFrom+time.Second))
	simulation.Schedule(queueFrom+time.Second, func() { simulation.sendCounted(&session, crashes, quietPeriod/8, epoch.Add(length)) })
	simulation.Run(length)
	return session, simulation
}

// TestRates prints the rates of docs/MEASUREMENTS.md.
func TestRates(t *testing.T) {
	if !*rates {
		t.Skip("-rates is not set")
	}
	for _, down := range []int{1, 3, 5} {
		for _, perSecond := range []int{20, 200, 2000} {
			refusedSessions, bounded, worstLate, longest := 0, 0, 0, time.Duration(0)
			for seed := range uint64(rateSessions) {
				outage := outage{seed, down, rateDown, perSecond}
				session, _ := playPopular(outage, false)
				if session.refused > 0 {
					refusedSessions++
					longest = max(longest, session.last.Sub(session.first))
				}
				_, simulation := playPopular(outage, true)
				late := simulation.lateRepeats()
				worstLate = max(worstLate, late)
				if late <= maxLateRepeats {
					bounded++
				}
			}
			t.Logf("%d shards down, %d a second: harmless ever refused %d of %d, for %v at most; crashing bounded %d of %d, %d late repeats at most",
				down, perSecond, refusedSessions, rateSessions, longest.Round(100*time.Millisecond), bounded, rateSessions, worstLate)
		}
	}
}
