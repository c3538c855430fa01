package intake

import "bytes"

const (
	// MaxHeadBytes is the limit of the first line and the header of a message, with those of interim responses before it.
	MaxHeadBytes = 64 << 10
	// MaxHeadLines is the limit of the lines of a response's head, which has few. Those of a request are bounded by their cost alone.
	MaxHeadLines = 1000

	headLineBytes = 96      // memory that a line of a head takes besides its bytes
	freeHeadBytes = 8 << 10 // memory of a head, beyond which it fails when the budget is used up
)

// Head counts the memory of the head of a message. It is not safe for concurrent use.
type Head struct {
	budget *Budget
	bytes  int
	lines  int
	held   int // bytes that are counted
}

// NewHead returns a head without bytes, which counts for the budget.
func NewHead(budget *Budget) *Head { return &Head{budget: budget} }

// Left returns the number of bytes that the head may still have.
func (head *Head) Left() int { return max(MaxHeadBytes-head.bytes, 0) }

// HasAllLines reports whether the head may have no more lines.
func (head *Head) HasAllLines() bool { return head.lines >= MaxHeadLines }

// Add counts the bytes, which may go beyond the end of the head. The error is ErrExhausted if they may not be kept.
func (head *Head) Add(data []byte) error {
	head.bytes += len(data)
	head.lines += bytes.Count(data, []byte{'\n'})
	held := head.bytes + head.lines*headLineBytes
	if !head.budget.Grow(head.held, held, freeHeadBytes) {
		return ErrExhausted
	}
	head.held = held
	return nil
}

// Reset ends the count of the head, and begins another one.
func (head *Head) Reset() {
	head.budget.Release(head.held)
	head.bytes, head.lines, head.held = 0, 0, 0
}
