package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for one server of a service.
type server struct {
	world    *world
	id       string
	service  string
	zone     string
	addr     string
	slots    int
	queue    int
	maxConns int
	work     time.Duration
	part     int // bytes of the answer; 0: a short text
	listener net.Listener
	mutex    sync.Mutex
	free     chan struct{}
	running  int
	waiting  int
	conns    map[net.Conn]bool
	stamps   atomic.Uint64
	seq      uint64
	// troubles
	shed      atomic.Uint64 // share of the requests, in thousandths, that are rejected though there is room
	extraLate atomic.Uint64 // share of the answers, in thousandths, of which a second copy is sent late
}

func (server *server) start() {
	var err error
	address := net2 + "1:0"
	if server.addr != "" {
		address = server.addr
	}
	server.listener, err = net.Listen("tcp", address)
	check(err)
	server.addr = server.listener.Addr().String()
	server.free = make(chan struct{}, server.slots)
	server.conns = map[net.Conn]bool{}
	go server.accept(server.listener)
	server.register("ready")
}

func (server *server) register(state string) {
	server.seq++
	server.world.store.put("servers/"+server.id, map[string]any{"service": server.service, "addr": server.addr, "zone": server.zone,
		"version": "v1", "slots": server.slots, "state": state, "cold_left_ms": 0, "seq": server.seq})
}

func (server *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		server.mutex.Lock()
		full := len(server.conns) >= server.maxConns
		if !full {
			server.conns[conn] = true
		}
		server.mutex.Unlock()
		if full {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			continue
		}
		go server.serve(conn)
	}
}

type call struct {
	request *http.Request
	body    []byte
}

func (server *server) serve(conn net.Conn) {
	gone := make(chan struct{})
	calls := make(chan call)
	go func() {
		defer close(gone)
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			calls <- call{request, body}
		}
	}()
	defer func() {
		conn.Close()
		server.mutex.Lock()
		delete(server.conns, conn)
		server.mutex.Unlock()
		for {
			select {
			case <-calls:
			case <-gone:
				return
			}
		}
	}()
	var late []byte
	last := ""
	for {
		select {
		case <-gone:
			return
		case call := <-calls:
			if late != nil {
				// An extra response arrives late, at the point where the next response is expected.
				server.world.note("server %s sends a second copy late, before the answer to %s", server.id, call.request.Header.Get("Request-Id"))
				if _, err := conn.Write(late); err != nil {
					return
				}
				late = nil
			}
			if id := call.request.Header.Get("Request-Id"); id == last {
				server.world.sameConn.Add(1)
			}
			last = call.request.Header.Get("Request-Id")
			answer := server.handle(call, gone)
			if answer == nil {
				return
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
			if rand.Uint64N(1000) < server.extraLate.Load() {
				late = answer
			}
		}
	}
}

// handle runs or rejects the request and returns the answer, or nil if the caller has gone.
func (server *server) handle(call call, gone chan struct{}) []byte {
	id := call.request.Header.Get("Request-Id")
	if expected := call.request.Header.Get("Expect-Instance"); expected != "" && expected != server.id {
		return []byte("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id + "\r\nInstance-Id: " + server.id + "\r\nContent-Length: 0\r\n\r\n")
	}
	server.mutex.Lock()
	if server.running >= server.slots && server.waiting >= server.queue || rand.Uint64N(1000) < server.shed.Load() {
		load := fmt.Sprintf("%d,%d,%d", server.running, server.waiting, server.slots)
		server.mutex.Unlock()
		server.world.rejected(id, server)
		return []byte("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Run: 1\r\nServer-Load: " + load + "\r\nContent-Length: 0\r\n\r\n")
	}
	server.waiting++
	server.mutex.Unlock()
	deadline, _ := strconv.Atoi(call.request.Header.Get("Deadline-Ms"))
	timer := time.NewTimer(time.Duration(max(deadline, 1)) * time.Millisecond)
	defer timer.Stop()
	select {
	case server.free <- struct{}{}:
	case <-gone:
		server.count(-1, 0)
		return nil
	case <-timer.C:
		server.count(-1, 0)
		return []byte("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	server.count(-1, 1)
	server.world.ran(id, server, call)
	time.Sleep(server.work/2 + rand.N(server.work))
	<-server.free
	server.mutex.Lock()
	server.running--
	load := fmt.Sprintf("%d,%d,%d", server.running, server.waiting, server.slots)
	server.mutex.Unlock()
	stamp := server.stamp(id)
	body := []byte("done " + stamp + "\n")
	if server.part > 0 {
		body = make([]byte, server.part)
		for i := range body {
			body[i] = byte(rand.UintN(256))
		}
	}
	server.world.stamped(stamp, id, server, body)
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nServer-Load: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n", id, stamp, load, len(body))
	answer.Write(body)
	return answer.Bytes()
}

func (server *server) count(waiting, running int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.waiting += waiting
	server.running += running
}

func (server *server) stamp(id string) string {
	hash := fnv.New32a()
	fmt.Fprintf(hash, "%s %s", server.id, id)
	return fmt.Sprintf("%s.%x.%08x", server.id, server.stamps.Add(1), hash.Sum32())
}

// crash closes all connections at once and listens no more.
func (server *server) crash() {
	server.listener.Close()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}
