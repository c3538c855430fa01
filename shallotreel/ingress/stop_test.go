package ingress

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const (
	stopPeriod = 10 * time.Millisecond // between two requests to an instance
	// serveMargin is the time before the last answers at which requests, which take at most pauseTime, are still served.
	serveMargin = 2 * pauseTime
)

// TestDrawnStops guards against requests that a planned stop cuts: requests that come until the end of the process are answered before it,
// as not run if they cannot be; no deadline passes the end, and no request is refused that still can be served. Instances without a
// path hand requests over to and from the stopping one.
func TestDrawnStops(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		instances := rapid.IntRange(2, 4).Draw(drawn, "instances")
		seed := rapid.Uint64().Draw(drawn, "seed")
		grace := time.Duration(rapid.IntRange(110, 3000).Draw(drawn, "grace")) * time.Millisecond
		cutInstance := rapid.IntRange(0, instances).Draw(drawn, "instance without a path") // none if instances
		kind := cut(rapid.IntRange(1, int(cutKinds)-1).Draw(drawn, "kind"))
		synctest.Test(t, func(t *testing.T) {
			fleet := newSimulatedFleet(t, instances, seed, 10*time.Millisecond)
			stopping := fleet.instances[0]
			if cutInstance < instances {
				fleet.cutPath(fleet.instances[cutInstance], kind, simulatedSession)
			}
			var end time.Time
			stopAt := time.Now().Add(2 * time.Second)
			for count := 0; end.IsZero() || time.Now().Before(end); count++ {
				if end.IsZero() && !time.Now().Before(stopAt) {
					end = stopAt.Add(grace)
					stopping.handler.StopBy(end)
				}
				for _, instance := range fleet.instances {
					go fleet.call(instance, []string{http.MethodGet, http.MethodPost}[count%2], fmt.Sprintf("/one/%d", count), 0)
				}
				time.Sleep(stopPeriod)
			}
			fleet.close()
			fleet.mutex.Lock()
			defer fleet.mutex.Unlock()
			fleet.checkStopped(stopping, stopAt, end, cutInstance == instances)
			fleet.checkArrivals()
		})
		if t.Failed() {
			drawn.Fatalf("a promise is broken")
		}
	})
}

// checkStopped checks the requests to the instance, whose process begins to stop and ends at the times.
func (fleet *simulatedFleet) checkStopped(stopping *simulatedInstance, stopAt, end time.Time, undisturbed bool) {
	for _, arrival := range fleet.arrivals {
		begun := arrival.instance == stopping.number && arrival.at.Sub(stopAt) > stopPeriod && !fleet.heldUp(arrival)
		if by := arrival.at.Add(arrival.left); begun && by.After(end) {
			fleet.t.Errorf("%s has a deadline at a target that is %v after the end", arrival.id, by.Sub(end))
		}
	}
	for id, call := range fleet.calls {
		if call.instance != stopping.number {
			continue
		}
		if call.endedAt.After(end) {
			fleet.t.Errorf("%s, sent %v before the end, is answered %v after it", id, end.Sub(call.at), call.endedAt.Sub(end))
		}
		if !undisturbed || call.status == http.StatusOK || call.at.Before(stopAt) {
			continue
		}
		if end.Sub(call.at) > stopMargin+serveMargin {
			fleet.t.Errorf("%s, sent %v before the end, ends with status %d", id, end.Sub(call.at), call.status)
		}
		if call.status != http.StatusServiceUnavailable {
			fleet.t.Errorf("%s, sent %v before the end, was let in and ends with status %d", id, end.Sub(call.at), call.status)
		}
	}
}
