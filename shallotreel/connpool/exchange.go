package connpool

import "net/http"

// maxExtraResponses is the number of extra responses that are skipped on a connection.
const maxExtraResponses = 4

// exchange is what a connection remembers of the last request that was answered on it.
type exchange struct {
	id     string
	method string
}

// isExtra reports whether the response, which names the request with the ID, is another copy of the response to the exchange, after
// which the response to the call still arrives.
func (exchange exchange) isExtra(call *Call, response *http.Response, id string) bool {
	sameFraming := (exchange.method == http.MethodHead) == (call.Method == http.MethodHead) // a response to HEAD has no body
	return exchange.id != "" && exchange.id == id && sameFraming && !response.Close
}
