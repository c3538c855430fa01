package intake

import (
	"container/list"
	"sync"

	"github.com/go-faster/errors"
)

// Use is what memory is held for.
type Use int

// Values of Use, from the one that gets no more memory first to the one that does last.
const (
	Message Use = iota // bytes that a caller or a peer sends, beyond the first ones of a connection
	Work               // connections, and requests in progress
	Answer             // bytes that targets answer to requests in progress
)

const (
	// ShortBytes is the size up to which the messages of one hold are short.
	ShortBytes = 16 << 10
	// ShortAnswerBytes is the size up to which the answers that one hold keeps are short.
	ShortAnswerBytes = 64 << 10
	// longShare, answerShare, shortAnswerShare and calmShare divide the memory: long messages take one such part at most. The second one
	// is kept for answers, and of it the third one for short answers. While others hold no more than the last, a message that is alone may
	// take any size that its own limit allows.
	longShare        = 2
	answerShare      = 4
	shortAnswerShare = 8
	calmShare        = 8
)

// ErrExhausted is the error of a message or a request for which there is no memory left.
var ErrExhausted = errors.New("too much memory is held for callers")

// Memory counts the memory of a process that is held for others. When there is no more, it takes it from those who wait for a caller or
// a peer, the one that has got on least recently first. It is safe for concurrent use.
type Memory struct {
	limit  int64
	mutex  sync.Mutex
	held   int64
	peak   int64
	long   int64 // part of held that is long messages
	clock  uint64
	shorts waiting // without a long message
	longs  waiting
	ended  uint64
}

// waiting are the holds that may be ended, the one that has got on least recently first.
type waiting struct {
	holds list.List // of *Hold
	bytes int64
}

// NewMemory returns a memory of so many bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Held returns the number of bytes that are counted now.
func (memory *Memory) Held() int64 {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return memory.held
}

// Peak returns the largest number of bytes that were ever counted.
func (memory *Memory) Peak() int64 {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return memory.peak
}

// Ended returns how many holds were ended so that others had room.
func (memory *Memory) Ended() uint64 {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return memory.ended
}

// Hold returns a hold without bytes, which has one user.
func (memory *Memory) Hold() *Hold { return &Hold{memory: memory, users: 1} }

// Open returns a hold of so many bytes, which has one user. The error is ErrExhausted.
func (memory *Memory) Open(use Use, size int) (*Hold, error) {
	hold := memory.Hold()
	if err := hold.Grow(use, size); err != nil {
		return nil, err
	}
	return hold, nil
}

// grow counts the bytes if there is room or room can be made, and returns the holds that it has ended for that. The caller holds the mutex.
func (memory *Memory) grow(hold *Hold, use Use, size int64) ([]*Hold, error) {
	if hold.ended {
		return nil, ErrExhausted
	}
	waits := hold.turn != nil
	memory.delist(hold) // it gets on, and is not ended for itself
	victims, err := memory.makeRoom(hold, use, size)
	if err == nil {
		memory.add(hold, use, size)
	}
	if waits {
		memory.enlist(hold)
	}
	return victims, err
}

// makeRoom ends waiting holds until the bytes have room. It ends none if that would not suffice.
func (memory *Memory) makeRoom(hold *Hold, use Use, size int64) ([]*Hold, error) {
	message := hold.message + size
	isLong := use == Message && message > ShortBytes
	longOfOthers := memory.long - hold.longBytes()
	if isLong && longOfOthers == 0 && memory.held-hold.size <= memory.limit/calmShare {
		return nil, nil
	}
	missing := memory.held + size - memory.limitOf(use, hold.answer+size)
	missingLong := int64(0)
	if isLong {
		missingLong = longOfOthers + message - memory.limit/longShare
	}
	if missingLong > memory.longs.bytes || missing > memory.longs.bytes+memory.shorts.bytes {
		return nil, ErrExhausted
	}
	var victims []*Hold
	for freed := int64(0); freed < missing || freed < missingLong; {
		victim := memory.oldest(freed < missingLong)
		if victim == nil {
			break
		}
		freed += victim.size
		memory.evict(victim)
		victims = append(victims, victim)
	}
	return victims, nil
}

// limitOf returns how many bytes all holds may have together after one has grown for the use, to so many bytes of answers.
func (memory *Memory) limitOf(use Use, answer int64) int64 {
	switch {
	case use != Answer:
		return memory.limit - memory.limit/answerShare
	case answer > ShortAnswerBytes:
		return memory.limit - memory.limit/shortAnswerShare
	}
	return memory.limit
}

// oldest returns the waiting hold that has got on least recently, or nil if none waits.
func (memory *Memory) oldest(long bool) *Hold {
	first := front(&memory.longs.holds)
	if short := front(&memory.shorts.holds); !long && short != nil && (first == nil || short.seen < first.seen) {
		first = short
	}
	return first
}

func front(holds *list.List) *Hold {
	element := holds.Front()
	if element == nil {
		return nil
	}
	return element.Value.(*Hold)
}

// evict ends a waiting hold. Its bytes are in use until its end function has been called and its owner has noticed.
func (memory *Memory) evict(hold *Hold) {
	memory.ended++
	memory.close(hold)
}

// close ends the counts of the hold.
func (memory *Memory) close(hold *Hold) {
	if hold.ended {
		return
	}
	memory.delist(hold)
	memory.long -= hold.longBytes()
	memory.held -= hold.size
	hold.size, hold.message, hold.answer, hold.ended = 0, 0, 0, true
	if hold.door != nil {
		hold.door.open--
	}
}

func (memory *Memory) move(to, from *Hold, use Use, size int64) {
	if !from.ended {
		memory.add(from, use, -size)
	}
	if !to.ended {
		memory.add(to, use, size)
	}
}

// add changes the counts of a hold, which keeps its place among those that wait unless its messages become long or short.
func (memory *Memory) add(hold *Hold, use Use, size int64) {
	before := memory.list(hold)
	memory.long -= hold.longBytes()
	memory.held += size
	memory.peak = max(memory.peak, memory.held)
	waits := hold.turn != nil
	if waits {
		before.bytes -= hold.size
	}
	hold.size += size
	switch use {
	case Message:
		hold.message += size
	case Answer:
		hold.answer += size
	}
	memory.long += hold.longBytes()
	switch after := memory.list(hold); {
	case !waits:
	case after == before:
		before.bytes += hold.size
	default:
		before.holds.Remove(hold.turn)
		hold.leaveDoor()
		memory.enlist(hold)
	}
}

func (memory *Memory) list(hold *Hold) *waiting {
	if hold.message > ShortBytes {
		return &memory.longs
	}
	return &memory.shorts
}

// enlist adds the hold to those that wait, as the one that has got on last.
func (memory *Memory) enlist(hold *Hold) {
	memory.clock++
	hold.seen = memory.clock
	waiting := memory.list(hold)
	waiting.bytes += hold.size
	hold.turn = waiting.holds.PushBack(hold)
	if hold.door != nil {
		hold.place = hold.door.waiting.PushBack(hold)
	}
}

// delist removes the hold from those that wait. Its counts are those of when it was added.
func (memory *Memory) delist(hold *Hold) {
	if hold.turn == nil {
		return
	}
	waiting := memory.list(hold)
	waiting.bytes -= hold.size
	waiting.holds.Remove(hold.turn)
	hold.turn = nil
	hold.leaveDoor()
}

func endAll(holds []*Hold) {
	for _, hold := range holds {
		hold.end()
	}
}
