package line

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

	"shallotreel.example/reel/drawn"
)

func TestMain(m *testing.M) { drawn.Main(m, 0) }

// What a target does with a request.
const (
	well        = "well"
	twice       = "twice"
	cut         = "cut"
	another     = "another"     // names another request
	late        = "late"        // after the caller may have given up
	reset       = "reset"       // instead of an answer
	goodbye     = "goodbye"     // a sound answer, after which it closes
	surplus     = "surplus"     // bytes after a sound answer
	unannounced = "unannounced" // a sound answer after which it closes without a word
)

var behaviours = []string{well, twice, cut, another, late, reset, goodbye, surplus, unannounced}

// misbehave answers each request as its header asks.
func misbehave(conn net.Conn, reader *bufio.Reader) {
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		switch request.Header.Get("Do") {
		case well:
			reply(conn, id, id)
		case twice:
			reply(conn, id, id)
			reply(conn, id, id)
		case cut:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 99\r\n\r\n%s", id, id)
			return
		case another:
			reply(conn, "other", "other")
		case late:
			time.Sleep(3 * time.Millisecond)
			reply(conn, id, id)
		case reset:
			return
		case goodbye:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
			return
		case surplus:
			reply(conn, id, id)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother")
		case unannounced:
			reply(conn, id, id)
			return
		}
	}
}

// session is calls to one target, several at a time.
type session struct {
	t       *rapid.T
	pool    *Pool
	address netip.AddrPort
	mutex   sync.Mutex
	ends    map[string]int
	wrong   []string
}

func (session *session) call(id, does string) *Call {
	call := &Call{Address: session.address, Method: http.MethodGet,
		Data:   []byte("GET /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nDo: " + does + "\r\n\r\n"),
		Echoes: func(header http.Header) bool { return header.Get("Id") == id }}
	call.Done = func(result Result) {
		session.mutex.Lock()
		defer session.mutex.Unlock()
		session.ends[id]++
		if result.Err == nil && string(result.Body) != id {
			session.wrong = append(session.wrong, fmt.Sprintf("%s got %q", id, result.Body))
		}
		if result.Err == nil && (does == cut || does == another || does == reset) {
			session.wrong = append(session.wrong, fmt.Sprintf("%s got an answer from a target that does %s", id, does))
		}
	}
	return call
}

func (session *session) ended(calls int) bool {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	return len(session.ends) == calls
}

// TestDrawn draws how a target treats each of a session's requests, and which of them are given up, and checks that
// each call ends once and never with anything but its own whole answer.
func TestDrawn(t *testing.T) {
	address := serve(t, misbehave)
	rapid.Check(t, func(t *rapid.T) {
		session := &session{t: t, pool: NewPool(), address: address, ends: map[string]int{}}
		calls := 0
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			for range rapid.IntRange(1, 4).Draw(t, "calls at a time") {
				call := session.call(fmt.Sprint("call-", calls), rapid.SampledFrom(behaviours).Draw(t, "the target does"))
				calls++
				session.pool.Start(call)
				if rapid.IntRange(0, 4).Draw(t, "given up") == 0 {
					session.pool.GiveUp(call)
				}
			}
			deadline := time.Now().Add(patience)
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
		session.t.Fatalf("answers that are not theirs: %v", session.wrong)
	}
	for id, ends := range session.ends {
		if ends != 1 {
			session.t.Fatalf("%s ended %d times", id, ends)
		}
	}
}
