package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/relay"
)

// refuseAll answers as a target whose slots and queue are full.
func refuseAll(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Not-Run", "1")
	writer.Header().Set("Server-Load", "4,8,4")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// overload sends requests until the group refuses them.
func (fixture *fixture) overload(t *testing.T) {
	t.Helper()
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() { fixture.request(http.MethodGet, "/x/"+strconv.Itoa(i), "") })
	}
	group.Wait()
	if !fixture.handler.admission.Overloaded(time.Now(), &fixture.view.Configuration.Routes[0]) {
		t.Fatal("the group does not refuse requests")
	}
}

// TestAdmissionRefusal guards against requests that are sent although their group is overloaded, and against refusals that do not
// say so: the caller gets 503 with a time to retry, the operator counts, and another instance a code that earlier versions know.
func TestAdmissionRefusal(t *testing.T) {
	fixture := newFixture(t, singleRoute, refuseAll)
	fixture.overload(t)
	refused := 0
	for i := range 50 {
		runs := fixture.runs.Load()
		recorder := fixture.request(http.MethodGet, "/x/more/"+strconv.Itoa(i), "")
		assertStatus(t, recorder, http.StatusServiceUnavailable)
		if fixture.records.last.Load().Code != result.Overloaded {
			continue
		}
		refused++
		if fixture.runs.Load() != runs {
			t.Error("a refused request was sent")
		}
		if after, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64); err != nil || after <= 0 {
			t.Errorf("Retry-After is %q", recorder.Header().Get("Retry-After"))
		}
	}
	if refused == 0 {
		t.Fatal("no request was refused")
	}
	loads := fixture.handler.Load()
	if len(loads) != 1 || loads[0].Limit == 0 || loads[0].Evidence != "overloaded" || len(loads[0].Ranks) != 1 || len(loads[0].Ranks[0].Refused) == 0 {
		t.Errorf("load is %+v", loads)
	}
	if text, err := json.Marshal(loads); err != nil || !strings.Contains(string(text), `"in_flight":0`) {
		t.Errorf("load is encoded as %s, %v", text, err)
	}
	for i := range 50 {
		reply := fixture.handler.ServeRelayed(t.Context(), relay.Request{Method: http.MethodGet, Host: "h.example", URI: "/x/relayed/" + strconv.Itoa(i),
			Left: time.Second, GoalLeft: time.Second})
		if reply.Overloaded {
			if reply.Code != result.NoTarget || reply.RetryAfter <= 0 || len(reply.Spent) > 0 {
				t.Errorf("reply is %+v", reply)
			}
			return
		}
	}
	t.Error("no relayed request was refused")
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
