package connpool

import (
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	maxHeadBytes    = 64 << 10 // of a response's status line and header, with those of interim responses before it
	defaultMaxBody  = 8 << 20  // bytes of a response body, for a call that sets no limit
	firstBodyBytes  = 4 << 10  // allocated for a body at first
	maxPendingBytes = 32 << 20 // of all bodies that are not complete yet
	freeBodyBytes   = 64 << 10 // of each body, beyond which it fails while there are maxPendingBytes
)

// errTooLong is the error of a response that is longer than allowed, or that never ends.
var errTooLong = errors.New("the response is too long")

// headLimiter reads from a connection, of which only the body of a response may be long.
type headLimiter struct {
	conn net.Conn
	left int64 // bytes that may still be read
}

// Read implements io.Reader.
func (headLimiter *headLimiter) Read(buffer []byte) (int, error) {
	if headLimiter.left <= 0 {
		return 0, errTooLong
	}
	if int64(len(buffer)) > headLimiter.left {
		buffer = buffer[:headLimiter.left]
	}
	size, err := headLimiter.conn.Read(buffer)
	headLimiter.left -= int64(size)
	return size, err
}

// beginHead allows the bytes of one head.
func (headLimiter *headLimiter) beginHead() { headLimiter.left = maxHeadBytes }

// beginBody allows any number of bytes, which readBody limits.
func (headLimiter *headLimiter) beginBody() { headLimiter.left = math.MaxInt64 }

// PendingBytes returns the size of all response bodies that are not complete yet, in bytes.
func (pool *Pool) PendingBytes() int64 { return pool.memory.held.Load() }

// memory counts the bytes of all incomplete bodies.
type memory struct {
	held atomic.Int64
	peak atomic.Int64 // approximate
}

// grow reports whether a body may grow to the size, and counts it if so.
func (memory *memory) grow(from, to int) bool {
	held := memory.held.Add(int64(to - from))
	if held > maxPendingBytes && to > freeBodyBytes {
		memory.held.Add(int64(from - to))
		return false
	}
	if held > memory.peak.Load() {
		memory.peak.Store(held)
	}
	return true
}

// readBody reads the whole body of the response, of at most limit bytes. It allocates as the bytes arrive, whatever length
// the response states.
func (memory *memory) readBody(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength > limit {
		return nil, errTooLong
	}
	held := 0
	defer func() { memory.held.Add(int64(-held)) }()
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(firstBodyBytes, 2*held)
			if !memory.grow(held, size) {
				return nil, errTooLong
			}
			held = size
			body = append(make([]byte, 0, size), body...)
		}
		size, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+size]
		switch {
		case int64(len(body)) > limit:
			return nil, errTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
