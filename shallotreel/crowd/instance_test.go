package crowd

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/platform"
	"shallotreel.example/platform/storetest"
	"shallotreel.example/reel/document"
	"shallotreel.example/shallotreel/settings"
)

const (
	memoryMB        = 96   // of an instance, little for one
	manyDescriptors = 4096 // of an instance
	// spareShare divides the descriptors of an instance, of which one such part must stay free.
	spareShare = 8

	shards        = 5
	slowTime      = 2 * time.Second // which a target takes for a request below slowPath
	ordinaryTime  = 10 * time.Second
	ordinaryTries = 5 // of one caller, who comes back when the instance says
	sampleTime    = 10 * time.Millisecond
	waitTime      = 20 * time.Second // for what must happen eventually
	longAnswer    = 4 << 20          // bytes
)

// Paths of the configuration, below which targets act as the last word says.
const (
	ordinaryPath = "/one/ordinary"
	slowPath     = "/one/slow"
	longPath     = "/one/long"
	gatheredPath = "/all/slow"
)

var alone = flag.Bool("alone", false, "run the tests, which take a machine without other load")

// program is the path of shallotreel.
var program string

func TestMain(main *testing.M) {
	flag.Parse()
	if !*alone {
		fmt.Println("not run without -alone")
		os.Exit(main.Run())
	}
	folder, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "shallotreel")
	build := exec.Command("go", "build", "-o", program, "shallotreel.example/shallotreel")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := main.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// instance is a process of shallotreel, which serves the routes of twelve targets.
type instance struct {
	t           *testing.T
	config      settings.Front
	process     *os.Process
	ended       chan error
	descriptors atomic.Int64 // greatest number that was seen
	log         string       // path
}

// startInstance starts an instance with so many descriptors, which the system grants it too.
func startInstance(t *testing.T, descriptors int) *instance {
	t.Helper()
	if !*alone {
		t.Skip("runs with -alone")
	}
	store := storetest.Start(t)
	services := []storetest.Service{{Name: "desk", Connections: manyDescriptors}}
	routes := []storetest.Route{
		{Name: "one", Host: "h", Prefix: "/one/", Type: "idempotent", Timeout: 10_000, Goal: 500, Attempts: 2, Service: "desk"},
		{Name: "all", Host: "h", Prefix: "/all/", Type: "idempotent", Timeout: 10_000, Goal: 500, Attempts: 2, Top: 3, LeastShare: 0.6}}
	startTargets(t, store, "desk")
	for shard := range shards {
		name := fmt.Sprintf("shard-%d", shard)
		services = append(services, storetest.Service{Name: name, Connections: manyDescriptors})
		routes[1].Shards = append(routes[1].Shards, name)
		startTargets(t, store, name)
	}
	store.ConfigureRoutes(t, 1, routes, services)
	instance := &instance{t: t, ended: make(chan error, 1), config: settings.Front{Name: "one", DataCentre: "a", StoreAddress: store.Address(),
		Grace: document.Duration(5 * time.Second), MaxAddressTTL: document.Duration(time.Second), LogLevel: "info",
		MemoryMB: memoryMB, MaxDescriptors: descriptors, Extra: settings.Extra{Ratio: 0.2, Window: document.Duration(10 * time.Second), Slack: 58}}}
	addresses := freeAddresses(t, 5)
	instance.config.CallerAddress, instance.config.ReadyAddress, instance.config.ResolveAddress = addresses[0], addresses[1], addresses[2]
	instance.config.PeerAddress, instance.config.MetricsAddress = addresses[3], addresses[4]
	instance.start()
	return instance
}

// startTargets starts two targets of the service.
func startTargets(t *testing.T, store *storetest.Store, service string) {
	t.Helper()
	for number := range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		id := fmt.Sprintf("%s-%d", service, number)
		server := &http.Server{MaxHeaderBytes: 1 << 20, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { serveTarget(writer, request, id) })}
		go func() { _ = server.Serve(listener) }() // ends with the server
		t.Cleanup(func() { server.Close() })
		store.Register(t, storetest.Target{ID: id, Service: service, Seq: 1, Address: netip.MustParseAddrPort(listener.Addr().String())})
	}
}

func serveTarget(writer http.ResponseWriter, request *http.Request, id string) {
	_, _ = io.Copy(io.Discard, request.Body) // the instance may have closed the connection
	if strings.HasSuffix(request.URL.Path, "/slow") {
		time.Sleep(slowTime)
	}
	requestID := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", requestID)
	writer.Header().Set("Server-Stamp", id+"."+requestID)
	size := 16
	if request.URL.Path == longPath {
		size = longAnswer
	}
	writer.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = writer.Write(bytes.Repeat([]byte("x"), size))
}

// freeAddresses returns so many local addresses with unused ports, below those that the system gives to outgoing connections, of which
// the crowds open thousands.
func freeAddresses(t *testing.T, count int) []netip.AddrPort {
	t.Helper()
	var addresses []netip.AddrPort
	for range 1000 {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(10_000+rand.IntN(20_000)))
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		defer listener.Close() // once all are chosen, so that they differ
		if addresses = append(addresses, address); len(addresses) == count {
			return addresses
		}
	}
	t.Fatal("no unused ports")
	return nil
}

// start starts the process and waits until it is ready.
func (instance *instance) start() {
	instance.t.Helper()
	data, err := json.Marshal(instance.config)
	if err != nil {
		instance.t.Fatal(err)
	}
	path := filepath.Join(instance.t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		instance.t.Fatal(err)
	}
	instance.log = filepath.Join(instance.t.TempDir(), "log.jsonl")
	log, err := os.Create(instance.log)
	if err != nil {
		instance.t.Fatal(err)
	}
	defer log.Close()
	limited := fmt.Sprintf("ulimit -n %d && exec %s front --settings %s", instance.config.MaxDescriptors, program, path)
	command := exec.Command("/bin/sh", "-c", limited)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		instance.t.Fatal(err)
	}
	instance.process = command.Process
	go func() { instance.ended <- command.Wait() }()
	instance.t.Cleanup(func() { _ = instance.process.Kill() }) // fails only if it has ended
	for deadline := time.Now().Add(waitTime); !instance.isReady(); time.Sleep(sampleTime) {
		if time.Now().After(deadline) {
			text, err := os.ReadFile(instance.log)
			instance.t.Fatalf("the instance is not ready: %s, %v", text, err)
		}
	}
	go instance.sample()
}

func (instance *instance) isReady() bool {
	response, err := http.Get(fmt.Sprintf("http://%s%s", instance.config.ReadyAddress, platform.ReadyPath))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sample counts the descriptors of the process until it ends.
func (instance *instance) sample() {
	for {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", instance.process.Pid))
		if err != nil {
			return
		}
		instance.descriptors.Store(max(instance.descriptors.Load(), int64(len(entries))))
		time.Sleep(sampleTime)
	}
}

// peakMemory returns the largest resident memory that the process ever had, in KiB.
func (instance *instance) peakMemory() (int, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", instance.process.Pid))
	if err != nil {
		return 0, err
	}
	defer file.Close()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if text, ok := strings.CutPrefix(scanner.Text(), "VmHWM:"); ok {
			return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(text, "kB")))
		}
	}
	return 0, errors.New("the process has no memory")
}

// assertBounded checks that the process lives and has stayed within its memory and descriptors.
func (instance *instance) assertBounded() {
	instance.t.Helper()
	select {
	case err := <-instance.ended:
		instance.t.Fatalf("the process has ended: %v", err)
	default:
	}
	peak, err := instance.peakMemory()
	if err != nil {
		instance.t.Fatal(err)
	}
	most := instance.config.MaxDescriptors - instance.config.MaxDescriptors/spareShare
	instance.t.Logf("%d KiB at most, %d descriptors at most", peak, instance.descriptors.Load())
	if peak > memoryMB<<10 {
		instance.t.Errorf("the process had %d KiB, want %d at most", peak, memoryMB<<10)
	}
	if seen := instance.descriptors.Load(); seen > int64(most) {
		instance.t.Errorf("the process had %d descriptors, want %d at most", seen, most)
	}
}

// assertServes checks that an ordinary caller gets its answer.
func (instance *instance) assertServes() {
	instance.t.Helper()
	deadline := time.Now().Add(ordinaryTime)
	var outcomes []string
	for range ordinaryTries {
		status, retryAfter, err := instance.request(time.Until(deadline), "")
		if status == http.StatusOK {
			return
		}
		outcomes = append(outcomes, fmt.Sprint(status, err))
		time.Sleep(min(retryAfter, time.Until(deadline)/3))
	}
	instance.t.Errorf("an ordinary request is not served: %s", strings.Join(outcomes, "; "))
}

// request sends an ordinary request with the header lines, on a connection of its own. It returns the status and Retry-After.
func (instance *instance) request(timeout time.Duration, lines string) (int, time.Duration, error) {
	conn, err := net.DialTimeout("tcp", instance.config.CallerAddress.String(), timeout)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return 0, 0, err
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: ordinary\r\nDeadline-Ms: %d\r\n%s\r\n", ordinaryPath, timeout.Milliseconds(), lines); err != nil {
		return 0, 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	seconds, parseErr := strconv.ParseFloat(cmp.Or(response.Header.Get("Retry-After"), "0"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second)), cmp.Or(err, parseErr)
}
