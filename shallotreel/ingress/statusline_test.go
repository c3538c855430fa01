package ingress

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/relay"
)

// invalidStatusLines are read by net/http as status lines.
var invalidStatusLines = []string{"HTTP/1.1 000 ", "HTTP/1.1 -00 ", "HTTP/1.1 +20 OK", "HTTP/1.1 099 ", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 ",
	"HTTP/1.1 999 ", "HTTP/9.9 200 OK", "HTTP/0.9 200 OK"}

// answerWith returns a target that answers each request with the status line, a signature and one record, and keeps the connection.
func answerWith(statusLine string) func(net.Conn) {
	return func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, err = conn.Write([]byte(statusLine + "\r\nRequest-Id: " + request.Header.Get("Request-Id") +
				"\r\nServer-Stamp: stamp\r\nContent-Length: 16\r\n\r\n0123456789abcdef"))
			if err != nil {
				return
			}
		}
	}
}

// TestInvalidStatusLines guards against a status line that is none and that is passed on to a caller, or for whose answer the caller waits
// until its deadline.
func TestInvalidStatusLines(t *testing.T) {
	partial := shardRoute
	partial.LeastShare = 0.5
	for _, test := range []struct {
		name   string
		route  catalogue.Route
		sound  bool // whether a second target answers as it should, of the second shard if there are shards
		want   int
		header string // of the number of missing parts
	}{
		{"a request that must not be repeated", writeRoute, false, http.StatusBadGateway, ""},
		{"one that may be repeated", singleRoute, true, http.StatusOK, ""},
		{"a part may be missing", partial, true, http.StatusOK, "1"},
	} {
		for _, line := range invalidStatusLines {
			t.Run(test.name+", "+line, func(t *testing.T) {
				t.Parallel()
				fixture := newFixtureAt(t, test.route, listenRaw(t, answerWith(line)))
				if test.sound {
					fixture = newFixtureAt(t, test.route, listenRaw(t, answerWith(line)), listenRaw(t, answerWith("HTTP/1.1 200 OK")))
				}
				recorder := fixture.request(http.MethodPost, "/x/a", "w")
				assertStatus(t, recorder, test.want)
				assertHeader(t, recorder, "Missing-Parts", test.header)
			})
		}
	}
}

// TestStatusOfHelper guards against a status that is none in the reply of another instance, such as one of a build that passes it on.
func TestStatusOfHelper(t *testing.T) {
	for _, code := range []result.Code{result.OK, result.Relayed} {
		for _, status := range []int{-1, 1, 99, 101, 199, 600, 999, 1000} {
			if finish := finishOf(relay.Reply{Code: code, Status: status}); finish.Code != result.Broken || finish.Answer != nil {
				t.Errorf("%v with status %d becomes %v, want %v", code, status, finish.Code, result.Broken)
			}
		}
		if finish := finishOf(relay.Reply{Code: code, Status: http.StatusAccepted}); finish.Code != code || finish.Answer == nil {
			t.Errorf("%v with status 202 becomes %v", code, finish.Code)
		}
	}
	if finish := finishOf(relay.Reply{Code: result.Relayed}); finish.Code != result.Broken {
		t.Errorf("a reply that passes on no status becomes %v, want %v", finish.Code, result.Broken)
	}
	if finish := finishOf(relay.Reply{Code: result.OK, Signatures: []string{"s"}}); finish.Code != result.OK {
		t.Errorf("a merged reply becomes %v, want %v", finish.Code, result.OK)
	}
}
