package ingress

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"shallotreel.example/platform"
	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/shallotreel/intake"
)

// fingerprint returns the fingerprint of a request with the body and header; length is its length, or -1 if it is sent
// in chunks.
func fingerprint(t *testing.T, method, path, body string, length int64, header http.Header) quarantine.Fingerprint {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header, request.ContentLength = header, length
	request.RequestURI = path
	read, refusal := readBody(httptest.NewRecorder(), request, catalogue.Limits{BodyBytes: 1 << 20}, time.Time{}, intake.NewMemory(1<<20).Hold())
	if refusal != nil {
		t.Fatalf("the body is refused: %+v", refusal)
	}
	return fingerprintOf(request, platform.ParseRequestHead(request), read)
}

func TestFingerprint(t *testing.T) {
	long := strings.Repeat("weighed ", 20_000)
	base := fingerprint(t, http.MethodPost, "/x/a?q=1", long, int64(len(long)), http.Header{"Request-Id": {"one"}, "Deadline-Ms": {"900"}})
	for _, test := range []struct {
		name   string
		method string
		path   string
		body   string
		length int64
		header http.Header
		same   bool
	}{
		{"repeated under a new id with less time", http.MethodPost, "/x/a?q=1", long, int64(len(long)),
			http.Header{"Request-Id": {"two"}, "Deadline-Ms": {"300"}, "Traceparent": {"00-1"}}, true},
		{"in chunks", http.MethodPost, "/x/a?q=1", long, -1, http.Header{}, true},
		{"another method", http.MethodPut, "/x/a?q=1", long, int64(len(long)), http.Header{}, false},
		{"another query", http.MethodPost, "/x/a?q=2", long, int64(len(long)), http.Header{}, false},
		{"the last byte of the body changed", http.MethodPost, "/x/a?q=1", long[:len(long)-1] + "!", int64(len(long)), http.Header{}, false},
		{"other credentials", http.MethodPost, "/x/a?q=1", long, int64(len(long)), http.Header{"Authorization": {"other"}}, false},
		{"a byte moved from the query to the body", http.MethodPost, "/x/a?q=", "1" + long, int64(len(long)) + 1, http.Header{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := fingerprint(t, test.method, test.path, test.body, test.length, test.header); (got == base) != test.same {
				t.Errorf("the fingerprint is the same: %v, want %v", got == base, test.same)
			}
		})
	}
}
