package intake

import (
	"context"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// Phases of a connection.
const (
	inIdle    = int32(iota) // the caller sends nothing
	inHead                  // the caller sends a head
	inBody                  // the caller sends a body
	inRequest               // a request is in progress
	inAnswer                // the caller reads an answer
)

const (
	headSlack         = 4 << 10 // bytes of a head beyond the limit, as net/http allows
	pieceBytes        = 64 << 10
	maxDiscardBytes   = 256 << 10
	maxDiscardTime    = 100 * time.Millisecond
	headTooLongAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

var (
	past  = time.Unix(1, 0) // a deadline that has passed
	epoch = time.Now()      // with a reading of the steady clock
)

// Conn is a connection of a caller. The server changes its state only while it does not read.
type Conn struct {
	net.Conn
	door    *Door
	hold    *Hold
	head    *Head
	phase   atomic.Int32
	refused error        // of all reads after one whose bytes may not be kept
	since   atomic.Int64 // time.Duration from epoch to when the connection became idle, or its head began
}

// ConnOf returns the connection of a request, or nil if it came through no door.
func ConnOf(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// end ends the connection so that others have room. The caller of an incomplete body gets an answer.
func (conn *Conn) end() {
	if conn.phase.Load() == inBody {
		_ = conn.SetReadDeadline(past) // fails only if the connection has ended
		return
	}
	conn.Close()
}

// Read implements io.Reader.
func (conn *Conn) Read(buffer []byte) (int, error) {
	if conn.phase.Load() > inHead {
		return conn.Conn.Read(buffer)
	}
	if conn.refused != nil {
		return 0, conn.refused
	}
	if conn.head.Bytes() >= conn.door.HeadBytes()+headSlack {
		conn.answerTooLong()
		return 0, conn.refuseHead(ErrTooLong)
	}
	size, err := conn.Conn.Read(buffer)
	if size > 0 && conn.phase.CompareAndSwap(inIdle, inHead) {
		conn.restart()
	}
	if exhausted := conn.head.Add(buffer[:size]); exhausted != nil {
		return 0, conn.refuseHead(exhausted)
	}
	return size, err
}

// answerTooLong answers a head that is too long. It reads some of the rest, since otherwise the end of the connection may overtake the answer.
// Errors show that the caller has gone.
func (conn *Conn) answerTooLong() {
	if _, err := io.WriteString(conn.Conn, headTooLongAnswer); err != nil {
		return
	}
	_ = conn.CloseWrite()
	conn.LimitRead(time.Now().Add(maxDiscardTime))
	_, _ = io.CopyN(io.Discard, conn.Conn, maxDiscardBytes)
}

// restart begins the time for which the connection waits.
func (conn *Conn) restart() { conn.since.Store(int64(time.Since(epoch))) }

// isExpired reports whether the caller has taken too long for a head, or for beginning one.
func (conn *Conn) isExpired(now time.Time, limits *Limits) bool {
	waited := now.Sub(epoch) - time.Duration(conn.since.Load())
	switch conn.phase.Load() {
	case inIdle:
		return waited > limits.IdleTimeout
	case inHead:
		return waited > limits.HeadTimeout
	default: // bounded by the deadline of the request
		return false
	}
}

// refuseHead ends the connection because of the error, which it returns for all further reads. The reader of heads looks ahead, passes over an
// error of that, and takes what it has of a line for a malformed one, which the server must not answer.
func (conn *Conn) refuseHead(err error) error {
	conn.door.refused.Add(1)
	conn.refused = err
	conn.Close()
	return err
}

// CloseWrite ends the direction to the caller, by which the server lets it read an answer that comes before the end of its request.
func (conn *Conn) CloseWrite() error {
	closer, ok := conn.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return closer.CloseWrite()
}

// LimitRead makes reads fail after the time, until the next request. The connection may be nil.
func (conn *Conn) LimitRead(until time.Time) {
	if conn != nil {
		_ = conn.SetReadDeadline(until) // fails only if the connection has ended
	}
}

// ReadBody reads the body of a request up to the deadline, and counts it for the hold of the request. Until it is complete, the memory may
// end it. The error is ErrTooLong, ErrExhausted, or os.ErrDeadlineExceeded. The connection may be nil, and the deadline may be zero for none.
func (conn *Conn) ReadBody(request *Hold, reader io.Reader, limit int64, deadline time.Time) ([]byte, error) {
	if conn == nil {
		return ReadAll(request, Message, reader, limit)
	}
	if err := conn.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	conn.phase.Store(inBody)
	conn.hold.Wait()
	body, err := ReadAll(conn.hold, Message, reader, limit)
	kept := conn.hold.Busy()
	conn.phase.Store(inRequest)
	switch {
	case !kept:
		return nil, ErrExhausted
	case err != nil:
		return nil, err
	}
	request.take(conn.hold, Message, len(body))
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return body, nil
}

// WriteAnswer writes the body of an answer, for which its caller may take until the deadline. While it writes a long one, the memory may
// end the connection, which then holds the answers of the request. The connection may be nil.
func (conn *Conn) WriteAnswer(request *Hold, writer io.Writer, body []byte, deadline time.Time) error {
	if conn == nil {
		_, err := writer.Write(body)
		return err
	}
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	if len(body) <= firstChunkBytes {
		_, err := writer.Write(body) // into the buffer of the server
		return err
	}
	size := conn.hold.takeAnswers(request)
	defer conn.hold.Shrink(Answer, size)
	conn.phase.Store(inAnswer)
	conn.hold.Wait()
	defer conn.hold.Busy()
	for piece := range slices.Chunk(body, pieceBytes) {
		if _, err := writer.Write(piece); err != nil {
			return err
		}
		conn.hold.Touch()
	}
	return nil
}
