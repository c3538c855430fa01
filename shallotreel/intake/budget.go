package intake

import (
	"bytes"
	"io"
	"math"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// A body is read in chunks, the first of which is small and the others as large as all before.
	firstChunkBytes = 4 << 10
	maxChunkBytes   = 64 << 10

	// FreeBodyBytes is the size up to which a body may grow when the budget is used up.
	FreeBodyBytes = 64 << 10
)

// ErrTooLong is the error of a message that is longer than allowed, or that never ends.
var ErrTooLong = errors.New("the message is too long")

// ErrExhausted is the error of a message that is longer than FreeBodyBytes while the budget is used up.
var ErrExhausted = errors.New("too many bytes of incomplete messages are held")

// Budget counts the bytes of all messages that are not complete yet. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
	peak  atomic.Int64 // approximate
}

// NewBudget returns a budget of so many bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Held returns the number of bytes that are counted now.
func (budget *Budget) Held() int64 { return budget.held.Load() }

// Peak returns about the largest number of bytes that were ever counted.
func (budget *Budget) Peak() int64 { return budget.peak.Load() }

// Grow reports whether a message may grow from one size to another, and counts the difference if so. One that stays within the free
// size always may, and so may one that is alone, which its own limit bounds.
func (budget *Budget) Grow(from, to, free int) bool {
	held := budget.held.Add(int64(to - from))
	alone := held == int64(to)
	if held > budget.limit && to > free && !alone {
		budget.Release(to - from)
		return false
	}
	if held > budget.peak.Load() {
		budget.peak.Store(held)
	}
	return true
}

// Release ends the count of so many bytes.
func (budget *Budget) Release(size int) { budget.held.Add(int64(-size)) }

// ReadAll reads everything up to the end, which it counts until then. It allocates as the bytes arrive, little more than limit in all. The
// error is ErrTooLong for more than limit bytes, or ErrExhausted.
func (budget *Budget) ReadAll(reader io.Reader, limit int64) ([]byte, error) {
	limit = min(limit, math.MaxInt64-1)
	held := 0
	defer func() { budget.Release(held) }()
	var chunks [][]byte
	for {
		size := min(max(firstChunkBytes, held), maxChunkBytes)
		size = int(min(int64(size), limit+1-int64(held))) // with one byte more than the limit, to see the end
		if !budget.Grow(held, held+size, FreeBodyBytes) {
			return nil, ErrExhausted
		}
		held += size
		chunk, err := fill(reader, size)
		chunks = append(chunks, chunk)
		length := held - size + len(chunk)
		switch {
		case int64(length) > limit:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF):
			return join(chunks), nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until it has so many bytes. The error is io.EOF at the end.
func fill(reader io.Reader, size int) ([]byte, error) {
	chunk := make([]byte, 0, size)
	for len(chunk) < size {
		count, err := reader.Read(chunk[len(chunk):size])
		chunk = chunk[:len(chunk)+count]
		if err != nil {
			return chunk, err
		}
	}
	return chunk, nil
}

func join(chunks [][]byte) []byte {
	if len(chunks) == 1 {
		return chunks[0]
	}
	return bytes.Join(chunks, nil)
}
