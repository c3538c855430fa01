package client

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/member"
)

const (
	timeout       = 2 * time.Second // of one call
	maxReplyBytes = 64 << 20
	maxCalls      = 100 // at the same time, each with one connection
)

// httpClient keeps no connection after its call, so that a survey of a large fleet has no more than maxCalls open.
var httpClient = newHTTPClient()

func newHTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport}
}

// Call sends one request to an instance and decodes the JSON reply into the value unless it is nil. A status of 400 or
// above is an error with the text of the reply.
func Call(ctx context.Context, method string, instance netip.AddrPort, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+instance.String()+path, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("instance %v: %s", instance, strings.TrimSpace(string(data)))
	}
	if value == nil {
		return nil
	}
	if err := json.Unmarshal(data, value); err != nil {
		return errors.Wrap(err, "decode reply")
	}
	return nil
}

// Member is an instance to call, and its state as the instance that named it knows it.
type Member struct {
	Instance string         `json:"instance"`
	Address  netip.AddrPort `json:"address"`
	State    member.State   `json:"state"`
}

// Unreachable is an instance that did not answer.
type Unreachable struct {
	Member
	Error string `json:"error"`
}

// GetAll requests the path from the members concurrently. It returns the decoded replies and the members that did not
// answer, both ordered by instance.
func GetAll[Reply any](ctx context.Context, members []Member, path string) ([]Reply, []Unreachable) {
	members = slices.SortedFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	replies, failures := make([]Reply, len(members)), make([]error, len(members))
	slots := make(chan struct{}, maxCalls)
	var group sync.WaitGroup
	for i, member := range members {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			failures[i] = Call(ctx, http.MethodGet, member.Address, path, &replies[i])
		})
	}
	group.Wait()
	var answered []Reply
	var unreachable []Unreachable
	for i, err := range failures {
		if err != nil {
			unreachable = append(unreachable, Unreachable{members[i], err.Error()})
			continue
		}
		answered = append(answered, replies[i])
	}
	return answered, unreachable
}
