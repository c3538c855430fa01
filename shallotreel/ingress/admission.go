package ingress

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"shallotreel.example/reel/admit"
	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/query"
	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/linelimit"
)

const (
	// goalPerWait divides the latency goal; the result is the longest time for which a request waits for admission.
	goalPerWait = 10
	// refusalLinesPerSecond limits the log lines about refused requests.
	refusalLinesPerSecond = 20
	// groupTTL is the time without requests after which a group is deleted.
	groupTTL = 5 * time.Minute
)

// Admission decides which requests start. Requests to the same set of services are one group. It is safe for concurrent use.
type Admission struct {
	log    logrus.FieldLogger
	scope  tally.Scope
	lines  *linelimit.Limiter
	mutex  sync.Mutex
	random *rand.Rand
	groups map[string]*group       // by key
	keys   map[string]scatteredKey // by name of a scatter-gather route
}

// scatteredKey is the key of a scatter-gather route while it has the shards.
type scatteredKey struct {
	shards []string
	key    string
}

// NewAdmission returns an admission without evidence of overload, which admits all requests.
func NewAdmission(log logrus.FieldLogger, scope tally.Scope, random *rand.Rand) *Admission {
	return &Admission{log: log, scope: scope, lines: linelimit.New(refusalLinesPerSecond), random: random,
		groups: map[string]*group{}, keys: map[string]scatteredKey{}}
}

// Option changes a new Handler.
type Option func(*Handler)

// WithAdmission makes the handler use the admission, which writes log lines and metrics, instead of a silent one.
func WithAdmission(admission *Admission) Option {
	return func(handler *Handler) { handler.admission = admission }
}

// silentAdmission returns an admission that writes no log lines or metrics.
func silentAdmission() *Admission {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewAdmission(log, tally.NoopScope, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// Overloaded reports whether requests of the group of the route are being refused because of overload. A weighted route is in the
// groups of all of its services.
func (admission *Admission) Overloaded(now time.Time, route *catalogue.Route) bool {
	if len(route.Weighted) == 0 {
		return admission.overloaded(now, route, route.ServiceNames())
	}
	return slices.ContainsFunc(route.Weighted, func(weight catalogue.Weight) bool {
		return admission.overloaded(now, route, []string{weight.Service})
	})
}

func (admission *Admission) overloaded(now time.Time, route *catalogue.Route, services []string) bool {
	admission.mutex.Lock()
	group := admission.groups[admission.key(route, services)]
	admission.mutex.Unlock()
	return group != nil && group.isRefusing(now)
}

// key returns the key of the group of a request. The caller must hold the lock.
func (admission *Admission) key(route *catalogue.Route, services []string) string {
	if len(services) == 1 {
		return services[0]
	}
	known, ok := admission.keys[route.Name]
	if !ok || !slices.Equal(known.shards, services) {
		sorted := slices.Sorted(slices.Values(services))
		known = scatteredKey{slices.Clone(services), strings.Join(sorted, "\n")}
		admission.keys[route.Name] = known
	}
	return known.key
}

// group returns the group of a request, created if necessary.
func (admission *Admission) group(now time.Time, route *catalogue.Route, services []string) *group {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	key := admission.key(route, services)
	found := admission.groups[key]
	if found == nil {
		random := rand.New(rand.NewPCG(admission.random.Uint64(), admission.random.Uint64()))
		found = newGroup(services, random, admission)
		admission.groups[key] = found
	}
	found.usedAt = now
	return found
}

// admit waits until the request may start; it returns the end of a request that is refused. After nil, the caller must call leave.
func (run *run) admit(ctx context.Context) *query.Finish {
	if len(run.plan.Services) == 0 {
		return nil
	}
	now := time.Now()
	route := run.plan.Route
	group := run.handler.admission.group(now, route, run.plan.Services)
	decision := group.acquire(ctx, now, route, admit.Request{Kind: route.Name, Weight: 1, Rank: route.Priority,
		Deadline: run.plan.Deadline, MaxWait: max(route.Goal/goalPerWait, time.Millisecond), Key: run.plan.Fingerprint.String()})
	switch decision.Code {
	case result.OK:
		run.ticket = &ticket{group: group, route: route, admittedAt: time.Now(), loaded: map[string]bool{}}
		return nil
	case result.Canceled:
		return &query.Finish{Code: result.Canceled, Reason: reasonDisconnected}
	}
	run.handler.admission.logRefusal(time.Now(), run.record.ID, route, group, decision)
	return &query.Finish{Code: decision.Code, Reason: decision.Reason, RetryAfter: decision.RetryAfter}
}

// leave records the end of an admitted request.
func (run *run) leave(finish *query.Finish) {
	if run.ticket == nil {
		return
	}
	now := time.Now()
	var gaps []query.Gap
	isServed := finish.Code == result.OK || finish.Code == result.Partial || finish.Code == result.Relayed
	if !isServed {
		gaps = run.machine.Gaps(now)
	}
	evidence := run.ticket.evidence(gaps)
	evidence.Failed, evidence.Took = !isServed, now.Sub(run.start)
	signal := evidence.Signal()
	if finish.Code == result.Canceled && evidence.Took <= evidence.Goal || run.record.HandedOver != "" {
		signal = admit.Neutral
	}
	run.ticket.group.release(now, run.ticket, signal)
}

// logRefusal writes a line about a refused request, with what the refusal was based on.
func (admission *Admission) logRefusal(now time.Time, request string, route *catalogue.Route, group *group, decision admit.Decision) {
	if !admission.lines.Allow(now) {
		return
	}
	load := group.load(now)
	admission.log.WithFields(logrus.Fields{"request": request, "route": route.Name, "rank": route.Priority, "group": load.Service,
		"services": load.Services, "limit": load.Limit, "in_flight": load.InFlight, "evidence": load.Evidence,
		"evidence_age_ms": load.EvidenceAge.Milliseconds(), "why": decision.Reason,
		"retry_after_ms": decision.RetryAfter.Milliseconds()}).Info("request refused")
}

// Sweep deletes the groups that were not used for long, and updates the gauges.
func (admission *Admission) Sweep(now time.Time) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	for key, group := range admission.groups {
		if now.Sub(group.usedAt) >= groupTTL {
			delete(admission.groups, key)
			continue
		}
		group.updateGauges(now)
	}
	for name, known := range admission.keys {
		if admission.groups[known.key] == nil {
			delete(admission.keys, name)
		}
	}
}
