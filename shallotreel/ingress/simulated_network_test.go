package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cut is what has become of the path between an instance and all targets.
type cut int

const (
	noCut    cut = iota
	hanging      // nothing arrives until the cut ends; new connections get no answer
	reset        // connections break, new ones are refused
	refusing     // open connections go on, new ones are refused
	cutKinds
)

const (
	simulatedDelay = time.Millisecond // one way between an instance and a target
	gatePeriod     = 5 * time.Millisecond
	pipeBuffer     = 64 // messages on the way, more than a connection with one request ever has
)

// simulatedPath is the path of one instance to the targets.
type simulatedPath struct {
	instance int
	mutex    sync.Mutex
	cut      cut
	pipes    map[*simulatedPipe]bool
}

// simulatedPipe is a connection over the path.
type simulatedPipe struct{ near, far net.Conn }

func (pipe *simulatedPipe) close() {
	pipe.near.Close()
	pipe.far.Close()
}

func (path *simulatedPath) state() cut {
	path.mutex.Lock()
	defer path.mutex.Unlock()
	return path.cut
}

func (path *simulatedPath) set(cut cut) {
	path.mutex.Lock()
	defer path.mutex.Unlock()
	path.cut = cut
	if cut == reset {
		path.closeAll()
	}
}

// closeAll breaks all connections. The caller must hold the lock.
func (path *simulatedPath) closeAll() {
	for pipe := range path.pipes {
		pipe.close()
	}
	clear(path.pipes)
}

// connect opens a connection to the target.
func (path *simulatedPath) connect(ctx context.Context, target *simulatedTarget) (net.Conn, error) {
	for path.state() == hanging {
		select {
		case <-ctx.Done():
			return nil, os.ErrDeadlineExceeded
		case <-time.After(gatePeriod):
		}
	}
	time.Sleep(2 * simulatedDelay)
	if path.state() != noCut || !target.isUp() {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	instanceSide, near := net.Pipe()
	far, targetSide := net.Pipe()
	pipe := &simulatedPipe{near, far}
	path.mutex.Lock()
	path.pipes[pipe] = true
	path.mutex.Unlock()
	go path.forward(near, far)
	go path.forward(far, near)
	go target.serve(targetSide, path.instance)
	return instanceSide, nil
}

// forward copies what source sends to destination with a delay, and while the path does not hang.
func (path *simulatedPath) forward(source, destination net.Conn) {
	messages := make(chan []byte, pipeBuffer)
	go func() {
		defer destination.Close()
		for message := range messages {
			time.Sleep(simulatedDelay)
			path.await()
			if _, err := destination.Write(message); err != nil {
				break
			}
		}
		path.await() // the end of a connection is held up too
	}()
	defer close(messages)
	for {
		message := make([]byte, 4096)
		size, err := source.Read(message)
		if err != nil {
			return
		}
		messages <- message[:size]
	}
}

func (path *simulatedPath) await() {
	for path.state() == hanging {
		time.Sleep(gatePeriod)
	}
}

// simulatedTarget is a target that records what arrives.
type simulatedTarget struct {
	fleet     *simulatedFleet
	id        string
	service   string
	address   netip.AddrPort
	mutex     sync.Mutex
	downUntil time.Time
	conns     map[net.Conn]bool
}

func (target *simulatedTarget) isUp() bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return !time.Now().Before(target.downUntil)
}

// crash ends the target's process for some time.
func (target *simulatedTarget) crash() {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.downUntil = time.Now().Add(simulatedDowntime)
	for conn := range target.conns {
		conn.Close()
	}
	clear(target.conns)
}

func (target *simulatedTarget) serve(conn net.Conn, instance int) {
	defer conn.Close()
	target.mutex.Lock()
	target.conns[conn] = true
	target.mutex.Unlock()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !target.isUp() {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		left, _ := strconv.Atoi(request.Header.Get("Deadline-Ms")) // 0 if it is missing, which the fleet reports
		target.fleet.recordArrival(simulatedArrival{id, target.service, instance, time.Now(), time.Duration(left) * time.Millisecond})
		time.Sleep(target.fleet.workTime(request.Method))
		if strings.HasPrefix(request.URL.Path, crashingPrefix) {
			target.crash()
			return
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Length: 16\r\n\r\n0123456789abcdef", id, target.id, id); err != nil {
			return
		}
	}
}
