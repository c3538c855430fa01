package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/quarantine"
)

// requestFingerprint returns the fingerprint of the fixture's last request.
func (fixture *fixture) requestFingerprint() quarantine.Fingerprint {
	return fixture.records.last.Load().Fingerprint
}

// TestQuarantinedRequestIsRefused checks that a marked request is refused at once, with the time to come back, and that
// no target receives it.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	fixture := newFixture(t, shardRoute, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Server-Stamp", "stamp")
	})
	assertStatus(t, fixture.request(http.MethodGet, "/x/a", ""), http.StatusOK)
	fingerprint, runs := fixture.requestFingerprint(), fixture.runs.Load()
	for wave := range uint64(3) {
		fixture.tracker.RecordLoss(time.Now().Add(-time.Second), fingerprint, quarantine.Loss{Target: fmt.Sprint(wave), Born: 1, Wave: wave + 1})
	}
	recorder := fixture.request(http.MethodGet, "/x/a", "")
	assertStatus(t, recorder, http.StatusServiceUnavailable)
	if after, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64); err != nil || after < 1 || after > 5 {
		t.Errorf("Retry-After is %v, %v, want the time until the next trial", after, err)
	}
	if fixture.runs.Load() != runs {
		t.Error("a target received the refused request")
	}
	assertStatus(t, fixture.request(http.MethodGet, "/x/another", ""), http.StatusOK)
}

// endingTarget is a target that reads one request and then ends its process, or only breaks the connection.
func endingTarget(t *testing.T, ends bool) netip.AddrPort {
	t.Helper()
	listener := listenLocal(t)
	go acceptAll(listener, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && ends {
			listener.Close()
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestCrashEvidence checks that only a target whose process has ended marks the request that was running on it.
func TestCrashEvidence(t *testing.T) {
	for _, test := range []struct {
		name    string
		ends    bool
		crashes int
	}{
		{"the process ends", true, 1},
		{"the connection breaks", false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := &fixture{records: &records{}}
			targets := catalogue.New()
			targets.Register(catalogue.Target{ID: "one", Service: "desk", DataCentre: "a", Slots: 4, Born: 1, Address: endingTarget(t, test.ends)})
			route := writeRoute
			route.Name, route.Host, route.Prefix, route.Timeout, route.Goal = "r", "h.example", "/x/", time.Second, time.Second
			targets.Configure(catalogue.NewConfiguration(1, []catalogue.Route{route},
				[]catalogue.Service{{Name: "desk", MaxConnections: 40}}, catalogue.Limits{}))
			fixture.serve(targets)
			assertStatus(t, fixture.request(http.MethodPost, "/x/a", "weighed"), http.StatusBadGateway)
			mark, _ := fixture.tracker.Mark(time.Now(), fixture.requestFingerprint())
			if mark.Crashes() != test.crashes {
				t.Errorf("the request is marked with %d crashes, want %d", mark.Crashes(), test.crashes)
			}
			if attempts := fixture.records.last.Load().Attempts; len(attempts) != 1 || attempts[0].Refused != test.ends {
				t.Errorf("the record has the attempts %+v, want one with the evidence", attempts)
			}
		})
	}
}
