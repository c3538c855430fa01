package ingress

import (
	"net/http"
	"testing"
)

// TestQuietTarget checks that a target that turns a request away and asks for quiet gets no further request, and that
// callers are told at once to come back later.
func TestQuietTarget(t *testing.T) {
	fixture := newFixture(t, singleRoute, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Not-Run", "1")
		writer.Header().Set("Retry-After", "60")
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	for range 5 {
		recorder := fixture.request(http.MethodGet, "/x/a", "")
		assertStatus(t, recorder, http.StatusServiceUnavailable)
		assertHeader(t, recorder, "Retry-After", "3.000") // the longest one, since another target may start
	}
	if runs := fixture.runs.Load(); runs != 1 {
		t.Errorf("the target received %d requests, want 1", runs)
	}
}

// TestLimitedTarget checks that a target that names a limit gets no more than that, also by several requests at once, and that
// callers are told at once to come back later.
func TestLimitedTarget(t *testing.T) {
	fixture := newFixture(t, singleRoute, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Server-Limit", "0.1")
		writer.Header().Set("Server-Stamp", "stamp")
	})
	assertStatus(t, fixture.request(http.MethodGet, "/x/a", ""), http.StatusOK)
	for range 5 {
		recorder := fixture.request(http.MethodGet, "/x/a", "")
		assertStatus(t, recorder, http.StatusServiceUnavailable)
		assertHeader(t, recorder, "Retry-After", "3.000") // the longest one, since another target may start
	}
	if runs := fixture.runs.Load(); runs != 1 {
		t.Errorf("the target received %d requests, want 1", runs)
	}
}

// TestLeavingTarget checks which answers tell that their target leaves.
func TestLeavingTarget(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		want   bool
	}{
		{"success", http.StatusOK, true},
		{"failure", http.StatusInternalServerError, true},
		{"refusal", http.StatusServiceUnavailable, true},
		{"answer of another process", http.StatusMisdirectedRequest, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t, singleRoute, func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Server-Leaving", "1")
				writer.Header().Set("Server-Stamp", "stamp")
				writer.WriteHeader(test.status)
			})
			fixture.request(http.MethodGet, "/x/a", "")
			if _, got := fixture.leaving.Load("in-desk"); got != test.want {
				t.Errorf("the target is known to leave: %v, want %v", got, test.want)
			}
		})
	}
}
