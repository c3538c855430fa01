package client

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
)

// TestCallsAtTheSameTime guards against a survey of a large fleet that opens more connections than a process may have.
func TestCallsAtTheSameTime(t *testing.T) {
	var running, most atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); {
			seen = most.Load()
		}
		fmt.Fprint(writer, `"reply"`)
	}))
	defer server.Close()
	members := make([]Member, 3*maxCalls)
	for i := range members {
		members[i].Address = netip.MustParseAddrPort(server.Listener.Addr().String())
	}
	replies, unreachable := GetAll[string](context.Background(), members, "/")
	if len(replies) != len(members) || len(unreachable) > 0 {
		t.Errorf("%d of %d members answered, %d did not", len(replies), len(members), len(unreachable))
	}
	if most.Load() > maxCalls {
		t.Errorf("%d calls ran at the same time, want at most %d", most.Load(), maxCalls)
	}
}
