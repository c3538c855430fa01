package publication

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Value is one published value; Data is the platform's bytes, unchanged.
type Value struct {
	Key     string
	Version uint64
	Data    []byte
}

// Stamp identifies the content of a value.
type Stamp struct {
	Version uint64
	Hash    uint64
}

// Stamp returns the value's stamp.
func (value Value) Stamp() Stamp {
	return Stamp{value.Version, xxhash.Sum64(value.Data)}
}

// newer orders stamps by version, then by content, the same way everywhere.
func (stamp Stamp) newer(other Stamp) bool {
	return cmp.Or(cmp.Compare(stamp.Version, other.Version), cmp.Compare(stamp.Hash, other.Hash)) > 0
}

// Clock sums up a store, so that two instances see whether they hold the same.
type Clock struct {
	Sum    uint64 `msgpack:"s"`
	Digest uint64 `msgpack:"d"`
}

// Store keeps values whose versions only rise; its zero value is ready.
type Store struct {
	values  map[string]Value
	stamps  map[string]Stamp
	clock   Clock
	history map[string][]Value // replaced versions, newest first
	deltas  map[deltaKey]Update
}

// Put keeps the value if it is newer than the one held and reports whether it was.
func (store *Store) Put(value Value) bool {
	held, known := store.stamps[value.Key]
	if known && !value.Stamp().newer(held) {
		return false
	}
	store.Set(value)
	return true
}

// Set keeps a value that the caller has judged to be newer.
func (store *Store) Set(value Value) {
	if store.values == nil {
		store.values = map[string]Value{}
		store.stamps = map[string]Stamp{}
		store.history = map[string][]Value{}
		store.deltas = map[deltaKey]Update{}
	}
	if old, known := store.values[value.Key]; known {
		store.remember(old)
	}
	store.values[value.Key] = value
	store.stamps[value.Key] = value.Stamp()
	store.clock = store.sum()
}

// Get returns the value held for the key.
func (store *Store) Get(key string) (Value, bool) {
	value, ok := store.values[key]
	return value, ok
}

// Stamps returns the stamp held for each key.
func (store *Store) Stamps() map[string]Stamp {
	return maps.Clone(store.stamps)
}

// Since returns the values that a store with the given stamps may lack, ordered by key.
func (store *Store) Since(stamps map[string]Stamp) []Update {
	var lacking []Update
	for _, key := range store.keys() {
		own, theirs := store.stamps[key], stamps[key]
		if own.Version > theirs.Version || own.Version == theirs.Version && own.Hash != theirs.Hash {
			lacking = append(lacking, store.update(key, theirs))
		}
	}
	return lacking
}

// Clock returns the store's sum.
func (store *Store) Clock() Clock {
	return store.clock
}

// Behind reports whether a store with the other clock holds something that this one may lack.
func (clock Clock) Behind(other Clock) bool {
	return clock.Digest != other.Digest && clock.Sum <= other.Sum
}

func (store *Store) keys() []string {
	keys := make([]string, 0, len(store.values))
	for key := range store.values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (store *Store) sum() Clock {
	digest := xxhash.New()
	var clock Clock
	for _, key := range store.keys() {
		stamp := store.stamps[key]
		clock.Sum += stamp.Version
		digest.WriteString(key)
		for _, number := range []uint64{stamp.Version, stamp.Hash} {
			digest.Write(binary.BigEndian.AppendUint64(nil, number))
		}
	}
	clock.Digest = digest.Sum64()
	return clock
}
