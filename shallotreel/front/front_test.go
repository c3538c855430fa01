package front

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"shallotreel.example/platform"
	"shallotreel.example/platform/storetest"
	"shallotreel.example/reel/document"
	"shallotreel.example/shallotreel/settings"
)

const patience = 20 * time.Second // for what must happen at some time

func free(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// startFront starts an instance before one target that takes a moment for each request.
func startFront(t *testing.T, runs *atomic.Int64) (*Front, settings.Front) {
	t.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		runs.Add(1)
		time.Sleep(5 * time.Millisecond)
		writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
		writer.Header().Set("Server-Stamp", "stamp")
	}))
	t.Cleanup(target.Close)
	store := storetest.Start(t)
	store.Configure(t, 1)
	store.Register(t, storetest.Target{ID: "one", Seq: 1, Address: netip.MustParseAddrPort(target.Listener.Addr().String())})
	config := settings.Front{Name: "front", DataCentre: "a", CallerAddress: free(t), ReadyAddress: free(t),
		ResolveAddress: free(t), PeerAddress: free(t), MetricsAddress: free(t), StoreAddress: store.Address(),
		Grace: document.Duration(patience), KeepMost: document.Duration(time.Second), LogLevel: "info",
		Extra: settings.Extra{Ratio: 0.2, Window: document.Duration(time.Second), Slack: 10}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	front, err := Start(config, log)
	if err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(patience)
	for status(config.ReadyAddress, platform.ReadyPath) != http.StatusOK {
		if time.Now().After(deadline) {
			t.Fatal("it never became ready")
		}
		time.Sleep(5 * time.Millisecond)
	}
	return front, config
}

func status(address netip.AddrPort, path string) int {
	response, err := http.Get(fmt.Sprintf("http://%s%s", address, path))
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// caller sends work that may not run twice, one request after the other, until it is told to connect elsewhere.
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
		request.GetBody = nil // so that the client does not send it again by itself
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

func TestStopUnderLoad(t *testing.T) {
	var runs atomic.Int64
	front, config := startFront(t, &runs)
	short := config
	short.Grace = document.Duration(3 * time.Second)
	front.Reload(short) // the new grace time is in force for the stop
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
		t.Errorf("%d answered, %d ran", answered, runs.Load())
	}
}

func TestReload(t *testing.T) {
	var runs atomic.Int64
	front, config := startFront(t, &runs)
	defer front.close()
	changed := config
	changed.KeepMost = document.Duration(300 * time.Millisecond)
	changed.CallerAddress = free(t)
	front.Reload(changed)
	if got := front.settings.Load().KeepMost.Std(); got != 300*time.Millisecond {
		t.Errorf("addresses are kept for %v", got)
	}
	if got := changed.Fixed(config); len(got) != 1 || got[0] != "caller_address" {
		t.Errorf("fields that need a new process: %v", got)
	}
	if status(config.ReadyAddress, platform.ReadyPath) != http.StatusOK {
		t.Error("it is no longer ready")
	}
}
