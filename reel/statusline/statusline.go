package statusline

import (
	"net/http"

	"github.com/go-faster/errors"
)

// ErrInvalid is the error of a response whose status line is none.
var ErrInvalid = errors.New("invalid status line")

// Check returns an error that wraps ErrInvalid unless the response, as net/http has read it, has the status line of an interim or final
// response of HTTP/1.0 or HTTP/1.1.
func Check(response *http.Response) error {
	if response.ProtoMajor != 1 || response.ProtoMinor > 1 {
		return errors.Wrapf(ErrInvalid, "version %q", response.Proto)
	}
	if !beginsWithStatus(response.Status) || !IsInterim(response.StatusCode) && !IsFinal(response.StatusCode) {
		return errors.Wrapf(ErrInvalid, "status %q", response.Status)
	}
	return nil
}

// beginsWithStatus reports whether the text begins with three digits, without a sign.
func beginsWithStatus(text string) bool {
	if len(text) < 3 {
		return false
	}
	for _, character := range []byte(text[:3]) {
		if character < '0' || character > '9' {
			return false
		}
	}
	return true
}

// IsInterim reports whether a final response follows one with the status. 101, which ends HTTP on the connection, is none: no request asks
// for another protocol.
func IsInterim(status int) bool {
	return status >= 100 && status <= 199 && status != http.StatusSwitchingProtocols
}

// IsFinal reports whether a response with the status is the answer to its request.
func IsFinal(status int) bool { return status >= 200 && status <= 599 }
