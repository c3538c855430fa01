package ingress

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"shallotreel.example/platform"
	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/choice"
	"shallotreel.example/reel/extra"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/reach"
	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/connpool"
	"shallotreel.example/shallotreel/crashwatch"
	"shallotreel.example/shallotreel/reachwatch"
)

// fixed is a Catalogue whose view never changes.
type fixed struct {
	view    *catalogue.View
	leaving *sync.Map // by id of the target
}

func (fixed fixed) View() *catalogue.View { return fixed.view }

func (fixed fixed) RecordLeaving(target catalogue.Target) { fixed.leaving.Store(target.ID, true) }

// records is a Recorder that keeps the last record.
type records struct{ last atomic.Pointer[Record] }

func (records *records) Record(record Record) { records.last.Store(&record) }

// fixture is a Handler with one target for each service of its route.
type fixture struct {
	handler *Handler
	records *records
	view    *catalogue.View
	runs    atomic.Int64 // requests that targets received
	tracker *quarantine.Tracker
	leaving sync.Map // targets that said so, by id
}

// newFixture returns a fixture whose targets answer with the handler function.
func newFixture(t *testing.T, route catalogue.Route, handler http.HandlerFunc) *fixture {
	t.Helper()
	fixture := &fixture{records: &records{}}
	targetCatalogue := catalogue.New()
	route.Name, route.Host, route.Prefix = "r", "h.example", "/x/"
	route.Timeout, route.Goal = time.Second, 300*time.Millisecond
	var services []catalogue.Service
	for _, name := range route.ServiceNames() {
		services = append(services, catalogue.Service{Name: name, MaxConnections: 40})
		target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			fixture.runs.Add(1)
			writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
			handler(writer, request)
		}))
		t.Cleanup(target.Close)
		targetCatalogue.Register(catalogue.Target{ID: "in-" + name, Service: name, DataCentre: "a", Slots: 4,
			Address: netip.MustParseAddrPort(target.Listener.Addr().String())})
	}
	targetCatalogue.Configure(catalogue.NewConfiguration(1, []catalogue.Route{route}, services, catalogue.Limits{BodyBytes: 100}))
	fixture.serve(targetCatalogue)
	return fixture
}

func (fixture *fixture) serve(targetCatalogue *catalogue.Catalogue) {
	fixture.view = targetCatalogue.View()
	fixture.serveOver(connpool.NewPool())
}

// serveOver starts a handler with the pool, for the targets of serve.
func (fixture *fixture) serveOver(pool *connpool.Pool) {
	view := fixed{fixture.view, &fixture.leaving}
	limits := extra.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 58}
	router := NewRouter(view, pool, limits, member.Member{Name: "front", DataCentre: "a"}, rand.New(rand.NewPCG(1, 2)), func(choice.HealthChange) {})
	fixture.tracker = &quarantine.Tracker{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	crashes := crashwatch.New(fixture.tracker, view, func(quarantine.Fingerprint) {}, log, tally.NoopScope)
	path := reachwatch.New(view, pool, func(reach.Change) {}, log, tally.NoopScope)
	fixture.handler = New(view, router, pool, crashes, path, nil, fixture.records)
	fixture.handler.Open()
}

func (fixture *fixture) request(method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Host = "h.example"
	request.RequestURI = path
	request.Header.Set("Request-Id", "one")
	request.Header.Set("Deadline-Ms", "900")
	recorder := httptest.NewRecorder()
	fixture.handler.ServeHTTP(recorder, request)
	return recorder
}

func assertStatus(t *testing.T, recorder *httptest.ResponseRecorder, want int) {
	t.Helper()
	if recorder.Code != want {
		t.Fatalf("status %d, want %d: %s", recorder.Code, want, recorder.Body)
	}
}

func assertHeader(t *testing.T, recorder *httptest.ResponseRecorder, name, want string) {
	t.Helper()
	if got := recorder.Header().Get(name); got != want {
		t.Errorf("%s is %q, want %q", name, got, want)
	}
}

var (
	singleRoute = catalogue.Route{Service: "desk", Attempts: 2, Idempotent: true}
	writeRoute  = catalogue.Route{Service: "desk", Attempts: 2}
	shardRoute  = catalogue.Route{Shards: []string{"s1", "s2"}, Attempts: 2, Idempotent: true, Top: 3, LeastShare: 1}
)

func TestRelay(t *testing.T) {
	fixture := newFixture(t, singleRoute, func(writer http.ResponseWriter, request *http.Request) {
		if request.RequestURI != "/x/a%2f/../b?q=%31" || request.Header.Get("Expect-Instance") != "in-desk" {
			t.Errorf("the target received path %q for target id %q", request.RequestURI, request.Header.Get("Expect-Instance"))
		}
		if left := request.Header.Get("Deadline-Ms"); left > "900" || left == "" {
			t.Errorf("the target received Deadline-Ms %q, want at most 900", left)
		}
		writer.Header().Set("Server-Stamp", "stamp")
		writer.WriteHeader(http.StatusAccepted)
		fmt.Fprint(writer, "whole body")
	})
	recorder := fixture.request(http.MethodGet, "/x/a%2f/../b?q=%31", "")
	assertStatus(t, recorder, http.StatusAccepted)
	assertHeader(t, recorder, "Server-Stamp", "stamp")
	if recorder.Body.String() != "whole body" {
		t.Errorf("the body is %q, want the body of the target", recorder.Body)
	}
}

func TestBody(t *testing.T) {
	fixture := newFixture(t, writeRoute, func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil || string(body) != "weighed" {
			t.Errorf("the target received %q, %v", body, err)
		}
		writer.Header().Set("Server-Stamp", "stamp")
	})
	assertStatus(t, fixture.request(http.MethodPost, "/x/", "weighed"), http.StatusOK)
	assertStatus(t, fixture.request(http.MethodPost, "/x/", strings.Repeat("w", 101)), http.StatusRequestEntityTooLarge)
	if runs := fixture.runs.Load(); runs != 1 {
		t.Errorf("targets ran %d requests, want 1", runs)
	}
}

func TestRefusals(t *testing.T) {
	t.Run("a refusal with a Not-Run header is answered with Retry-After", func(t *testing.T) {
		fixture := newFixture(t, writeRoute, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Not-Run", "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
		recorder := fixture.request(http.MethodPost, "/x/", "w")
		assertStatus(t, recorder, http.StatusServiceUnavailable)
		if recorder.Header().Get("Retry-After") == "" {
			t.Error("the refusal has no Retry-After")
		}
	})
	t.Run("a refusal without a Not-Run header is not relayed", func(t *testing.T) {
		fixture := newFixture(t, writeRoute, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Server-Stamp", "stamp")
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
		recorder := fixture.request(http.MethodPost, "/x/", "w")
		assertStatus(t, recorder, http.StatusBadGateway)
		assertHeader(t, recorder, "Server-Stamp", "")
		if runs := fixture.runs.Load(); runs != 1 {
			t.Errorf("targets received the request %d times, want once", runs)
		}
	})
	t.Run("without a configuration the status is 503", func(t *testing.T) {
		fixture := &fixture{records: &records{}}
		fixture.serve(catalogue.New())
		assertStatus(t, fixture.request(http.MethodGet, "/x/", ""), http.StatusServiceUnavailable)
	})
	t.Run("before it is opened the status is 503, and nothing is sent", func(t *testing.T) {
		fixture := newFixture(t, singleRoute, nil)
		fixture.handler.isOpen.Store(false)
		assertStatus(t, fixture.request(http.MethodGet, "/x/", ""), http.StatusServiceUnavailable)
		if runs := fixture.runs.Load(); runs != 0 {
			t.Errorf("targets received %d requests, want none", runs)
		}
	})
	t.Run("without a matching route the status is 404", func(t *testing.T) {
		fixture := newFixture(t, singleRoute, nil)
		assertStatus(t, fixture.request(http.MethodGet, "/y/", ""), http.StatusNotFound)
		if code := fixture.records.last.Load().Code; code != result.UnknownRoute {
			t.Errorf("the recorded code is %v, want unknown_route", code)
		}
	})
}

func TestFailures(t *testing.T) {
	t.Run("an error of the target keeps its signature and status", func(t *testing.T) {
		fixture := newFixture(t, writeRoute, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Server-Stamp", "stamp")
			writer.WriteHeader(http.StatusInternalServerError)
		})
		recorder := fixture.request(http.MethodPost, "/x/", "w")
		assertStatus(t, recorder, http.StatusInternalServerError)
		assertHeader(t, recorder, "Server-Stamp", "stamp")
	})
	t.Run("a success without a signature is rejected", func(t *testing.T) {
		fixture := newFixture(t, writeRoute, func(http.ResponseWriter, *http.Request) {})
		assertStatus(t, fixture.request(http.MethodPost, "/x/", "w"), http.StatusBadGateway)
	})
	t.Run("an answer with a content encoding is rejected", func(t *testing.T) {
		fixture := newFixture(t, writeRoute, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Server-Stamp", "stamp")
			writer.Header().Set("Content-Encoding", "gzip")
		})
		assertStatus(t, fixture.request(http.MethodPost, "/x/", "w"), http.StatusBadGateway)
	})
}

func TestScatterGather(t *testing.T) {
	record := func(first byte) string { return string(first) + strings.Repeat("0", 15) }
	fixture := newFixture(t, shardRoute, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Server-Stamp", "stamp-"+request.Header.Get("Expect-Instance"))
		fmt.Fprint(writer, record('b')+record('d')+"rest")
	})
	recorder := fixture.request(http.MethodGet, "/x/", "")
	assertStatus(t, recorder, http.StatusOK)
	assertHeader(t, recorder, "Part-Stamps", "stamp-in-s1, stamp-in-s2")
	assertHeader(t, recorder, "Missing-Parts", "0")
	if want := record('d') + record('d') + record('b'); recorder.Body.String() != want {
		t.Errorf("body %q, want %q", recorder.Body, want)
	}
}

func TestRotation(t *testing.T) {
	rotation := newRotation([]catalogue.Weight{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "c"}})
	counts := map[string]int{}
	for range 400 {
		counts[rotation.next()]++
	}
	if counts["a"] != 300 || counts["b"] != 100 {
		t.Errorf("requests by service are %v, want 300 for a and 100 for b", counts)
	}
}

func TestDisableKeepAlives(t *testing.T) {
	fixture := newFixture(t, singleRoute, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Server-Stamp", "stamp")
	})
	fixture.handler.DisableKeepAlives()
	recorder := fixture.request(http.MethodGet, "/x/", "")
	assertStatus(t, recorder, http.StatusOK)
	assertHeader(t, recorder, "Connection", "close")
	if _, err := (platform.Resolution{}).Encode(); err != nil {
		t.Errorf("an empty resolution cannot be encoded: %v", err)
	}
}
