package peerrpc

import "github.com/go-faster/errors"

const (
	// maxMessageBytes is the limit of one message. The longest ones hold the body of a request, or the whole catalogue.
	maxMessageBytes = 40 << 20
	// maxShortLength is the greatest length that encoding/gob encodes in one byte, without a byte that counts those of the length.
	maxShortLength = 0x7f
)

// errTooLong is the error of a message that is longer than maxMessageBytes.
var errTooLong = errors.New("the message of the peer is too long")

// messageLimiter follows the lengths of messages in a stream of encoding/gob, which itself reads messages of several gigabytes. The zero
// value is at the beginning of a stream.
type messageLimiter struct {
	left   uint64 // bytes of the message that are still to come
	size   uint64 // of the message
	length uint64 // as far as its bytes have come
	digits int    // bytes of the length that are still to come
}

// check returns errTooLong if a message that begins in the bytes, which are the next ones of the stream, is too long.
func (messageLimiter *messageLimiter) check(data []byte) error {
	for len(data) > 0 {
		if messageLimiter.left > 0 {
			skipped := min(messageLimiter.left, uint64(len(data)))
			messageLimiter.left -= skipped
			data = data[skipped:]
			continue
		}
		messageLimiter.addToLength(data[0])
		data = data[1:]
		if messageLimiter.left > maxMessageBytes || messageLimiter.length > maxMessageBytes {
			return errTooLong
		}
	}
	return nil
}

// addToLength adds a byte of the length of the next message.
func (messageLimiter *messageLimiter) addToLength(digit byte) {
	switch {
	case messageLimiter.digits > 0:
		messageLimiter.length = messageLimiter.length<<8 | uint64(digit)
		messageLimiter.digits--
	case digit <= maxShortLength:
		messageLimiter.length = uint64(digit)
	default:
		messageLimiter.length, messageLimiter.digits = 0, -int(int8(digit))
	}
	if messageLimiter.digits == 0 {
		messageLimiter.left, messageLimiter.size, messageLimiter.length = messageLimiter.length, messageLimiter.length, 0
	}
}

// pending returns the length of the message that is not complete, or 0 if there is none.
func (messageLimiter *messageLimiter) pending() int {
	if messageLimiter.left == 0 {
		return 0
	}
	return int(messageLimiter.size)
}
