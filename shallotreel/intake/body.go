package intake

import (
	"bytes"
	"io"
	"math"

	"github.com/go-faster/errors"
)

// A body is read in chunks, the first of which is small and the others as large as all before.
const (
	firstChunkBytes = 4 << 10
	maxChunkBytes   = 64 << 10
)

// ErrTooLong is the error of a message that is longer than allowed, or that never ends.
var ErrTooLong = errors.New("the message is too long")

// ReadAll reads everything up to the end, which the hold counts from then on until it shrinks by as many bytes. It allocates as the bytes
// arrive. The error is ErrTooLong for more than limit bytes, or ErrExhausted; nothing more is counted then.
func ReadAll(hold *Hold, use Use, reader io.Reader, limit int64) (body []byte, err error) {
	limit = min(limit, math.MaxInt64-1)
	held := 0
	defer func() { hold.Shrink(use, held-len(body)) }()
	var chunks [][]byte
	for {
		size := min(max(firstChunkBytes, held), maxChunkBytes)
		size = int(min(int64(size), limit+1-int64(held))) // with one byte more than the limit, to see the end
		if err := hold.Grow(use, size); err != nil {
			return nil, err
		}
		held += size
		chunk, err := fill(reader, size)
		chunks = append(chunks, chunk)
		length := held - size + len(chunk)
		switch {
		case int64(length) > limit:
			return nil, ErrTooLong
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		case err != nil && len(chunks) == 1:
			return chunk, nil
		case err != nil:
			if err := hold.Grow(use, length); err != nil {
				return nil, err
			}
			held += length
			return bytes.Join(chunks, nil), nil
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
