package ingress

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, 12) }

// drawnCut is a cut of the paths of some instances.
type drawnCut struct {
	at, duration time.Duration
	kind         cut
	instances    []int
}

// TestDrawnCutsOfFleet guards against broken promises while instances lose their paths to the targets and a route moves: callers of these are
// served, no request runs twice, "not run" is true, attempts, budget and deadlines are kept, and no ordinary request is marked.
func TestDrawnCutsOfFleet(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		instances := rapid.IntRange(2, 9).Draw(drawn, "instances")
		seed := rapid.Uint64().Draw(drawn, "seed")
		newsDelay := time.Duration(rapid.IntRange(1, 600).Draw(drawn, "news delay")) * time.Millisecond
		period := time.Duration(rapid.IntRange(15, 200).Draw(drawn, "period")) * time.Millisecond // between requests to an instance
		crashing := rapid.Bool().Draw(drawn, "crashing request")
		moved := rapid.Bool().Draw(drawn, "a route moves")
		movedFrom := time.Duration(rapid.IntRange(0, 9000).Draw(drawn, "moved from")) * time.Millisecond
		movedAt := make([]time.Duration, instances)
		for instance := range instances {
			movedAt[instance] = movedFrom + time.Duration(rapid.IntRange(0, int(simulatedSpread.Milliseconds())).Draw(drawn, "learned after"))*time.Millisecond
		}
		var cuts []drawnCut
		for i := range rapid.IntRange(1, 3).Draw(drawn, "cuts") {
			cut := drawnCut{at: time.Duration(rapid.IntRange(0, 9000).Draw(drawn, "at")) * time.Millisecond, kind: cut(rapid.IntRange(1, int(cutKinds)-1).Draw(drawn, "kind")),
				duration: time.Duration(rapid.IntRange(50, 8000).Draw(drawn, "duration")) * time.Millisecond}
			for instance := range instances {
				if rapid.IntRange(0, 2).Draw(drawn, fmt.Sprintf("cut %d of instance %d", i, instance)) > 0 {
					cut.instances = append(cut.instances, instance)
				}
			}
			cuts = append(cuts, cut)
		}
		synctest.Test(t, func(t *testing.T) {
			fleet := newSimulatedFleet(t, instances, seed, newsDelay)
			for number := 0; moved && number < instances; number++ {
				time.AfterFunc(movedAt[number], func() { fleet.configure(fleet.instances[number], 1) })
			}
			fleet.play(cuts, period, crashing)
			fleet.close()
			fleet.check(crashing)
		})
		if t.Failed() {
			drawn.Fatalf("a promise is broken with cuts %+v", cuts)
		}
	})
}

// TestMovedRouteAfterTwoHandOvers guards against requests that run at two services: an instance without a path asks a helper that loses its
// own path while the request runs, and then one that knows of a newer configuration, by which the route has moved.
func TestMovedRouteAfterTwoHandOvers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newSimulatedFleet(t, 3, 1, time.Millisecond)
		origin, first, second := fleet.instances[0], fleet.instances[1], fleet.instances[2]
		fleet.cutPath(origin, reset, simulatedSession)
		for version := 1; version < simulatedVersions; version++ {
			time.AfterFunc(time.Duration(2*version-1)*time.Second, func() {
				fleet.configure(second, version)
				fleet.cutPath(first, reset, time.Second)
			})
			time.AfterFunc(time.Duration(2*version)*time.Second, func() {
				fleet.configure(origin, version)
				fleet.configure(first, version)
			})
		}
		for count, began := 0, time.Now(); time.Since(began) < simulatedSession; time.Sleep(20 * time.Millisecond) {
			go fleet.call(origin, http.MethodPost, fmt.Sprint("/one/", count), 0)
			count++
		}
		fleet.close()
		fleet.check(false)
	})
}

// play sends requests to all instances and cuts paths as drawn.
func (fleet *simulatedFleet) play(cuts []drawnCut, period time.Duration, crashing bool) {
	for _, cut := range cuts {
		time.AfterFunc(cut.at, func() {
			for _, number := range cut.instances {
				if fleet.instances[number].path.state() == noCut {
					fleet.cutPath(fleet.instances[number], cut.kind, cut.duration)
				}
			}
		})
	}
	if crashing {
		for number := range 6 {
			time.AfterFunc(time.Duration(3+number)*time.Second, func() {
				fleet.call(fleet.instances[number%len(fleet.instances)], http.MethodGet, crashingPrefix, 0)
			})
		}
	}
	for count := 0; time.Duration(count)*period < simulatedSession; count++ {
		for _, instance := range fleet.instances {
			go fleet.call(instance, []string{http.MethodGet, http.MethodGet, http.MethodPost}[count%3], fmt.Sprintf("/%s/%d", []string{"all", "one", "one"}[count%3], count),
				[]time.Duration{0, 0, 0, 0, 0, 0, 40 * time.Millisecond}[count%7])
		}
		time.Sleep(period)
	}
}

// check checks the promises after a session.
func (fleet *simulatedFleet) check(crashing bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.checkServed()
	fleet.checkArrivals()
	fleet.checkBudget()
	if !crashing && fleet.marks > 0 {
		fleet.t.Errorf("%d marks although no request crashes a target", fleet.marks)
	}
}

// checkServed compares the first attempts at instances without a path, from settleTime after the cut began, with those at the
// other ones at the same time. While no instance has a path, nobody can be served.
func (fleet *simulatedFleet) checkServed() {
	var served, asked [2]int // at instances with a path, and without
	for _, call := range fleet.calls {
		if !call.leftAt.IsZero() {
			continue
		}
		cuts, isCut, settled := 0, false, true
		for _, instance := range fleet.instances {
			for _, cut := range instance.cuts {
				if call.at.Before(cut.from) || !call.at.Before(cut.to) {
					continue
				}
				cuts++
				isCut = isCut || instance.number == call.instance
				settled = settled && call.at.Sub(cut.from) >= settleTime
			}
		}
		if cuts == 0 || cuts == len(fleet.instances) || !settled {
			continue
		}
		side := 0
		if isCut {
			side = 1
		}
		asked[side]++
		if call.status == http.StatusOK {
			served[side]++
		}
	}
	failed := asked[1] - served[1]
	if asked[0] == 0 || failed <= freeFailures+(asked[0]+asked[1])/freeFailureDivisor {
		return
	}
	if 3*served[1]*asked[0] < 2*served[0]*asked[1] {
		fleet.t.Errorf("instances without a path served %d of %d requests, the others %d of %d", served[1], asked[1], served[0], asked[0])
	}
}

// checkArrivals checks attempts, refusals, deadlines and what arrives after a caller has left.
func (fleet *simulatedFleet) checkArrivals() {
	arrivals := map[[2]string]int{}
	ran := map[string]int{}
	late := 0
	for _, arrival := range fleet.arrivals {
		call := fleet.calls[arrival.id]
		arrivals[[2]string{arrival.id, arrival.service}]++
		ran[arrival.id]++
		if arrival.left <= 0 || arrival.at.Add(arrival.left).After(call.at.Add(simulatedTimeout+deadlineTolerance)) && !fleet.heldUp(arrival) {
			fleet.t.Errorf("%s arrives with %v left, %v after it was sent", arrival.id, arrival.left, arrival.at.Sub(call.at))
		}
		if !call.leftAt.IsZero() && arrival.at.After(call.leftAt.Add(leaveTolerance)) && !fleet.heldUp(arrival) {
			late++
		}
	}
	if late > 0 {
		fleet.t.Errorf("%d arrivals later than %v after the caller left", late, leaveTolerance)
	}
	for key, count := range arrivals {
		if count > simulatedAttempts {
			fleet.t.Errorf("%s arrives %d times at service %s", key[0], count, key[1])
		}
	}
	for id, call := range fleet.calls {
		if !call.idempotent && ran[id] > 1 {
			fleet.t.Errorf("%s must not be repeated and arrives %d times", id, ran[id])
		}
		if call.status == http.StatusServiceUnavailable && ran[id] > 0 {
			fleet.t.Errorf("%s is refused as not run, and arrives %d times", id, ran[id])
		}
	}
}

// heldUp reports whether the path of the sending instance may have held the request up.
func (fleet *simulatedFleet) heldUp(arrival simulatedArrival) bool {
	sentAt := fleet.calls[arrival.id].at
	return slices.ContainsFunc(fleet.instances[arrival.instance].cuts, func(cut interval) bool {
		return !sentAt.After(cut.to) && arrival.at.After(cut.from)
	})
}

// checkBudget checks the arrivals beyond the first of each request in each window.
func (fleet *simulatedFleet) checkBudget() {
	extras, requests := map[string][]time.Time{}, map[string][]time.Time{}
	seen := map[[2]string]bool{}
	for _, arrival := range fleet.arrivals {
		key := [2]string{arrival.id, arrival.service}
		if seen[key] {
			extras[arrival.service] = append(extras[arrival.service], arrival.at)
		} else {
			requests[arrival.service] = append(requests[arrival.service], arrival.at)
		}
		seen[key] = true
	}
	within := func(times []time.Time, end time.Time) int {
		count := 0
		for _, at := range times {
			if !at.After(end) && at.After(end.Add(-simulatedWindow)) {
				count++
			}
		}
		return count
	}
	for service, times := range extras {
		for _, end := range times {
			if count, bound := within(times, end), simulatedRatio*float64(within(requests[service], end))+simulatedSlack; float64(count) > bound {
				fleet.t.Errorf("%d extra arrivals at %s in a window, allowed are %.0f", count, service, bound)
				break
			}
		}
	}
}
