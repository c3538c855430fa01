package peerrpc

import "sync"

const (
	// maxCalls is the number of calls in progress of all peers, from which on a connection with minCalls or more of them has to wait. It leaves
	// room for as many requests as an instance serves for others at once, twice.
	maxCalls = 1024
	minCalls = 8
)

// calls counts the calls in progress on all connections of a server. It is safe for concurrent use.
type calls struct {
	mutex sync.Mutex
	ended *sync.Cond // of mutex
	total int
}

func newCalls() *calls {
	calls := &calls{}
	calls.ended = sync.NewCond(&calls.mutex)
	return calls
}

// begin counts a call of a connection that has so many in progress, for which it waits while there are too many.
func (calls *calls) begin(ofConnection *int) {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	for calls.total >= maxCalls && *ofConnection >= minCalls {
		calls.ended.Wait()
	}
	calls.total++
	*ofConnection++
}

// end ends the count of a call of the connection.
func (calls *calls) end(ofConnection *int) {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	calls.total--
	*ofConnection--
	calls.ended.Broadcast()
}
