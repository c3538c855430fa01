package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/operator"
)

// Sources returns the state of this entry's sources, ordered by name.
func (entry *Entry) Sources(now time.Time) []operator.Source {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	var sources []operator.Source
	for name, source := range entry.sources {
		pin, _ := source.table.Pin(now)
		status := operator.Source{Name: name, Snapshot: pin.Snapshot, Map: pin.Map}
		status.Running, status.Waiting, status.Limit = source.limiter.load()
		sources = append(sources, status)
	}
	slices.SortFunc(sources, func(a, b operator.Source) int { return cmp.Compare(a.Name, b.Name) })
	return sources
}

// Explain returns which targets and holders the entry would choose now for a request, without running it. It returns an
// error if no revision is in force or the kind is unknown. Without a source of the kind, it returns no routes.
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
	fingerprint := fingerprintOf(caller.Request{Kind: kindName, Key: key, Query: query})
	explanation := operator.Explanation{Kind: kindName, Revision: doc.Revision, Preset: doc.PresetInForce,
		Fingerprint: fingerprint.String(), Verdict: entry.crashHistory.Verdict(now, fingerprint).String()}
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
