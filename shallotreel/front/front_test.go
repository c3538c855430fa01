package front

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/platform"
	"shallotreel.example/platform/storetest"
	"shallotreel.example/reel/document"
	"shallotreel.example/shallotreel/settings"
)

const waitTimeout = 20 * time.Second // for events that must happen eventually

// listenOnFreePort listens on a local port below those that the system gives to outgoing connections, so that it is likely still unused when the test
// listens on it again.
func listenOnFreePort(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	for range 1000 {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(10_000+rand.IntN(20_000)))
		if listener, err := net.Listen("tcp", address.String()); err == nil {
			return listener, address
		}
	}
	t.Fatal("no unused ports")
	return nil, netip.AddrPort{}
}

// freeAddress returns a local address with an unused port.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, address := listenOnFreePort(t)
	defer listener.Close()
	return address
}

// startFront starts an instance with one target, which takes 5 ms for each request.
func startFront(t *testing.T, runs *atomic.Int64) (*Front, settings.Front) {
	t.Helper()
	return startFrontOf(t, "idempotent", 500*time.Millisecond, func(*http.Request) {
		runs.Add(1)
		time.Sleep(5 * time.Millisecond)
	})
}

// startFrontOf starts an instance with one target, which calls the function for each request, and one route of the type and timeout.
func startFrontOf(t *testing.T, routeType string, timeout time.Duration, work func(*http.Request)) (*Front, settings.Front) {
	t.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		work(request)
		writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
		writer.Header().Set("Server-Stamp", "stamp")
	}))
	t.Cleanup(target.Close)
	store := storetest.Start(t)
	route := storetest.Route{Name: "r", Host: "h", Prefix: "/", Type: routeType, Timeout: float64(timeout.Milliseconds()), Goal: 80, Attempts: 2, Service: "desk"}
	store.ConfigureRoutes(t, 1, []storetest.Route{route}, []storetest.Service{{Name: "desk", Connections: 9}})
	store.Register(t, storetest.Target{ID: "one", Seq: 1, Address: netip.MustParseAddrPort(target.Listener.Addr().String())})
	return startOnFreePorts(t, settings.Front{Name: "front", DataCentre: "a", StoreAddress: store.Address(),
		Grace: document.Duration(waitTimeout), MaxAddressTTL: document.Duration(time.Second), LogLevel: "info",
		Extra: settings.Extra{Ratio: 0.2, Window: document.Duration(time.Second), Slack: 10}}, io.Discard)
}

func status(address netip.AddrPort, path string) int {
	response, err := http.Get(fmt.Sprintf("http://%s%s", address, path))
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// caller sends non-idempotent requests one after the other on one connection, until
// a response asks it to close the connection.
type caller struct {
	address  netip.AddrPort
	client   http.Client
	answered int
}

func (caller *caller) run(name int) error {
	for count := 0; ; count++ {
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/work", caller.address), bytes.NewReader([]byte("x")))
		if err != nil {
			return err
		}
		request.Host = "h"
		request.Header.Set("Request-Id", fmt.Sprintf("%d-%d", name, count))
		request.Header.Set("Deadline-Ms", "5000")
		request.GetBody = nil // prevents the HTTP client from retrying the request
		response, err := caller.client.Do(request)
		if err != nil {
			return errors.Wrapf(err, "request %d", count)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return errors.Errorf("request %d: status %d", count, response.StatusCode)
		}
		caller.answered++
		if response.Close {
			return nil
		}
	}
}

// TestStopUnderLoad checks that a graceful stop fails no request and that each request
// that ran on the target is answered.
func TestStopUnderLoad(t *testing.T) {
	var runs atomic.Int64
	front, config := startFront(t, &runs)
	short := config
	short.Grace = document.Duration(3 * time.Second)
	front.Reload(short) // shortens the grace period of Stop
	var group sync.WaitGroup
	callers := make([]caller, 8)
	failures := make([]error, len(callers))
	for i := range callers {
		callers[i] = caller{address: config.CallerAddress, client: http.Client{Transport: &http.Transport{}}}
		group.Go(func() { failures[i] = callers[i].run(i) })
	}
	for runs.Load() < 50 {
		time.Sleep(time.Millisecond)
	}
	front.Stop("test")
	group.Wait()
	answered := 0
	for i, err := range failures {
		if err != nil {
			t.Errorf("caller %d: %v", i, err)
		}
		answered += callers[i].answered
	}
	if int64(answered) != runs.Load() {
		t.Errorf("%d requests are answered, %d ran on the target", answered, runs.Load())
	}
}

func TestReload(t *testing.T) {
	var runs atomic.Int64
	front, config := startFront(t, &runs)
	defer front.close()
	changed := config
	changed.MaxAddressTTL = document.Duration(300 * time.Millisecond)
	changed.CallerAddress = freeAddress(t)
	front.Reload(changed)
	if got := front.settings.Load().MaxAddressTTL.Std(); got != 300*time.Millisecond {
		t.Errorf("MaxAddressTTL is %v, want 300ms", got)
	}
	if got := changed.FieldsNeedingRestart(config); len(got) != 1 || got[0] != "caller_address" {
		t.Errorf("fields that need a restart are %v, want caller_address only", got)
	}
	if status(config.ReadyAddress, platform.ReadyPath) != http.StatusOK {
		t.Error("instance is not ready after the reload")
	}
}
