package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes the connections of one instance on to the store. It can drop all that is sent on those that are open.
type proxy struct {
	address, target string
	mutex           sync.Mutex
	conns           []*passedConn
	cut             atomic.Bool // whether nothing passes, in either direction
}

// passedConn is a connection through the proxy.
type passedConn struct {
	proxy  *proxy
	mutex  sync.Mutex
	silent bool
	closed bool
	usedAt time.Time // when bytes were last passed on
}

func (conn *passedConn) isSilent() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.silent
}

func newProxy(target string) *proxy {
	listener := listen()
	proxy := &proxy{address: listener.Addr().String(), target: target}
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.pass(accepted)
		}
	}()
	return proxy
}

func (proxy *proxy) pass(accepted net.Conn) {
	dialed, err := net.Dial("tcp", proxy.target)
	if err != nil {
		accepted.Close()
		return
	}
	conn := &passedConn{proxy: proxy, usedAt: time.Now()}
	proxy.mutex.Lock()
	proxy.conns = append(proxy.conns, conn)
	proxy.mutex.Unlock()
	go conn.copy(dialed, accepted)
	conn.copy(accepted, dialed)
}

// copy passes bytes on. Those of a silent connection are lost, and so is its end.
func (conn *passedConn) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		if conn.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		for conn.proxy.cut.Load() { // sent again once the cut has healed
			time.Sleep(10 * time.Millisecond)
		}
		conn.use(err != nil)
		if _, failed := to.Write(buffer[:size]); failed != nil || err != nil {
			if err == io.EOF && failed == nil {
				if half, ok := to.(*net.TCPConn); ok {
					_ = half.CloseWrite()
					return
				}
			}
			to.Close()
			from.Close()
			return
		}
	}
}

func (conn *passedConn) use(closed bool) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.usedAt, conn.closed = time.Now(), conn.closed || closed
}

// silence makes the open connections on which nothing was sent for the time silent for good. Others, and new ones, work. It returns
// their number.
func (proxy *proxy) silence(unused time.Duration) int {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	count := 0
	for _, conn := range proxy.conns {
		conn.mutex.Lock()
		if !conn.closed && time.Since(conn.usedAt) >= unused {
			conn.silent = true
			count++
		}
		conn.mutex.Unlock()
	}
	return count
}
