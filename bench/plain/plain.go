package plain

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/operator"
	"shallotreel.example/reel/platform"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

const keep = 5 * time.Second

// Settings is the part of a daemon's settings that the baseline uses.
type Settings struct {
	Name            string         `json:"name"`
	CallerAddress   netip.AddrPort `json:"caller_address"`
	PlatformAddress netip.AddrPort `json:"platform_address"`
}

// Instance is one baseline instance.
type Instance struct {
	settings Settings
	document *document.Document
	list     []platform.Instance
	maps     map[string]target.PartitionMap
	mutex    sync.Mutex
	clients  map[netip.AddrPort]*target.Client
	snapshot uint64
}

// Run reads the platform once and serves until the process ends.
func Run(settings Settings) error {
	instance := &Instance{settings: settings, maps: map[string]target.PartitionMap{}, clients: map[netip.AddrPort]*target.Client{}}
	if err := instance.read(); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+caller.AddressesPath, instance.addresses)
	for _, path := range []string{caller.SearchPath, caller.FetchPath, caller.RecordPath} {
		mux.HandleFunc("POST "+path, instance.serve)
	}
	mux.HandleFunc("GET "+operator.StatusPath, func(writer http.ResponseWriter, _ *http.Request) {
		reply(writer, operator.Status{Instance: settings.Name, Standing: "good", Revision: 1 << 62})
	})
	return http.ListenAndServe(settings.CallerAddress.String(), mux)
}

func (instance *Instance) read() error {
	client := platform.NewClient(instance.settings.PlatformAddress)
	ctx := context.Background()
	value, err := client.Read(ctx, platform.DocumentKey)
	if err != nil {
		return err
	}
	if instance.document, err = document.Parse(value.Data); err != nil {
		return err
	}
	var list struct {
		Instances []platform.Instance `json:"instances"`
	}
	if value, err = client.Read(ctx, platform.InstancesKey); err != nil {
		return err
	}
	if err := json.Unmarshal(value.Data, &list); err != nil {
		return errors.Wrap(err, "decode list")
	}
	instance.list = list.Instances
	for _, source := range instance.document.Sources {
		var partition target.PartitionMap
		if value, err = client.Read(ctx, platform.TargetsKey+source.Name); err != nil {
			return err
		}
		if err := json.Unmarshal(value.Data, &partition); err != nil {
			return errors.Wrap(err, "decode map")
		}
		instance.maps[source.Name] = partition
	}
	return nil
}

func (instance *Instance) addresses(writer http.ResponseWriter, _ *http.Request) {
	answer := caller.Addresses{Keep: document.Duration(keep), Ticket: instance.settings.Name + "~0~0~00"}
	for _, i := range rand.Perm(len(instance.list)) {
		listed := instance.list[i]
		answer.Addresses = append(answer.Addresses, caller.Address{Instance: listed.Name, Address: listed.Caller, DataCentre: listed.DataCentre})
	}
	reply(writer, answer)
}

func (instance *Instance) serve(writer http.ResponseWriter, incoming *http.Request) {
	var body caller.Request
	if err := json.NewDecoder(incoming.Body).Decode(&body); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	kind, ok := instance.document.Kind(body.Kind)
	if !ok {
		http.Error(writer, "unknown kind", http.StatusNotFound)
		return
	}
	reply(writer, instance.answer(incoming.Context(), kind, body))
}

// answer asks a random replica of each shard and waits for all of them.
func (instance *Instance) answer(ctx context.Context, kind document.Kind, body caller.Request) caller.Answer {
	deadline := time.Now().Add(kind.Deadline.Std())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	partition := instance.maps[kind.Source]
	replies := make([]target.Reply, len(partition.Shards))
	wanted := coverage.Range{From: 0, To: coverage.KeySpace}
	var asking sync.WaitGroup
	for i, shard := range partition.Shards {
		if kind.Operation != document.Search {
			if !shard.Range.Contains(xxhash.Sum64String(body.Key) % coverage.KeySpace) {
				continue
			}
			wanted = shard.Range
		}
		asking.Go(func() {
			server := shard.Servers[rand.IntN(len(shard.Servers))]
			replies[i] = instance.ask(ctx, server, shard.Range, kind, body, deadline)
		})
	}
	asking.Wait()
	answer := caller.Answer{RequestID: body.RequestID, Instance: instance.settings.Name, Code: result.OK,
		Ran: result.RanYes, Revision: instance.document.Revision, Preset: instance.document.PresetInForce}
	var answered []coverage.Range
	for _, got := range replies {
		if got.Code == result.OK && got.Range.Len() > 0 {
			answered = append(answered, got.Range)
			answer.Hits = append(answer.Hits, got.Hits...)
			answer.Snapshot = got.Snapshot
		}
	}
	report := coverage.Compute(wanted, answered)
	answer.Coverage = &report
	switch {
	case len(answered) == 0:
		answer.Code, answer.Ran = result.DeadlineExceeded, result.RanUnknown
	case !report.Complete():
		answer.Code = result.Partial
	}
	answer.Result = answer.Code.String()
	return answer
}

func (instance *Instance) ask(ctx context.Context, server target.Server, rng coverage.Range, kind document.Kind,
	body caller.Request, deadline time.Time) target.Reply {
	client := instance.client(server.Address, kind.Source)
	request := target.Request{RequestID: body.RequestID, Kind: kind.Name, Operation: kind.Operation,
		Query: body.Query, Snapshot: instance.current(ctx, client), Range: rng, Deadline: deadline}
	_, _ = crand.Read(request.Attempt[:])
	got, err := client.Run(ctx, request)
	if err != nil {
		return target.Reply{Code: result.Broken}
	}
	return got
}

// current asks a target once for the snapshot that the baseline names from then on.
func (instance *Instance) current(ctx context.Context, client *target.Client) uint64 {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	if instance.snapshot == 0 {
		if report, err := client.Report(ctx); err == nil && len(report.Snapshots) > 0 {
			instance.snapshot = report.Snapshots[len(report.Snapshots)-1]
		}
	}
	return instance.snapshot
}

// client gives each instance its share of the target's connections.
func (instance *Instance) client(address netip.AddrPort, source string) *target.Client {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	client, ok := instance.clients[address]
	if !ok {
		limits, _ := instance.document.Source(source)
		client = target.NewClient(address, max(1, limits.Connections/max(1, len(instance.list))))
		instance.clients[address] = client
	}
	return client
}

func reply(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
