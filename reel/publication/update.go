package publication

import (
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	minDeltaSize   = 4 << 10 // in bytes; smaller values are always sent whole
	historyLength  = 4       // number of earlier versions of a value that can be the base of a delta
	dictionaryID   = 1       // zstd dictionary ID of the base, the same in the encoder and the decoder
	maxDecodedSize = 1 << 21 // in bytes; memory limit of the zstd decoder for a value from a peer
)

// ErrBaseMissing is returned by Store.Decode for a delta whose base is not the stored version of the value.
var ErrBaseMissing = errors.New("base version of the delta is not in the store")

// Update carries a value to another store, either whole or as a zstd delta to a base version that the other store
// holds.
type Update struct {
	Key     string
	Version uint64
	Hash    uint64 // of the decoded value
	Base    Stamp  // base of the delta, zero for a whole value
	Data    []byte // value or delta
}

// Decode returns the value of an update from another store without storing it. It returns ErrBaseMissing if the
// store lacks the base of a delta, and an error if the delta is malformed or the content does not match its hash.
func (store *Store) Decode(update Update) (Value, error) {
	data := update.Data
	if update.Base != (Stamp{}) {
		if store.stamps[update.Key] != update.Base {
			return Value{}, ErrBaseMissing
		}
		decoder, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(dictionaryID, store.values[update.Key].Data),
			zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedSize))
		if err != nil {
			return Value{}, errors.Wrap(err, "create decoder of the delta")
		}
		defer decoder.Close()
		if data, err = decoder.DecodeAll(update.Data, nil); err != nil {
			return Value{}, errors.Wrap(err, "decode delta")
		}
	}
	if xxhash.Sum64(data) != update.Hash {
		return Value{}, errors.New("content does not match its hash")
	}
	return Value{update.Key, update.Version, data}, nil
}

// updateFrom returns the update from the base version to the newest value: a delta if the base is in the history
// and the delta is shorter, or else the whole value. Deltas are cached.
func (store *Store) updateFrom(key string, base Stamp) Update {
	value, stamp := store.values[key], store.stamps[key]
	whole := Update{Key: key, Version: stamp.Version, Hash: stamp.Hash, Data: value.Data}
	if len(value.Data) < minDeltaSize {
		return whole
	}
	if cached, ok := store.deltas[deltaKey{key, base}]; ok {
		return cached
	}
	for _, old := range store.history[key] {
		if old.Stamp() != base {
			continue
		}
		delta, err := compress(old.Data, value.Data)
		if err != nil || len(delta) >= len(value.Data) {
			return whole
		}
		update := Update{Key: key, Version: stamp.Version, Hash: stamp.Hash, Base: base, Data: delta}
		store.deltas[deltaKey{key, base}] = update
		return update
	}
	return whole
}

// deltaKey identifies the delta from a base version to the newest version of a value.
type deltaKey struct {
	key  string
	base Stamp
}

// compress returns data as a zstd frame that uses base as its dictionary.
func compress(base, data []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderCRC(true))
	if err != nil {
		return nil, errors.Wrap(err, "create encoder of the delta")
	}
	defer encoder.Close()
	return encoder.EncodeAll(data, nil), nil
}

// addHistory adds the replaced version to the history and drops the cached deltas that lead to it.
func (store *Store) addHistory(old Value) {
	history := append([]Value{old}, store.history[old.Key]...)
	store.history[old.Key] = history[:min(historyLength, len(history))]
	for key := range store.deltas {
		if key.key == old.Key {
			delete(store.deltas, key)
		}
	}
}
