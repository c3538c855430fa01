package intake

import "bytes"

const (
	// MaxHeadBytes is the limit of the first line and the header of a message, with those of interim responses before it, where no
	// configuration names one.
	MaxHeadBytes = 64 << 10
	// MaxHeadLines is the limit of the lines of a response's head, which has few. Those of a request are bounded by their cost alone.
	MaxHeadLines = 1000

	headLineBytes = 96      // memory that a line of a head takes besides its bytes
	freeHeadBytes = 4 << 10 // memory of a head that is counted with its connection
)

// Head counts the memory of the head of a message. It is not safe for concurrent use.
type Head struct {
	hold  *Hold // of the connection
	use   Use
	bytes int
	lines int
	held  int // bytes that are counted
}

// NewHead returns a head without bytes, which counts for the hold of its connection.
func NewHead(hold *Hold, use Use) *Head { return &Head{hold: hold, use: use} }

// Bytes returns the number of bytes that were added.
func (head *Head) Bytes() int { return head.bytes }

// HasAllLines reports whether the head may have no more lines.
func (head *Head) HasAllLines() bool { return head.lines >= MaxHeadLines }

// Add counts the bytes, which may go beyond the end of the head. The error is ErrExhausted if they may not be kept.
func (head *Head) Add(data []byte) error {
	head.bytes += len(data)
	head.lines += bytes.Count(data, []byte{'\n'})
	held := max(head.bytes+head.lines*headLineBytes-freeHeadBytes, 0)
	if held == head.held {
		return nil
	}
	if err := head.hold.Grow(head.use, held-head.held); err != nil {
		return err
	}
	head.held = held
	return nil
}

// Reset ends the count of the head, and begins another one.
func (head *Head) Reset() {
	if head.held > 0 {
		head.hold.Shrink(head.use, head.held)
	}
	head.bytes, head.lines, head.held = 0, 0, 0
}
