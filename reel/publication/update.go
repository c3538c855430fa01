package publication

import (
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	deltaFloor   = 4 << 10 // bytes; smaller values travel whole
	historyKept  = 4       // earlier versions of a value that deltas can start from
	dictionaryID = 1
	maxDecoded   = 1 << 21 // bytes
)

// ErrBaseMissing is returned for a delta whose base this store does not hold.
var ErrBaseMissing = errors.New("base of the delta is not held")

// Update is a value on its way to another store: whole, or as a delta to a base that the other one holds.
type Update struct {
	Key     string
	Version uint64
	Hash    uint64
	Base    Stamp // zero for a whole value
	Data    []byte
}

// Open makes a value of an update that came from another store.
func (store *Store) Open(update Update) (Value, error) {
	data := update.Data
	if update.Base != (Stamp{}) {
		if store.stamps[update.Key] != update.Base {
			return Value{}, ErrBaseMissing
		}
		decoder, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(dictionaryID, store.values[update.Key].Data),
			zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecoded))
		if err != nil {
			return Value{}, errors.Wrap(err, "open delta")
		}
		defer decoder.Close()
		if data, err = decoder.DecodeAll(update.Data, nil); err != nil {
			return Value{}, errors.Wrap(err, "read delta")
		}
	}
	if xxhash.Sum64(data) != update.Hash {
		return Value{}, errors.New("content does not match its hash")
	}
	return Value{update.Key, update.Version, data}, nil
}

// update returns the shortest way to bring the value to a store that holds the other stamp.
func (store *Store) update(key string, held Stamp) Update {
	value, stamp := store.values[key], store.stamps[key]
	whole := Update{Key: key, Version: stamp.Version, Hash: stamp.Hash, Data: value.Data}
	if len(value.Data) < deltaFloor {
		return whole
	}
	if known, ok := store.deltas[deltaKey{key, held}]; ok {
		return known
	}
	for _, base := range store.history[key] {
		if base.Stamp() != held {
			continue
		}
		delta, err := compress(base.Data, value.Data)
		if err != nil || len(delta) >= len(value.Data) {
			return whole
		}
		made := Update{Key: key, Version: stamp.Version, Hash: stamp.Hash, Base: held, Data: delta}
		store.deltas[deltaKey{key, held}] = made
		return made
	}
	return whole
}

// deltaKey names a delta to a value's newest version from an older one.
type deltaKey struct {
	key  string
	base Stamp
}

func compress(base, data []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderCRC(true))
	if err != nil {
		return nil, errors.Wrap(err, "make delta")
	}
	defer encoder.Close()
	return encoder.EncodeAll(data, nil), nil
}

// remember keeps the replaced version for deltas and forgets deltas to it.
func (store *Store) remember(old Value) {
	history := append([]Value{old}, store.history[old.Key]...)
	store.history[old.Key] = history[:min(historyKept, len(history))]
	for key := range store.deltas {
		if key.key == old.Key {
			delete(store.deltas, key)
		}
	}
}
