package front

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotreel.example/platform/storetest"
)

const (
	crashingPath  = "/x/crashes-targets" // a target that begins a request with this prefix crashes
	workTime      = 5 * time.Millisecond // of a target for each request
	beforeCrash   = 20 * time.Millisecond
	freeCrashes   = 3               // crashes after which further arrivals count
	spreadTime    = 4 * time.Second // after the last free crash, within which arrivals do not count
	maxLateRepeat = 3               // arrivals with different ids that are allowed later
)

// restart says under which name and address a crashed target returns.
type restart int

const (
	newID          restart = iota // at the same address
	newIDElsewhere                // at another address
	sameID                        // at the same address, with a later start
)

// backend runs crashing targets and records what they receive.
type backend struct {
	t       *testing.T
	store   *storetest.Store
	silent  bool // whether a crashed target keeps its connections open and its listener accepts more
	restart restart
	down    time.Duration // for which a crashed target is down
	mutex   sync.Mutex
	targets []*crashingTarget
	started int                 // targets ever started
	sent    map[string]*history // by the path and query of the crashing request
	closed  bool
}

// history is what became of one crashing request and its repeats.
type history struct {
	arrivals []arrival // at targets
	crashes  []time.Time
}

// arrival is the arrival of a request at a target.
type arrival struct {
	id string
	at time.Time
}

// crashingTarget is one process of a target.
type crashingTarget struct {
	backend  *backend
	id       string
	service  string
	address  netip.AddrPort
	listener net.Listener
	mutex    sync.Mutex
	conns    []net.Conn
	crashed  bool
}

// start starts a target of the service under a new id, at the address if it is valid and otherwise at any one.
func (backend *backend) start(service, id string, address netip.AddrPort) {
	listener, err := listen(address)
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if err != nil || backend.closed {
		return // the test has ended, or another process has taken the port
	}
	backend.started++
	if id == "" {
		id = fmt.Sprintf("i-%d", backend.started)
	}
	target := &crashingTarget{backend: backend, id: id, service: service, listener: listener,
		address: netip.MustParseAddrPort(listener.Addr().String())}
	backend.targets = append(backend.targets, target)
	backend.store.Register(backend.t, storetest.Target{ID: id, Service: service, Address: target.address,
		Seq: uint64(backend.started), Born: time.Now().UnixMilli()})
	go target.accept()
}

func listen(address netip.AddrPort) (net.Listener, error) {
	if !address.IsValid() {
		return net.Listen("tcp", "127.0.0.1:0")
	}
	return net.Listen("tcp", address.String())
}

func (target *crashingTarget) accept() {
	for {
		conn, err := target.listener.Accept()
		if err != nil {
			return
		}
		target.mutex.Lock()
		target.conns = append(target.conns, conn)
		target.mutex.Unlock()
		go target.serve(conn)
	}
}

func (target *crashingTarget) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // a broken body shows at the next request
		if target.hasCrashed() {
			return // without closing the connection
		}
		if strings.HasPrefix(request.URL.Path, crashingPath) {
			target.backend.receive(target, request.RequestURI, request.Header.Get("Request-Id"))
			continue
		}
		time.Sleep(workTime)
		if target.hasCrashed() {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Length: 16\r\n\r\n0123456789abcdef",
			request.Header.Get("Request-Id"), target.id, request.Header.Get("Request-Id"))
	}
}

func (target *crashingTarget) hasCrashed() bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.crashed
}

// receive records a crashing request and crashes its target shortly after.
func (backend *backend) receive(target *crashingTarget, uri, id string) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if backend.sent == nil {
		backend.sent = map[string]*history{}
	}
	if backend.sent[uri] == nil {
		backend.sent[uri] = &history{}
	}
	history := backend.sent[uri]
	history.arrivals = append(history.arrivals, arrival{id, time.Now()})
	time.AfterFunc(beforeCrash, func() {
		if target.crash() {
			backend.mutex.Lock()
			history.crashes = append(history.crashes, time.Now())
			backend.mutex.Unlock()
		}
	})
}

// crash ends the target, which starts again after the backend's down time. It reports false if the target had crashed before.
func (target *crashingTarget) crash() bool {
	backend := target.backend
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if target.crashed {
		return false
	}
	target.crashed = true
	if !backend.silent {
		target.closeAll()
	}
	backend.mutex.Lock()
	backend.targets = slices.DeleteFunc(backend.targets, func(other *crashingTarget) bool { return other == target })
	backend.mutex.Unlock()
	time.AfterFunc(backend.down, func() {
		target.mutex.Lock()
		target.closeAll()
		target.mutex.Unlock()
		switch backend.restart {
		case sameID:
			backend.start(target.service, target.id, target.address)
			return
		case newIDElsewhere:
			target.address = netip.AddrPort{}
		case newID:
		}
		backend.store.Remove(target.id)
		backend.start(target.service, "", target.address)
	})
	return true
}

// closeAll closes the listener and resets all connections. The caller holds the mutex.
func (target *crashingTarget) closeAll() {
	target.listener.Close()
	for _, conn := range target.conns {
		_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
		conn.Close()
	}
}

// crashRandomTarget crashes a random running target, as without any request's fault.
func (backend *backend) crashRandomTarget() {
	backend.mutex.Lock()
	var target *crashingTarget
	if len(backend.targets) > 0 {
		target = backend.targets[rand.IntN(len(backend.targets))]
	}
	backend.mutex.Unlock()
	if target != nil {
		target.crash()
	}
}

// close ends all targets for good.
func (backend *backend) close() {
	backend.mutex.Lock()
	backend.closed = true
	targets := slices.Clone(backend.targets)
	backend.mutex.Unlock()
	for _, target := range targets {
		target.mutex.Lock()
		target.closeAll()
		target.mutex.Unlock()
	}
}

// lateRepeats returns the number of crashes, and of crashing requests with different ids that reached a target later
// than spreadTime after the last free crash; of several crashing requests, the highest numbers.
func (backend *backend) lateRepeats() (crashes, late int) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	for _, history := range backend.sent {
		crashes = max(crashes, len(history.crashes))
		if len(history.crashes) < freeCrashes {
			continue
		}
		ids := map[string]bool{}
		for _, arrival := range history.arrivals {
			if arrival.at.After(history.crashes[freeCrashes-1].Add(spreadTime)) {
				ids[arrival.id] = true
			}
		}
		late = max(late, len(ids))
	}
	return crashes, late
}

// lines describes the arrivals of each crashing request and its crashes, in the order of time.
func (backend *backend) lines() []string {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	var lines []string
	for uri, history := range backend.sent {
		for _, arrival := range history.arrivals {
			lines = append(lines, arrival.at.Format(timeOfDay)+" arrives "+arrival.id+" "+uri)
		}
		for _, at := range history.crashes {
			lines = append(lines, at.Format(timeOfDay)+" crash under "+uri)
		}
	}
	slices.Sort(lines)
	return lines
}
