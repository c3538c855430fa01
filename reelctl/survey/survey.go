package survey

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/member"
	"shallotreel.example/reel/operator"
)

const (
	timeout       = 2 * time.Second // of one request
	maxReplyBytes = 64 << 20
)

// Report is the status of a fleet, with both lists ordered by instance.
type Report struct {
	Statuses    []operator.Status `json:"statuses"`
	Unreachable []Unreachable     `json:"silent"`
	Uniform     bool              `json:"uniform"` // whether all instances that answered have the same revision and digest
}

// Unreachable is an instance that did not answer.
type Unreachable struct {
	Instance string         `json:"instance"`
	Address  netip.AddrPort `json:"address"`
	State    member.State   `json:"state"`
	Error    string         `json:"error"`
}

// Fleet requests the member list from one instance and then the status from each member concurrently. It returns an
// error only if the first instance does not answer; other failures are recorded in the report.
func Fleet(ctx context.Context, first netip.AddrPort) (Report, error) {
	initial, err := Status(ctx, first)
	if err != nil {
		return Report{}, err
	}
	var report Report
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, member := range initial.Members {
		group.Go(func() {
			status, err := Status(ctx, member.Caller)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				report.Unreachable = append(report.Unreachable, Unreachable{member.Name, member.Caller, member.State, err.Error()})
				return
			}
			report.Statuses = append(report.Statuses, status)
		})
	}
	group.Wait()
	report.sort()
	return report, nil
}

func (report *Report) sort() {
	slices.SortFunc(report.Statuses, func(a, b operator.Status) int { return cmp.Compare(a.Instance, b.Instance) })
	slices.SortFunc(report.Unreachable, func(a, b Unreachable) int { return cmp.Compare(a.Instance, b.Instance) })
	report.Uniform = true
	for _, status := range report.Statuses {
		first := report.Statuses[0]
		if status.Revision != first.Revision || status.Digest != first.Digest {
			report.Uniform = false
		}
	}
}

// Status requests the status of one instance.
func Status(ctx context.Context, instance netip.AddrPort) (operator.Status, error) {
	var status operator.Status
	return status, call(ctx, http.MethodGet, instance, operator.StatusPath, &status)
}

// Explain asks an instance to which targets it would send a request of the kind, key and query.
func Explain(ctx context.Context, instance netip.AddrPort, kind, key, query string) (operator.Explanation, error) {
	values := url.Values{"kind": {kind}, "key": {key}, "query": {query}}
	var explanation operator.Explanation
	return explanation, call(ctx, http.MethodGet, instance, operator.ExplainPath+"?"+values.Encode(), &explanation)
}

// Drain asks an instance to leave the fleet and stop. It returns before the instance has stopped.
func Drain(ctx context.Context, instance netip.AddrPort) error {
	return call(ctx, http.MethodPost, instance, operator.DrainPath, nil)
}

// call sends one request to an instance and decodes the JSON reply into the value unless it is nil. A status of 400 or
// above is an error with the text of the reply.
func call(ctx context.Context, method string, instance netip.AddrPort, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+instance.String()+path, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
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
