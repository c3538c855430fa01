package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// beatPeriod is the time between two reports of a server to the store.
const beatPeriod = 1200 * time.Millisecond

// server is a stand-in of one server of the users.
type server struct {
	id, service, zone string
	store             *store
	record            *record
	listener          net.Listener
	http              *http.Server
	work              time.Duration
	slots             int

	mutex   sync.Mutex
	seq     int
	state   string
	beating bool
	dark    bool
	// handle decides about a request that this server was sent; nil to run it.
	handle func(server *server, writer http.ResponseWriter, request *http.Request) bool
}

// newServer starts a server, which registers itself.
func newServer(store *store, record *record, id, service, zone string, work time.Duration) *server {
	server := &server{id: id, service: service, zone: zone, store: store, record: record, listener: listen(), work: work,
		slots: 5, state: "ready", beating: true}
	server.http = &http.Server{Handler: server, IdleTimeout: 20 * time.Second}
	go server.http.Serve(server.listener)
	server.beat()
	go func() {
		for {
			time.Sleep(beatPeriod)
			if !server.beat() {
				return
			}
		}
	}()
	return server
}

// beat writes the registration, and reports false once the server reports no more.
func (server *server) beat() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !server.beating {
		return false
	}
	server.seq++
	server.store.put("servers/"+server.id, map[string]any{"service": server.service, "addr": server.listener.Addr().String(),
		"zone": server.zone, "version": "v1", "slots": server.slots, "state": server.state, "cold_left_ms": 0, "seq": server.seq})
	return true
}

// unregister removes the entry of the server, which goes on serving, and returns when the store has acknowledged that.
func (server *server) unregister() time.Time {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.beating = false
	return server.store.remove("servers/" + server.id)
}

// crash ends the server, which reports no more. A silent one keeps its connections and answers nothing, until it exits.
func (server *server) crash(silent bool) {
	server.mutex.Lock()
	server.beating, server.dark = false, true
	server.mutex.Unlock()
	if !silent {
		server.exit()
	}
}

func (server *server) isDark() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.dark
}

// exit ends the server.
func (server *server) exit() { server.http.Close() }

// ServeHTTP runs a request for this server.
func (server *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/healthz" {
		writer.Header().Set("Instance-Id", server.id)
		return
	}
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != server.id {
		writer.Header().Set("Instance-Id", server.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	server.record.arrived(server, id)
	_, _ = io.Copy(io.Discard, request.Body)
	if server.handle != nil && server.handle(server, writer, request) {
		return
	}
	time.Sleep(server.work)
	writer.Header().Set("Server-Stamp", fmt.Sprintf("%s.%s", server.id, id))
	writer.Header().Set("Server-Load", fmt.Sprintf("1,0,%d", server.slots))
	fmt.Fprintf(writer, "body of %s from %s", id, server.id)
}

// reject answers that the server does not run the request.
func reject(writer http.ResponseWriter) {
	writer.Header().Set("Not-Run", "1")
	writer.Header().Set("Server-Load", "1,0,5")
	writer.WriteHeader(http.StatusServiceUnavailable)
}
