package connpool

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, 0) }

// Behaviours of a target on a request, sent to it in the Do header.
const (
	valid           = "valid"            // a valid response
	duplicate       = "duplicate"        // a valid response, sent twice
	truncated       = "truncated"        // a response with a truncated body
	mismatched      = "mismatched"       // a response that names another request
	delayed         = "delayed"          // a valid response, possibly after the call is canceled
	noResponse      = "no-response"      // the connection closes without a response
	announcedClose  = "announced-close"  // a valid response with Connection: close, then the connection closes
	extraResponse   = "extra-response"   // a valid response, followed by a response to another request
	unexpectedClose = "unexpected-close" // a valid response, then the connection closes without notice
)

var behaviours = []string{valid, duplicate, truncated, mismatched, delayed, noResponse, announcedClose, extraResponse,
	unexpectedClose}

// misbehave answers each request with the behaviour that its Do header names.
func misbehave(conn net.Conn, reader *bufio.Reader) {
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		switch request.Header.Get("Do") {
		case valid:
			reply(conn, id, id)
		case duplicate:
			reply(conn, id, id)
			reply(conn, id, id)
		case truncated:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 99\r\n\r\n%s", id, id)
			return
		case mismatched:
			reply(conn, "other", "other")
		case delayed:
			time.Sleep(3 * time.Millisecond)
			reply(conn, id, id)
		case noResponse:
			return
		case announcedClose:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
			return
		case extraResponse:
			reply(conn, id, id)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother")
		case unexpectedClose:
			reply(conn, id, id)
			return
		}
	}
}

// session runs concurrent calls to one target and records how they end.
type session struct {
	t       *rapid.T
	pool    *Pool
	address netip.AddrPort
	mutex   sync.Mutex
	ends    map[string]int // number of results by call ID
	wrong   []string       // descriptions of wrong results
}

func (session *session) call(id, behaviour string) *Call {
	call := &Call{Address: session.address, Method: http.MethodGet,
		Request: net.Buffers{[]byte("GET /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nDo: " + behaviour + "\r\n\r\n")},
		ID:      id, EchoedID: echoedID}
	call.Done = func(result Result) {
		session.mutex.Lock()
		defer session.mutex.Unlock()
		session.ends[id]++
		if result.Err == nil && string(result.Body) != id {
			session.wrong = append(session.wrong, fmt.Sprintf("%s got %q", id, result.Body))
		}
		if result.Err == nil && (behaviour == truncated || behaviour == mismatched || behaviour == noResponse) {
			session.wrong = append(session.wrong, fmt.Sprintf("%s got a response from a target with behaviour %s", id, behaviour))
		}
	}
	return call
}

func (session *session) ended(calls int) bool {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	return len(session.ends) == calls
}

// TestCallsEndExactlyOnce sends requests to a target with random behaviours, cancels some at random, and checks that
// each call ends exactly once, with its own complete response or an error.
func TestCallsEndExactlyOnce(t *testing.T) {
	address := serve(t, misbehave)
	rapid.Check(t, func(t *rapid.T) {
		session := &session{t: t, pool: NewPool(), address: address, ends: map[string]int{}}
		calls := 0
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			for range rapid.IntRange(1, 4).Draw(t, "concurrent calls") {
				call := session.call(fmt.Sprint("call-", calls), rapid.SampledFrom(behaviours).Draw(t, "behaviour"))
				calls++
				session.pool.Start(call)
				if rapid.IntRange(0, 4).Draw(t, "cancel if 0") == 0 {
					session.pool.Cancel(call)
				}
			}
			deadline := time.Now().Add(waitLimit)
			for !session.ended(calls) {
				if time.Now().After(deadline) {
					t.Fatalf("%d of %d calls ended", len(session.ends), calls)
				}
				time.Sleep(100 * time.Microsecond)
			}
		}
		session.check()
	})
}

func (session *session) check() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if len(session.wrong) > 0 {
		session.t.Fatalf("calls with wrong results: %v", session.wrong)
	}
	for id, ends := range session.ends {
		if ends != 1 {
			session.t.Fatalf("%s ended %d times", id, ends)
		}
	}
}
