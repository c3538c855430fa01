package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that has reached a server.
type arrival struct {
	at     time.Time
	id     string
	server string
	ran    bool // whether the server has begun to work on it
	method string
	from   string // name of the instance, if a proxy stands between
}

// ledger collects the arrivals at all servers.
type ledger struct {
	mutex    sync.Mutex
	arrivals []*arrival
}

func (ledger *ledger) add(arrived *arrival) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.arrivals = append(ledger.arrivals, arrived)
}

func (ledger *ledger) setRan(arrived *arrival) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	arrived.ran = true
}

// all returns copies of the arrivals so far.
func (ledger *ledger) all() []arrival {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	var copies []arrival
	for _, known := range ledger.arrivals {
		copies = append(copies, *known)
	}
	return copies
}

// target is a stand-in for a server.
type target struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	ledger            *ledger
	listener          net.Listener
	server            *http.Server

	mutex     sync.Mutex
	running   int
	waiting   int
	free      chan struct{} // one value for each free slot
	shedShare float64       // of the requests are rejected, as if the server were full
	isLeaving bool
}

// registration is what a server writes to the store.
type registration struct {
	Service  string  `json:"service"`
	Addr     string  `json:"addr"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	ColdLeft float64 `json:"cold_left_ms"`
	Seq      uint64  `json:"seq"`
	Born     int64   `json:"born"`
}

func (target *target) start() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	target.listener = listener
	target.free = make(chan struct{}, target.slots)
	for range target.slots {
		target.free <- struct{}{}
	}
	target.server = &http.Server{Handler: target, IdleTimeout: 5 * time.Second}
	go func() { _ = target.server.Serve(listener) }()
}

func (target *target) address() string { return target.listener.Addr().String() }

func (target *target) registration(state string, seq uint64) registration {
	return registration{Service: target.service, Addr: target.address(), Zone: target.zone, Version: "v1", Slots: target.slots,
		State: state, Seq: seq, Born: born}
}

var born = time.Now().UnixMilli()

func (target *target) setShed(share float64) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.shedShare = share
}

func (target *target) leave() {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.isLeaving = true
}

// ServeHTTP implements http.Handler.
func (target *target) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	arrived := &arrival{at: time.Now(), id: id, server: target.id, method: request.Method}
	if owner, ok := owners.Load(request.RemoteAddr); ok {
		arrived.from, _ = owner.(string)
	}
	target.ledger.add(arrived)
	_, _ = io.Copy(io.Discard, request.Body)
	header := writer.Header()
	header.Set("Request-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != target.id {
		header.Set("Not-Run", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	target.mutex.Lock()
	isFull := target.waiting >= target.queue || rand.Float64() < target.shedShare
	if target.isLeaving {
		header.Set("Server-Leaving", "1")
	}
	if !isFull {
		target.waiting++
	}
	target.mutex.Unlock()
	if isFull {
		target.setLoad(header)
		header.Set("Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-target.free:
	case <-request.Context().Done():
		target.change(0, -1)
		return
	}
	target.change(1, -1)
	defer func() { target.free <- struct{}{} }()
	target.ledger.setRan(arrived)
	select {
	case <-time.After(time.Duration(float64(target.work) * (0.7 + 0.6*rand.Float64()))):
	case <-request.Context().Done(): // the server drops the request
		target.change(-1, 0)
		return
	}
	target.change(-1, 0)
	target.setLoad(header)
	header.Set("Server-Stamp", fmt.Sprintf("%s.%s.%08x", target.id, id, rand.Uint32()))
	_, _ = writer.Write([]byte("0123456789abcdef"))
}

func (target *target) change(running, waiting int) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.running += running
	target.waiting += waiting
}

func (target *target) setLoad(header http.Header) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	header.Set("Server-Load", fmt.Sprintf("%d,%d,%d", target.running, target.waiting, target.slots))
}
