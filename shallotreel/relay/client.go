package relay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/helper"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/query"
)

// minLeft is the least time in which a helper can do anything for a request.
const minLeft = 2 * time.Millisecond

// Attempt is the attempt to serve a request by way of one helper, for the log.
type Attempt struct {
	Helper string        `json:"helper"`
	Took   time.Duration `json:"took"`
	Cause  string        `json:"cause,omitempty"` // why the helper gave no answer
	// Spent is what was spent on the request when the attempt had ended, as far as the helper told.
	Spent query.Spending `json:"spent,omitempty"`
}

// Outcome is what became of a request that was handed over.
type Outcome struct {
	Reply    Reply          // of the last helper, if Answered is set
	Answered bool           // whether a helper served the request, with success or not
	Unknown  bool           // whether a helper may have sent the request to a target, and gave no answer
	Attempts []Attempt      // none if no instance can help
	Spent    query.Spending // that of the request, with what the helpers have told
}

// Client hands requests over to other instances. It is safe for concurrent use.
type Client struct {
	mutex    sync.Mutex
	selector *helper.Selector
	links    map[netip.AddrPort]*link
	opening  map[netip.AddrPort]chan struct{} // closed when the attempt to open a link has ended
	ask      Ask
}

// Ask has a helper serve the request and returns its reply; ErrNotSent if the helper has got nothing, or another error if it may
// have sent the request to targets.
type Ask func(ctx context.Context, peer netip.AddrPort, request Request) (Reply, error)

// Option changes a new Client.
type Option func(*Client)

// WithAsk makes the client ask helpers with the function instead of net/rpc.
func WithAsk(ask Ask) Option {
	return func(client *Client) { client.ask = ask }
}

// NewClient returns a client for the instance, which knows no helper yet.
func NewClient(self member.Member, options ...Option) *Client {
	client := &Client{selector: helper.New(self), links: map[netip.AddrPort]*link{}, opening: map[netip.AddrPort]chan struct{}{}}
	client.ask = client.askOverLink
	for _, option := range options {
		option(client)
	}
	return client
}

// SetMembers sets the members of the fleet, among which the helpers are selected. The caller must not modify the slice.
func (client *Client) SetMembers(members []member.Member) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.selector.SetMembers(members)
}

// Serve has the request served by a helper. It asks the next one only if the one before has certainly sent nothing, or has lost its
// own path and told what it has sent, of a request that may be repeated.
func (client *Client) Serve(ctx context.Context, request Request) Outcome {
	outcome := Outcome{Spent: request.Spent}
	var tried []string
	deadline := time.Now().Add(request.Left)
	goal := time.Now().Add(request.GoalLeft)
	for {
		now := time.Now()
		request.Left, request.GoalLeft = deadline.Sub(now), goal.Sub(now)
		chosen, ok := client.begin(now, tried)
		if !ok || request.Left < minLeft {
			return outcome
		}
		tried = append(tried, chosen.Name)
		reply, err := client.askHelper(ctx, chosen, request)
		outcome.Spent = outcome.Spent.Merge(reply.Spent)
		attempt := Attempt{Helper: chosen.Name, Took: time.Since(now), Cause: reply.Refusal, Spent: outcome.Spent}
		if err != nil {
			attempt.Cause = err.Error()
		}
		outcome.Attempts = append(outcome.Attempts, attempt)
		switch {
		case errors.Is(err, ErrNotSent), err == nil && reply.Refusal != "":
			continue
		case err != nil:
			outcome.Unknown, outcome.Answered = true, false
			return outcome
		}
		outcome.Reply, outcome.Answered = reply, true
		repeatable := !request.Once && reply.Repeatable
		if !reply.PathLost || !repeatable && outcome.Spent.Total() > 0 {
			return outcome
		}
		request.Spent, request.Counted = outcome.Spent, true
	}
}

// begin selects the helper of a request.
func (client *Client) begin(now time.Time, tried []string) (helper.Helper, bool) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.selector.Begin(now, tried)
}

// askHelper sends the request to the helper, and waits until the request's time is over.
func (client *Client) askHelper(ctx context.Context, chosen helper.Helper, request Request) (Reply, error) {
	limited, cancel := context.WithTimeout(ctx, request.Left)
	defer cancel()
	reply, err := client.ask(limited, chosen.Peer, request)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.selector.End(time.Now(), chosen.Name, err == nil && reply.Refusal == "" || limited.Err() != nil)
	return reply, err
}

func (client *Client) askOverLink(ctx context.Context, peer netip.AddrPort, request Request) (Reply, error) {
	link, err := client.link(ctx, peer)
	if err != nil {
		return Reply{}, err
	}
	return link.serve(ctx, request)
}

// link returns the link to the peer, which it opens if there is none.
func (client *Client) link(ctx context.Context, peer netip.AddrPort) (*link, error) {
	client.mutex.Lock()
	for {
		if known, ok := client.links[peer]; ok {
			select {
			case <-known.lost:
				delete(client.links, peer)
			default:
				client.mutex.Unlock()
				return known, nil
			}
		}
		opened, ok := client.opening[peer]
		if !ok {
			break
		}
		client.mutex.Unlock()
		select {
		case <-opened:
		case <-ctx.Done():
			return nil, ErrNotSent
		}
		client.mutex.Lock()
		if _, ok := client.links[peer]; !ok {
			client.mutex.Unlock()
			return nil, ErrNotSent // as the request that opened the link found out
		}
	}
	opened := make(chan struct{})
	client.opening[peer] = opened
	client.mutex.Unlock()
	link, err := openLink(peer)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	delete(client.opening, peer)
	close(opened)
	if err != nil {
		return nil, err
	}
	client.links[peer] = link
	return link, nil
}
