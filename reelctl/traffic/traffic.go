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

// Take requests the member list from the instance with the metrics address first, and then the status from each member
// concurrently. It returns an error only if the first instance does not answer.
func Take(ctx context.Context, first netip.AddrPort) (Survey, error) {
	var initial operator.FrontStatus
	if err := client.Call(ctx, http.MethodGet, first, operator.StatusPath, &initial); err != nil {
		return Survey{}, errors.Wrapf(err, "field instance: value %v: give the metrics address of a running instance", first)
	}
	var members []client.Member
	for _, member := range initial.Members {
		members = append(members, client.Member{Instance: member.Name, Address: member.Metrics, State: member.State})
	}
	var survey Survey
	survey.Statuses, survey.Unreachable = client.GetAll[operator.FrontStatus](ctx, members, operator.StatusPath)
	return survey, nil
}
