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

// instance is one process of the project.
type instance struct {
	name, zone                            string
	caller, ready, resolve, peer, metrics string
	settings                              string
	proxy                                 *proxy // to the store
	directory                             string
	command                               *exec.Cmd
	ended                                 chan struct{}
	startedAt                             time.Time
}

// limits are the bounds of a small deployment, as in the users' pages.
type limits struct {
	grace, ttl, ratio, window, slack string
}

// newInstance returns an instance with a loopback address of its own, on which the ports are free.
func newInstance(name, zone string, number int) *instance {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(250), 10+number)
		if !isFree(ip, 8224, 8225, 8226, 8227, 9464) {
			continue
		}
		return &instance{name: name, zone: zone, peer: ip + ":8224", resolve: ip + ":8225", caller: ip + ":8226", ready: ip + ":8227",
			metrics: ip + ":9464"}
	}
	panic("no free ports")
}

// isFree reports whether the ports of the address are free.
func isFree(ip string, ports ...int) bool {
	for _, port := range ports {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

// configure writes the settings as deploy/settings.json.tmpl would.
func (instance *instance) configure(directory, store string, seeds []string) {
	instance.directory, instance.proxy = directory, newProxy(store)
	settings := map[string]any{
		"name": instance.name, "data_centre": instance.zone, "caller_address": instance.caller, "ready_address": instance.ready,
		"resolve_address": instance.resolve, "peer_address": instance.peer, "metrics_address": instance.metrics,
		"store_address": instance.proxy.address, "seeds": seeds, "grace": "6s", "keep_most": "5s", "processor": 0.4, "memory_mb": 284,
		"max_descriptors": 4100, "extra": map[string]any{"ratio": 0.2, "window": "10s", "slack": 58},
	}
	data, _ := json.MarshalIndent(settings, "", " ")
	instance.settings = filepath.Join(directory, instance.name+".json")
	if err := os.WriteFile(instance.settings, data, 0o600); err != nil {
		panic(err)
	}
}

// start starts the process by the command of the deploy file.
func (instance *instance) start() {
	log, err := os.OpenFile(filepath.Join(instance.directory, instance.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	command := exec.Command("target/shallotreel", "front")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SHALLOTREEL_NODE_FILE=" + instance.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		fmt.Println("cannot start:", err)
		cleanUp(2)
	}
	log.Close()
	ended := make(chan struct{})
	instance.command, instance.ended, instance.startedAt = command, ended, time.Now()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

func (instance *instance) signal(signal syscall.Signal) { _ = instance.command.Process.Signal(signal) }

// kill ends the process at once.
func (instance *instance) kill() {
	if instance.command == nil {
		return
	}
	instance.signal(syscall.SIGKILL)
	<-instance.ended
}

// isReady asks the instance as the platform does.
func (instance *instance) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + instance.ready + "/-/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the instance is ready, or ends the case.
func (instance *instance) awaitReady() {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if instance.isReady() {
			return
		}
	}
	fmt.Println("instance", instance.name, "is not ready")
	cleanUp(2)
}
