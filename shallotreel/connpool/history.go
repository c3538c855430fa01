package connpool

import "slices"

// History holds the connections on which attempts of one request were sent. No other attempt of the request is sent on them: a target
// may send a second copy of a response late, and all attempts have the same ID, so that the copy would count as the response to the
// later attempt. The zero value is empty; the mutex of the pool guards it.
type History struct {
	connections []*connection
}

func (history *History) contains(connection *connection) bool {
	return history != nil && slices.Contains(history.connections, connection)
}

func (history *History) add(connection *connection) {
	if history != nil {
		history.connections = append(history.connections, connection)
	}
}
