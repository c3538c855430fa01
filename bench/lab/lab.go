package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/operator"
	"shallotreel.example/reel/platform"
	"shallotreel.example/reel/target"
	"shallotreel.example/standin/servers"
)

const (
	startTimeout = 20 * time.Second
	pollPeriod   = 20 * time.Millisecond
	stopTimeout  = 40 * time.Second
	// instanceGOMAXPROCS gives each instance 2 processors, as many as the users' entry instances have.
	instanceGOMAXPROCS = "GOMAXPROCS=2"
)

// Instance is the process of one shallotreel daemon.
type Instance struct {
	Number     int
	Name       string
	DataCentre string
	Caller     netip.AddrPort
	Peer       netip.AddrPort
	process    *exec.Cmd
	done       chan struct{}
}

// Lab is a running deployment: instances, stand-in platform and stand-in targets.
type Lab struct {
	dir          string
	subnet       byte // second byte of all addresses
	platform     netip.AddrPort
	topology     topology
	published    []byte
	revision     uint64
	listVersion  uint64
	snapshots    map[string]uint64
	standin      *exec.Cmd
	mutex        sync.Mutex
	instances    []*Instance
	replacements int
	baseline     bool
}

// Config describes the deployment that Start starts.
type Config struct {
	Root          string // directory of the Go workspace
	Deployment    string
	Instances     int
	Settings      json.RawMessage              // fields that override those of the deployment file
	ServiceTimes  map[string]document.Duration // service times of targets by source, instead of those of the targets file
	Baseline      bool                         // start instances of package plain
	DecisionEvery int                          // instances log one in this many decisions; 0 logs none
	Seed          uint64
}

// Start builds the programs, starts the deployment and waits until it is ready. The caller must call Close to end the
// processes.
func Start(ctx context.Context, config Config) (*Lab, error) {
	dir, err := os.MkdirTemp("", "shallotreel-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "create working directory")
	}
	lab := &Lab{dir: dir, subnet: byte(64 + os.Getpid()%128), revision: 1, listVersion: 1,
		snapshots: map[string]uint64{}, baseline: config.Baseline}
	if err := lab.start(ctx, config); err != nil {
		lab.Close()
		return nil, err
	}
	return lab, nil
}

func (lab *Lab) start(ctx context.Context, config Config) error {
	build := exec.CommandContext(ctx, "go", "build", "-o", lab.dir+"/", "./shallotreel", "./standin")
	build.Dir = config.Root
	if output, err := build.CombinedOutput(); err != nil {
		return errors.Errorf("build programs: %v: %s", err, output)
	}
	var err error
	lab.topology, lab.published, err = readTopology(config, lab.subnet)
	if err != nil {
		return err
	}
	lab.platform = lab.loopbackAddress(1, 1, 7070)
	for number := range config.Instances {
		lab.instances = append(lab.instances, lab.newInstance(number, fmt.Sprintf("instance-%d", number), byte(number+1)))
	}
	if err := lab.startStandin(config.Seed); err != nil {
		return err
	}
	for _, instance := range lab.instances {
		if err := lab.startInstance(instance, config.DecisionEvery); err != nil {
			return err
		}
	}
	return lab.waitReady(ctx)
}

// newInstance returns an instance that is not running yet. Host is the last byte of its address, and its data centre
// follows from its number.
func (lab *Lab) newInstance(number int, name string, host byte) *Instance {
	centres := lab.topology.document.DataCentres
	return &Instance{Number: number, Name: name, DataCentre: centres[number%len(centres)],
		Caller: lab.loopbackAddress(2, host, callerPort), Peer: lab.loopbackAddress(2, host, peerPort)}
}

// loopbackAddress returns an address in 127.0.0.0/8. The second byte depends on the bench's process ID, so that labs
// running at the same time rarely share addresses.
func (lab *Lab) loopbackAddress(third, host byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, lab.subnet, third, host}), port)
}

// Document returns the first published revision of the document.
func (lab *Lab) Document() *document.Document { return lab.topology.document }

// Map returns the partition map of a source.
func (lab *Lab) Map(source string) target.PartitionMap { return lab.topology.maps[source] }

// Instances returns the current instances without replaced ones; some may be killed or frozen by a fault.
func (lab *Lab) Instances() []*Instance {
	lab.mutex.Lock()
	defer lab.mutex.Unlock()
	return slices.Clone(lab.instances)
}

// Platform returns the address of the stand-in platform.
func (lab *Lab) Platform() netip.AddrPort { return lab.platform }

// startStandin starts the stand-in process for the platform and the targets and waits until it responds.
func (lab *Lab) startStandin(seed uint64) error {
	values := map[string]any{
		platform.DocumentKey:  publishedValue{1, lab.published},
		platform.InstancesKey: publishedValue{lab.listVersion, lab.instanceList()},
	}
	for source, partition := range lab.topology.maps {
		values[platform.TargetsKey+source] = publishedValue{partition.Version, encode(partition)}
		lab.snapshots[source] = firstSnapshot
	}
	file := filepath.Join(lab.dir, "standin.json")
	content := encode(map[string]any{"address": lab.platform, "values": values,
		"servers": lab.topology.servers, "seed": seed})
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return errors.Wrap(err, "write stand-in file")
	}
	lab.standin = exec.Command(filepath.Join(lab.dir, "standin"), "--file", file)
	lab.standin.Stdout, lab.standin.Stderr = os.Stderr, os.Stderr
	if err := lab.standin.Start(); err != nil {
		return errors.Wrap(err, "start stand-in")
	}
	return lab.waitFor(startTimeout, "the stand-in", func() bool {
		_, err := lab.Counts()
		return err == nil
	})
}

type publishedValue struct {
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"data"`
}

func (lab *Lab) instanceList() json.RawMessage {
	var listed []platform.Instance
	for _, instance := range lab.instances {
		listed = append(listed, platform.Instance{Name: instance.Name, Caller: instance.Caller,
			Peer: instance.Peer, DataCentre: instance.DataCentre})
	}
	return encode(map[string]any{"version": lab.listVersion, "instances": listed})
}

// startInstance writes the instance's settings and starts its process, which logs to a file in the lab's directory.
func (lab *Lab) startInstance(instance *Instance, decisions int) error {
	settings := map[string]any{
		"name": instance.Name, "data_centre": instance.DataCentre, "caller_address": instance.Caller,
		"peer_address": instance.Peer, "platform_address": lab.platform, "seeds": lab.seeds(instance),
		"decision_every": decisions, "allow_cut": true, "allow_profile": true,
	}
	file := filepath.Join(lab.dir, instance.Name+".json")
	if err := os.WriteFile(file, encode(settings), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	logFile, err := os.OpenFile(filepath.Join(lab.dir, instance.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer logFile.Close()
	process := exec.Command(filepath.Join(lab.dir, "shallotreel"), "--settings", file)
	if lab.baseline {
		self, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "find the bench executable")
		}
		process = exec.Command(self, "plain-instance", "--settings", file)
	}
	process.Env = append(os.Environ(), instanceGOMAXPROCS)
	process.Stdout, process.Stderr = logFile, logFile
	if err := process.Start(); err != nil {
		return errors.Wrap(err, "start instance")
	}
	done := make(chan struct{})
	instance.process, instance.done = process, done
	go func() {
		_ = process.Wait()
		close(done)
	}()
	return nil
}

// seeds returns the peer addresses of up to 3 other instances.
func (lab *Lab) seeds(self *Instance) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, instance := range lab.instances {
		if instance != self && len(seeds) < 3 {
			seeds = append(seeds, instance.Peer)
		}
	}
	return seeds
}

// waitReady waits until every instance reports good standing, sees all members and has a snapshot of every source.
// It checks only the standing of baseline instances, which have no members.
func (lab *Lab) waitReady(ctx context.Context) error {
	return lab.waitFor(startTimeout, "the instances", func() bool {
		for _, instance := range lab.Instances() {
			status, err := Status(ctx, instance.Caller)
			if err != nil || status.Standing != "good" {
				return false
			}
			if !lab.baseline && !lab.hasFullView(status) {
				return false
			}
		}
		return true
	})
}

// hasFullView reports whether an instance's status lists all instances as alive and a snapshot of each source.
func (lab *Lab) hasFullView(status operator.Status) bool {
	alive := 0
	for _, member := range status.Members {
		if member.State.Serves() {
			alive++
		}
	}
	for _, source := range status.Sources {
		if source.Snapshot == 0 {
			return false
		}
	}
	return alive >= len(lab.instances) && len(status.Sources) >= len(lab.topology.maps)
}

func (lab *Lab) waitFor(timeout time.Duration, what string, ready func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollPeriod) {
		if ready() {
			return nil
		}
	}
	return errors.Errorf("timed out waiting for %s after %v; the logs are in %s", what, timeout, lab.dir)
}

// Status returns the status that an instance reports.
func Status(ctx context.Context, instance netip.AddrPort) (operator.Status, error) {
	var status operator.Status
	return status, get(ctx, instance, operator.StatusPath, &status)
}

// Counts holds the counters of the stand-in targets and the stand-in platform.
type Counts struct {
	Targets       servers.Counts   `json:"targets"`
	PlatformCalls int64            `json:"platform_calls"`
	PlatformReads map[string]int64 `json:"platform_reads"`
}

// Counts reads the counters of the stand-ins.
func (lab *Lab) Counts() (Counts, error) {
	var counts Counts
	return counts, get(context.Background(), lab.platform, "/admin/counts", &counts)
}

// Close kills every process that the lab started and removes its directory, unless BENCH_KEEP_LOGS is set.
func (lab *Lab) Close() {
	for _, instance := range lab.instances {
		if instance.process != nil {
			_ = instance.process.Process.Signal(syscall.SIGCONT)
			_ = instance.process.Process.Kill()
			<-instance.done
		}
	}
	if lab.standin != nil && lab.standin.Process != nil {
		_ = lab.standin.Process.Kill()
		_ = lab.standin.Wait()
	}
	if os.Getenv("BENCH_KEEP_LOGS") == "" {
		os.RemoveAll(lab.dir)
	}
}

// Dir returns the directory that contains the settings and logs.
func (lab *Lab) Dir() string { return lab.dir }

func get(ctx context.Context, address netip.AddrPort, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(result)
}

func post(address netip.AddrPort, path string, body any) error {
	response, err := http.Post("http://"+address.String()+path, "application/json", bytes.NewReader(encode(body)))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(response.Body)
		return errors.Errorf("%s: %s", path, strings.TrimSpace(string(text)))
	}
	return nil
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the lab encodes only values that JSON can represent
	}
	return data
}

// Targets returns the names of the targets of a source or shard, or the single target with the given name.
func (lab *Lab) Targets(pattern string) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(lab.topology.servers)) {
		if name == pattern || strings.HasPrefix(name, pattern+"/") {
			names = append(names, name)
		}
	}
	return names
}
