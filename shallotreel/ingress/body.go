package ingress

import (
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/query"
	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/intake"
)

const (
	// defaultMaxBody is the limit of a request body in bytes if the configuration sets none.
	defaultMaxBody = 1 << 20
	// requestBytes and attemptBytes are the memory of a request in progress, and of each of its attempts with its connection.
	requestBytes = 16 << 10
	attemptBytes = 8 << 10
	// memoryRetryAfter is the Retry-After of a request that is refused because there is no memory for it.
	memoryRetryAfter = time.Second

	reasonMemory     = "too much memory is held for other requests"
	reasonIncomplete = "the request is not complete at its deadline"
)

// noMemory is the end of a request for which there is no memory.
func noMemory() *query.Finish {
	return &query.Finish{Code: result.Overloaded, Reason: reasonMemory, RetryAfter: memoryRetryAfter}
}

// readBody reads the body of the request, up to the limit of the configuration and to the deadline, and counts it for the hold. It returns
// the refusal of a request whose body cannot be read.
func readBody(writer http.ResponseWriter, request *http.Request, limits catalogue.Limits, deadline time.Time, hold *intake.Hold) ([]byte, *query.Finish) {
	if request.ContentLength == 0 {
		return nil, nil
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	reader := http.MaxBytesReader(writer, request.Body, limit)
	if request.ContentLength > 0 {
		limit = min(limit, request.ContentLength)
	}
	body, err := intake.ConnOf(request.Context()).ReadBody(hold, reader, limit, deadline)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, intake.ErrTooLong):
		return nil, &query.Finish{Code: result.TooLarge}
	case errors.Is(err, intake.ErrExhausted):
		return nil, noMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &query.Finish{Code: result.TooLate, Reason: reasonIncomplete}
	case err != nil:
		return nil, &query.Finish{Code: result.BadRequest}
	}
	return body, nil
}
