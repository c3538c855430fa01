package publication

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Value is one version of a published value; Data is the platform's bytes, unchanged.
type Value struct {
	Key     string
	Version uint64
	Data    []byte
}

// Stamp identifies the version and the content of a value.
type Stamp struct {
	Version uint64
	Hash    uint64
}

// Stamp returns the stamp of the value.
func (value Value) Stamp() Stamp {
	return Stamp{value.Version, xxhash.Sum64(value.Data)}
}

// newer reports whether the stamp is newer than the other one. Stamps are ordered by version and then by hash,
// so that all instances keep the same one of two values with equal versions.
func (stamp Stamp) newer(other Stamp) bool {
	return cmp.Or(cmp.Compare(stamp.Version, other.Version), cmp.Compare(stamp.Hash, other.Hash)) > 0
}

// Summary condenses the stamps of a store, so that two instances can compare their stores without sending all stamps.
type Summary struct {
	VersionSum uint64 `msgpack:"s"` // sum of the versions of all values
	Digest     uint64 `msgpack:"d"` // hash of the keys and stamps of all values
}

// Store keeps the newest version of each value; its zero value is an empty store.
type Store struct {
	values  map[string]Value
	stamps  map[string]Stamp
	summary Summary
	history map[string][]Value // earlier versions by key, newest first
	deltas  map[deltaKey]Update
}

// Put stores the value if it is newer than the stored one for its key, and reports whether it did.
func (store *Store) Put(value Value) bool {
	current, ok := store.stamps[value.Key]
	if ok && !value.Stamp().newer(current) {
		return false
	}
	store.Set(value)
	return true
}

// Set stores the value without comparing versions; the caller has checked that it is newer.
func (store *Store) Set(value Value) {
	if store.values == nil {
		store.values = map[string]Value{}
		store.stamps = map[string]Stamp{}
		store.history = map[string][]Value{}
		store.deltas = map[deltaKey]Update{}
	}
	if old, ok := store.values[value.Key]; ok {
		store.addHistory(old)
	}
	store.values[value.Key] = value
	store.stamps[value.Key] = value.Stamp()
	store.summary = store.computeSummary()
}

// Get returns the newest value for the key and whether there is one.
func (store *Store) Get(key string) (Value, bool) {
	value, ok := store.values[key]
	return value, ok
}

// Stamps returns a copy of the stamps of the stored values, by key.
func (store *Store) Stamps() map[string]Stamp {
	return maps.Clone(store.stamps)
}

// UpdatesFor returns the updates that a store with the given stamps may lack, ordered by key.
func (store *Store) UpdatesFor(stamps map[string]Stamp) []Update {
	var updates []Update
	for _, key := range store.keys() {
		own, theirs := store.stamps[key], stamps[key]
		if own.Version > theirs.Version || own.Version == theirs.Version && own.Hash != theirs.Hash {
			updates = append(updates, store.updateFrom(key, theirs))
		}
	}
	return updates
}

// Summary returns the summary of the stored values.
func (store *Store) Summary() Summary {
	return store.summary
}

// Behind reports whether a store with the other summary may hold a value that a store with this summary lacks.
func (summary Summary) Behind(other Summary) bool {
	return summary.Digest != other.Digest && summary.VersionSum <= other.VersionSum
}

// keys returns the keys of the stored values in ascending order.
func (store *Store) keys() []string {
	keys := make([]string, 0, len(store.values))
	for key := range store.values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (store *Store) computeSummary() Summary {
	digest := xxhash.New()
	var summary Summary
	for _, key := range store.keys() {
		stamp := store.stamps[key]
		summary.VersionSum += stamp.Version
		digest.WriteString(key)
		for _, number := range []uint64{stamp.Version, stamp.Hash} {
			digest.Write(binary.BigEndian.AppendUint64(nil, number))
		}
	}
	summary.Digest = digest.Sum64()
	return summary
}
