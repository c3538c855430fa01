package ingress

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"shallotreel.example/reel/query"
	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/relay"
)

// fullTargets answers as targets whose slots and queues are full, and keeps the paths of the requests.
type fullTargets struct{ paths sync.Map }

func (targets *fullTargets) serve(writer http.ResponseWriter, request *http.Request) {
	targets.paths.Store(request.URL.Path, true)
	writer.Header().Set("Not-Run", "1")
	writer.Header().Set("Server-Load", "4,8,4")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// maxWaves is the number of waves of concurrent requests within which some are refused.
const maxWaves = 50

// TestAdmissionRefusal guards against requests that are sent although their group is overloaded, and against refusals that do not
// say so: the caller gets 503 with a time to retry, the operator counts, and another instance a code that earlier versions know.
func TestAdmissionRefusal(t *testing.T) {
	targets := &fullTargets{}
	fixture := newFixture(t, singleRoute, targets.serve)
	var refused, relayed atomic.Int64
	for range maxWaves { // the first meets no limit, and later ones if a busy machine runs few of their requests at once
		var wave sync.WaitGroup
		for range 40 {
			wave.Go(func() {
				path := "/x/" + strconv.FormatUint(rand.Uint64(), 10)
				recorder := fixture.request(http.MethodGet, path, "")
				if recorder.Code != http.StatusServiceUnavailable {
					t.Errorf("status %d", recorder.Code)
				}
				if recorder.Body.String() != "overloaded\n" {
					return
				}
				refused.Add(1)
				if _, sent := targets.paths.Load(path); sent {
					t.Error("a refused request was sent")
				}
				if after, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64); err != nil || after <= 0 {
					t.Errorf("Retry-After is %q", recorder.Header().Get("Retry-After"))
				}
			})
			wave.Go(func() {
				reply := fixture.handler.ServeRelayed(t.Context(), relay.Request{Method: http.MethodGet, Host: "h.example",
					URI: "/x/" + strconv.FormatUint(rand.Uint64(), 10), Left: time.Second, GoalLeft: time.Second})
				if !reply.Overloaded {
					return
				}
				relayed.Add(1)
				if reply.Code != result.NoTarget || reply.RetryAfter <= 0 || len(reply.Spent) > 0 {
					t.Errorf("reply is %+v", reply)
				}
			})
		}
		wave.Wait()
		if refused.Load() > 0 && relayed.Load() > 0 {
			break
		}
	}
	if refused.Load() == 0 || relayed.Load() == 0 {
		t.Errorf("%d requests were refused and %d relayed ones, want some", refused.Load(), relayed.Load())
	}
	if !fixture.handler.admission.Overloaded(time.Now(), &fixture.view.Configuration.Routes[0]) {
		t.Error("the group does not refuse requests")
	}
	assertSpentLeftOpen(t, fixture, "/x/spent")
	loads := fixture.handler.Load()
	if len(loads) != 1 || loads[0].Limit == 0 || loads[0].Evidence != "overloaded" || len(loads[0].Ranks) != 1 || len(loads[0].Ranks[0].Refused) == 0 {
		t.Errorf("load is %+v", loads)
	}
	if text, err := json.Marshal(loads); err != nil || !strings.Contains(string(text), `"in_flight":0`) {
		t.Errorf("load is encoded as %s, %v", text, err)
	}
}

// TestAdmissionOfFailures guards against limits because of failures that are not load.
func TestAdmissionOfFailures(t *testing.T) {
	fixture := newFixture(t, singleRoute, func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusInternalServerError)
	})
	for range 60 {
		fixture.request(http.MethodGet, "/x/a", "")
	}
	if loads := fixture.handler.Load(); loads[0].Limit != 0 || loads[0].Refusing {
		t.Errorf("load is %+v", loads)
	}
}

// assertSpentLeftOpen checks that a request which an earlier instance has sent does not end here as one that did not run.
func assertSpentLeftOpen(t *testing.T, fixture *fixture, path string) {
	t.Helper()
	reply := fixture.handler.ServeRelayed(t.Context(), relay.Request{Method: http.MethodGet, Host: "h.example", URI: path, Left: time.Second,
		GoalLeft: time.Second, Spent: query.Spending{"former-desk": 1}})
	if reply.Code.Ran() != result.RanUnknown || reply.Overloaded || reply.Spent["former-desk"] != 1 {
		t.Errorf("reply to a request that may have run is %+v", reply)
	}
}

// TestUnknownRouteOfSpentRequest guards against a request that an earlier instance has sent and that ends as if no configuration allowed it.
func TestUnknownRouteOfSpentRequest(t *testing.T) {
	assertSpentLeftOpen(t, newFixture(t, singleRoute, (&fullTargets{}).serve), "/dropped/a")
}
