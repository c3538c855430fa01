package survey

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"

	"shallotreel.example/reel/operator"
	"shallotreel.example/reelctl/client"
)

// Report is the status of a fleet, with both lists ordered by instance.
type Report struct {
	Statuses    []operator.Status    `json:"statuses"`
	Unreachable []client.Unreachable `json:"silent"`
	Uniform     bool                 `json:"uniform"` // whether all instances that answered have the same revision and digest
}

// Fleet requests the member list from one instance and then the status from each member concurrently. It returns an
// error only if the first instance does not answer; other failures are recorded in the report.
func Fleet(ctx context.Context, first netip.AddrPort) (Report, error) {
	initial, err := Status(ctx, first)
	if err != nil {
		return Report{}, err
	}
	var members []client.Member
	for _, member := range initial.Members {
		members = append(members, client.Member{Instance: member.Name, Address: member.Caller, State: member.State})
	}
	var report Report
	report.Statuses, report.Unreachable = client.GetAll[operator.Status](ctx, members, operator.StatusPath)
	report.Uniform = isUniform(report.Statuses)
	return report, nil
}

// isUniform reports whether all instances have the same revision and digest.
func isUniform(statuses []operator.Status) bool {
	for _, status := range statuses {
		if status.Revision != statuses[0].Revision || status.Digest != statuses[0].Digest {
			return false
		}
	}
	return true
}

// Status requests the status of one instance.
func Status(ctx context.Context, instance netip.AddrPort) (operator.Status, error) {
	var status operator.Status
	return status, client.Call(ctx, http.MethodGet, instance, operator.StatusPath, &status)
}

// Explain asks an instance to which targets it would send a request of the kind, key and query.
func Explain(ctx context.Context, instance netip.AddrPort, kind, key, query string) (operator.Explanation, error) {
	values := url.Values{"kind": {kind}, "key": {key}, "query": {query}}
	var explanation operator.Explanation
	return explanation, client.Call(ctx, http.MethodGet, instance, operator.ExplainPath+"?"+values.Encode(), &explanation)
}

// Drain asks an instance to leave the fleet and stop. It returns before the instance has stopped.
func Drain(ctx context.Context, instance netip.AddrPort) error {
	return client.Call(ctx, http.MethodPost, instance, operator.DrainPath, nil)
}
