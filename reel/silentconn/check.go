package silentconn

import (
	"testing"
	"time"
)

// CheckKept checks that two calls, between which the connection is idle for the time, go by one connection.
func CheckKept(t *testing.T, network *Network, idle time.Duration, call func() error) {
	t.Helper()
	checkCalls(t, network, call, 1, func() { time.Sleep(idle) })
}

// CheckReplaced checks that a call is answered by a new connection, after one that was idle for the time has gone silent.
func CheckReplaced(t *testing.T, network *Network, idle time.Duration, call func() error) {
	t.Helper()
	checkCalls(t, network, call, 2, func() {
		time.Sleep(idle)
		network.Silence()
	})
}

// checkCalls makes a call before and one after the pause, and checks their errors and the number of connections.
func checkCalls(t *testing.T, network *Network, call func() error, dials int, pause func()) {
	t.Helper()
	if err := call(); err != nil {
		t.Errorf("the first call failed: %v", err)
	}
	pause()
	if err := call(); err != nil {
		t.Errorf("the call after the pause failed: %v", err)
	}
	if got := network.Dials(); got != dials {
		t.Errorf("%d connections were opened, want %d", got, dials)
	}
}
