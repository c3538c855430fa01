package servers

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

// CrashMarker is the text in a query that crashes every target that runs the query.
const CrashMarker = "crash-every-target"

const serviceTimeSigma = 0.35 // standard deviation of the service time's logarithm

// Spec describes one simulated target.
type Spec struct {
	Name        string         `json:"name"`
	Shard       string         `json:"shard"`
	Address     netip.AddrPort `json:"address"`
	Range       coverage.Range `json:"range"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	ServiceTime time.Duration  `json:"service_ns"`
	ConnectCost time.Duration  `json:"connect_cost_ns"`
	Snapshots   []uint64       `json:"snapshots"`
}

// Server is one simulated target.
type Server struct {
	spec         Spec
	tally        *Tally
	mutex        sync.Mutex
	random       *rand.Rand
	running      map[target.Attempt]context.CancelFunc
	conns        map[net.Conn]bool
	http         *http.Server
	snapshots    []uint64
	state        target.State
	slowdown     float64
	falseReport  bool
	leavingSince time.Time
}

// New returns a server that does not listen yet; the seed determines its service times.
func New(spec Spec, tally *Tally, seed uint64) *Server {
	return &Server{spec: spec, tally: tally, random: rand.New(rand.NewPCG(seed, 1)), slowdown: 1,
		state: target.Serving, snapshots: spec.Snapshots, running: map[target.Attempt]context.CancelFunc{},
		conns: map[net.Conn]bool{}}
}

// Listen starts to serve in the background; it returns an error if the address cannot be bound.
func (server *Server) Listen() error {
	listener, err := net.Listen("tcp", server.spec.Address.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.RunPath, server.run)
	mux.HandleFunc("POST "+target.CancelPath, server.cancel)
	mux.HandleFunc("POST "+target.ReportPath, server.report)
	server.mutex.Lock()
	server.http = &http.Server{Handler: mux, ConnState: server.trackConnection}
	httpServer := server.http
	server.mutex.Unlock()
	go httpServer.Serve(slowListener{listener, server.spec.ConnectCost})
	return nil
}

// Crash closes the listener and all connections at once, cancels running requests and restarts the server after the
// pause.
func (server *Server) Crash(pause time.Duration) {
	server.mutex.Lock()
	httpServer := server.http
	server.http = nil
	server.mutex.Unlock()
	if httpServer == nil {
		return
	}
	httpServer.Close()
	server.mutex.Lock()
	for _, cancel := range server.running {
		cancel()
	}
	clear(server.running)
	server.mutex.Unlock()
	time.AfterFunc(pause, func() {
		server.mutex.Lock()
		server.conns = map[net.Conn]bool{}
		server.mutex.Unlock()
		_ = server.Listen()
	})
}

// SetSlowdown sets the factor by which the service time is multiplied; 1 is normal speed.
func (server *Server) SetSlowdown(slowdown float64) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.slowdown = slowdown
}

// SetFalseReport makes the server report its free slots as its number of requests in flight, or report it correctly
// again.
func (server *Server) SetFalseReport(falseReport bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.falseReport = falseReport
}

// SetLeaving makes the server refuse new requests with code Draining, or serve again.
func (server *Server) SetLeaving(leaving bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.state, server.leavingSince = target.Serving, time.Time{}
	if leaving {
		server.state, server.leavingSince = target.Leaving, time.Now()
	}
}

// SetSnapshots sets the index versions that the server can query.
func (server *Server) SetSnapshots(snapshots []uint64) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.snapshots = snapshots
}

func (server *Server) run(writer http.ResponseWriter, incoming *http.Request) {
	var request target.Request
	if err := json.NewDecoder(incoming.Body).Decode(&request); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, code, serviceTime := server.admit(incoming.Context(), request)
	if code != result.OK {
		server.reply(writer, target.Reply{Attempt: request.Attempt, Code: code})
		return
	}
	server.tally.recordRun(server.spec.Name, request)
	if strings.Contains(request.Query, CrashMarker) {
		server.tally.recordCrash(server.spec.Name)
		go server.Crash(time.Second)
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		code = result.Canceled
	}
	server.mutex.Lock()
	delete(server.running, request.Attempt)
	server.mutex.Unlock()
	reply := target.Reply{Attempt: request.Attempt, Code: code, Snapshot: request.Snapshot, Range: request.Range}
	if code == result.OK {
		reply.Hits = server.hits(request)
	}
	server.reply(writer, reply)
}

// admit occupies a slot and returns the request's context and service time, or returns the code of the refusal.
func (server *Server) admit(ctx context.Context, request target.Request) (context.Context, result.Code, time.Duration) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	switch {
	case server.state == target.Leaving:
		server.tally.recordRequestToLeaving(server.spec.Name, time.Since(server.leavingSince))
		return nil, result.Draining, 0
	case request.Range != server.spec.Range:
		return nil, result.RangeNotHeld, 0
	case !contains(server.snapshots, request.Snapshot):
		return nil, result.SnapshotGone, 0
	case !request.Deadline.After(time.Now()):
		return nil, result.TooLate, 0
	case len(server.running) >= server.spec.Slots:
		server.tally.recordSlotOverflow()
		return nil, result.Shed, 0
	}
	ctx, cancel := context.WithCancel(ctx)
	server.running[request.Attempt] = cancel
	jitter := math.Exp(serviceTimeSigma * server.random.NormFloat64())
	return ctx, result.OK, time.Duration(float64(server.spec.ServiceTime) * server.slowdown * jitter)
}

func (server *Server) cancel(writer http.ResponseWriter, incoming *http.Request) {
	var request target.CancelRequest
	if err := json.NewDecoder(incoming.Body).Decode(&request); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.mutex.Lock()
	if cancel, ok := server.running[request.Attempt]; ok {
		cancel()
	}
	server.mutex.Unlock()
	server.report(writer, incoming)
}

func (server *Server) report(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(server.loadReport())
}

func (server *Server) reply(writer http.ResponseWriter, reply target.Reply) {
	reply.Report = server.loadReport()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(reply)
}

// loadReport returns the server's report; with the false-report fault, requests in flight and free slots are swapped.
func (server *Server) loadReport() target.Report {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	report := target.Report{State: server.state, InFlight: len(server.running),
		Slots: server.spec.Slots, Snapshots: server.snapshots}
	if server.falseReport {
		report.InFlight = max(0, server.spec.Slots-report.InFlight)
	}
	return report
}

// hits returns hits whose IDs contain the shard, the snapshot and the request ID, so that the bench can check which
// shards and snapshots an answer came from.
func (server *Server) hits(request target.Request) []target.Hit {
	hits := make([]target.Hit, 2)
	for i := range hits {
		hits[i] = target.Hit{ID: fmt.Sprintf("%s|%d|%s|%d", server.spec.Shard, request.Snapshot,
			request.RequestID, i), Score: 1 / float64(i+1)}
	}
	return hits
}

// trackConnection counts the open connections by the server's state changes.
func (server *Server) trackConnection(conn net.Conn, state http.ConnState) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	switch state {
	case http.StateNew:
		server.conns[conn] = true
		server.tally.recordConnection(server.spec.Name, len(server.conns), server.spec.Connections)
	case http.StateClosed, http.StateHijacked:
		delete(server.conns, conn)
	case http.StateActive, http.StateIdle:
	}
}

func contains(snapshots []uint64, snapshot uint64) bool {
	for _, available := range snapshots {
		if available == snapshot {
			return true
		}
	}
	return false
}
