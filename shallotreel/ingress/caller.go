package ingress

import (
	"net/http"
	"time"

	"shallotreel.example/reel/query"
	"shallotreel.example/shallotreel/intake"
)

const (
	// readGrace is the time after the deadline of a request within which its caller must have read the answer.
	readGrace = time.Second
	// refusalGrace is the same after the start of a request without a deadline.
	refusalGrace = 5 * time.Second
	// unusedBodyWait is how long the server reads the rest of a body that is not used, before it answers.
	unusedBodyWait = 250 * time.Millisecond
)

// caller is who waits for the answer to a request.
type caller struct {
	http.ResponseWriter
	conn      *intake.Conn // nil if the request came through no door
	hold      *intake.Hold // of the request
	readBy    time.Time    // when the caller must have read the answer
	sendsBody bool         // whether there is a body that was not read to its end
}

// newCaller returns the caller of a request without a deadline.
func newCaller(writer http.ResponseWriter, request *http.Request, hold *intake.Hold) *caller {
	return &caller{ResponseWriter: writer, conn: intake.ConnOf(request.Context()), hold: hold, readBy: time.Now().Add(refusalGrace),
		sendsBody: request.ContentLength != 0}
}

// write writes the status and body of the answer. Errors only show that the caller has disconnected or reads no answer.
func (caller *caller) write(status int, body []byte) {
	caller.WriteHeader(status)
	_ = caller.conn.WriteAnswer(caller.hold, caller, body, caller.readBy)
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
