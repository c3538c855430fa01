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
	dialTimeout  = 300 * time.Millisecond
	batchMost    = 256  // messages in one call
	queueMost    = 8192 // messages that wait for one peer
	callsAtOnce  = 4
	redialPeriod = 100 * time.Millisecond
)

// ErrCut is returned for a peer that the cut setting separates.
var ErrCut = errors.New("peer is cut off")

// Returner takes answers that the link itself gives for sub-requests that it could not bring.
type Returner interface {
	Return(answers []holder.Answer)
	Lost(peer netip.AddrPort)
}

// Link brings messages to one peer in batches over one connection.
type Link struct {
	address netip.AddrPort
	from    string
	back    Returner
	cut     *Cut
	wake    chan struct{}
	calls   chan struct{}
	mutex   sync.Mutex
	pending Batch
	size    int
	client  *rpc.Client
	failed  time.Time
}

func newLink(address netip.AddrPort, from string, back Returner, cut *Cut) *Link {
	return &Link{address: address, from: from, back: back, cut: cut,
		wake: make(chan struct{}, 1), calls: make(chan struct{}, callsAtOnce)}
}

// add queues messages; sub-requests that do not fit come back as not run.
func (link *Link) add(batch Batch) {
	link.mutex.Lock()
	full := link.size >= queueMost
	if !full {
		link.pending.Subs = append(link.pending.Subs, batch.Subs...)
		link.pending.Answers = append(link.pending.Answers, batch.Answers...)
		link.pending.Cancels = append(link.pending.Cancels, batch.Cancels...)
		link.size = len(link.pending.Subs) + len(link.pending.Answers) + len(link.pending.Cancels)
	}
	link.mutex.Unlock()
	if full {
		link.giveBack(batch.Subs, result.Overloaded, result.RanNo)
		return
	}
	select {
	case link.wake <- struct{}{}:
	default:
	}
}

func (link *Link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-link.wake:
		}
		for {
			batch, ok := link.take()
			if !ok {
				break
			}
			link.deliver(ctx, batch)
		}
	}
}

// take removes the next batch and drops what is past its deadline.
func (link *Link) take() (Batch, bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	batch := Batch{From: link.from}
	batch.Subs, link.pending.Subs = split(link.pending.Subs, batchMost)
	batch.Answers, link.pending.Answers = split(link.pending.Answers, batchMost)
	batch.Cancels, link.pending.Cancels = split(link.pending.Cancels, batchMost)
	link.size = len(link.pending.Subs) + len(link.pending.Answers) + len(link.pending.Cancels)
	return batch, len(batch.Subs)+len(batch.Answers)+len(batch.Cancels) > 0
}

func split[T any](items []T, most int) (first, rest []T) {
	if len(items) <= most {
		return items, nil
	}
	return items[:most], items[most:]
}

func (link *Link) deliver(ctx context.Context, batch Batch) {
	now := time.Now()
	var live, late []holder.SubRequest
	for _, sub := range batch.Subs {
		if sub.Request.Deadline.After(now) {
			live = append(live, sub)
			continue
		}
		late = append(late, sub)
	}
	batch.Subs = live
	link.giveBack(late, result.TooLate, result.RanNo)
	client, err := link.connect(ctx)
	if err != nil {
		link.giveBack(batch.Subs, result.NotHolder, result.RanNo)
		return
	}
	select {
	case link.calls <- struct{}{}:
	case <-ctx.Done():
		return
	}
	call := client.Go("Peer.Deliver", batch, &Empty{}, make(chan *rpc.Call, 1))
	go func() {
		<-call.Done
		<-link.calls
		if call.Error != nil {
			link.drop(client)
			link.giveBack(batch.Subs, result.HolderLost, result.RanUnknown)
		}
	}()
}

func (link *Link) giveBack(subs []holder.SubRequest, code result.Code, ran result.Ran) {
	answers := make([]holder.Answer, len(subs))
	for i, sub := range subs {
		answers[i] = holder.Answer{Attempt: sub.Request.Attempt, Target: sub.Target, Code: code, Ran: ran}
	}
	if len(answers) > 0 {
		link.back.Return(answers)
	}
}

// connect returns the open connection or makes one; after a failure it waits before the next try.
func (link *Link) connect(ctx context.Context) (*rpc.Client, error) {
	link.mutex.Lock()
	client, failed := link.client, link.failed
	link.mutex.Unlock()
	if link.cut.Separates(link.address) {
		return nil, ErrCut
	}
	if client != nil {
		return client, nil
	}
	if time.Since(failed) < redialPeriod {
		return nil, errors.New("peer did not accept a connection")
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", link.address.String())
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if err != nil {
		link.failed = time.Now()
		return nil, errors.Wrap(err, "connect to peer")
	}
	if link.client != nil {
		conn.Close()
		return link.client, nil
	}
	link.client = rpc.NewClient(conn)
	hold := link.client.Go("Peer.Hold", Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	go link.watch(link.client, hold)
	return link.client, nil
}

// watch notices the end of the connection and reports it.
func (link *Link) watch(client *rpc.Client, hold *rpc.Call) {
	<-hold.Done
	link.drop(client)
	link.back.Lost(link.address)
}

func (link *Link) drop(client *rpc.Client) {
	link.mutex.Lock()
	if link.client == client {
		link.client = nil
	}
	link.mutex.Unlock()
	client.Close()
}

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

// Network holds the links to all peers.
type Network struct {
	ctx   context.Context
	from  string
	back  Returner
	cut   *Cut
	mutex sync.Mutex
	links map[netip.AddrPort]*Link
}

// NewNetwork returns the links of the named instance, which live as long as the context.
func NewNetwork(ctx context.Context, from string, back Returner, cut *Cut) *Network {
	return &Network{ctx: ctx, from: from, back: back, cut: cut, links: map[netip.AddrPort]*Link{}}
}

// Deliver queues a batch for the peer.
func (network *Network) Deliver(peer netip.AddrPort, batch Batch) {
	network.link(peer).add(batch)
}

// Status asks a holder for the status of targets.
func (network *Network) Status(ctx context.Context, peer netip.AddrPort, targets []string) ([]holder.Status, error) {
	var reply StatusReply
	err := network.link(peer).call(ctx, "Status", StatusRequest{targets}, &reply)
	return reply.Statuses, err
}

// Pull asks a peer for what this instance lacks.
func (network *Network) Pull(ctx context.Context, peer netip.AddrPort, request fleet.PullRequest) (fleet.PullReply, error) {
	var reply fleet.PullReply
	err := network.link(peer).call(ctx, "Pull", request, &reply)
	return reply, err
}

// Record forwards a request to the owner of its ticket.
func (network *Network) Record(ctx context.Context, peer netip.AddrPort, request caller.Request) (caller.Answer, error) {
	var reply caller.Answer
	err := network.link(peer).call(ctx, "Record", request, &reply)
	return reply, err
}

func (network *Network) link(peer netip.AddrPort) *Link {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	link, ok := network.links[peer]
	if !ok {
		link = newLink(peer, network.from, network.back, network.cut)
		network.links[peer] = link
		go link.run(network.ctx)
	}
	return link
}
