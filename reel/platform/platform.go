package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/go-faster/errors"
)

// Keys of the values that the platform publishes.
const (
	DocumentKey  = "document"
	InstancesKey = "instances"
	TargetsKey   = "targets/" // prefix of the key of a source's partition map; the source's name follows
)

const (
	maxValueSize   = 1 << 20         // bytes
	responseMargin = 2 * time.Second // time for the response after the wait of Watch
	idleTimeout    = time.Second     // after which an idle connection is closed, since it may go silent meanwhile
)

// Value is one published value and its version.
type Value struct {
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Instance describes one instance in the platform's list of instances.
type Instance struct {
	Name       string         `json:"name"`
	Caller     netip.AddrPort `json:"caller_address"`
	Peer       netip.AddrPort `json:"peer_address"`
	DataCentre string         `json:"data_centre"`
	Leaving    bool           `json:"leaving,omitempty"`
}

// Client reads and watches values over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes a client that NewClient returns.
type Option func(*http.Transport)

// WithDial makes the client open its connections by the function.
func WithDial(dial Dial) Option {
	return func(transport *http.Transport) { transport.DialContext = dial }
}

// NewClient returns a client of the configuration service at the address.
func NewClient(address netip.AddrPort, options ...Option) *Client {
	transport := &http.Transport{IdleConnTimeout: idleTimeout}
	for _, option := range options {
		option(transport)
	}
	return &Client{base: "http://" + address.String(), http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (client *Client) Close() { client.http.CloseIdleConnections() }

// Watch returns the value of the key as soon as its version differs from the given one, or the unchanged value after
// wait. It returns an error if the request fails, also because of the context, or the response is invalid.
func (client *Client) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	query := url.Values{"key": {key}, "version": {fmt.Sprint(version)}, "wait": {wait.String()}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.base+"/v1/values?"+query.Encode(), nil)
	if err != nil {
		return Value{}, errors.Wrap(err, "build request")
	}
	response, err := client.http.Do(request)
	if err != nil {
		return Value{}, errors.Wrap(err, "watch "+key)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Value{}, errors.Errorf("watch %s: status %d", key, response.StatusCode)
	}
	var value Value
	data, err := io.ReadAll(io.LimitReader(response.Body, maxValueSize+4096))
	if err != nil {
		return Value{}, errors.Wrap(err, "read "+key)
	}
	if err := json.Unmarshal(data, &value); err != nil {
		return Value{}, errors.Wrap(err, "decode "+key)
	}
	return value, nil
}

// Read returns the value of the key without waiting. It returns the same errors as Watch.
func (client *Client) Read(ctx context.Context, key string) (Value, error) {
	return client.Watch(ctx, key, 0, 0)
}
