package relay

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/peerrpc"
)

const (
	// maxRunning is the number of requests of others that an instance serves at once.
	maxRunning = 512
	// maxEarlyCancels is the number of cancellations of a connection that are kept for requests that have not begun yet.
	maxEarlyCancels = 1024
)

// Handler serves the requests of other instances.
type Handler interface {
	ServeRelayed(ctx context.Context, request Request) Reply
}

// Server serves the requests that other instances hand over.
type Server struct {
	handler Handler
	log     logrus.FieldLogger
	running atomic.Int64
}

// NewServer returns a server that passes the requests to the handler.
func NewServer(handler Handler, log logrus.FieldLogger) *Server {
	return &Server{handler: handler, log: log}
}

// Running returns the number of requests in progress.
func (server *Server) Running() int64 { return server.running.Load() }

// Service returns the net/rpc service.
func (server *Server) Service() peerrpc.Service {
	return peerrpc.Service{Name: ServiceName, New: func(ctx context.Context) any {
		return &Service{server: server, ctx: ctx, cancels: map[uint64]context.CancelFunc{}, canceled: map[uint64]bool{}}
	}}
}

// Service receives the calls on one connection.
type Service struct {
	server   *Server
	ctx      context.Context // ends when the origin disconnects
	mutex    sync.Mutex
	cancels  map[uint64]context.CancelFunc // of the requests in progress, by call
	canceled map[uint64]bool               // calls that were canceled before they began
}

// Ping answers a check of the connection. The error is always nil.
func (service *Service) Ping(_ int, _ *int) error { return nil }

// Cancel ends the call, whose caller has gone. The error is always nil.
func (service *Service) Cancel(call uint64, _ *int) error {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if cancel, ok := service.cancels[call]; ok {
		cancel()
		return nil
	}
	if len(service.canceled) >= maxEarlyCancels {
		clear(service.canceled) // mostly calls that had ended
	}
	service.canceled[call] = true
	return nil
}

// Serve serves a request. The error is always nil.
func (service *Service) Serve(request Request, reply *Reply) error {
	server := service.server
	defer peerrpc.KeepOpen(service.ctx)()
	defer server.running.Add(-1)
	if server.running.Add(1) > maxRunning {
		reply.Refusal = RefusedBusy
		return nil
	}
	ctx, began := service.begin(request.Call)
	if !began {
		reply.Code = result.Canceled
		return nil
	}
	defer service.end(request.Call)
	defer func() {
		if failure := recover(); failure != nil {
			server.log.WithFields(logrus.Fields{"origin": request.Origin, "error": failure, "stack": string(debug.Stack())}).
				Error("request of another instance failed unexpectedly")
			*reply = Reply{Code: result.Broken, Reason: "the helper failed unexpectedly"}
		}
	}()
	*reply = server.handler.ServeRelayed(ctx, request)
	return nil
}

// begin registers the call, and reports false if it is canceled already.
func (service *Service) begin(call uint64) (context.Context, bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.canceled[call] {
		delete(service.canceled, call)
		return nil, false
	}
	ctx, cancel := context.WithCancel(service.ctx)
	service.cancels[call] = cancel
	return ctx, true
}

func (service *Service) end(call uint64) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.cancels[call]()
	delete(service.cancels, call)
}
