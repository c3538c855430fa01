package traffic

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/operator"
	"shallotreel.example/reelctl/client"
)

// Survey is the status of a fleet at one time, with both lists ordered by instance.
type Survey struct {
	Statuses    []operator.FrontStatus
	Unreachable []client.Unreachable
}

// ForEvacuations requests what EvacuationsOf summarizes from all instances that the one with the metrics address first
// knows. It returns an error only if that one does not answer.
func ForEvacuations(ctx context.Context, first netip.AddrPort) (Survey, error) {
	return take(ctx, first, operator.ListAdmission)
}

// ForLoad requests what LoadOf and LoadBetween summarize, as ForEvacuations does.
func ForLoad(ctx context.Context, first netip.AddrPort) (Survey, error) {
	return take(ctx, first, operator.ListColdTargets)
}

// take requests the member list from the first instance and then the status without the omitted list from each member
// concurrently.
func take(ctx context.Context, first netip.AddrPort, omitted string) (Survey, error) {
	var initial operator.FrontStatus
	if err := client.Call(ctx, http.MethodGet, first, operator.StatusPath, &initial); err != nil {
		return Survey{}, errors.Wrapf(err, "field instance: value %v: give the metrics address of a running instance", first)
	}
	var members []client.Member
	for _, member := range initial.Members {
		members = append(members, client.Member{Instance: member.Name, Address: member.Metrics, State: member.State})
	}
	var survey Survey
	path := operator.StatusPath + "?" + operator.OmitParameter + "=" + operator.ListMembers + "," + omitted
	survey.Statuses, survey.Unreachable = client.GetAll[operator.FrontStatus](ctx, members, path)
	return survey, nil
}
