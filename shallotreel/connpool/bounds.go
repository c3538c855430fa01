package connpool

import (
	"net"

	"shallotreel.example/shallotreel/intake"
)

const (
	defaultMaxBody = 8 << 20  // bytes of a response body, for a call that sets no limit
	defaultMemory  = 32 << 20 // bytes, of a pool that shares none
)

// headLimiter reads from a connection, of which only the body of a response may be long. It counts the memory of each head until the next
// one begins or the connection ends.
type headLimiter struct {
	conn   net.Conn
	head   *intake.Head
	inBody bool
	failed error // of all reads after one whose bytes may not be kept: readers of heads look ahead, and pass over an error of that
}

// Read implements io.Reader. Its error is intake.ErrTooLong or intake.ErrExhausted for a head that takes too much.
func (headLimiter *headLimiter) Read(buffer []byte) (int, error) {
	if headLimiter.inBody {
		return headLimiter.conn.Read(buffer)
	}
	if headLimiter.failed != nil {
		return 0, headLimiter.failed
	}
	left := intake.MaxHeadBytes - headLimiter.head.Bytes()
	if left <= 0 || headLimiter.head.HasAllLines() {
		return 0, intake.ErrTooLong
	}
	size, err := headLimiter.conn.Read(buffer[:min(len(buffer), left)])
	if exhausted := headLimiter.head.Add(buffer[:size]); exhausted != nil {
		headLimiter.failed = exhausted
		return 0, exhausted
	}
	return size, err
}

// beginHead allows the bytes of one head, and ends the count of the one before.
func (headLimiter *headLimiter) beginHead() {
	headLimiter.release()
	headLimiter.inBody = false
}

// beginBody allows any number of bytes, which the reader of the body limits.
func (headLimiter *headLimiter) beginBody() { headLimiter.inBody = true }

// release ends the count of the head's memory.
func (headLimiter *headLimiter) release() { headLimiter.head.Reset() }

// Memory returns the memory that the responses of the pool count for.
func (pool *Pool) Memory() *intake.Memory { return pool.memory }

// WithMemory makes the responses of the pool count for the memory.
func WithMemory(memory *intake.Memory) Option {
	return func(pool *Pool) { pool.memory = memory }
}

// Refused returns how many calls ended with ErrTooManyConnections.
func (pool *Pool) Refused() uint64 { return pool.refused.Load() }

// WithMaxConnections makes the pool have so many connections to targets at most.
func WithMaxConnections(most int) Option {
	return func(pool *Pool) { pool.most = most }
}
