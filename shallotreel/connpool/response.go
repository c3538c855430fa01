package connpool

import (
	"cmp"
	"net/http"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/statusline"
	"shallotreel.example/shallotreel/intake"
)

// maxInterimResponses is the number of interim responses that are read before a final one.
const maxInterimResponses = 8

// errForeignResponse is the error of a call that got the response to another request.
var errForeignResponse = errors.New("the response names another request")

// errTooManyInterim is the error of a call whose target sends more interim responses than allowed.
var errTooManyInterim = errors.New("too many interim responses")

// readOwnResponse reads the response that names the request of the call, and skips extra ones to the request before it. The error is
// errForeignResponse for any other response.
func (connection *connection) readOwnResponse(call *Call) (*http.Response, []byte, error) {
	for {
		response, body, err := connection.readResponse(call)
		if err != nil {
			connection.limiter.release() // the call ends before the connection
			return nil, nil, err
		}
		id := call.EchoedID(response.Header)
		if id == call.ID {
			return response, body, nil
		}
		if connection.extras == maxExtraResponses || !connection.last.isExtra(call, response, id) {
			return nil, nil, errForeignResponse
		}
		connection.extras++
		connection.pool.extras.Add(1)
	}
}

// readResponse reads a complete response and skips the interim ones before it.
func (connection *connection) readResponse(call *Call) (*http.Response, []byte, error) {
	connection.limiter.beginHead()
	response, err := connection.readFinalHead(call)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read response header")
	}
	connection.limiter.beginBody()
	body, err := connection.readBody(call, response)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read response body")
	}
	connection.limiter.beginHead() // also for bytes that arrive without a request
	return response, body, nil
}

// readBody reads the whole body of the response to the call.
func (connection *connection) readBody(call *Call, response *http.Response) ([]byte, error) {
	limit := cmp.Or(call.MaxBody, defaultMaxBody)
	if response.ContentLength > limit {
		return nil, intake.ErrTooLong
	}
	if response.ContentLength >= 0 {
		limit = response.ContentLength
	}
	if call.Hold != nil {
		return intake.ReadAll(call.Hold, intake.Answer, response.Body, limit)
	}
	body, err := intake.ReadAll(connection.hold, intake.Answer, response.Body, limit)
	connection.hold.Shrink(intake.Answer, len(body))
	return body, err
}

// readFinalHead reads heads of responses until one is not interim. The error wraps statusline.ErrInvalid if one of them is none.
func (connection *connection) readFinalHead(call *Call) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		response, err := http.ReadResponse(connection.reader, &http.Request{Method: call.Method})
		if err != nil {
			return nil, err
		}
		if err := statusline.Check(response); err != nil {
			return nil, err
		}
		if !statusline.IsInterim(response.StatusCode) {
			return response, nil
		}
	}
	return nil, errTooManyInterim
}
