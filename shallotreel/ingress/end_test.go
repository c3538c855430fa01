package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/connpool"
)

// switchedOverload is an Overload of all groups.
type switchedOverload bool

func (overload switchedOverload) Overloaded(time.Time, *catalogue.Route) bool { return bool(overload) }

// newPipeFixture returns a fixture with one target for each service, to which the function connects.
func newPipeFixture(route catalogue.Route, dial connpool.Dial) *fixture {
	fixture := &fixture{records: &records{}}
	route.Name, route.Host, route.Prefix, route.Timeout, route.Goal = "r", "h.example", "/x/", time.Second, 300*time.Millisecond
	targets := catalogue.New()
	for i, name := range route.ServiceNames() {
		targets.Register(catalogue.Target{ID: "in-" + name, Service: name, DataCentre: "a", Slots: 4,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)})
	}
	targets.Configure(catalogue.NewConfiguration(1, []catalogue.Route{route}, []catalogue.Service{{Name: "desk", MaxConnections: 40}}, catalogue.Limits{}))
	fixture.view = targets.View()
	fixture.serveOver(connpool.NewPool(connpool.WithDial(dial)))
	return fixture
}

// TestUnsentRequestIsRefused guards against "may have run" for requests to targets to which no connection was opened.
func TestUnsentRequestIsRefused(t *testing.T) {
	for name, route := range map[string]catalogue.Route{"single": singleRoute, "not to be repeated": writeRoute, "shards": shardRoute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newPipeFixture(route, func(ctx context.Context, _, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				})
				recorder := fixture.request(http.MethodPost, "/x/", "")
				assertStatus(t, recorder, http.StatusServiceUnavailable)
				if code := fixture.records.last.Load().Code; code != result.NoTarget || recorder.Header().Get("Retry-After") == "" {
					t.Errorf("code %v, Retry-After %q", code, recorder.Header().Get("Retry-After"))
				}
			})
		})
	}
}

// TestRefusalAtAssignment guards against the worst fault: "not run" for a request that must not be repeated, and whose connection
// is opened at the moment when it ends.
func TestRefusalAtAssignment(t *testing.T) {
	const left = 60 * time.Millisecond
	var arrived sync.Map
	fixture := newFixture(t, writeRoute, func(_ http.ResponseWriter, request *http.Request) {
		arrived.Store(request.Header.Get("Request-Id"), true)
		time.Sleep(left)
	})
	statuses := map[int]int{}
	for round := range 8 {
		var mutex sync.Mutex
		var requests sync.WaitGroup
		var refused []string
		dials := 0
		end := time.Now().Add(left - 5*time.Millisecond) // as the machine ends the request
		fixture.serveOver(connpool.NewPool(connpool.WithDial(func(_ context.Context, network, address string) (net.Conn, error) {
			conn, err := net.Dial(network, address)
			mutex.Lock()
			dials++
			offset := time.Duration(dials-5) * 80 * time.Microsecond
			mutex.Unlock()
			time.Sleep(time.Until(end.Add(offset)))
			return conn, err
		})))
		for number := range 30 {
			requests.Go(func() {
				id := fmt.Sprintf("request-%d-%d", round, number)
				request := httptest.NewRequest(http.MethodPost, "/x/", strings.NewReader(""))
				request.Host, request.RequestURI = "h.example", "/x/"
				request.Header.Set("Request-Id", id)
				request.Header.Set("Deadline-Ms", fmt.Sprint(left.Milliseconds()))
				recorder := httptest.NewRecorder()
				fixture.handler.ServeHTTP(recorder, request)
				mutex.Lock()
				defer mutex.Unlock()
				statuses[recorder.Code]++
				if recorder.Code == http.StatusServiceUnavailable {
					refused = append(refused, id)
				}
			})
		}
		requests.Wait()
		time.Sleep(lateAnswerWait / 3) // anything that is still sent arrives
		for _, id := range refused {
			if _, ok := arrived.Load(id); ok {
				t.Fatalf("%s is refused as not run, and has arrived", id)
			}
		}
	}
	t.Logf("responses by status: %v", statuses)
}

// TestCancelUnderOverload guards against targets that work on for requests that have failed, and that are believed to be slow because their
// queues delay answers. Without overload, attempts continue, since late answers tell how targets perform.
func TestCancelUnderOverload(t *testing.T) {
	for _, test := range []struct {
		overload switchedOverload
		grade    string
		closed   time.Duration // after the end of the request
	}{{true, "good", 0}, {false, "slow", lateAnswerWait}} {
		synctest.Test(t, func(t *testing.T) {
			closed := make(chan time.Time, 1)
			fixture := newPipeFixture(singleRoute, func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					reader := bufio.NewReader(far)
					for {
						request, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						if request.URL.Path != "/x/fast" {
							_, _ = reader.ReadByte() // until the connection is closed
							closed <- time.Now()
							return
						}
						time.Sleep(10 * time.Millisecond)
						_, _ = fmt.Fprint(far, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n")
					}
				}()
				return near, nil
			})
			for range 50 {
				assertStatus(t, fixture.request(http.MethodGet, "/x/fast", ""), http.StatusOK)
			}
			fixture.handler.router.SetOverload(test.overload)
			for number := range 12 {
				path := fmt.Sprint("/x/slow/", number) // a repeat would be suspected of a crash
				assertStatus(t, fixture.request(http.MethodGet, path, ""), http.StatusGatewayTimeout)
				endedAt := time.Now()
				if waited := (<-closed).Sub(endedAt); waited != test.closed {
					t.Fatalf("overload %v: the connection is closed after %v, want %v", test.overload, waited, test.closed)
				}
				time.Sleep(lateAnswerWait) // what the end has started ends
			}
			fixture.handler.router.Choose(time.Now(), &fixture.view.Configuration.Routes[0], "desk", nil, nil) // may be a probe
			pick, ok := fixture.handler.router.Choose(time.Now(), &fixture.view.Configuration.Routes[0], "desk", nil, nil)
			if !ok || pick.Grade != test.grade {
				t.Errorf("overload %v: the target is %q, want %q", test.overload, pick.Grade, test.grade)
			}
		})
	}
}
