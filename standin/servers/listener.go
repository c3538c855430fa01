package servers

import (
	"net"
	"sync"
	"time"
)

// slowListener makes each new connection cost time before its first byte is read.
type slowListener struct {
	net.Listener
	cost time.Duration
}

// Accept returns the next connection.
func (listener slowListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, cost: listener.cost}, nil
}

type slowConn struct {
	net.Conn
	cost time.Duration
	once sync.Once
}

// Read waits for the cost of the connection the first time.
func (conn *slowConn) Read(buffer []byte) (int, error) {
	conn.once.Do(func() { time.Sleep(conn.cost) })
	return conn.Conn.Read(buffer)
}
