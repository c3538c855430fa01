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

// Batch is what one instance brings another in one call.
type Batch struct {
	From    string
	Subs    []holder.SubRequest
	Answers []holder.Answer
	Cancels []Cancel
}

// Cancel names an attempt that its entry no longer needs.
type Cancel struct {
	Attempt target.Attempt
	Target  string
}

// StatusRequest asks a holder for the status of targets.
type StatusRequest struct{ Targets []string }

// StatusReply brings the status of targets.
type StatusReply struct{ Statuses []holder.Status }

// Empty is a message without content.
type Empty struct{}

// Handler takes what peers bring.
type Handler interface {
	TakeBatch(batch Batch)
	Statuses(targets []string) []holder.Status
	Pull(request fleet.PullRequest) fleet.PullReply
	Record(request caller.Request) caller.Answer
}

// Peer is the service that each instance offers the others over net/rpc.
type Peer struct {
	handler Handler
	closed  chan struct{}
}

// Deliver takes a batch of work; its answers come back in batches of their own.
func (peer *Peer) Deliver(batch Batch, _ *Empty) error {
	peer.handler.TakeBatch(batch)
	return nil
}

// Status returns what this holder knows of targets.
func (peer *Peer) Status(request StatusRequest, reply *StatusReply) error {
	reply.Statuses = peer.handler.Statuses(request.Targets)
	return nil
}

// Pull returns what the asking instance lacks.
func (peer *Peer) Pull(request fleet.PullRequest, reply *fleet.PullReply) error {
	*reply = peer.handler.Pull(request)
	return nil
}

// Record runs a request whose ticket this instance owns.
func (peer *Peer) Record(request caller.Request, reply *caller.Answer) error {
	*reply = peer.handler.Record(request)
	return nil
}

// Hold returns only when this instance stops, so that its end is noticed at once.
func (peer *Peer) Hold(Empty, *Empty) error {
	<-peer.closed
	return nil
}

// Server accepts calls of peers.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	peer     *Peer
	mutex    sync.Mutex
	conns    map[net.Conn]bool
	done     bool
}

// Serve starts to accept calls on the listener.
func Serve(listener net.Listener, handler Handler) (*Server, error) {
	peer := &Peer{handler: handler, closed: make(chan struct{})}
	server := &Server{listener: listener, rpc: rpc.NewServer(), peer: peer, conns: map[net.Conn]bool{}}
	if err := server.rpc.RegisterName("Peer", peer); err != nil {
		return nil, err
	}
	go server.accept()
	return server, nil
}

// Close stops accepting and ends the connections.
func (server *Server) Close() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.done {
		return
	}
	server.done = true
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
