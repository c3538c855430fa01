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

// ErrUnsupported is returned by Client.Evacuations if the peer is of a build that does not know evacuations.
var ErrUnsupported = errors.New("the peer does not know evacuations")

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

// EvacuationReply contains what a peer knows of evacuations.
type EvacuationReply struct {
	Evacuations catalogue.EvacuationDelta
	Age         time.Duration // time since the store's state was last read
}

// Source answers queries from the catalogue of this instance.
type Source interface {
	Since(query Query) Reply
	Evacuations() EvacuationReply
}

// Service is the net/rpc service that peers call.
type Service struct{ source Source }

// Since answers a query. The error is always nil.
func (service *Service) Since(query Query, reply *Reply) error {
	*reply = service.source.Since(query)
	return nil
}

// Evacuations returns what this instance knows of evacuations; the query has no content. The error is always nil.
func (service *Service) Evacuations(_ bool, reply *EvacuationReply) error {
	*reply = service.source.Evacuations()
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
	var reply Reply
	if err := client.call(peer, "Copies.Since", query, &reply, timeout, query.Hold+timeout); err != nil {
		return Reply{}, err
	}
	return reply, nil
}

// Evacuations asks the peer what it knows of evacuations. The error is ErrUnsupported if it is of a build that does not know them.
func (client *Client) Evacuations(peer netip.AddrPort, timeout time.Duration) (EvacuationReply, error) {
	var reply EvacuationReply
	err := client.call(peer, "Copies.Evacuations", true, &reply, timeout, timeout)
	var refused rpc.ServerError // such as that there is no such method
	switch {
	case errors.As(err, &refused):
		return EvacuationReply{}, ErrUnsupported
	case err != nil:
		return EvacuationReply{}, err // a late answer may still be decoded into reply
	}
	return reply, nil
}

// call calls the method of the peer. It waits at most dialTimeout for a connection, and then at most timeout for the reply.
func (client *Client) call(peer netip.AddrPort, method string, query, reply any, dialTimeout, timeout time.Duration) error {
	if client.client != nil && client.peer != peer {
		client.Close()
	}
	if client.client == nil {
		connected, err := peerrpc.Dial(peer, dialTimeout, dialTimeout)
		if err != nil {
			return err
		}
		client.peer, client.client = peer, connected
	}
	call := client.client.Go(method, query, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
	case <-timer.C:
		client.Close()
		return ErrTimeout
	}
	if call.Error != nil {
		client.Close()
		return errors.Wrap(call.Error, "query peer")
	}
	return nil
}

// Close closes the connection, if one is open.
func (client *Client) Close() {
	if client.client != nil {
		client.client.Close()
		client.client = nil
	}
}
