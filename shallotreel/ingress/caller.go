package ingress

import (
	"net/http"
	"time"

	"shallotreel.example/reel/query"
	"shallotreel.example/shallotreel/intake"
)

const (
	// unusedBodyWait is how long the server reads the rest of a body that is not used, before it answers.
	unusedBodyWait = 50 * time.Millisecond
)

// caller is who waits for the answer to a request.
type caller struct {
	http.ResponseWriter
	conn      *intake.Conn // nil if the request came through no door
	sendsBody bool         // whether there is a body that was not read to its end
}

// newCaller returns the caller of a request.
func newCaller(writer http.ResponseWriter, request *http.Request) *caller {
	return &caller{ResponseWriter: writer, conn: intake.ConnOf(request.Context()), sendsBody: request.ContentLength != 0}
}

// write writes the status and body of the answer. Errors only show that the caller has disconnected.
func (caller *caller) write(status int, body []byte) {
	caller.WriteHeader(status)
	_, _ = caller.Write(body)
}

// prepare makes the connection end after the answer if there is no memory, so that the next request comes to another instance, or if a
// body that is not used does not arrive soon.
func (caller *caller) prepare(finish *query.Finish) {
	if finish.Reason == reasonMemory {
		caller.Header().Set("Connection", "close")
	}
	if caller.sendsBody {
		caller.conn.LimitRead(time.Now().Add(unusedBodyWait))
	}
}
