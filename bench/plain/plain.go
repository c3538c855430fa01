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

const addressLifetime = 5 * time.Second // for which callers may reuse the addresses

// Settings holds the fields of a daemon's settings file that the baseline uses.
type Settings struct {
	Name            string         `json:"name"`
	CallerAddress   netip.AddrPort `json:"caller_address"`
	PlatformAddress netip.AddrPort `json:"platform_address"`
}

// Instance is a baseline instance.
type Instance struct {
	settings  Settings
	document  *document.Document
	instances []platform.Instance
	maps      map[string]target.PartitionMap
	mutex     sync.Mutex
	clients   map[netip.AddrPort]*target.Client
	snapshot  uint64
}

// Run reads the configuration from the platform once, then serves requests; it returns only with an error.
func Run(settings Settings) error {
	instance := &Instance{settings: settings, maps: map[string]target.PartitionMap{}, clients: map[netip.AddrPort]*target.Client{}}
	if err := instance.loadConfiguration(); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+caller.AddressesPath, instance.serveAddresses)
	for _, path := range []string{caller.SearchPath, caller.FetchPath, caller.RecordPath} {
		mux.HandleFunc("POST "+path, instance.serveRequest)
	}
	mux.HandleFunc("GET "+operator.StatusPath, func(writer http.ResponseWriter, _ *http.Request) {
		reply(writer, operator.Status{Instance: settings.Name, Standing: "good", Revision: 1 << 62})
	})
	return http.ListenAndServe(settings.CallerAddress.String(), mux)
}

func (instance *Instance) loadConfiguration() error {
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
		return errors.Wrap(err, "decode instance list")
	}
	instance.instances = list.Instances
	for _, source := range instance.document.Sources {
		var partition target.PartitionMap
		if value, err = client.Read(ctx, platform.TargetsKey+source.Name); err != nil {
			return err
		}
		if err := json.Unmarshal(value.Data, &partition); err != nil {
			return errors.Wrap(err, "decode partition map")
		}
		instance.maps[source.Name] = partition
	}
	return nil
}

func (instance *Instance) serveAddresses(writer http.ResponseWriter, _ *http.Request) {
	answer := caller.Addresses{Keep: document.Duration(addressLifetime), Ticket: instance.settings.Name + "~0~0~00"}
	for _, i := range rand.Perm(len(instance.instances)) {
		peer := instance.instances[i]
		answer.Addresses = append(answer.Addresses, caller.Address{Instance: peer.Name, Address: peer.Caller, DataCentre: peer.DataCentre})
	}
	reply(writer, answer)
}

func (instance *Instance) serveRequest(writer http.ResponseWriter, incoming *http.Request) {
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
	reply(writer, instance.collectAnswer(incoming.Context(), kind, body))
}

// collectAnswer sends the request to a random replica of each shard, or of the key's shard only, waits for all replies
// and merges them.
func (instance *Instance) collectAnswer(ctx context.Context, kind document.Kind, body caller.Request) caller.Answer {
	deadline := time.Now().Add(kind.Deadline.Std())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	partition := instance.maps[kind.Source]
	replies := make([]target.Reply, len(partition.Shards))
	requested := coverage.Range{From: 0, To: coverage.KeySpace}
	var pending sync.WaitGroup
	for i, shard := range partition.Shards {
		if kind.Operation != document.Search {
			if !shard.Range.Contains(xxhash.Sum64String(body.Key) % coverage.KeySpace) {
				continue
			}
			requested = shard.Range
		}
		pending.Go(func() {
			server := shard.Servers[rand.IntN(len(shard.Servers))]
			replies[i] = instance.runOnTarget(ctx, server, shard.Range, kind, body, deadline)
		})
	}
	pending.Wait()
	answer := caller.Answer{RequestID: body.RequestID, Instance: instance.settings.Name, Code: result.OK,
		Ran: result.RanYes, Revision: instance.document.Revision, Preset: instance.document.PresetInForce}
	var answered []coverage.Range
	for _, targetReply := range replies {
		if targetReply.Code == result.OK && targetReply.Range.Len() > 0 {
			answered = append(answered, targetReply.Range)
			answer.Hits = append(answer.Hits, targetReply.Hits...)
			answer.Snapshot = targetReply.Snapshot
		}
	}
	report := coverage.Compute(requested, answered)
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

func (instance *Instance) runOnTarget(ctx context.Context, server target.Server, keyRange coverage.Range, kind document.Kind,
	body caller.Request, deadline time.Time) target.Reply {
	client := instance.client(server.Address, kind.Source)
	request := target.Request{RequestID: body.RequestID, Kind: kind.Name, Operation: kind.Operation,
		Query: body.Query, Snapshot: instance.currentSnapshot(ctx, client), Range: keyRange, Deadline: deadline}
	_, _ = crand.Read(request.Attempt[:])
	targetReply, err := client.Run(ctx, request)
	if err != nil {
		return target.Reply{Code: result.Broken}
	}
	return targetReply
}

// currentSnapshot returns the snapshot that all requests name. The first successful report of a target sets it for the
// life of the process.
func (instance *Instance) currentSnapshot(ctx context.Context, client *target.Client) uint64 {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	if instance.snapshot == 0 {
		if report, err := client.Report(ctx); err == nil && len(report.Snapshots) > 0 {
			instance.snapshot = report.Snapshots[len(report.Snapshots)-1]
		}
	}
	return instance.snapshot
}

// client returns the client of a target. Each instance opens at most its equal share of the target's connections.
func (instance *Instance) client(address netip.AddrPort, source string) *target.Client {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	client, ok := instance.clients[address]
	if !ok {
		limits, _ := instance.document.Source(source)
		client = target.NewClient(address, max(1, limits.Connections/max(1, len(instance.instances))))
		instance.clients[address] = client
	}
	return client
}

func reply(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
