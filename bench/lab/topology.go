package lab

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/target"
	"shallotreel.example/standin/servers"
)

const (
	firstSnapshot = 41
	serverPort    = 9000
	callerPort    = 8080
	peerPort      = 8081
)

// fleetOfServers is one source's line in a deployment's targets file.
type fleetOfServers struct {
	Source      string            `json:"source"`
	Services    int               `json:"services"`
	Servers     int               `json:"servers"`
	ServiceTime document.Duration `json:"service_time"`
}

// topology is what a deployment consists of.
type topology struct {
	document *document.Document
	maps     map[string]target.PartitionMap
	servers  map[string]servers.Spec
}

// readTopology reads a shipped deployment and moves its times to now.
func readTopology(config Config, net byte) (topology, []byte, error) {
	data, err := os.ReadFile(filepath.Join(config.Root, "deployments", config.Deployment+".json"))
	if err != nil {
		return topology{}, nil, errors.Wrap(err, "read deployment")
	}
	data, err = adjust(data, 1, config.Settings)
	if err != nil {
		return topology{}, nil, err
	}
	doc, err := document.Parse(data)
	if err != nil {
		return topology{}, nil, errors.Wrap(err, "deployment with the experiment's settings")
	}
	lines, err := os.ReadFile(filepath.Join(config.Root, "deployments", config.Deployment+"-targets.json"))
	if err != nil {
		return topology{}, nil, errors.Wrap(err, "read targets")
	}
	var fleets []fleetOfServers
	if err := document.DecodeStrict(lines, &fleets); err != nil {
		return topology{}, nil, err
	}
	built := topology{document: doc, maps: map[string]target.PartitionMap{}, servers: map[string]servers.Spec{}}
	for i, fleet := range fleets {
		if service, ok := config.Service[fleet.Source]; ok {
			fleet.ServiceTime = service
		}
		built.add(byte(i), net, fleet)
	}
	return built, data, nil
}

func (topology *topology) add(number, net byte, fleet fleetOfServers) {
	source, _ := topology.document.Source(fleet.Source)
	partition := target.PartitionMap{Source: fleet.Source, Version: 1}
	width := coverage.KeySpace / uint64(fleet.Services)
	for service := range fleet.Services {
		rng := coverage.Range{From: uint64(service) * width, To: uint64(service+1) * width}
		if service == fleet.Services-1 {
			rng.To = coverage.KeySpace
		}
		shard := target.Shard{Name: fmt.Sprintf("%s/%d", fleet.Source, service+1), Range: rng}
		for server := range fleet.Servers {
			name := fmt.Sprintf("%s/%d", shard.Name, server+1)
			host := byte(service*fleet.Servers + server + 1)
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, net, 10 + number, host}), serverPort)
			centres := topology.document.DataCentres
			shard.Servers = append(shard.Servers, target.Server{Name: name, Address: address,
				DataCentre: centres[server%len(centres)]})
			topology.servers[name] = servers.Spec{Name: name, Shard: shard.Name, Address: address, Range: rng,
				Slots: source.Slots, Connections: source.Connections, Service: fleet.ServiceTime.Std(),
				ConnectCost: source.ConnectCost.Std(), Snapshots: []uint64{firstSnapshot}}
		}
		partition.Shards = append(partition.Shards, shard)
	}
	topology.maps[fleet.Source] = partition
}

// adjust sets the revision, moves the times to now and merges overrides over the document.
func adjust(data []byte, revision uint64, overrides json.RawMessage) ([]byte, error) {
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, errors.Wrap(err, "decode document")
	}
	now := time.Now().UTC()
	chosen := fields["preset_in_force"]
	fields["revision"] = revision
	fields["published_at"] = now
	for _, event := range fields["events"].([]any) {
		event := event.(map[string]any)
		if start, err := time.Parse(time.RFC3339, event["start"].(string)); err == nil && start.Before(now.Add(time.Hour)) {
			event["start"] = now.Add(6 * time.Hour)
		}
	}
	if len(overrides) > 0 {
		var over map[string]any
		if err := json.Unmarshal(overrides, &over); err != nil {
			return nil, &document.FieldError{Field: "settings", Value: err.Error(), Remedy: "give a JSON object"}
		}
		merge(fields, over)
	}
	if fields["preset_in_force"] != chosen {
		fields["preset_revision"] = revision
	}
	return json.Marshal(fields)
}

// merge lays over's fields over base; list items with a name are merged by name.
func merge(base, over map[string]any) {
	for key, value := range over {
		switch value := value.(type) {
		case map[string]any:
			if inner, ok := base[key].(map[string]any); ok {
				merge(inner, value)
				continue
			}
		case []any:
			if items, ok := base[key].([]any); ok && mergeNamed(items, value) {
				continue
			}
		}
		base[key] = value
	}
}

func mergeNamed(base, over []any) bool {
	for _, item := range over {
		fields, ok := item.(map[string]any)
		if !ok || fields["name"] == nil {
			return false
		}
		for _, known := range base {
			if inner, ok := known.(map[string]any); ok && inner["name"] == fields["name"] {
				merge(inner, fields)
			}
		}
	}
	return true
}
