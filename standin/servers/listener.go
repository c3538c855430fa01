package servers

import (
	"net"
	"sync"
	"time"
)

// slowListener delays the first read of each connection to simulate the cost of establishing it.
type slowListener struct {
	net.Listener
	delay time.Duration
}

// Accept returns the next connection, whose first read is delayed.
func (listener slowListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, delay: listener.delay}, nil
}

type slowConn struct {
	net.Conn
	delay time.Duration
	once  sync.Once
}

// Read reads from the connection; the first call waits for the delay.
func (conn *slowConn) Read(buffer []byte) (int, error) {
	conn.once.Do(func() { time.Sleep(conn.delay) })
	return conn.Conn.Read(buffer)
}
