package peerrpc

import (
	"context"
	"net"
	"sync"
	"time"

	"shallotreel.example/shallotreel/intake"
)

// peerConn is a connection that closes when the peer does not read, or sends a message that is too long. It cancels a context once the
// peer has disconnected, while calls of the peer may still run.
type peerConn struct {
	net.Conn
	writeTimeout time.Duration
	cancel       context.CancelFunc
	limiter      messageLimiter // of what the peer sends
	hold         *intake.Hold   // of an accepted connection, nil for a dialed one
	counted      int            // bytes of the message that is not complete
	mutex        sync.Mutex
	running      int // calls that keep the connection open; guarded by the mutex
}

type connKey struct{}

// KeepOpen keeps the connection of a service, which got the context, from being closed for another one until the function that it returns
// is called.
func KeepOpen(ctx context.Context) (done func()) {
	conn, ok := ctx.Value(connKey{}).(*peerConn)
	if !ok {
		return func() {}
	}
	conn.keep(1)
	return func() { conn.keep(-1) }
}

func (conn *peerConn) keep(calls int) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.running += calls
	if conn.running > 0 {
		conn.hold.Busy()
	} else {
		conn.hold.Wait()
	}
}

// Write implements io.Writer.
func (conn *peerConn) Write(data []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(conn.writeTimeout)); err != nil {
		return 0, err
	}
	size, err := conn.Conn.Write(data)
	if err != nil {
		conn.Close() // a part of a message may have been sent
	}
	return size, err
}

// Read implements io.Reader.
func (conn *peerConn) Read(buffer []byte) (int, error) {
	size, err := conn.Conn.Read(buffer)
	if refused := conn.admit(buffer[:size]); refused != nil {
		size, err = 0, refused
		conn.Close()
	}
	if err != nil {
		conn.cancel()
	}
	return size, err
}

// admit checks what was read, and counts the message that is not complete by the length that it states, for which encoding/gob may allocate
// at once. The error is errTooLong or intake.ErrExhausted.
func (conn *peerConn) admit(data []byte) error {
	if err := conn.limiter.check(data); err != nil || conn.hold == nil {
		return err
	}
	pending := conn.limiter.pending()
	switch {
	case pending > conn.counted:
		if err := conn.hold.Grow(intake.Message, pending-conn.counted); err != nil {
			return err
		}
	case pending < conn.counted:
		conn.hold.Shrink(intake.Message, conn.counted-pending)
		fallthrough
	case pending == 0:
		conn.hold.Touch()
	}
	conn.counted = pending
	return nil
}
