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

// sourceTargets is the element of one source in a deployment's targets file.
type sourceTargets struct {
	Source          string            `json:"source"`
	Shards          int               `json:"services"`
	TargetsPerShard int               `json:"servers"`
	ServiceTime     document.Duration `json:"service_time"`
}

// topology holds the document, the partition maps by source and the stand-in targets by name.
type topology struct {
	document *document.Document
	maps     map[string]target.PartitionMap
	servers  map[string]servers.Spec
}

// readTopology reads a deployment of the deployments directory, moves its times to the present and applies the
// experiment's settings. It also returns the document as JSON.
func readTopology(config Config, subnet byte) (topology, []byte, error) {
	data, err := os.ReadFile(filepath.Join(config.Root, "deployments", config.Deployment+".json"))
	if err != nil {
		return topology{}, nil, errors.Wrap(err, "read deployment")
	}
	data, err = reviseDocument(data, 1, config.Settings)
	if err != nil {
		return topology{}, nil, err
	}
	doc, err := document.Parse(data)
	if err != nil {
		return topology{}, nil, errors.Wrap(err, "parse deployment with the experiment's settings")
	}
	targetsData, err := os.ReadFile(filepath.Join(config.Root, "deployments", config.Deployment+"-targets.json"))
	if err != nil {
		return topology{}, nil, errors.Wrap(err, "read targets")
	}
	var sources []sourceTargets
	if err := document.DecodeStrict(targetsData, &sources); err != nil {
		return topology{}, nil, err
	}
	result := topology{document: doc, maps: map[string]target.PartitionMap{}, servers: map[string]servers.Spec{}}
	for i, sourceTargets := range sources {
		if serviceTime, ok := config.ServiceTimes[sourceTargets.Source]; ok {
			sourceTargets.ServiceTime = serviceTime
		}
		result.addSource(byte(i), subnet, sourceTargets)
	}
	return result, data, nil
}

// addSource divides the key space evenly between the source's shards and adds their targets.
func (topology *topology) addSource(number, subnet byte, sourceTargets sourceTargets) {
	source, _ := topology.document.Source(sourceTargets.Source)
	partition := target.PartitionMap{Source: sourceTargets.Source, Version: 1}
	width := coverage.KeySpace / uint64(sourceTargets.Shards)
	for shardNumber := range sourceTargets.Shards {
		keyRange := coverage.Range{From: uint64(shardNumber) * width, To: uint64(shardNumber+1) * width}
		if shardNumber == sourceTargets.Shards-1 {
			keyRange.To = coverage.KeySpace
		}
		shard := target.Shard{Name: fmt.Sprintf("%s/%d", sourceTargets.Source, shardNumber+1), Range: keyRange}
		for server := range sourceTargets.TargetsPerShard {
			name := fmt.Sprintf("%s/%d", shard.Name, server+1)
			host := byte(shardNumber*sourceTargets.TargetsPerShard + server + 1)
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, subnet, 10 + number, host}), serverPort)
			centres := topology.document.DataCentres
			shard.Servers = append(shard.Servers, target.Server{Name: name, Address: address,
				DataCentre: centres[server%len(centres)]})
			topology.servers[name] = servers.Spec{Name: name, Shard: shard.Name, Address: address, Range: keyRange,
				Slots: source.Slots, Connections: source.Connections, ServiceTime: sourceTargets.ServiceTime.Std(),
				ConnectCost: source.ConnectCost.Std(), Snapshots: []uint64{firstSnapshot}}
		}
		partition.Shards = append(partition.Shards, shard)
	}
	topology.maps[sourceTargets.Source] = partition
}

// reviseDocument merges the overrides into the document, sets its revision and publication time, and moves events that
// have started or start within an hour to 6 hours from now: a document whose event starts before its publication is
// invalid, and answers after the start count as late. It also sets preset_revision when the overrides change the preset
// in force.
func reviseDocument(data []byte, revision uint64, overrides json.RawMessage) ([]byte, error) {
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, errors.Wrap(err, "decode document")
	}
	now := time.Now().UTC()
	oldPreset := fields["preset_in_force"]
	fields["revision"] = revision
	fields["published_at"] = now
	for _, event := range fields["events"].([]any) {
		event := event.(map[string]any)
		if start, err := time.Parse(time.RFC3339, event["start"].(string)); err == nil && start.Before(now.Add(time.Hour)) {
			event["start"] = now.Add(6 * time.Hour)
		}
	}
	if len(overrides) > 0 {
		var changes map[string]any
		if err := json.Unmarshal(overrides, &changes); err != nil {
			return nil, &document.FieldError{Field: "settings", Value: err.Error(), Remedy: "give a JSON object"}
		}
		merge(fields, changes)
	}
	if fields["preset_in_force"] != oldPreset {
		fields["preset_revision"] = revision
	}
	return json.Marshal(fields)
}

// merge overwrites fields of base with those of overrides; it merges objects recursively and list items by their name.
func merge(base, overrides map[string]any) {
	for key, value := range overrides {
		switch value := value.(type) {
		case map[string]any:
			if inner, ok := base[key].(map[string]any); ok {
				merge(inner, value)
				continue
			}
		case []any:
			if items, ok := base[key].([]any); ok && mergeByName(items, value) {
				continue
			}
		}
		base[key] = value
	}
}

// mergeByName merges items into the items of base that have the same name, ignores items whose name base lacks, and
// reports false if an item has no name.
func mergeByName(base, overrides []any) bool {
	for _, item := range overrides {
		fields, ok := item.(map[string]any)
		if !ok || fields["name"] == nil {
			return false
		}
		for _, existing := range base {
			if inner, ok := existing.(map[string]any); ok && inner["name"] == fields["name"] {
				merge(inner, fields)
			}
		}
	}
	return true
}
