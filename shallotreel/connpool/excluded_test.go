package connpool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"
)

// TestExcluded guards against requests and connections to an address that is excluded, also on a connection whose opening began
// before.
func TestExcluded(t *testing.T) {
	var excluded atomic.Bool
	var sent, dials atomic.Int64
	address := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for id := read(reader); id != ""; id = read(reader) {
			sent.Add(1)
			reply(conn, id, "body")
		}
	})
	during := make(chan func(), 1)
	pool := NewPool(WithExclusion(func(netip.AddrPort) bool { return excluded.Load() }),
		WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)
			(<-during)()
			return new(net.Dialer).DialContext(ctx, network, address)
		}))
	assertExcluded := func(t *testing.T, wantDials int64) {
		t.Helper()
		if result := roundTrip(t, pool, address, "two"); !errors.Is(result.Err, ErrExcluded) || result.Sent {
			t.Errorf("error %v, sent %t", result.Err, result.Sent)
		}
		if sent.Load() != 1 || dials.Load() != wantDials {
			t.Errorf("%d requests and %d dials, want 1 and %d", sent.Load(), dials.Load(), wantDials)
		}
	}
	during <- func() {}
	assertBody(t, roundTrip(t, pool, address, "one"), "body")

	excluded.Store(true)
	t.Run("idle connection", func(t *testing.T) { assertExcluded(t, 1) })
	t.Run("probe", func(t *testing.T) {
		if pool.listens(address) != Unknown || pool.Accepts(address) || dials.Load() != 1 {
			t.Error("a connection was opened")
		}
	})
	excluded.Store(false)
	pool.Sweep(time.Now().Add(time.Minute)) // closes the idle connection
	during <- func() { excluded.Store(true) }
	t.Run("excluded during the dial", func(t *testing.T) { assertExcluded(t, 2) })
}
