package ingress

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/shallotreel/connpool"
)

// TestSlowConnection guards against targets that are given more time than the caller has left, because the request waited for its
// connection, and against requests that are sent after their caller's time is over.
func TestSlowConnection(t *testing.T) {
	const callerTimeout = 900 * time.Millisecond // as the fixture's requests state
	for _, test := range []struct {
		name string
		wait time.Duration // for a connection
		sent bool
	}{
		{"within the caller's time", 300 * time.Millisecond, true},
		{"after the caller's time", 950 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var left atomic.Int64
			fixture := newFixture(t, catalogue.Route{Service: "one"}, func(writer http.ResponseWriter, request *http.Request) {
				milliseconds, err := strconv.ParseInt(request.Header.Get("Deadline-Ms"), 10, 64)
				if err != nil {
					t.Error(err)
				}
				left.Store(milliseconds)
				writer.Header().Set("Server-Stamp", "stamp")
			})
			fixture.serveOver(connpool.NewPool(connpool.WithDial(func(_ context.Context, network, address string) (net.Conn, error) {
				time.Sleep(test.wait)
				return net.Dial(network, address)
			})))
			fixture.request(http.MethodPost, "/x/", "")
			time.Sleep(2 * lateAnswerWait) // anything that is still sent arrives
			if sent := fixture.runs.Load() > 0; sent != test.sent {
				t.Errorf("sent: %v, want %v", sent, test.sent)
			}
			if most := (callerTimeout - test.wait).Milliseconds(); test.sent && left.Load() > most {
				t.Errorf("the target is given %d ms, at most %d are left", left.Load(), most)
			}
		})
	}
}
