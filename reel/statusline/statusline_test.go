package statusline

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// TestCheck guards against status lines that are none and that net/http accepts, such as a status of 000 that is passed on to a caller.
func TestCheck(t *testing.T) {
	for _, test := range []struct {
		line  string
		valid bool
	}{
		{"HTTP/1.1 200 OK", true},
		{"HTTP/1.0 200 OK", true},
		{"HTTP/1.1 200", true},
		{"HTTP/1.1 200 ", true},
		{"HTTP/1.1 100 Continue", true},
		{"HTTP/1.1 199 ", true},
		{"HTTP/1.1 299 Unknown", true},
		{"HTTP/1.1 599 Unknown", true},
		{"HTTP/1.1 101 Switching Protocols", false},
		{"HTTP/1.1 000 ", false},
		{"HTTP/1.1 000", false},
		{"HTTP/1.1 -00 ", false},
		{"HTTP/1.1 +20 OK", false},
		{"HTTP/1.1 001 ", false},
		{"HTTP/1.1 099 ", false},
		{"HTTP/1.1 600 ", false},
		{"HTTP/1.1 999 ", false},
		{"HTTP/0.9 200 OK", false},
		{"HTTP/1.2 200 OK", false},
		{"HTTP/2.0 200 OK", false},
		{"HTTP/9.9 200 OK", false},
		{"HTTP/0.0 200 OK", false},
	} {
		t.Run(test.line, func(t *testing.T) {
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(test.line+"\r\nContent-Length: 0\r\n\r\n")), nil)
			if err != nil {
				if test.valid {
					t.Fatalf("net/http does not read it: %v", err)
				}
				return
			}
			if err := Check(response); (err == nil) != test.valid || err != nil && !errors.Is(err, ErrInvalid) {
				t.Errorf("error %v, want valid: %t", err, test.valid)
			}
		})
	}
}
