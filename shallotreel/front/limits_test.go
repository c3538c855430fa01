package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"shallotreel.example/platform/storetest"
	"shallotreel.example/reel/document"
	"shallotreel.example/shallotreel/settings"
)

// dialCaller connects to the instance as a caller and sends the text.
func dialCaller(t *testing.T, config settings.Front, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", config.CallerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, text) // the instance may refuse it before its end
	return conn
}

// TestLimitsOfConfiguration checks that the limits of the configuration hold for callers, in place of those of the program.
func TestLimitsOfConfiguration(t *testing.T) {
	target := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
		writer.Header().Set("Server-Stamp", "stamp")
	}))
	target.Config.MaxHeaderBytes = 1 << 20
	target.Start()
	t.Cleanup(target.Close)
	store := storetest.Start(t)
	store.SetLimits(storetest.Limits{HeaderBytes: 128 << 10, HeaderTimeout: 500, IdleTimeout: 500})
	store.Configure(t, 1)
	store.Register(t, storetest.Target{ID: "one", Seq: 1, Address: netip.MustParseAddrPort(target.Listener.Addr().String())})
	front, config := startOnFreePorts(t, settings.Front{Name: "front", DataCentre: "a", StoreAddress: store.Address(),
		Grace: document.Duration(waitTimeout), MaxAddressTTL: document.Duration(time.Second), LogLevel: "info",
		Extra: settings.Extra{Ratio: 0.2, Window: document.Duration(time.Second), Slack: 10}}, io.Discard)
	defer front.close()
	waitUntil(t, "the limits are in force", func() bool { return front.callerDoor.HeadBytes() == 128<<10 })
	for _, test := range []struct {
		name   string
		size   int // bytes of the head, about
		status int
	}{
		{"a head within the limit", 100 << 10, http.StatusOK},
		{"a head beyond the limit", 200 << 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn := dialCaller(t, config, fmt.Sprintf("GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\nDeadline-Ms: 400\r\nX: %s\r\n\r\n", strings.Repeat("x", test.size)))
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != test.status {
				t.Errorf("got %+v, %v, want status %d", response, err, test.status)
			}
		})
	}
	for name, text := range map[string]string{"a connection that stays idle": "", "a head without end": "GET / HTTP/1.1\r\n"} {
		t.Run(name, func(t *testing.T) {
			if _, err := dialCaller(t, config, text).Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("error %v, want the end of the connection", err)
			}
		})
	}
}
