package platform

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"shallotreel.example/reel/silentconn"
)

// TestSilentIdleConnection guards against a read that waits until its timeout on a connection which went silent while nothing was sent on it, so
// that an instance that becomes a watcher learns of a document seconds late.
func TestSilentIdleConnection(t *testing.T) {
	for _, test := range []struct {
		name   string
		idle   time.Duration
		silent bool
		dials  int
	}{
		{"watches in succession", 0, false, 1},
		{"an instance that becomes a watcher", 5 * time.Second, true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := silentconn.New(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
					fmt.Fprint(writer, `{"version":3}`)
				}))
				client := NewClient(netip.MustParseAddrPort("10.0.0.1:80"), WithDial(network.Dial))
				defer client.Close()
				assertRead(t, client)
				time.Sleep(test.idle)
				if test.silent {
					network.Silence()
				}
				assertRead(t, client)
				if got := network.Dials(); got != test.dials {
					t.Errorf("%d connections were opened, want %d", got, test.dials)
				}
			})
		})
	}
}

// assertRead checks that a value is read before the timeout of the call.
func assertRead(t *testing.T, client *Client) {
	t.Helper()
	if value, err := client.Read(t.Context(), DocumentKey); err != nil || value.Version != 3 {
		t.Errorf("read version %d, error %v", value.Version, err)
	}
}
