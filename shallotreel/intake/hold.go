package intake

import "container/list"

// Hold is the memory of one connection or request. It is safe for concurrent use.
type Hold struct {
	memory *Memory
	door   *Door // that counts the connection, nil for a request
	conn   *Conn // nil for a request, and for a connection without HTTP
	end    func()

	// The mutex of the memory guards what follows.
	size    int64 // bytes that are counted
	message int64 // part of size that is for messages
	answer  int64 // part of size that is for answers
	users   int
	ended   bool
	seen    uint64        // clock of the memory when it has got on last
	turn    *list.Element // in the list of the memory, nil while it must not be ended
	place   *list.Element // in the list of the door
}

// Grow counts so many bytes more. The error is ErrExhausted if there is no room for them, or if the hold has ended.
func (hold *Hold) Grow(use Use, size int) error {
	memory := hold.memory
	memory.mutex.Lock()
	victims, err := memory.grow(hold, use, int64(size))
	memory.mutex.Unlock()
	endAll(victims)
	return err
}

// Count counts so many bytes more, whether there is room for them or not.
func (hold *Hold) Count(use Use, size int) {
	hold.memory.mutex.Lock()
	defer hold.memory.mutex.Unlock()
	if !hold.ended {
		hold.memory.add(hold, use, int64(size))
	}
}

// Shrink ends the count of so many bytes.
func (hold *Hold) Shrink(use Use, size int) {
	hold.memory.mutex.Lock()
	defer hold.memory.mutex.Unlock()
	if !hold.ended {
		hold.memory.add(hold, use, -int64(size))
	}
}

// Retain adds a user.
func (hold *Hold) Retain() {
	hold.memory.mutex.Lock()
	defer hold.memory.mutex.Unlock()
	hold.users++
}

// Release ends one use of the hold, and all its counts with the last one.
func (hold *Hold) Release() {
	hold.memory.mutex.Lock()
	defer hold.memory.mutex.Unlock()
	if hold.users--; hold.users == 0 {
		hold.memory.close(hold)
	}
}

// Wait lets the memory end the hold, which waits for somebody else. It does nothing to a hold without an end.
func (hold *Hold) Wait() {
	hold.memory.mutex.Lock()
	defer hold.memory.mutex.Unlock()
	if !hold.ended && hold.turn == nil && hold.end != nil {
		hold.memory.enlist(hold)
	}
}

// Busy keeps the memory from ending the hold. It reports false if it has ended already.
func (hold *Hold) Busy() bool {
	hold.memory.mutex.Lock()
	defer hold.memory.mutex.Unlock()
	hold.memory.delist(hold)
	return !hold.ended
}

// Touch notes that a hold that waits has got on.
func (hold *Hold) Touch() {
	hold.memory.mutex.Lock()
	defer hold.memory.mutex.Unlock()
	if hold.turn != nil {
		hold.memory.delist(hold)
		hold.memory.enlist(hold)
	}
}

// take moves the count of so many bytes of the other hold to this one.
func (hold *Hold) take(other *Hold, use Use, size int) {
	hold.memory.mutex.Lock()
	defer hold.memory.mutex.Unlock()
	hold.memory.move(hold, other, use, int64(size))
}

// takeAnswers moves the count of all answers of the other hold to this one, and returns their size in bytes.
func (hold *Hold) takeAnswers(other *Hold) int {
	hold.memory.mutex.Lock()
	defer hold.memory.mutex.Unlock()
	size := other.answer
	hold.memory.move(hold, other, Answer, size)
	return int(size)
}

// longBytes returns the size of the messages of the hold, or 0 if they are short.
func (hold *Hold) longBytes() int64 {
	if hold.message <= ShortBytes {
		return 0
	}
	return hold.message
}

func (hold *Hold) leaveDoor() {
	if hold.place != nil {
		hold.door.waiting.Remove(hold.place)
		hold.place = nil
	}
}
