package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// NewPost returns a POST of the body in JSON. It has neither GetBody nor an idempotency header, so that the HTTP transport
// never sends it twice. The error says whether the body or the request is invalid.
func NewPost(ctx context.Context, url string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.ContentLength = int64(len(data))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
