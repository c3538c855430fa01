package intake

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// connectionBytes is the memory of a connection: its goroutine and buffers, and the first bytes of a head.
const connectionBytes = 12 << 10

// Door bounds the connections at one address, by their number and by the memory of the process. When there is no room for a new one,
// it closes the one that has waited longest for its caller; while there is none, it closes the new one unread, so that its caller may
// try elsewhere.
type Door struct {
	memory  *Memory
	most    int
	refused atomic.Uint64
	maxHead atomic.Int64

	// The mutex of the memory guards what follows.
	open    int
	waiting list.List // of *Hold
}

// Door returns a door for so many connections.
func (memory *Memory) Door(most int) *Door {
	door := &Door{memory: memory, most: most}
	door.maxHead.Store(MaxHeadBytes)
	return door
}

// Open returns the number of open connections.
func (door *Door) Open() int {
	door.memory.mutex.Lock()
	defer door.memory.mutex.Unlock()
	return door.open
}

// Refused returns how many new connections were closed unread, and how many heads were too long.
func (door *Door) Refused() uint64 { return door.refused.Load() }

// Enter returns the hold of a new connection, which waits, or false if there is no room. The memory calls end, which must not block, to close
// the connection.
func (door *Door) Enter(end func()) (*Hold, bool) {
	memory := door.memory
	memory.mutex.Lock()
	hold, victims := door.enter(end)
	memory.mutex.Unlock()
	endAll(victims)
	if hold == nil {
		door.refused.Add(1)
	}
	return hold, hold != nil
}

func (door *Door) enter(end func()) (hold *Hold, victims []*Hold) {
	hold = &Hold{memory: door.memory, door: door, end: end, users: 1}
	if door.open >= door.most {
		oldest := front(&door.waiting)
		if oldest == nil {
			return nil, nil
		}
		door.memory.evict(oldest)
		victims = append(victims, oldest)
	}
	more, err := door.memory.grow(hold, Work, connectionBytes)
	victims = append(victims, more...)
	if err != nil {
		return nil, victims
	}
	door.open++
	door.memory.enlist(hold)
	return hold, victims
}

// Listener returns a listener for an HTTP server, whose connections pass the door. The server must use the Follow, Context and Handler of
// the door.
func (door *Door) Listener(listener net.Listener) net.Listener {
	return doorListener{listener, door}
}

type doorListener struct {
	net.Listener
	door *Door
}

// Accept implements net.Listener.
func (listener doorListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: accepted, door: listener.door}
		hold, ok := listener.door.Enter(conn.end)
		if !ok {
			accepted.Close()
			continue
		}
		conn.hold, conn.head = hold, NewHead(hold, Message)
		conn.phase.Store(inHead)
		return conn, nil
	}
}

// Follow is the server's ConnState function.
func (door *Door) Follow(accepted net.Conn, state http.ConnState) {
	conn, ok := accepted.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive: // the head is complete
		conn.phase.Store(inRequest)
		conn.hold.Busy()
	case http.StateIdle:
		conn.head.Reset()
		_ = conn.SetWriteDeadline(time.Time{}) // fails only if the connection has ended
		conn.phase.Store(inHead)
		conn.hold.Wait()
	case http.StateClosed, http.StateHijacked:
		conn.hold.Release()
	}
}

type connKey struct{}

// Context is the server's ConnContext function.
func (door *Door) Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Handler returns a handler that drops the requests whose connections were closed before their heads were complete, and passes on the
// others.
func (door *Door) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if conn := ConnOf(request.Context()); conn != nil && !conn.hold.Busy() {
			panic(http.ErrAbortHandler) // ends the request without an answer and without a log line
		}
		next.ServeHTTP(writer, request)
	})
}

// SetMaxHead sets the limit of heads in bytes, 0 for MaxHeadBytes.
func (door *Door) SetMaxHead(size int) {
	if size <= 0 {
		size = MaxHeadBytes
	}
	door.maxHead.Store(int64(size))
}
