package connpool

import (
	"bytes"
	"net"

	"shallotreel.example/shallotreel/intake"
)

const (
	maxHeadBytes    = 64 << 10 // of a response's status line and header, with those of interim responses before it
	maxHeadLines    = 1000     // of the same
	headLineBytes   = 96       // memory that a line of a head takes besides its bytes
	freeHeadBytes   = 8 << 10  // memory of a head, beyond which it fails while there are maxPendingBytes
	defaultMaxBody  = 8 << 20  // bytes of a response body, for a call that sets no limit
	maxPendingBytes = 32 << 20 // of all responses that are not complete yet
)

// headLimiter reads from a connection, of which only the body of a response may be long. It counts the memory of each head until the next
// one begins or the connection ends.
type headLimiter struct {
	conn   net.Conn
	budget *intake.Budget
	inBody bool
	read   int // bytes of the head
	lines  int // of the head
	held   int // bytes that are counted for the head
}

// Read implements io.Reader. Its error is intake.ErrTooLong or intake.ErrExhausted for a head that takes too much.
func (headLimiter *headLimiter) Read(buffer []byte) (int, error) {
	if headLimiter.inBody {
		return headLimiter.conn.Read(buffer)
	}
	left := maxHeadBytes - headLimiter.read
	if left <= 0 || headLimiter.lines >= maxHeadLines {
		return 0, intake.ErrTooLong
	}
	size, err := headLimiter.conn.Read(buffer[:min(len(buffer), left)])
	headLimiter.read += size
	headLimiter.lines += bytes.Count(buffer[:size], []byte{'\n'})
	held := headLimiter.read + headLimiter.lines*headLineBytes
	if !headLimiter.budget.Grow(headLimiter.held, held, freeHeadBytes) {
		return 0, intake.ErrExhausted
	}
	headLimiter.held = held
	return size, err
}

// beginHead allows the bytes of one head, and ends the count of the one before.
func (headLimiter *headLimiter) beginHead() {
	headLimiter.release()
	headLimiter.inBody, headLimiter.read, headLimiter.lines = false, 0, 0
}

// beginBody allows any number of bytes, which the reader of the body limits.
func (headLimiter *headLimiter) beginBody() { headLimiter.inBody = true }

// release ends the count of the head's memory.
func (headLimiter *headLimiter) release() {
	headLimiter.budget.Release(headLimiter.held)
	headLimiter.held = 0
}

// PendingBytes returns the memory of all responses that are not complete yet, in bytes.
func (pool *Pool) PendingBytes() int64 { return pool.budget.Held() }
