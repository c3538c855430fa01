package target

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/jsonhttp"
	"shallotreel.example/reel/result"
)

const (
	maxHeadSize    = 64 << 10 // bytes of a reply's status line and header
	maxReplySize   = 4 << 20  // bytes
	dialTimeout    = 500 * time.Millisecond
	idleTimeout    = 1500 * time.Millisecond // idle connections may go silent, and count against the limit of the target
	controlTimeout = 2 * time.Second         // of a cancellation or a report
)

// Client sends requests to one target over a bounded pool of keep-alive connections. It is safe for concurrent use.
type Client struct {
	base      string
	http      *http.Client
	transport *http.Transport
	dial      Dial
	dials     atomic.Int64
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes a client that NewClient returns.
type Option func(*Client)

// WithDial makes the client open its connections by the function.
func WithDial(dial Dial) Option {
	return func(client *Client) { client.dial = dial }
}

// NewClient returns a client of the target at the address that has at most the given number of connections open.
func NewClient(address netip.AddrPort, connections int, options ...Option) *Client {
	client := &Client{base: "http://" + address.String(), dial: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	for _, option := range options {
		option(client)
	}
	client.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			client.dials.Add(1)
			return client.dial(ctx, network, addr)
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadSize,
	}
	client.http = &http.Client{Transport: client.transport}
	return client
}

// Dials returns the number of connections that the client has tried to open so far.
func (client *Client) Dials() int64 {
	return client.dials.Load()
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.transport.CloseIdleConnections()
}

// Run sends one sub-request and returns the target's reply. Its errors are of type *result.Error and say whether the
// target may have run the sub-request.
func (client *Client) Run(ctx context.Context, request Request) (Reply, error) {
	var reply Reply
	if err := client.post(ctx, RunPath, request, &reply); err != nil {
		return Reply{}, classifyRunError(err)
	}
	if reply.Attempt != request.Attempt {
		return Reply{}, &result.Error{Code: result.Mismatch, Ran: result.RanUnknown,
			Detail: "the reply has the id of another attempt"}
	}
	return reply, nil
}

// Cancel requests the target to cancel the attempt. It returns an error if the target does not confirm this within
// controlTimeout.
func (client *Client) Cancel(ctx context.Context, attempt Attempt) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var reply Report
	return client.post(ctx, CancelPath, CancelRequest{attempt}, &reply)
}

// Report returns the state and load that the target reports. It returns an error if the target does not respond within
// controlTimeout.
func (client *Client) Report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var report Report
	err := client.post(ctx, ReportPath, struct{}{}, &report)
	return report, err
}

// post sends the body in JSON once and decodes the response into reply.
func (client *Client) post(ctx context.Context, path string, body, reply any) error {
	request, err := jsonhttp.NewPost(ctx, client.base+path, body)
	if err != nil {
		return err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplySize))
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	if err := json.Unmarshal(content, reply); err != nil {
		return errors.Wrap(err, "decode reply")
	}
	return nil
}

// classifyRunError converts a transport error to a *result.Error. Only a failed dial proves that the target did not run
// the sub-request.
func classifyRunError(err error) *result.Error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return &result.Error{Code: result.ConnectRefused, Ran: result.RanNo, Detail: err.Error()}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &result.Error{Code: result.DeadlineExceeded, Ran: result.RanUnknown, Detail: err.Error()}
	}
	return &result.Error{Code: result.Broken, Ran: result.RanUnknown, Detail: err.Error()}
}
