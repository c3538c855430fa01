package peers

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/fleet"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/result"
)

const (
	dialTimeout        = 300 * time.Millisecond
	maxBatchMessages   = 256                    // limit for each of the three kinds of messages in one call
	maxQueuedMessages  = 8192                   // per peer; a queue of this length rejects new batches
	maxConcurrentCalls = 4                      // concurrent calls of Peer.Deliver, per peer
	redialDelay        = 100 * time.Millisecond // after a failed dial
)

// ErrPartitioned is returned for calls to a peer that a simulated network partition blocks.
var ErrPartitioned = errors.New("peer is blocked by a simulated network partition")

// FailureHandler handles the failures of links.
type FailureHandler interface {
	// HandleFailures handles the answers that a link generates for sub-requests that it did not deliver, or whose
	// delivery it cannot confirm.
	HandleFailures(answers []holder.Answer)
	// HandleDisconnect is called when the connection to the peer has ended.
	HandleDisconnect(peer netip.AddrPort)
}

// Link sends messages to one peer in batches over one connection.
type Link struct {
	address      netip.AddrPort
	sender       string
	failures     FailureHandler
	partition    *Partition
	wake         chan struct{}
	callSlots    chan struct{}
	mutex        sync.Mutex
	pending      Batch
	pendingCount int
	client       *rpc.Client
	dialFailedAt time.Time
}

func newLink(address netip.AddrPort, sender string, failures FailureHandler, partition *Partition) *Link {
	return &Link{address: address, sender: sender, failures: failures, partition: partition,
		wake: make(chan struct{}, 1), callSlots: make(chan struct{}, maxConcurrentCalls)}
}

// enqueue appends the messages to the queue. If the queue is full, it drops the whole batch and fails the sub-requests
// with result.Overloaded, as not run.
func (link *Link) enqueue(batch Batch) {
	link.mutex.Lock()
	full := link.pendingCount >= maxQueuedMessages
	if !full {
		link.pending.Subs = append(link.pending.Subs, batch.Subs...)
		link.pending.Answers = append(link.pending.Answers, batch.Answers...)
		link.pending.Cancels = append(link.pending.Cancels, batch.Cancels...)
		link.pendingCount = len(link.pending.Subs) + len(link.pending.Answers) + len(link.pending.Cancels)
	}
	link.mutex.Unlock()
	if full {
		link.fail(batch.Subs, result.Overloaded, result.RanNo)
		return
	}
	select {
	case link.wake <- struct{}{}:
	default:
	}
}

// run sends the queued messages until the context ends.
func (link *Link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-link.wake:
		}
		for {
			batch, ok := link.nextBatch()
			if !ok {
				break
			}
			link.send(ctx, batch)
		}
	}
}

// nextBatch removes the next batch from the queue. It returns false if the queue is empty.
func (link *Link) nextBatch() (Batch, bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	batch := Batch{From: link.sender}
	batch.Subs, link.pending.Subs = split(link.pending.Subs, maxBatchMessages)
	batch.Answers, link.pending.Answers = split(link.pending.Answers, maxBatchMessages)
	batch.Cancels, link.pending.Cancels = split(link.pending.Cancels, maxBatchMessages)
	link.pendingCount = len(link.pending.Subs) + len(link.pending.Answers) + len(link.pending.Cancels)
	return batch, len(batch.Subs)+len(batch.Answers)+len(batch.Cancels) > 0
}

func split[T any](items []T, limit int) (first, rest []T) {
	if len(items) <= limit {
		return items, nil
	}
	return items[:limit], items[limit:]
}

// send starts the call that delivers the batch, and waits if maxConcurrentCalls calls are in flight. It fails the
// sub-requests past their deadline and, if there is no connection, all of them; these did not run. If the call fails,
// it is unknown whether the sub-requests ran.
func (link *Link) send(ctx context.Context, batch Batch) {
	now := time.Now()
	var live, expired []holder.SubRequest
	for _, sub := range batch.Subs {
		if sub.Request.Deadline.After(now) {
			live = append(live, sub)
			continue
		}
		expired = append(expired, sub)
	}
	batch.Subs = live
	link.fail(expired, result.TooLate, result.RanNo)
	client, err := link.connect(ctx)
	if err != nil {
		link.fail(batch.Subs, result.NotHolder, result.RanNo)
		return
	}
	select {
	case link.callSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	call := client.Go("Peer.Deliver", batch, &Empty{}, make(chan *rpc.Call, 1))
	go func() {
		<-call.Done
		<-link.callSlots
		if call.Error != nil {
			link.disconnect(client)
			link.fail(batch.Subs, result.HolderLost, result.RanUnknown)
		}
	}()
}

// fail passes an answer with the code to the failure handler for each sub-request.
func (link *Link) fail(subs []holder.SubRequest, code result.Code, ran result.Ran) {
	answers := make([]holder.Answer, len(subs))
	for i, sub := range subs {
		answers[i] = holder.Answer{Attempt: sub.Request.Attempt, Target: sub.Target, Code: code, Ran: ran}
	}
	if len(answers) > 0 {
		link.failures.HandleFailures(answers)
	}
}

// connect returns the open connection or dials the peer. For redialDelay after a failed dial it returns an error
// without dialing.
func (link *Link) connect(ctx context.Context) (*rpc.Client, error) {
	link.mutex.Lock()
	client, dialFailedAt := link.client, link.dialFailedAt
	link.mutex.Unlock()
	if link.partition.Blocks(link.address) {
		return nil, ErrPartitioned
	}
	if client != nil {
		return client, nil
	}
	if time.Since(dialFailedAt) < redialDelay {
		return nil, errors.New("last dial of the peer failed; waiting before the next one")
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", link.address.String())
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if err != nil {
		link.dialFailedAt = time.Now()
		return nil, errors.Wrap(err, "connect to peer")
	}
	if link.client != nil {
		conn.Close()
		return link.client, nil
	}
	link.client = rpc.NewClient(conn)
	hold := link.client.Go("Peer.Hold", Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	go link.watchConnection(link.client, hold)
	return link.client, nil
}

// watchConnection waits until the connection ends, which ends the pending call of Peer.Hold, and reports it to the
// failure handler.
func (link *Link) watchConnection(client *rpc.Client, hold *rpc.Call) {
	<-hold.Done
	link.disconnect(client)
	link.failures.HandleDisconnect(link.address)
}

// disconnect closes the client, so that the next call of connect dials again.
func (link *Link) disconnect(client *rpc.Client) {
	link.mutex.Lock()
	if link.client == client {
		link.client = nil
	}
	link.mutex.Unlock()
	client.Close()
}

// call calls a method of the peer and waits for the reply or the end of the context.
func (link *Link) call(ctx context.Context, method string, request, reply any) error {
	client, err := link.connect(ctx)
	if err != nil {
		return err
	}
	call := client.Go("Peer."+method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-call.Done:
		return call.Error
	}
}

// Network manages the links to all peers. It is safe for concurrent use.
type Network struct {
	ctx       context.Context
	sender    string
	failures  FailureHandler
	partition *Partition
	mutex     sync.Mutex
	links     map[netip.AddrPort]*Link
}

// NewNetwork returns a Network that sends messages in the name of the sender, which is this instance, and stops sending
// batches when the context ends.
func NewNetwork(ctx context.Context, sender string, failures FailureHandler, partition *Partition) *Network {
	return &Network{ctx: ctx, sender: sender, failures: failures, partition: partition, links: map[netip.AddrPort]*Link{}}
}

// Deliver queues a batch for the peer. Failures of its sub-requests are passed to the failure handler; answers and
// cancellations that cannot be delivered are dropped.
func (network *Network) Deliver(peer netip.AddrPort, batch Batch) {
	network.link(peer).enqueue(batch)
}

// Status returns the status of the targets as the peer that holds them reports it. Its errors and those of Pull and
// Record are ErrPartitioned, the error of the context, or an error of the connection or the call.
func (network *Network) Status(ctx context.Context, peer netip.AddrPort, targets []string) ([]holder.Status, error) {
	var reply StatusReply
	err := network.link(peer).call(ctx, "Status", StatusRequest{targets}, &reply)
	return reply.Statuses, err
}

// Pull requests from the peer the updates that this instance has not received.
func (network *Network) Pull(ctx context.Context, peer netip.AddrPort, request fleet.PullRequest) (fleet.PullReply, error) {
	var reply fleet.PullReply
	err := network.link(peer).call(ctx, "Pull", request, &reply)
	return reply, err
}

// Record forwards a record request to the peer that issued its ticket.
func (network *Network) Record(ctx context.Context, peer netip.AddrPort, request caller.Request) (caller.Answer, error) {
	var reply caller.Answer
	err := network.link(peer).call(ctx, "Record", request, &reply)
	return reply, err
}

// link returns the link to the peer and starts it on first use.
func (network *Network) link(peer netip.AddrPort) *Link {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	link, ok := network.links[peer]
	if !ok {
		link = newLink(peer, network.sender, network.failures, network.partition)
		network.links[peer] = link
		go link.run(network.ctx)
	}
	return link
}
