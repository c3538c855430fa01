package target

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"shallotreel.example/reel/silentconn"
)

// TestSilentIdleConnection guards against an attempt that is lost because it is sent on a connection to the target which went silent while it
// was not used.
func TestSilentIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := silentconn.New(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "{}") }))
		client := NewClient(netip.MustParseAddrPort("10.0.0.1:80"), 1, WithDial(network.Dial))
		defer client.Close()
		silentconn.CheckReplaced(t, network, 5*time.Second, func() error {
			_, err := client.Report(t.Context())
			return err
		})
	})
}
