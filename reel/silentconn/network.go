package silentconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
)

// Network opens connections to one HTTP server. It is safe for concurrent use.
type Network struct {
	handler http.Handler
	mutex   sync.Mutex
	conns   []*conn
}

// New returns a network whose server answers with the handler.
func New(handler http.Handler) *Network { return &Network{handler: handler} }

// Dial opens a connection to the server, whatever the address; its error is always nil.
func (network *Network) Dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	opened := &conn{Conn: near}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.conns = append(network.conns, opened)
	go network.serve(far)
	return opened, nil
}

// serve answers the requests on the connection until it ends.
func (network *Network) serve(far net.Conn) {
	defer far.Close()
	reader := bufio.NewReader(far)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		recorder := httptest.NewRecorder()
		network.handler.ServeHTTP(recorder, request)
		response := recorder.Result()
		response.ContentLength = int64(recorder.Body.Len())
		if err := response.Write(far); err != nil {
			return
		}
	}
}

// Dials returns the number of connections that were opened.
func (network *Network) Dials() int {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return len(network.conns)
}

// Silence makes all connections that were opened so far silent for good, in both directions and without a reset.
func (network *Network) Silence() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, conn := range network.conns {
		conn.silence()
	}
}

// conn is the client's end of a connection.
type conn struct {
	net.Conn
	mutex  sync.Mutex
	silent bool
}

func (conn *conn) silence() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.silent = true
}

// Write implements io.Writer. What is written to a silent connection is lost.
func (conn *conn) Write(data []byte) (int, error) {
	conn.mutex.Lock()
	silent := conn.silent
	conn.mutex.Unlock()
	if silent {
		return len(data), nil
	}
	return conn.Conn.Write(data)
}
