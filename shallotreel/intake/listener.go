package intake

import (
	"net"
	"net/http"
	"sync/atomic"
)

// Heads bounds the memory that the heads of all requests take on the connections of an HTTP server, from their first byte until the
// request has ended. A connection whose head may not be kept is closed without an answer, so that its caller knows that it was not
// read.
type Heads struct {
	budget  *Budget
	refused atomic.Uint64
}

// NewHeads returns a bound of so many bytes.
func NewHeads(limit int64) *Heads { return &Heads{budget: NewBudget(limit)} }

// Held returns the memory of the heads of all requests in progress, in bytes.
func (heads *Heads) Held() int64 { return heads.budget.Held() }

// Refused returns how many connections were closed because of their heads.
func (heads *Heads) Refused() uint64 { return heads.refused.Load() }

// Listener returns a listener for the server, whose connections count.
func (heads *Heads) Listener(listener net.Listener) net.Listener {
	return countingListener{listener, heads}
}

// Follow is the server's ConnState function.
func (heads *Heads) Follow(conn net.Conn, state http.ConnState) {
	counted, ok := conn.(*countedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive: // the head is complete
		counted.inHead = false
	case http.StateIdle:
		counted.head.Reset()
		counted.inHead = true
	case http.StateClosed, http.StateHijacked:
		counted.head.Reset()
		counted.inHead = false
	}
}

type countingListener struct {
	net.Listener
	heads *Heads
}

// Accept implements net.Listener.
func (listener countingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, heads: listener.heads, head: NewHead(listener.heads.budget), inHead: true}, nil
}

// countedConn is a connection of a caller. The server changes its state only while it does not read.
type countedConn struct {
	net.Conn
	heads  *Heads
	head   *Head
	inHead bool
}

// Read implements io.Reader.
func (conn *countedConn) Read(buffer []byte) (int, error) {
	if !conn.inHead {
		return conn.Conn.Read(buffer)
	}
	size, err := conn.Conn.Read(buffer)
	if exhausted := conn.head.Add(buffer[:size]); exhausted != nil {
		conn.heads.refused.Add(1)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: exhausted} // after which the server closes the connection without an answer
	}
	return size, err
}

// CloseWrite ends the direction to the caller, by which the server lets it read an answer that comes before the end of its request.
func (conn *countedConn) CloseWrite() error {
	closer, ok := conn.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return closer.CloseWrite()
}
