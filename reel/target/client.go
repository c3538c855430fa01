package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/result"
)

const (
	maxReplySize   = 4 << 20 // bytes
	dialTimeout    = 500 * time.Millisecond
	idleTimeout    = 90 * time.Second
	controlTimeout = 2 * time.Second
)

// Client sends requests to one target over a bounded set of kept connections.
type Client struct {
	base      string
	http      *http.Client
	transport *http.Transport
	dials     atomic.Int64
}

// NewClient returns a client that opens at most the given number of connections.
func NewClient(address netip.AddrPort, connections int) *Client {
	client := &Client{base: "http://" + address.String()}
	dialer := &net.Dialer{Timeout: dialTimeout}
	client.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			client.dials.Add(1)
			return dialer.DialContext(ctx, network, addr)
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	client.http = &http.Client{Transport: client.transport}
	return client
}

// Dials returns how many connections the client has opened so far.
func (client *Client) Dials() int64 {
	return client.dials.Load()
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.transport.CloseIdleConnections()
}

// Run sends one sub-request and returns the target's reply; a failure is a *result.Error.
func (client *Client) Run(ctx context.Context, request Request) (Reply, error) {
	var reply Reply
	if err := client.post(ctx, RunPath, request, &reply); err != nil {
		return Reply{}, runError(err)
	}
	if reply.Attempt != request.Attempt {
		return Reply{}, &result.Error{Code: result.Mismatch, Ran: result.RanUnknown,
			Detail: "the target answered another attempt"}
	}
	return reply, nil
}

// Cancel asks the target to stop an attempt.
func (client *Client) Cancel(ctx context.Context, attempt Attempt) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var reply Report
	return client.post(ctx, CancelPath, CancelRequest{attempt}, &reply)
}

// Report asks the target for its state and load.
func (client *Client) Report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var report Report
	err := client.post(ctx, ReportPath, struct{}{}, &report)
	return report, err
}

// post never sets GetBody or an idempotency header, so the transport cannot send a body twice.
func (client *Client) post(ctx context.Context, path string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, client.base+path,
		io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.ContentLength = int64(len(data))
	request.Header.Set("Content-Type", "application/json")
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

func runError(err error) *result.Error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return &result.Error{Code: result.ConnectRefused, Ran: result.RanNo, Detail: err.Error()}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &result.Error{Code: result.DeadlineExceeded, Ran: result.RanUnknown, Detail: err.Error()}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return &result.Error{Code: result.Broken, Ran: result.RanUnknown, Detail: err.Error()}
	}
	return &result.Error{Code: result.Broken, Ran: result.RanUnknown, Detail: err.Error()}
}
