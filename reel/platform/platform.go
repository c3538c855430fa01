package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/go-faster/errors"
)

// Names of the values that the platform publishes.
const (
	DocumentKey  = "document"
	InstancesKey = "instances"
	TargetsKey   = "targets/" // followed by the source's name
)

const (
	maxValueSize  = 1 << 20 // bytes
	requestMargin = 2 * time.Second
)

// Value is one published value with the service's version of it.
type Value struct {
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Instance is one entry instance as the platform lists it.
type Instance struct {
	Name       string         `json:"name"`
	Caller     netip.AddrPort `json:"caller_address"`
	Peer       netip.AddrPort `json:"peer_address"`
	DataCentre string         `json:"data_centre"`
	Leaving    bool           `json:"leaving,omitempty"`
}

// Client reads and watches values over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at the address.
func NewClient(address netip.AddrPort) *Client {
	return &Client{base: "http://" + address.String(), http: &http.Client{}}
}

// Watch returns the value once its version differs from the one given, or unchanged after wait.
func (client *Client) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+requestMargin)
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

// Read returns the value at once.
func (client *Client) Read(ctx context.Context, key string) (Value, error) {
	return client.Watch(ctx, key, 0, 0)
}
