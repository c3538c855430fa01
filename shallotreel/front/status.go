package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"shallotreel.example/reel/admit"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/operator"
	"shallotreel.example/shallotreel/ingress"
)

// statusSource provides what an instance knows of the fleet and what it decides about targets and requests.
type statusSource interface {
	Version() uint64 // of the configuration in force
	Evacuations() []operator.Evacuation
	ColdTargets(now time.Time) []operator.ColdTarget
	Admission() []operator.Group
	Members() []member.Member
}

// statusHandler serves the status of the instance self to operators.
type statusHandler struct {
	self    member.Member
	metrics netip.AddrPort // of this instance
	source  statusSource
	now     func() time.Time
	log     logrus.FieldLogger
}

// ServeHTTP answers with an operator.FrontStatus.
func (handler *statusHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	omitted := strings.Split(request.URL.Query().Get(operator.OmitParameter), ",")
	if err := json.NewEncoder(writer).Encode(handler.status(handler.now(), omitted)); err != nil {
		handler.log.WithError(err).Debug("cannot send the status")
	}
}

// status returns the state of the instance without the omitted lists. Lists without an element are encoded as such, not as
// null.
func (handler *statusHandler) status(now time.Time, omitted []string) operator.FrontStatus {
	status := operator.FrontStatus{
		Instance: handler.self.Name, DataCentre: handler.self.DataCentre, Time: now.UTC(), Version: handler.source.Version(),
		Evacuations: append([]operator.Evacuation{}, handler.source.Evacuations()...),
		ColdTargets: []operator.ColdTarget{}, Admission: []operator.Group{}, Members: []operator.FrontMember{},
	}
	if !slices.Contains(omitted, operator.ListColdTargets) {
		status.ColdTargets = append(status.ColdTargets, handler.source.ColdTargets(now)...)
	}
	if !slices.Contains(omitted, operator.ListAdmission) {
		status.Admission = append(status.Admission, handler.source.Admission()...)
	}
	if !slices.Contains(omitted, operator.ListMembers) {
		status.Members = append(status.Members, handler.members()...)
	}
	return status
}

func (handler *statusHandler) members() []operator.FrontMember {
	var members []operator.FrontMember
	for _, member := range handler.source.Members() {
		members = append(members, operator.FrontMember{Name: member.Name, DataCentre: member.DataCentre, State: member.State,
			Metrics: handler.metricsAddress(member)})
	}
	return members
}

// metricsAddress returns the metrics address of the member. Members do not announce it, since all instances of a deployment
// use the same port.
func (handler *statusHandler) metricsAddress(member member.Member) netip.AddrPort {
	if member.Name == handler.self.Name {
		return handler.metrics
	}
	return netip.AddrPortFrom(member.Caller.Addr(), handler.metrics.Port())
}

// operatorsHandler returns the handler of the metrics address. Metrics are served at all paths but that of the status, as
// before there was a status.
func (front *Front) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", front.reporter.HTTPHandler())
	mux.Handle("GET "+operator.StatusPath, &statusHandler{self: front.self, metrics: front.settings.Load().MetricsAddress,
		source: components{front}, now: time.Now, log: front.log})
	return mux
}

// components is the statusSource of a running instance.
type components struct{ *Front }

// Version returns the version of the configuration in force, or 0 before the first one.
func (components components) Version() uint64 {
	if configuration := components.View().Configuration; configuration != nil {
		return configuration.Version
	}
	return 0
}

// Evacuations returns the evacuated data centres, with the attempts that are still in flight there.
func (components components) Evacuations() []operator.Evacuation {
	var evacuations []operator.Evacuation
	for _, evacuation := range components.View().Evacuations() {
		evacuations = append(evacuations, operator.Evacuation{DataCentre: evacuation.DataCentre, Since: evacuation.Since.UTC(),
			RetainedUntil: evacuation.RetainedUntil, InFlight: components.router.InFlight(evacuation.DataCentre)})
	}
	return evacuations
}

// ColdTargets returns the targets that are treated as cold.
func (components components) ColdTargets(now time.Time) []operator.ColdTarget {
	var targets []operator.ColdTarget
	for _, target := range components.router.ColdTargets(now) {
		targets = append(targets, operator.ColdTarget{Target: target.ID, Service: target.Service, DataCentre: target.DataCentre,
			ColdUntil: target.Until.UTC(), Rate: target.Rate, Part: target.Part, Evidence: string(target.Evidence),
			EvidenceAge: document.Duration(target.EvidenceAge)})
	}
	return targets
}

// Admission returns the admission of each group of requests.
func (components components) Admission() []operator.Group {
	var groups []operator.Group
	for _, load := range components.handler.Load() {
		groups = append(groups, groupOf(load))
	}
	return groups
}

// groupOf converts the load of a group. Evidence that does not show congestion is left out.
func groupOf(load ingress.GroupLoad) operator.Group {
	group := operator.Group{Name: load.Service, Limit: load.Limit}
	if load.Services > 1 {
		group.Name = fmt.Sprintf("%s and %d others", load.Service, load.Services-1)
	}
	if load.Evidence == admit.Congested.String() || load.Evidence == admit.Overloaded.String() {
		group.Evidence, group.EvidenceAge = load.Evidence, document.Duration(load.EvidenceAge)
	}
	for _, rank := range load.Ranks {
		group.Ranks = append(group.Ranks, rankOf(rank))
	}
	return group
}

func rankOf(load ingress.RankLoad) operator.Rank {
	rank := operator.Rank{Rank: load.Rank, Admitted: uint64(load.Admitted), Refused: map[string]uint64{},
		InFlight: load.InFlight, Waiting: load.Waiting}
	for reason, count := range load.Refused {
		rank.Refused[reason] = uint64(count)
	}
	return rank
}

// Members returns the known instances, including this one.
func (components components) Members() []member.Member { return components.roster.Members() }
