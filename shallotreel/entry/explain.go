package entry

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/operator"
)

// Sources returns what this entry keeps for each source, ordered by name.
func (entry *Entry) Sources(now time.Time) []operator.Source {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	var sources []operator.Source
	for name, source := range entry.sources {
		pin, _ := source.table.Pin(now)
		status := operator.Source{Name: name, Snapshot: pin.Snapshot, Map: pin.Map}
		status.Running, status.Waiting, status.Limit = source.gate.load()
		sources = append(sources, status)
	}
	slices.SortFunc(sources, func(a, b operator.Source) int { return cmp.Compare(a.Name, b.Name) })
	return sources
}

// Explain tells where a request would go now, without running it.
func (entry *Entry) Explain(kindName, key, query string) (operator.Explanation, error) {
	now := time.Now()
	doc := entry.fleet.View().Document
	if doc == nil {
		return operator.Explanation{}, errors.New("no revision is in force yet")
	}
	kind, ok := doc.Kind(kindName)
	if !ok {
		return operator.Explanation{}, errors.Errorf("field kind: value %q: name a kind of the configuration", kindName)
	}
	print := fingerprint(caller.Request{Kind: kindName, Key: key, Query: query})
	explanation := operator.Explanation{Kind: kindName, Revision: doc.Revision, Preset: doc.PresetInForce,
		Fingerprint: fmt.Sprintf("%016x", uint64(print)), Verdict: entry.book.Judge(now, print).String()}
	source := entry.source(kind.Source)
	if source == nil {
		return explanation, nil
	}
	pin, _ := source.table.Pin(now)
	explanation.Snapshot = pin.Snapshot
	for i, shard := range pin.Shards {
		if kind.Operation != document.Search && !shard.Range.Contains(keyOf(caller.Request{Key: key})) {
			continue
		}
		route := operator.Route{Shard: shard.Name, Range: shard.Range, Reason: "no live replica serves the snapshot"}
		if choice, ok := source.table.Choose(now, pin, i, nil); ok {
			route.Target, route.Holder, route.Reason = choice.Target, choice.Holder.Name, choice.Reason
		}
		explanation.Routes = append(explanation.Routes, route)
	}
	return explanation, nil
}
