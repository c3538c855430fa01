package intake

import (
	"cmp"
	"container/list"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// connectionBytes is the memory of a connection: its goroutine and buffers, and the first bytes of a head.
	connectionBytes = 12 << 10
	// receiveBufferBytes is what the system is asked to keep of a connection at most while nobody reads. It keeps about three times as much.
	receiveBufferBytes = 32 << 10

	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 2 * time.Minute
)

// Door bounds the connections at one address, by their number and by the memory of the process. When there is no room for a new one,
// it closes the one that has waited longest for its caller; while there is none, it closes the new one unread, so that its caller may
// try elsewhere.
type Door struct {
	memory  *Memory
	most    int
	refused atomic.Uint64
	limits  atomic.Pointer[Limits]

	// The mutex of the memory guards what follows.
	open    int
	waiting list.List // of *Hold
}

// Door returns a door for so many connections.
func (memory *Memory) Door(most int) *Door {
	door := &Door{memory: memory, most: most}
	door.SetLimits(Limits{})
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
		if conn, ok := listener.door.letIn(accepted); ok {
			return conn, nil
		}
		accepted.Close()
	}
}

// letIn returns a connection of a caller, or false if there is no room.
func (door *Door) letIn(accepted net.Conn) (*Conn, bool) {
	if connection, ok := accepted.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = connection.SetReadBuffer(receiveBufferBytes) // fails only if the connection has ended
	}
	conn := &Conn{Conn: accepted, door: door}
	conn.restart()
	hold, ok := door.Enter(conn.end)
	if !ok {
		return nil, false
	}
	door.memory.mutex.Lock()
	defer door.memory.mutex.Unlock()
	conn.hold, conn.head, hold.conn = hold, NewHead(hold, Message), conn
	return conn, true
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
		conn.restart()
		conn.phase.Store(inIdle)
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

// Limits bound what a caller may send, and how long it may take or stay idle. Zero values stand for defaults.
type Limits struct {
	HeadBytes   int
	HeadTimeout time.Duration // from the first byte of a head to its last one
	IdleTimeout time.Duration // without a byte
}

// SetLimits sets the limits of the connections.
func (door *Door) SetLimits(limits Limits) {
	door.limits.Store(&Limits{cmp.Or(max(limits.HeadBytes, 0), MaxHeadBytes), cmp.Or(max(limits.HeadTimeout, 0), defaultHeadTimeout),
		cmp.Or(max(limits.IdleTimeout, 0), defaultIdleTimeout)})
}

// HeadBytes returns the limit of heads in bytes.
func (door *Door) HeadBytes() int { return door.limits.Load().HeadBytes }

// Sweep closes the connections that have waited beyond the limits, whose requests have not begun.
func (door *Door) Sweep(now time.Time) {
	limits := door.limits.Load()
	memory := door.memory
	memory.mutex.Lock()
	var expired []*Hold
	for element := door.waiting.Front(); element != nil; element = element.Next() {
		if hold := element.Value.(*Hold); hold.conn != nil && hold.conn.isExpired(now, limits) {
			expired = append(expired, hold)
		}
	}
	for _, hold := range expired {
		memory.close(hold)
	}
	memory.mutex.Unlock()
	endAll(expired)
}
