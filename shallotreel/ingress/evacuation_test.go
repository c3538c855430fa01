package ingress

import (
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/storepos"
	"shallotreel.example/shallotreel/connpool"
)

// TestEvacuatedTarget guards against requests to a data centre that is evacuated while a connection to it is being opened, against an
// evacuation that counts as a failure of its targets, and against callers that wait although no target is left.
func TestEvacuatedTarget(t *testing.T) {
	fixture := newFixture(t, singleRoute, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Server-Stamp", "stamp")
	})
	assertStatus(t, fixture.request(http.MethodGet, "/x/a", ""), http.StatusOK)
	var checks atomic.Int64
	const ofFirstAttempt = 2 // for an idle connection and before the dial
	fixture.serveOver(connpool.NewPool(connpool.WithExclusion(func(netip.AddrPort) bool { return checks.Add(1) <= ofFirstAttempt })))
	assertStatus(t, fixture.request(http.MethodGet, "/x/a", ""), http.StatusOK)
	if attempts := len(fixture.records.last.Load().Attempts); attempts != 2 {
		t.Errorf("%d attempts, want one that is not sent and another one", attempts)
	}
	now := time.Now()
	pick, ok := fixture.handler.router.Choose(now, &fixture.view.Configuration.Routes[0], "desk", nil, nil)
	if !ok || pick.Grade != "good" {
		t.Errorf("after the evacuation the target is picked: %t, as %s", ok, pick.Grade)
	}

	targets := catalogue.New()
	targets.Register(fixture.view.Targets("desk")[0])
	targets.Configure(fixture.view.Configuration)
	targets.Evacuate(now, "a", storepos.Position{Era: 1, Revision: 1})
	fixture.serve(targets)
	refused := fixture.request(http.MethodGet, "/x/a", "")
	assertStatus(t, refused, http.StatusServiceUnavailable)
	if refused.Header().Get("Retry-After") == "" {
		t.Error("the refusal does not say when to retry")
	}
	if record := fixture.records.last.Load(); len(record.Attempts) > 0 {
		t.Errorf("%d attempts were begun", len(record.Attempts))
	}
	if runs := fixture.runs.Load(); runs != 2 {
		t.Errorf("targets received %d requests, want 2", runs)
	}
}
