package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// front is a process of the project, started as the deploy file does, with settings as its template makes them.
type front struct {
	name, zone                                     string
	caller, ready, resolve, peer, metrics, storeAt string
	seeds                                          []string
	command                                        *exec.Cmd
	waited                                         chan struct{}
	isKilled                                       bool
	log                                            *os.File
}

func newFront(name, zone, storeAt string) *front {
	return &front{name: name, zone: zone, storeAt: storeAt, caller: freeAddress(), ready: freeAddress(), resolve: freeAddress(),
		peer: freeAddress(), metrics: freeAddress()}
}

// start starts a process and returns at once.
func (front *front) start() {
	settings := map[string]any{"name": front.name, "data_centre": front.zone, "caller_address": front.caller, "ready_address": front.ready,
		"resolve_address": front.resolve, "peer_address": front.peer, "metrics_address": front.metrics, "store_address": front.storeAt,
		"seeds": front.seeds, "grace": "6s", "keep_most": "5s", "processor": 0.4,
		"extra": map[string]any{"ratio": 0.2, "window": "10s", "slack": 58}}
	data, err := json.Marshal(settings)
	if err != nil {
		fail(err)
	}
	path := filepath.Join(folder, front.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		fail(err)
	}
	if front.log == nil {
		if front.log, err = os.Create(filepath.Join(folder, front.name+".log")); err != nil {
			fail(err)
		}
	}
	front.command = exec.Command("target/shallotreel", "front")
	front.command.Env = []string{"SHALLOTREEL_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + folder}
	front.command.Stdout, front.command.Stderr = front.log, front.log
	front.isKilled = false
	if err := front.command.Start(); err != nil {
		fail(err)
	}
	started = append(started, front)
	waited, command := make(chan struct{}), front.command
	front.waited = waited
	go func() {
		_ = command.Wait()
		close(waited)
	}()
}

// awaitReady waits until the process says that it is ready.
func (front *front) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for range 200 {
		response, err := client.Get("http://" + front.ready + "/-/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	fail(fmt.Errorf("%s is not ready", front.name))
}

// kill ends the process at once.
func (front *front) kill() {
	if front.command != nil && !front.isKilled {
		front.isKilled = true
		_ = front.command.Process.Kill()
		<-front.waited
	}
}

// stop sends SIGTERM, and SIGKILL after the grace time, and waits until the process has ended.
func (front *front) stop() {
	front.isKilled = true
	_ = front.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-front.waited:
	case <-time.After(6 * time.Second):
		_ = front.command.Process.Kill()
		<-front.waited
	}
}

// ended reports whether the process has ended by itself.
func (front *front) ended() bool {
	select {
	case <-front.waited:
		return !front.isKilled
	default:
		return false
	}
}

var started []*front

func killAll() {
	for _, front := range started {
		front.kill()
	}
}

// taken keeps addresses from being handed out twice.
var taken = map[string]bool{}

// freeAddress returns an address that is free for TCP and UDP, outside of the range from which the system takes ports for
// connections.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000))
		listener, err := net.Listen("tcp", address)
		if err != nil || taken[address] {
			continue
		}
		conn, err := net.ListenPacket("udp", address)
		listener.Close()
		if err == nil {
			conn.Close()
			taken[address] = true
			return address
		}
	}
	fail(fmt.Errorf("no free port"))
	return ""
}
