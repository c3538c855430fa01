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
	timeout  = 2 * time.Second
	maxReply = 64 << 20 // bytes
)

// Report is what a survey of the fleet found.
type Report struct {
	Statuses []operator.Status `json:"statuses"`
	Silent   []Silent          `json:"silent"`
	Uniform  bool              `json:"uniform"` // all answering instances agree on the revision
}

// Silent is an instance that did not answer.
type Silent struct {
	Instance string         `json:"instance"`
	Address  netip.AddrPort `json:"address"`
	State    member.State   `json:"state"`
	Error    string         `json:"error"`
}

// Fleet asks one instance for its members, then each of them for its status.
func Fleet(ctx context.Context, first netip.AddrPort) (Report, error) {
	known, err := Status(ctx, first)
	if err != nil {
		return Report{}, err
	}
	var report Report
	var mutex sync.Mutex
	var asking sync.WaitGroup
	for _, member := range known.Members {
		asking.Go(func() {
			status, err := Status(ctx, member.Caller)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				report.Silent = append(report.Silent, Silent{member.Name, member.Caller, member.State, err.Error()})
				return
			}
			report.Statuses = append(report.Statuses, status)
		})
	}
	asking.Wait()
	report.sort()
	return report, nil
}

func (report *Report) sort() {
	slices.SortFunc(report.Statuses, func(a, b operator.Status) int { return cmp.Compare(a.Instance, b.Instance) })
	slices.SortFunc(report.Silent, func(a, b Silent) int { return cmp.Compare(a.Instance, b.Instance) })
	report.Uniform = true
	for _, status := range report.Statuses {
		first := report.Statuses[0]
		if status.Revision != first.Revision || status.Digest != first.Digest {
			report.Uniform = false
		}
	}
}

// Status asks one instance.
func Status(ctx context.Context, instance netip.AddrPort) (operator.Status, error) {
	var status operator.Status
	return status, call(ctx, http.MethodGet, instance, operator.StatusPath, &status)
}

// Explain asks an instance where a request would go.
func Explain(ctx context.Context, instance netip.AddrPort, kind, key, query string) (operator.Explanation, error) {
	values := url.Values{"kind": {kind}, "key": {key}, "query": {query}}
	var explanation operator.Explanation
	return explanation, call(ctx, http.MethodGet, instance, operator.ExplainPath+"?"+values.Encode(), &explanation)
}

// Drain asks an instance to leave and stop.
func Drain(ctx context.Context, instance netip.AddrPort) error {
	return call(ctx, http.MethodPost, instance, operator.DrainPath, nil)
}

func call(ctx context.Context, method string, instance netip.AddrPort, path string, into any) error {
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("instance %v: %s", instance, strings.TrimSpace(string(data)))
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "decode reply")
	}
	return nil
}
