package cataloguesync

import (
	"context"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/cursor"
	"shallotreel.example/shallotreel/peerrpc"
)

// ErrTimeout is returned by Client.Fetch if the peer does not answer in time.
var ErrTimeout = errors.New("the peer did not answer in time")

// Query requests the changes to a peer's catalogue after a serial number.
type Query struct {
	Process uint64 // incarnation of the peer that issued Serial; 0 requests the whole catalogue
	Serial  uint64
	Hold    time.Duration // how long the peer may wait for a change before it answers
	Leaving []Leaving     // targets whose answers said so since the last query
}

// Leaving identifies a process of a target that said in an answer that it leaves.
type Leaving struct {
	ID   string
	Born int64 // start of the process in milliseconds since the Unix epoch
}

// Reply contains the changes to the catalogue and the age of the peer's data.
type Reply struct {
	Process uint64
	Whole   bool // whether Delta contains all targets
	Delta   catalogue.Delta
	Age     time.Duration // time since the store's state was last read
	Era     uint64        // of the store at that time
	Store   uint64        // revision of the store at that time
}

// Position returns the state of the store that the catalogue reflects.
func (reply Reply) Position() cursor.Position {
	return cursor.Position{Era: reply.Era, Revision: reply.Store}
}

// Source answers queries from the catalogue of this instance.
type Source interface{ Since(query Query) Reply }

// Service is the net/rpc service that peers call.
type Service struct{ source Source }

// Since answers a query. The error is always nil.
func (service *Service) Since(query Query, reply *Reply) error {
	*reply = service.source.Since(query)
	return nil
}

// NewService returns the net/rpc service that answers queries from the source.
func NewService(source Source) peerrpc.Service {
	return peerrpc.Service{Name: "Copies", New: func(context.Context) any { return &Service{source} }}
}

// Client queries one peer at a time and reuses the connection to it. Its zero value is
// ready to use. It is not safe for concurrent use.
type Client struct {
	peer   netip.AddrPort
	client *rpc.Client
}

// Fetch sends the query to the peer. It waits at most timeout for a connection, and then
// at most query.Hold plus timeout for the reply, after which it returns ErrTimeout. After
// an error, the next call opens a new connection.
func (client *Client) Fetch(peer netip.AddrPort, query Query, timeout time.Duration) (Reply, error) {
	if client.client != nil && client.peer != peer {
		client.Close()
	}
	if client.client == nil {
		connected, err := peerrpc.Dial(peer, timeout, timeout)
		if err != nil {
			return Reply{}, err
		}
		client.peer, client.client = peer, connected
	}
	var reply Reply
	call := client.client.Go("Copies.Since", query, &reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(query.Hold + timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
	case <-timer.C:
		client.Close()
		return Reply{}, ErrTimeout
	}
	if call.Error != nil {
		client.Close()
		return Reply{}, errors.Wrap(call.Error, "query peer")
	}
	return reply, nil
}

// Close closes the connection, if one is open.
func (client *Client) Close() {
	if client.client != nil {
		client.client.Close()
		client.client = nil
	}
}
