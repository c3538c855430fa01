package ingress

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// copyingTargets are targets that reject some requests. When a request arrives again on a connection, they first send a second copy of the
// response that it had there.
type copyingTargets struct {
	mutex  sync.Mutex
	random *rand.Rand
	runs   map[string]int // by ID of the request
	copies int
}

// draw reports true with the probability.
func (targets *copyingTargets) draw(probability float64) bool {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	return targets.random.Float64() < probability
}

func (targets *copyingTargets) listen(t *testing.T) netip.AddrPort {
	return listenRaw(t, targets.serve)
}

// serve answers the requests on the connection until it closes.
func (targets *copyingTargets) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	earlier := map[string]string{} // responses by ID of the request
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if earlier[id] != "" {
			targets.count(func() { targets.copies++ })
		}
		response := targets.respond(id)
		fmt.Fprint(conn, earlier[id], response) // fails only if the caller has gone
		earlier[id] = response
	}
}

func (targets *copyingTargets) respond(id string) string {
	if targets.draw(0.6) {
		return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
	targets.count(func() { targets.runs[id]++ })
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp\r\nContent-Length: 4\r\n\r\ndone"
}

func (targets *copyingTargets) count(change func()) {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	change()
}

// TestLateCopyOfRejection guards against a request that runs twice, or is refused although it runs, because a second copy of a target's
// rejection counts as the response to the next attempt of the request at the target.
func TestLateCopyOfRejection(t *testing.T) {
	const requests, callers = 600, 6
	targets := &copyingTargets{random: rand.New(rand.NewPCG(52, 1)), runs: map[string]int{}}
	fixture := newFixtureAt(t, writeRoute, targets.listen(t), targets.listen(t), targets.listen(t))

	var group sync.WaitGroup
	statuses := make([]int, requests)
	for caller := range callers {
		group.Go(func() {
			for i := caller; i < requests; i += callers {
				statuses[i] = postOnce(fixture.handler, strconv.Itoa(i))
			}
		})
	}
	group.Wait()
	for i, status := range statuses {
		runs := targets.runs[strconv.Itoa(i)]
		if runs > 1 || status == http.StatusServiceUnavailable && runs > 0 {
			t.Errorf("request %d got status %d and ran %d times", i, status, runs)
		}
	}
	if targets.copies > 0 {
		t.Errorf("%d attempts were sent on a connection with an earlier attempt of the same request", targets.copies)
	}
}

// postOnce sends a request that must not be repeated, and returns the status of its answer.
func postOnce(handler http.Handler, id string) int {
	request := httptest.NewRequest(http.MethodPost, "/x/a", strings.NewReader("w"))
	request.Host, request.RequestURI = "h.example", "/x/a"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "5000")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Code
}
