package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
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
	for range 2 { // the first answer names the limit, by which one more may be sent at once
		assertStatus(t, fixture.request(http.MethodGet, "/x/a", ""), http.StatusOK)
	}
	for range 5 {
		recorder := fixture.request(http.MethodGet, "/x/a", "")
		assertStatus(t, recorder, http.StatusServiceUnavailable)
		assertHeader(t, recorder, "Retry-After", "3.000") // the longest one, since another target may start
	}
	if runs := fixture.runs.Load(); runs != 2 {
		t.Errorf("the target received %d requests, want 2", runs)
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

// TestTargetsWithoutEnd guards against a target whose body never ends: its caller gets a failure that does not say that the
// request has not run, or the other parts, long before the deadline.
func TestTargetsWithoutEnd(t *testing.T) {
	for _, test := range []struct {
		name   string
		route  catalogue.Route
		share  float64
		want   int
		runs   int64
		header string // of the number of missing parts
	}{
		{"a request that may be repeated", singleRoute, 0, http.StatusBadGateway, 2, ""},
		{"one that may not", writeRoute, 0, http.StatusBadGateway, 1, ""},
		{"all parts needed", shardRoute, 1, http.StatusBadGateway, 3, ""},
		{"a part may be missing", shardRoute, 0.5, http.StatusOK, 3, "1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.route.LeastShare = test.share
			var sound atomic.Bool // whether a shard has answered as it should
			fixture := newFixture(t, test.route, func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Server-Stamp", "stamp")
				if len(test.route.Shards) > 0 && sound.CompareAndSwap(false, true) {
					fmt.Fprint(writer, "0123456789abcdef")
					return
				}
				block := make([]byte, 16<<10)
				for {
					if _, err := writer.Write(block); err != nil {
						return
					}
				}
			})
			recorder := fixture.request(http.MethodGet, "/x/a", "")
			assertStatus(t, recorder, test.want)
			assertHeader(t, recorder, "Missing-Parts", test.header)
			if runs := fixture.runs.Load(); runs > test.runs {
				t.Errorf("the targets received %d requests, want %d at most", runs, test.runs)
			}
		})
	}
}

// trickle returns a target that answers with the beginning and then, byte by byte, the rest again and again.
func trickle(beginning, rest string) func(net.Conn) {
	return func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err := fmt.Fprint(conn, beginning)
		for i := 0; err == nil; i++ {
			_, err = fmt.Fprint(conn, string(rest[i%len(rest)]))
			time.Sleep(time.Millisecond)
		}
	}
}

// TestTricklingTargets guards against a target whose answer goes on without end, so slowly that no limit of its size is reached: it must keep
// neither the request beyond its deadline, nor its connection or memory.
func TestTricklingTargets(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: stamp\r\n"
	partial := shardRoute
	partial.LeastShare = 0.5
	for _, test := range []struct {
		name, beginning, rest string
		failure               int // status of a request that needs the answer
	}{
		{"status line", "", "HTTP/1.1 200 OK ", http.StatusGatewayTimeout},
		{"header", head, "X: y\r\n", http.StatusGatewayTimeout},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n", http.StatusBadGateway}, // more than are allowed
		{"body", head + "\r\n", "0123456789abcdef", http.StatusGatewayTimeout},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", http.StatusGatewayTimeout},
	} {
		for _, want := range []struct {
			name   string
			route  catalogue.Route
			status int
		}{
			{"a request that may be repeated", singleRoute, test.failure},
			{"one that may not", writeRoute, test.failure},
			{"a part may be missing", partial, http.StatusOK},
		} {
			t.Run(test.name+", "+want.name, func(t *testing.T) {
				t.Parallel()
				fixture := newFixtureAt(t, want.route, listenRaw(t, trickle(test.beginning, test.rest)), listenRaw(t, answerWith("HTTP/1.1 200 OK")))
				if len(want.route.Shards) == 0 {
					fixture = newFixtureAt(t, want.route, listenRaw(t, trickle(test.beginning, test.rest)))
				}
				assertStatus(t, fixture.request(http.MethodGet, "/x/a", ""), want.status)
				pool := fixture.handler.pool
				for deadline := time.Now().Add(5 * time.Second); pool.Memory().Held() > 0; time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatalf("%d bytes are still counted after the request", pool.Memory().Held())
					}
				}
			})
		}
	}
}

// TestUnsignedResults guards against a target whose results nobody can use and that is asked as often as sound ones.
func TestUnsignedResults(t *testing.T) {
	fixture := newFixture(t, singleRoute, func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "a result") })
	assertStatus(t, fixture.request(http.MethodGet, "/x/a", ""), http.StatusBadGateway)
	fixture.request(http.MethodGet, "/x/a", "")
	attempts := fixture.records.last.Load().Attempts
	if len(attempts) == 0 || attempts[0].Grade != "failing" {
		t.Errorf("the attempts after an unsigned result are %+v, want a target that is known to fail", attempts)
	}
}
