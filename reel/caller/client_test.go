package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/result"
)

// instance starts a server that passes its health checks and handles searches with the handler.
func instance(t *testing.T, handler http.HandlerFunc) Address {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(LivePath, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc(SearchPath, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return Address{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

// answering returns a handler that responds with the answer.
func answering(answer Answer) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(answer) // fails only if the caller has disconnected
	}
}

// breaking is a handler that closes the connection without a response.
func breaking(writer http.ResponseWriter, _ *http.Request) {
	if conn, _, err := http.NewResponseController(writer).Hijack(); err == nil {
		conn.Close()
	}
}

func search(t *testing.T, instances ...Address) Answer {
	t.Helper()
	client := NewClient("caller", "a", nil)
	client.setAddresses(Addresses{Keep: document.Duration(time.Minute), Addresses: instances})
	answer, err := client.Search(context.Background(), Request{})
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// TestSearch checks that the client reports Ran as no only if no instance can have run the request. A refusal by one
// instance does not prove that an earlier instance, whose connection broke during the request, did not run it.
func TestSearch(t *testing.T) {
	overloaded := answering(Answer{Code: result.Overloaded, Ran: result.RanNo})
	stopping := answering(Answer{Code: result.Stopping, Ran: result.RanNo})
	for _, test := range []struct {
		name     string
		handlers []http.HandlerFunc
		want     result.Ran
	}{
		{"refused by the first instance", []http.HandlerFunc{overloaded}, result.RanNo},
		{"refused by two instances", []http.HandlerFunc{stopping, overloaded}, result.RanNo},
		{"broken connection, then refused", []http.HandlerFunc{breaking, overloaded}, result.RanUnknown},
		{"broken connection, then refused by two instances", []http.HandlerFunc{breaking, stopping, overloaded}, result.RanUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			var instances []Address
			for _, handler := range test.handlers {
				instances = append(instances, instance(t, handler))
			}
			if got := search(t, instances...); got.Ran != test.want {
				t.Errorf("answer has code %v and ran %v, want ran %v", got.Code, got.Ran, test.want)
			}
		})
	}
}

// TestHealthCheckTimeout checks that the timeout follows the latency of health checks. Under three times its capacity
// an instance responds to them late before it stops responding, and must not be abandoned while it responds.
func TestHealthCheckTimeout(t *testing.T) {
	t.Run("low latency gives the minimum timeout", func(t *testing.T) {
		var estimate latencyEstimate
		for range 20 {
			estimate.observe(2 * time.Millisecond)
		}
		if got := estimate.timeout(); got != healthCheckInterval {
			t.Errorf("timeout is %v", got)
		}
	})
	t.Run("rising latency raises the timeout", func(t *testing.T) {
		var estimate latencyEstimate
		for latency := 50 * time.Millisecond; latency <= 600*time.Millisecond; latency += 50 * time.Millisecond {
			if got := estimate.timeout(); got < latency {
				t.Fatalf("timeout is %v, but a responsive instance took %v", got, latency)
			}
			estimate.observe(latency)
		}
	})
	t.Run("the timeout is bounded", func(t *testing.T) {
		var estimate latencyEstimate
		for range 50 {
			estimate.observe(time.Minute)
		}
		if got := estimate.timeout(); got != maxHealthCheckTimeout {
			t.Errorf("timeout is %v", got)
		}
	})
}
