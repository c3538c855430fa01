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

// CrashMark in a query makes every target that runs it crash.
const CrashMark = "crash-every-target"

const spread = 0.35 // sigma of the log-normal service time

// Spec describes one stand-in target.
type Spec struct {
	Name        string         `json:"name"`
	Shard       string         `json:"shard"`
	Address     netip.AddrPort `json:"address"`
	Range       coverage.Range `json:"range"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Service     time.Duration  `json:"service_ns"`
	ConnectCost time.Duration  `json:"connect_cost_ns"`
	Snapshots   []uint64       `json:"snapshots"`
}

// Server is one stand-in target.
type Server struct {
	spec    Spec
	tally   *Tally
	mutex   sync.Mutex
	random  *rand.Rand
	running map[target.Attempt]context.CancelFunc
	conns   map[net.Conn]bool
	http    *http.Server
	held    []uint64
	state   target.State
	factor  float64
	lie     bool
	left    time.Time
}

// New returns a server that is not listening yet.
func New(spec Spec, tally *Tally, seed uint64) *Server {
	return &Server{spec: spec, tally: tally, random: rand.New(rand.NewPCG(seed, 1)), factor: 1,
		state: target.Serving, held: spec.Snapshots, running: map[target.Attempt]context.CancelFunc{},
		conns: map[net.Conn]bool{}}
}

// Listen starts to serve.
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
	server.http = &http.Server{Handler: mux, ConnState: server.count}
	started := server.http
	server.mutex.Unlock()
	go started.Serve(slowListener{listener, server.spec.ConnectCost})
	return nil
}

// Crash closes the server at once and starts it again after the pause.
func (server *Server) Crash(pause time.Duration) {
	server.mutex.Lock()
	old := server.http
	server.http = nil
	server.mutex.Unlock()
	if old == nil {
		return
	}
	old.Close()
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

// SetFactor makes the server slower.
func (server *Server) SetFactor(factor float64) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.factor = factor
}

// SetLie makes the server's reports claim the opposite of its load.
func (server *Server) SetLie(lie bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.lie = lie
}

// SetLeaving makes the server drain, or serve again.
func (server *Server) SetLeaving(leaving bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.state, server.left = target.Serving, time.Time{}
	if leaving {
		server.state, server.left = target.Leaving, time.Now()
	}
}

// SetSnapshots changes the index versions that the server holds.
func (server *Server) SetSnapshots(held []uint64) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.held = held
}

func (server *Server) run(writer http.ResponseWriter, incoming *http.Request) {
	var request target.Request
	if err := json.NewDecoder(incoming.Body).Decode(&request); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, code, took := server.admit(incoming.Context(), request)
	if code != result.OK {
		server.reply(writer, target.Reply{Attempt: request.Attempt, Code: code})
		return
	}
	server.tally.ran(server.spec.Name, request)
	if strings.Contains(request.Query, CrashMark) {
		server.tally.crashed(server.spec.Name)
		go server.Crash(time.Second)
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	timer := time.NewTimer(took)
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

// admit takes a slot, or refuses before anything runs.
func (server *Server) admit(ctx context.Context, request target.Request) (context.Context, result.Code, time.Duration) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	switch {
	case server.state == target.Leaving:
		server.tally.offeredToLeaving(server.spec.Name, time.Since(server.left))
		return nil, result.Draining, 0
	case request.Range != server.spec.Range:
		return nil, result.RangeNotHeld, 0
	case !holds(server.held, request.Snapshot):
		return nil, result.SnapshotGone, 0
	case !request.Deadline.After(time.Now()):
		return nil, result.TooLate, 0
	case len(server.running) >= server.spec.Slots:
		server.tally.slotsOver()
		return nil, result.Shed, 0
	}
	ctx, cancel := context.WithCancel(ctx)
	server.running[request.Attempt] = cancel
	random := math.Exp(spread * server.random.NormFloat64())
	return ctx, result.OK, time.Duration(float64(server.spec.Service) * server.factor * random)
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
	_ = json.NewEncoder(writer).Encode(server.words())
}

func (server *Server) reply(writer http.ResponseWriter, reply target.Reply) {
	reply.Report = server.words()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(reply)
}

// words returns the server's own report, which a lie turns round.
func (server *Server) words() target.Report {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	report := target.Report{State: server.state, InFlight: len(server.running),
		Slots: server.spec.Slots, Snapshots: server.held}
	if server.lie {
		report.InFlight = max(0, server.spec.Slots-report.InFlight)
	}
	return report
}

// hits returns matches whose ids tell the shard, the snapshot and the query that they answer.
func (server *Server) hits(request target.Request) []target.Hit {
	hits := make([]target.Hit, 2)
	for i := range hits {
		hits[i] = target.Hit{ID: fmt.Sprintf("%s|%d|%s|%d", server.spec.Shard, request.Snapshot,
			request.RequestID, i), Score: 1 / float64(i+1)}
	}
	return hits
}

func (server *Server) count(conn net.Conn, state http.ConnState) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	switch state {
	case http.StateNew:
		server.conns[conn] = true
		server.tally.connected(server.spec.Name, len(server.conns), server.spec.Connections)
	case http.StateClosed, http.StateHijacked:
		delete(server.conns, conn)
	case http.StateActive, http.StateIdle:
	}
}

func holds(held []uint64, snapshot uint64) bool {
	for _, known := range held {
		if known == snapshot {
			return true
		}
	}
	return false
}
