package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// owners holds the name of the instance behind each connection of a proxy to a server.
var owners sync.Map

// proxy stands between one instance and one server. While it is cut, open connections are reset and new ones are refused.
type proxy struct {
	to       string
	owner    string // name of the instance
	address  string
	mutex    sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newProxy(to string) *proxy {
	proxy := &proxy{to: to, conns: map[net.Conn]bool{}}
	proxy.listen("127.0.0.1:0")
	return proxy
}

func (proxy *proxy) listen(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fail(err)
	}
	proxy.listener, proxy.address = listener, listener.Addr().String()
	go proxy.accept(listener)
}

func (proxy *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go proxy.relay(conn)
	}
}

func (proxy *proxy) relay(conn net.Conn) {
	server, err := net.Dial("tcp", proxy.to)
	if err != nil {
		conn.Close()
		return
	}
	owners.Store(server.LocalAddr().String(), proxy.owner)
	proxy.mutex.Lock()
	proxy.conns[conn], proxy.conns[server] = true, true
	proxy.mutex.Unlock()
	done := make(chan struct{}, 2)
	copyTo := func(to, from net.Conn) {
		if _, err := io.Copy(to, from); errors.Is(err, syscall.ECONNRESET) {
			abort(to)
		}
		done <- struct{}{}
	}
	go copyTo(server, conn)
	go copyTo(conn, server)
	<-done
	conn.Close()
	server.Close()
	<-done
	proxy.mutex.Lock()
	delete(proxy.conns, conn)
	delete(proxy.conns, server)
	proxy.mutex.Unlock()
}

// abort closes the connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// cut resets the open connections and refuses new ones.
func (proxy *proxy) cut() {
	proxy.listener.Close()
	proxy.reset()
}

// reset resets the open connections.
func (proxy *proxy) reset() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for conn := range proxy.conns {
		abort(conn)
	}
}

// heal accepts connections again at the same address.
func (proxy *proxy) heal() { proxy.listen(proxy.address) }
