package ingress

import (
	"encoding/binary"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"shallotreel.example/platform"
	"shallotreel.example/reel/quarantine"
)

// fingerprintOf returns a hash of what stays the same when a caller repeats a request: the method, host, path, query,
// credentials and body. Other headers are left out, since the request id, the deadline and the headers of tracing tools
// differ each time.
func fingerprintOf(request *http.Request, requestHead platform.RequestHead, body []byte) quarantine.Fingerprint {
	hash := xxhash.New()
	fields := []string{request.Method, strings.ToLower(request.Host), requestHead.RequestURI, request.Header.Get("Authorization")}
	for _, field := range fields {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field))) // separates the fields
		_, _ = hash.Write(length[:])                              // writes to a hash do not fail
		_, _ = hash.WriteString(field)
	}
	_, _ = hash.Write(body)
	return quarantine.Fingerprint(hash.Sum64())
}
