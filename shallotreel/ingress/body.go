package ingress

import (
	"net/http"
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
	// maxPendingBodies is the limit of all request bodies in bytes that are not complete yet.
	maxPendingBodies = 32 << 20
	// bodiesRetryAfter is the Retry-After of a request that is refused because of that limit.
	bodiesRetryAfter = time.Second

	reasonBodies = "too many bytes of incomplete requests are held"
)

// PendingBytes returns the size of all request bodies that are not complete yet, in bytes.
func (handler *Handler) PendingBytes() int64 { return handler.bodies.Held() }

// readBody reads the body of the request, up to the limit of the configuration. It returns the refusal of a request whose body cannot be
// read.
func (handler *Handler) readBody(writer http.ResponseWriter, request *http.Request, limits catalogue.Limits) ([]byte, *query.Finish) {
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
	body, err := handler.bodies.ReadAll(reader, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, intake.ErrTooLong):
		return nil, &query.Finish{Code: result.TooLarge}
	case errors.Is(err, intake.ErrExhausted):
		return nil, &query.Finish{Code: result.Overloaded, Reason: reasonBodies, RetryAfter: bodiesRetryAfter}
	case err != nil:
		return nil, &query.Finish{Code: result.BadRequest}
	}
	return body, nil
}
