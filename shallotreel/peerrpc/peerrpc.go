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
)

const (
	// serverWriteTimeout is the time within which a peer must take a part of a reply.
	serverWriteTimeout = 5 * time.Second
	// minAcceptBackoff and maxAcceptBackoff bound the time after which a connection is accepted again when that has failed.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
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
	log      logrus.FieldLogger
}

// Option changes a new Server.
type Option func(*Server)

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
	server := &Server{listener: listener, services: services, log: silent}
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
		go server.serveConn(conn)
	}
}

func (server *Server) serveConn(conn net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	registered, err := server.register(ctx)
	if err != nil {
		conn.Close() // not reached: the services were registered at the start
		return
	}
	registered.ServeConn(peerConn{conn, serverWriteTimeout, cancel, &messageLimiter{}})
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
	return rpc.NewClient(peerConn{conn, writeTimeout, func() {}, &messageLimiter{}}), nil
}

// peerConn is a connection that closes when the peer does not read, or sends a message that is too long. It cancels a context once the
// peer has disconnected, while calls of the peer may still run.
type peerConn struct {
	net.Conn
	writeTimeout time.Duration
	cancel       context.CancelFunc
	limiter      *messageLimiter // of what the peer sends
}

// Write implements io.Writer.
func (conn peerConn) Write(data []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(conn.writeTimeout)); err != nil {
		return 0, err
	}
	size, err := conn.Conn.Write(data)
	if err != nil {
		conn.Close() // a part of a message may have been sent
	}
	return size, err
}

// Read implements io.Reader.
func (conn peerConn) Read(buffer []byte) (int, error) {
	size, err := conn.Conn.Read(buffer)
	if tooLong := conn.limiter.check(buffer[:size]); tooLong != nil {
		size, err = 0, tooLong
		conn.Close()
	}
	if err != nil {
		conn.cancel()
	}
	return size, err
}
