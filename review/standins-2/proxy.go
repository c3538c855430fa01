package main

import (
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// proxies stand between the processes of each zone and the servers, so that a zone can be cut off from all servers.
type proxies struct {
	mutex sync.Mutex
	byKey map[string]*proxy // by zone and address
	modes map[string]string
	zones map[string]string // by address of a connection to a server
}

func newProxies() *proxies {
	return &proxies{byKey: map[string]*proxy{}, modes: map[string]string{}, zones: map[string]string{}}
}

// zoneOf returns the zone of the processes behind the connection to a server.
func (proxies *proxies) zoneOf(address string) string {
	proxies.mutex.Lock()
	defer proxies.mutex.Unlock()
	return proxies.zones[address]
}

type proxy struct {
	proxies        *proxies
	zone, to, addr string
	mutex          sync.Mutex
	listener       net.Listener
	conns          map[net.Conn]bool
	hold           chan struct{} // nil while bytes pass
}

func (proxies *proxies) rewrite(zone string, it item) item {
	if !strings.HasPrefix(it.Key, "servers/") || it.Deleted {
		return it
	}
	var value map[string]any
	if json.Unmarshal(it.Value, &value) != nil {
		return it
	}
	value["addr"] = proxies.get(zone, value["addr"].(string)).addr
	it.Value, _ = json.Marshal(value)
	return it
}

func (proxies *proxies) get(zone, to string) *proxy {
	proxies.mutex.Lock()
	defer proxies.mutex.Unlock()
	key := zone + " " + to
	if proxies.byKey[key] == nil {
		proxy := &proxy{proxies: proxies, zone: zone, to: to, conns: map[net.Conn]bool{}}
		proxy.listen()
		proxies.byKey[key] = proxy
		if mode := proxies.modes[zone]; mode != "" {
			proxy.cut(mode)
		}
	}
	return proxies.byKey[key]
}

// cut cuts the zone off from all servers: new connections are refused, and open ones are reset, hang, or live on.
func (proxies *proxies) cut(zone, mode string) {
	proxies.mutex.Lock()
	defer proxies.mutex.Unlock()
	proxies.modes[zone] = mode
	for _, proxy := range proxies.byKey {
		if proxy.zone == zone {
			proxy.cut(mode)
		}
	}
}

func (proxies *proxies) heal(zone string) {
	proxies.mutex.Lock()
	defer proxies.mutex.Unlock()
	proxies.modes[zone] = ""
	for _, proxy := range proxies.byKey {
		if proxy.zone == zone {
			proxy.heal()
		}
	}
}

func (proxy *proxy) listen() {
	address := proxy.addr
	if address == "" {
		address = net2 + "1:0"
	}
	listener, err := net.Listen("tcp", address)
	check(err)
	proxy.listener, proxy.addr = listener, listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.serve(conn)
		}
	}()
}

func (proxy *proxy) cut(mode string) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if proxy.listener != nil {
		proxy.listener.Close()
		proxy.listener = nil
	}
	switch mode {
	case "reset":
		for conn := range proxy.conns {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	case "hang":
		if proxy.hold == nil {
			proxy.hold = make(chan struct{})
		}
	}
}

func (proxy *proxy) heal() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if proxy.hold != nil {
		close(proxy.hold)
		proxy.hold = nil
	}
	if proxy.listener == nil {
		proxy.listen()
	}
}

func (proxy *proxy) serve(conn net.Conn) {
	up, err := net.DialTimeout("tcp", proxy.to, time.Second)
	if err != nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		return
	}
	proxy.proxies.mutex.Lock()
	proxy.proxies.zones[up.LocalAddr().String()] = proxy.zone
	proxy.proxies.mutex.Unlock()
	proxy.mutex.Lock()
	proxy.conns[conn], proxy.conns[up] = true, true
	proxy.mutex.Unlock()
	go proxy.copy(conn, up)
	proxy.copy(up, conn)
	proxy.mutex.Lock()
	delete(proxy.conns, conn)
	delete(proxy.conns, up)
	proxy.mutex.Unlock()
}

func (proxy *proxy) copy(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		size, err := from.Read(buffer)
		proxy.mutex.Lock()
		hold := proxy.hold
		proxy.mutex.Unlock()
		if hold != nil {
			<-hold
		}
		if size > 0 {
			if _, err := to.Write(buffer[:size]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			to.Close()
			return
		}
	}
}
