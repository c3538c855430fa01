package front

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotreel.example/reel/document"
)

const (
	longWork    = 1500 * time.Millisecond
	longTimeout = 5 * time.Second
	longGrace   = 2400 * time.Millisecond // serves for half of it, and ends closeMargin before it is over
)

// lateCaller sends requests to an instance that stops, over a connection of its own.
type lateCaller struct {
	conn   net.Conn
	client http.Client
}

func dialLate(address netip.AddrPort) (*lateCaller, error) {
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		return nil, err
	}
	dial := func(context.Context, string, string) (net.Conn, error) { return conn, nil }
	return &lateCaller{conn: conn, client: http.Client{Transport: &http.Transport{DialContext: dial}}}, nil
}

// call sends a request that must not be repeated, and returns the status, or 0 without an answer.
func (caller *lateCaller) call(t *testing.T, id string) int {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/work", caller.conn.RemoteAddr()), strings.NewReader("x"))
	if err != nil {
		t.Error(err)
		return 0
	}
	request.Host, request.GetBody = "h", nil
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(longTimeout.Milliseconds()))
	response, err := caller.client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// TestLateRequestsOfPlannedStop guards against requests that come late in a planned stop, are passed on and cut without an answer at its
// end, on kept and on new connections.
func TestLateRequestsOfPlannedStop(t *testing.T) {
	var mutex sync.Mutex
	arrived, statuses := map[string]bool{}, map[string]int{}
	front, config := startFrontOf(t, "non_idempotent", longTimeout, func(request *http.Request) {
		mutex.Lock()
		arrived[request.Header.Get("Request-Id")] = true
		mutex.Unlock()
		time.Sleep(longWork)
	})
	short := config
	short.Grace = document.Duration(longGrace)
	front.Reload(short)
	var kept []*lateCaller
	for range 10 {
		caller, err := dialLate(config.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		kept = append(kept, caller)
	}
	var group sync.WaitGroup
	call := func(caller *lateCaller, id string) {
		status := caller.call(t, id)
		mutex.Lock()
		defer mutex.Unlock()
		statuses[id] = status
	}
	group.Go(func() { front.Stop("test") })
	for i := range kept { // the last ones come after the instance has closed
		time.Sleep(longGrace / 8)
		group.Go(func() { call(kept[i], fmt.Sprint("kept-", i)) })
		group.Go(func() {
			if caller, err := dialLate(config.CallerAddress); err == nil {
				call(caller, fmt.Sprint("new-", i))
			}
		})
	}
	group.Wait()
	for id := range arrived {
		if status := statuses[id]; status == 0 || status == http.StatusServiceUnavailable {
			t.Errorf("%s is passed on and ends with status %d", id, status)
		}
	}
	if len(arrived) == 0 {
		t.Error("no request is passed on during the stop")
	}
}
