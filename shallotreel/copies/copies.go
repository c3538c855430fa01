package copies

import (
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/catalogue"
)

// ErrTimeout means that the peer did not answer in time.
var ErrTimeout = errors.New("the peer did not answer in time")

// Query asks for what changed after the serial of a peer's process.
type Query struct {
	Process uint64 // incarnation that gave the serial, 0 for everything
	Serial  uint64
	Hold    time.Duration // how long the answer may wait for a change
}

// Reply is what changed, and how old the peer's own knowledge is.
type Reply struct {
	Process uint64
	Whole   bool // names all targets
	Delta   catalogue.Delta
	Age     time.Duration // since the peer's last reading of the store
	Store   uint64        // revision of that reading
}

// Source answers queries from the own catalogue.
type Source interface{ Since(query Query) Reply }

// Service is what peers call.
type Service struct{ source Source }

// Since answers a query.
func (service *Service) Since(query Query, reply *Reply) error {
	*reply = service.source.Since(query)
	return nil
}

// Server answers peers.
type Server struct{ listener net.Listener }

// Serve answers peers at the address.
func Serve(address netip.AddrPort, source Source) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for copies")
	}
	server := rpc.NewServer()
	if err := server.RegisterName("Copies", &Service{source}); err != nil {
		return nil, errors.Wrap(err, "register service")
	}
	go accept(listener, server)
	return &Server{listener}, nil
}

func accept(listener net.Listener, server *rpc.Server) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // closed
		}
		go server.ServeConn(conn)
	}
}

// Close stops taking connections.
func (server *Server) Close() { server.listener.Close() }

// Client asks one peer at a time.
type Client struct {
	peer   netip.AddrPort
	client *rpc.Client
}

// Fetch queries the peer and waits at most the query's hold and the given time.
func (client *Client) Fetch(peer netip.AddrPort, query Query, most time.Duration) (Reply, error) {
	if client.client != nil && client.peer != peer {
		client.Close()
	}
	if client.client == nil {
		conn, err := net.DialTimeout("tcp", peer.String(), most)
		if err != nil {
			return Reply{}, errors.Wrap(err, "connect to peer")
		}
		client.peer, client.client = peer, rpc.NewClient(conn)
	}
	var reply Reply
	call := client.client.Go("Copies.Since", query, &reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(query.Hold + most)
	defer timer.Stop()
	select {
	case <-call.Done:
	case <-timer.C:
		client.Close()
		return Reply{}, ErrTimeout
	}
	if call.Error != nil {
		client.Close()
		return Reply{}, errors.Wrap(call.Error, "ask peer")
	}
	return reply, nil
}

// Close closes the connection.
func (client *Client) Close() {
	if client.client != nil {
		client.client.Close()
		client.client = nil
	}
}
