package peerrpc

import (
	"context"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"shallotreel.example/shallotreel/intake"
)

const (
	// serverWriteTimeout is the time within which a peer must take a part of a reply.
	serverWriteTimeout = 5 * time.Second
	// minAcceptBackoff and maxAcceptBackoff bound the time after which a connection is accepted again when that has failed.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second

	defaultMemory      = 64 << 20 // bytes, of a server that shares none
	defaultConnections = 1024
)

// Service is a net/rpc service for peers.
type Service struct {
	Name string
	// New returns the receiver of the calls on one connection; the context ends when the peer disconnects.
	New func(ctx context.Context) any
}

// Server accepts connections of peers.
type Server struct {
	listener net.Listener
	services []Service
	door     *intake.Door
	log      logrus.FieldLogger
	calls    *calls
}

// Option changes a new Server.
type Option func(*Server)

// WithDoor makes the connections of the server and their messages count for the door and its memory.
func WithDoor(door *intake.Door) Option {
	return func(server *Server) { server.door = door }
}

// WithLog makes the server log why it cannot accept connections.
func WithLog(log logrus.FieldLogger) Option {
	return func(server *Server) { server.log = log }
}

// Serve starts a server of the services at the address. It returns an error if the address is not available or a service cannot
// be registered.
func Serve(address netip.AddrPort, services []Service, options ...Option) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for calls of peers")
	}
	server := newServer(listener, services, options...)
	if _, err := server.register(context.Background()); err != nil {
		listener.Close()
		return nil, err
	}
	go server.accept()
	return server, nil
}

func newServer(listener net.Listener, services []Service, options ...Option) *Server {
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	server := &Server{listener: listener, services: services, log: silent, calls: newCalls(), door: intake.NewMemory(defaultMemory).Door(defaultConnections)}
	for _, option := range options {
		option(server)
	}
	return server
}

// register returns an RPC server with the services of one connection.
func (server *Server) register(ctx context.Context) (*rpc.Server, error) {
	registered := rpc.NewServer()
	for _, service := range server.services {
		if err := registered.RegisterName(service.Name, service.New(ctx)); err != nil {
			return nil, errors.Wrapf(err, "register RPC service %s", service.Name)
		}
	}
	return registered, nil
}

func (server *Server) accept() {
	backoff := minAcceptBackoff
	for {
		conn, err := server.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			server.log.WithError(err).WithField("backoff", backoff.String()).Error("cannot accept connections of peers")
			time.Sleep(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
			continue
		}
		backoff = minAcceptBackoff
		if hold, ok := server.door.Enter(func() { conn.Close() }); ok {
			go server.serveConn(conn, hold)
		} else {
			conn.Close()
		}
	}
}

func (server *Server) serveConn(accepted net.Conn, hold *intake.Hold) {
	defer hold.Release()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn := &peerConn{Conn: accepted, writeTimeout: serverWriteTimeout, cancel: cancel, hold: hold}
	registered, err := server.register(context.WithValue(ctx, connKey{}, conn))
	if err != nil {
		conn.Close() // not reached: the services were registered at the start
		return
	}
	registered.ServeCodec(newServerCodec(conn, server.calls))
}

// Close stops accepting connections; open ones continue.
func (server *Server) Close() { server.listener.Close() }

// Dial connects to a peer and returns a client for its services. A call whose request the peer does not take within the
// write timeout fails, and so do all others on the connection.
func Dial(address netip.AddrPort, timeout, writeTimeout time.Duration) (*rpc.Client, error) {
	conn, err := net.DialTimeout("tcp", address.String(), timeout)
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer")
	}
	return rpc.NewClient(&peerConn{Conn: conn, writeTimeout: writeTimeout, cancel: func() {}}), nil
}
