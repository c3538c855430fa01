package relay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"shallotreel.example/reel/result"
)

// unusedTime is how long a link is not used before it goes silent.
const unusedTime = 2 * time.Second

// silentPath passes connections on to a helper. Those that were open when it was silenced pass nothing any more.
type silentPath struct {
	address netip.AddrPort
	round   atomic.Int64 // rises when open connections go silent
	opened  atomic.Int64
}

func openSilentPath(t *testing.T, helper netip.AddrPort) *silentPath {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	path := &silentPath{address: netip.MustParseAddrPort(listener.Addr().String())}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", helper.String())
			if err != nil {
				near.Close()
				continue
			}
			t.Cleanup(func() { near.Close(); far.Close() })
			path.opened.Add(1)
			go path.pass(near, far, path.round.Load())
			go path.pass(far, near, path.round.Load())
		}
	}()
	return path
}

// pass copies bytes until the connection has gone silent.
func (path *silentPath) pass(to io.Writer, from io.Reader, round int64) {
	buffer := make([]byte, 4096)
	for {
		size, err := from.Read(buffer)
		if err != nil {
			return
		}
		if path.round.Load() == round {
			_, _ = to.Write(buffer[:size]) // fails only when the test has ended
		}
	}
}

// TestSilentIdleLink guards against a request that must not be repeated and is lost, since it is handed over by a link that went silent while it
// was not used.
func TestSilentIdleLink(t *testing.T) {
	var served atomic.Int64
	path := openSilentPath(t, serve(t, helperOf(func(context.Context, Request) Reply {
		served.Add(1)
		return Reply{Code: result.OK}
	})))
	client := newClient(path.address)
	assertOutcome(t, client.Serve(t.Context(), Request{Left: left, Once: true}), true, false, 1)
	known, err := client.link(t.Context(), path.address)
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-known.lost: // as it ends by itself, without a call
	case <-time.After(unusedTime):
	}
	path.round.Add(1)
	assertOutcome(t, client.Serve(t.Context(), Request{Left: left, Once: true}), true, false, 1)
	if served.Load() != 2 || path.opened.Load() != 2 {
		t.Errorf("%d requests were served by %d links, want 2 by 2", served.Load(), path.opened.Load())
	}
}
