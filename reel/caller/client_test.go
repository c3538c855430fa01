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

// instance is a server that runs the handler for searches and shows that it lives.
func instance(t *testing.T, handler http.HandlerFunc) Address {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(LivePath, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc(SearchPath, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return Address{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

func answering(answer Answer) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(answer) // a caller that is gone needs none
	}
}

// breaking closes the caller's connection in the middle of the request.
func breaking(writer http.ResponseWriter, _ *http.Request) {
	if conn, _, err := http.NewResponseController(writer).Hijack(); err == nil {
		conn.Close()
	}
}

func search(t *testing.T, instances ...Address) Answer {
	t.Helper()
	client := NewClient("caller", "a", nil)
	client.keep(Addresses{Keep: document.Duration(time.Minute), Addresses: instances})
	answer, err := client.Search(context.Background(), Request{})
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

func TestSearch(t *testing.T) {
	overloaded := answering(Answer{Code: result.Overloaded, Ran: result.RanNo})
	stopping := answering(Answer{Code: result.Stopping, Ran: result.RanNo})
	for _, test := range []struct {
		name     string
		handlers []http.HandlerFunc
		want     result.Ran
	}{
		{"a refusal by the first instance is its word", []http.HandlerFunc{overloaded}, result.RanNo},
		{"a refusal after another refusal proves that nothing ran", []http.HandlerFunc{stopping, overloaded}, result.RanNo},
		{"a refusal says nothing of an instance that broke off before", []http.HandlerFunc{breaking, overloaded}, result.RanUnknown},
		{"nor do two", []http.HandlerFunc{breaking, stopping, overloaded}, result.RanUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			var instances []Address
			for _, handler := range test.handlers {
				instances = append(instances, instance(t, handler))
			}
			if got := search(t, instances...); got.Ran != test.want {
				t.Errorf("%v, ran %v, want %v", got.Code, got.Ran, test.want)
			}
		})
	}
}

// Under a load of three times its capacity an instance answers checks of its life late before it answers none.
func TestLifePatience(t *testing.T) {
	t.Run("a quick fleet is given little time", func(t *testing.T) {
		var life life
		for range 20 {
			life.learn(2 * time.Millisecond)
		}
		if got := life.patience(); got != lifePeriod {
			t.Errorf("waits %v", got)
		}
	})
	t.Run("one that grows slow is given more", func(t *testing.T) {
		var life life
		for took := 50 * time.Millisecond; took <= 600*time.Millisecond; took += 50 * time.Millisecond {
			if got := life.patience(); got < took {
				t.Fatalf("waits %v, a living instance took %v", got, took)
			}
			life.learn(took)
		}
	})
	t.Run("it is bounded", func(t *testing.T) {
		var life life
		for range 50 {
			life.learn(time.Minute)
		}
		if got := life.patience(); got != lifeMost {
			t.Errorf("waits %v", got)
		}
	})
}
