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
	synctest.Test(t, func(t *testing.T) {
		network := silentconn.New(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(writer, `{"version":3}`)
		}))
		client := NewClient(netip.MustParseAddrPort("10.0.0.1:80"), WithDial(network.Dial))
		defer client.Close()
		silentconn.CheckReplaced(t, network, 5*time.Second, func() error {
			_, err := client.Read(t.Context(), DocumentKey)
			return err
		})
	})
}
