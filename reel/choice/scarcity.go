package choice

import (
	"math"
	"time"
)

const (
	scarceShare    = 0.5             // of requests that wait in vain, above which a service is scarce
	scarceWeight   = 0.1             // of one request in that share
	scarceHalfLife = 2 * time.Second // of the share, so that a scarce service is waited for again now and then
)

// scarcity is the share of requests that of late waited in vain for a target of one service.
type scarcity struct {
	share float64
	at    time.Time
	since time.Time // when it was last seen to rise above the share that makes a service scarce
}

func (scarcity *scarcity) now(now time.Time) float64 {
	return scarcity.share * math.Exp2(-now.Sub(scarcity.at).Seconds()/scarceHalfLife.Seconds())
}

// Waited notes that a request got a target of the service, or waited for one in vain.
func (board *Board) Waited(now time.Time, service string, inVain bool) {
	known, ok := board.scarcities[service]
	if !ok {
		if !inVain {
			return
		}
		known = &scarcity{at: now}
		board.scarcities[service] = known
	}
	share := known.now(now) * (1 - scarceWeight)
	if inVain {
		share += scarceWeight
	}
	switch {
	case share > scarceShare && known.share <= scarceShare:
		known.since = now
		board.believe(Belief{Subject: service, What: ScarceNow, Share: share})
	case share <= scarceShare && known.share > scarceShare:
		board.believe(Belief{Subject: service, What: ScarceNoLonger, Share: share})
	}
	known.share, known.at = share, now
}

// Scarce reports whether most requests of late waited in vain for a target of the service, and for how long that has
// been so.
func (board *Board) Scarce(now time.Time, service string) (time.Duration, bool) {
	known, ok := board.scarcities[service]
	if !ok || known.now(now) <= scarceShare {
		return 0, false
	}
	return now.Sub(known.since), true
}
