package peers

import (
	"net"
	"net/rpc"
	"sync"

	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/fleet"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/target"
)

// Batch contains the messages that one instance sends another in one call. From is the name of the sending instance.
type Batch struct {
	From    string
	Subs    []holder.SubRequest
	Answers []holder.Answer
	Cancels []Cancel
}

// Cancel requests the cancellation of an attempt whose result the sending instance no longer needs.
type Cancel struct {
	Attempt target.Attempt
	Target  string
}

// StatusRequest is the request of Peer.Status. It names targets.
type StatusRequest struct{ Targets []string }

// StatusReply is the reply of Peer.Status.
type StatusReply struct{ Statuses []holder.Status }

// Empty is a message without content.
type Empty struct{}

// Handler handles the calls of peers.
type Handler interface {
	// HandleBatch handles the messages of a batch and returns without waiting for the sub-requests to finish.
	HandleBatch(batch Batch)
	// Statuses returns the status of the targets as this holder sees them.
	Statuses(targets []string) []holder.Status
	// Pull returns the updates that the requesting instance has not received.
	Pull(request fleet.PullRequest) fleet.PullReply
	// Record runs a record request whose ticket this instance issued.
	Record(request caller.Request) caller.Answer
}

// Peer is the service that each instance offers the others over net/rpc.
type Peer struct {
	handler Handler
	closed  chan struct{}
}

// Deliver passes a batch to the handler. The answers to its sub-requests are delivered to the sender in other batches.
func (peer *Peer) Deliver(batch Batch, _ *Empty) error {
	peer.handler.HandleBatch(batch)
	return nil
}

// Status returns the status of the targets as this holder sees them.
func (peer *Peer) Status(request StatusRequest, reply *StatusReply) error {
	reply.Statuses = peer.handler.Statuses(request.Targets)
	return nil
}

// Pull returns the updates that the requesting instance has not received.
func (peer *Peer) Pull(request fleet.PullRequest, reply *fleet.PullReply) error {
	*reply = peer.handler.Pull(request)
	return nil
}

// Record runs a record request whose ticket this instance issued.
func (peer *Peer) Record(request caller.Request, reply *caller.Answer) error {
	*reply = peer.handler.Record(request)
	return nil
}

// Hold blocks until this instance stops. A peer keeps one call of Hold pending on each connection; when that call ends,
// the peer detects at once that the connection is broken.
func (peer *Peer) Hold(Empty, *Empty) error {
	<-peer.closed
	return nil
}

// Server serves the calls of peers.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	peer     *Peer
	mutex    sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

// Serve starts a server that accepts connections on the listener. It returns an error if the service cannot be
// registered.
func Serve(listener net.Listener, handler Handler) (*Server, error) {
	peer := &Peer{handler: handler, closed: make(chan struct{})}
	server := &Server{listener: listener, rpc: rpc.NewServer(), peer: peer, conns: map[net.Conn]bool{}}
	if err := server.rpc.RegisterName("Peer", peer); err != nil {
		return nil, err
	}
	go server.accept()
	return server, nil
}

// Close closes the listener and all connections. Further calls have no effect.
func (server *Server) Close() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closed {
		return
	}
	server.closed = true
	close(server.peer.closed)
	server.listener.Close()
	for conn := range server.conns {
		conn.Close()
	}
}

func (server *Server) accept() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		server.mutex.Lock()
		server.conns[conn] = true
		server.mutex.Unlock()
		go func() {
			server.rpc.ServeConn(conn)
			server.mutex.Lock()
			delete(server.conns, conn)
			server.mutex.Unlock()
		}()
	}
}
