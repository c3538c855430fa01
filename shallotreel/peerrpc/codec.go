package peerrpc

import (
	"bufio"
	"encoding/gob"
	"net/rpc"

	"github.com/go-faster/errors"
)

// serverCodec reads calls and writes replies as the codec of net/rpc does, but reads no further call while too many are in progress.
type serverCodec struct {
	conn    *peerConn
	calls   *calls
	running int // calls of this connection, guarded by calls
	decoder *gob.Decoder
	encoder *gob.Encoder
	writer  *bufio.Writer // of encoder
}

func newServerCodec(conn *peerConn, calls *calls) *serverCodec {
	writer := bufio.NewWriter(conn)
	return &serverCodec{conn: conn, calls: calls, decoder: gob.NewDecoder(conn), encoder: gob.NewEncoder(writer), writer: writer}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (codec *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	if err := codec.decoder.Decode(request); err != nil {
		return err // io.EOF is known to net/rpc
	}
	codec.calls.begin(&codec.running)
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (codec *serverCodec) ReadRequestBody(body any) error { return codec.decoder.Decode(body) }

// WriteResponse implements rpc.ServerCodec, and ends a call.
func (codec *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	defer codec.calls.end(&codec.running)
	if err := codec.encoder.Encode(response); err != nil {
		return codec.fail(err)
	}
	if err := codec.encoder.Encode(body); err != nil {
		return codec.fail(err)
	}
	if err := codec.writer.Flush(); err != nil {
		return codec.fail(err)
	}
	return nil
}

// fail ends the connection, on which a part of a reply may have been sent.
func (codec *serverCodec) fail(err error) error {
	codec.conn.Close()
	return errors.Wrap(err, "write reply to peer")
}

// Close implements rpc.ServerCodec.
func (codec *serverCodec) Close() error { return codec.conn.Close() }
