package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"shallotreel.example/standin/platform"
	"shallotreel.example/standin/servers"
)

type options struct {
	File string `long:"file" required:"true" description:"path of the file that describes platform and targets (JSON)"`
}

// config is the content of the stand-in file: the platform's address and values, the targets, and the seed of their
// service times.
type config struct {
	Address netip.AddrPort            `json:"address"`
	Values  map[string]publishedValue `json:"values"`
	Servers map[string]*servers.Spec  `json:"servers"`
	Seed    uint64                    `json:"seed"`
}

type publishedValue struct {
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"data"`
}

// fault is the body of POST /admin/fault.
type fault struct {
	Type      string        `json:"fault"`
	Targets   []string      `json:"targets"`
	Factor    float64       `json:"factor"`
	Pause     time.Duration `json:"pause_ns"`
	Snapshots []uint64      `json:"snapshots"`
	On        bool          `json:"on"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run() error {
	var options options
	if _, err := flags.Parse(&options); err != nil {
		os.Exit(2)
	}
	data, err := os.ReadFile(options.File)
	if err != nil {
		return errors.Wrap(err, "read stand-in file")
	}
	var config config
	if err := json.Unmarshal(data, &config); err != nil {
		return errors.Wrap(err, "decode stand-in file")
	}
	standin := &standin{service: platform.New(), tally: servers.NewTally(), servers: map[string]*servers.Server{}}
	for key, value := range config.Values {
		standin.service.Publish(key, value.Version, value.Data)
	}
	seed := config.Seed
	for _, name := range slices.Sorted(maps.Keys(config.Servers)) {
		seed++
		standin.servers[name] = servers.New(*config.Servers[name], standin.tally, seed)
		if err := standin.servers[name].Listen(); err != nil {
			return errors.Wrap(err, "listen for target "+name)
		}
	}
	listener, err := net.Listen("tcp", config.Address.String())
	if err != nil {
		return errors.Wrap(err, "listen for the platform")
	}
	return http.Serve(listener, standin.handler())
}

type standin struct {
	service *platform.Service
	tally   *servers.Tally
	servers map[string]*servers.Server
}

func (standin *standin) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/values", standin.service)
	mux.HandleFunc("POST /admin/publish", standin.publish)
	mux.HandleFunc("POST /admin/fault", standin.fault)
	mux.HandleFunc("GET /admin/counts", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(map[string]any{
			"targets": standin.tally.Counts(), "platform_calls": standin.service.Calls(), "platform_reads": standin.service.Reads()})
	})
	return mux
}

func (standin *standin) publish(writer http.ResponseWriter, request *http.Request) {
	var values map[string]publishedValue
	if err := json.NewDecoder(request.Body).Decode(&values); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	for key, value := range values {
		standin.service.Publish(key, value.Version, value.Data)
	}
}

func (standin *standin) fault(writer http.ResponseWriter, request *http.Request) {
	var fault fault
	if err := json.NewDecoder(request.Body).Decode(&fault); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	switch fault.Type {
	case "config_down":
		standin.service.SetDown(fault.On)
		return
	case "config_stale":
		standin.service.SetStale(fault.On)
		return
	}
	for _, name := range fault.Targets {
		server, ok := standin.servers[name]
		if !ok {
			http.Error(writer, "unknown target "+name, http.StatusBadRequest)
			return
		}
		if !applyFault(server, fault) {
			http.Error(writer, "unknown fault "+fault.Type, http.StatusBadRequest)
			return
		}
	}
}

func applyFault(server *servers.Server, fault fault) bool {
	switch fault.Type {
	case "target_slow":
		server.SetSlowdown(fault.Factor)
	case "target_kill":
		server.Crash(fault.Pause)
	case "target_drain":
		server.SetLeaving(fault.On)
	case "report_lie":
		server.SetFalseReport(fault.On)
	case "snapshots":
		server.SetSnapshots(fault.Snapshots)
	default:
		return false
	}
	return true
}
