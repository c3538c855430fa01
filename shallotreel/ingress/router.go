package ingress

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/choice"
	"shallotreel.example/reel/extra"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/softdeadline"
	"shallotreel.example/reel/warmup"
	"shallotreel.example/reel/workingset"
	"shallotreel.example/shallotreel/connpool"
)

// Catalogue provides the newest view of routes and targets.
type Catalogue interface{ View() *catalogue.View }

// Router selects targets and limits extra attempts for all requests of the process. It is safe for concurrent use.
type Router struct {
	catalogue      Catalogue
	pool           *connpool.Pool
	limits         extra.Limits
	mutex          sync.Mutex
	selector       *choice.Selector
	budgets        map[string]*extra.Budget // by service
	rotations      map[string]*rotation     // by route
	estimator      *softdeadline.Estimator
	lastAttemptID  uint64
	onHealthChange func(choice.HealthChange) // called without the lock when the estimated health of a target or service changes
	home           member.Member             // name and data centre of this instance
	slack          extra.Shares
	idle           bool   // whether this instance is outside the working set
	evacuations    uint64 // serial of the evacuations at the last choice
	senders        *warmup.Senders
	members        []warmup.Member      // as last passed to SetMembers
	lost           []warmup.Member      // as last passed to SetLost
	overload       Overload             // nil if nothing knows of overload
	answeredAt     map[string]time.Time // newest answer of a target, by route
}

// NewRouter returns a router without traffic statistics for the instance home. It calls
// onHealthChange for each change in the estimated health of a target or service.
func NewRouter(catalogue Catalogue, pool *connpool.Pool, limits extra.Limits, home member.Member, random *rand.Rand, onHealthChange func(choice.HealthChange)) *Router {
	router := &Router{catalogue: catalogue, pool: pool, limits: limits, selector: choice.New(random), onHealthChange: onHealthChange,
		budgets: map[string]*extra.Budget{}, rotations: map[string]*rotation{}, estimator: softdeadline.New(), home: home,
		answeredAt: map[string]time.Time{}}
	router.senders = warmup.NewSenders(warmup.Member{Name: home.Name, DataCentre: home.DataCentre})
	router.selector.SetSenders(router.senders)
	router.selector.SetFleet(choice.Fleet{Name: home.Name, DataCentre: home.DataCentre, Instances: map[string]int{home.DataCentre: 1}, Total: 1,
		Members: []choice.FleetMember{{Name: home.Name, DataCentre: home.DataCentre}}})
	return router
}

// SetMembers sets the instances that share the targets. Those outside the working sets get few requests, from callers that
// keep old addresses, and a small share of the connections.
func (router *Router) SetMembers(members []member.Member) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	fleet := choice.Fleet{Name: router.home.Name, DataCentre: router.home.DataCentre, Instances: map[string]int{}}
	sets := workingset.All(members)
	for _, member := range members {
		if !member.State.Reachable() {
			continue
		}
		idle := member.State.Serves() && !workingset.Contains(sets[member.DataCentre], member.Name)
		fleet.Members = append(fleet.Members, choice.FleetMember{Name: member.Name, DataCentre: member.DataCentre, Idle: idle})
		if idle {
			fleet.Idle = fleet.Idle || member.Name == router.home.Name
			fleet.Spare++
			continue
		}
		fleet.Instances[member.DataCentre]++
		fleet.Total++
	}
	router.idle = fleet.Idle
	working := workingset.ExpectedSize(members)
	router.slack.SetInstances(working, len(members)-working)
	router.selector.SetFleet(fleet)
	router.members = sendersOf(members, sets)
	router.updateSenders(time.Now())
}

// Choose picks a target of the service that has free capacity for the request with the history and was not tried; it reports false if
// there is none.
func (router *Router) Choose(now time.Time, route *catalogue.Route, service string, tried []string, history *connpool.History) (choice.Pick, bool) {
	view := router.catalogue.View()
	router.mutex.Lock()
	defer router.unlockAndNotify()
	router.selector.SetReturns(view)
	router.noteEvacuations(view)
	hasCapacity := func(target catalogue.Target) bool { return router.pool.CanStart(now, target.Address, history) }
	return router.selector.Choose(now, route, view.Targets(service), view.Configuration.Services[service], tried, hasCapacity)
}

// HasTargets reports whether any target is registered for the service, with or without free capacity.
func (router *Router) HasTargets(service string) bool {
	return len(router.catalogue.View().Targets(service)) > 0
}

// QuietFor returns for how long all targets of the service take no request from this instance, as they asked, or 0 if any
// takes one.
func (router *Router) QuietFor(now time.Time, service string) time.Duration {
	view := router.catalogue.View()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.noteEvacuations(view)
	return router.selector.QuietFor(now, view.Targets(service))
}

// noteEvacuations has the shares of this instance computed anew if other data centres are evacuated than at the last choice. The
// caller must hold the lock.
func (router *Router) noteEvacuations(view *catalogue.View) {
	if serial := view.EvacuationSerial(); serial != router.evacuations {
		router.evacuations = serial
		router.selector.CandidatesChanged()
	}
}

// Saturated reports whether most recent requests to the service found no target with free capacity in time, and for
// how long this has been so.
func (router *Router) Saturated(now time.Time, service string) (time.Duration, bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.selector.ServiceSaturated(now, service)
}

// RecordWait records that a request got a target of the service, or that it timed out waiting for one.
func (router *Router) RecordWait(now time.Time, service string, timedOut bool) {
	router.mutex.Lock()
	defer router.unlockAndNotify()
	router.selector.RecordWait(now, service, timedOut)
}

// CountRequest counts a request to the service, which raises the budget for extra attempts.
func (router *Router) CountRequest(now time.Time, service string) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.budget(now, service).CountRequest(now)
}

// SpendExtra reports whether this instance's budget for the service allows an extra attempt, and counts it if so.
func (router *Router) SpendExtra(now time.Time, service string, purpose extra.Purpose) bool {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.budget(now, service).Spend(now, purpose, router.slack.Of(router.idle))
}

// LatencyQuantile returns the latency below which the given share of the route's answers arrives, or a third of the
// route's latency goal while it is unknown.
func (router *Router) LatencyQuantile(route *catalogue.Route, quantile float64) time.Duration {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.selector.LatencyQuantile(route.Name, quantile, route.Goal/3)
}

// suspicionTimeout returns the time without an answer after which a target is suspected.
func (router *Router) suspicionTimeout(route *catalogue.Route) time.Duration {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.selector.SuspicionTimeout(route)
}

// SetLimits changes the limits on extra attempts.
func (router *Router) SetLimits(limits extra.Limits) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if limits == router.limits {
		return
	}
	router.limits = limits
	for _, budget := range router.budgets {
		budget.SetLimits(limits)
	}
}

// NextAttemptID returns a new id for an attempt, unique within the process.
func (router *Router) NextAttemptID() uint64 {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.lastAttemptID++
	return router.lastAttemptID
}

// softDeadline returns the last moment to send an answer that meets the route's latency goal, for a caller that waits
// for the time left.
func (router *Router) softDeadline(now time.Time, route *catalogue.Route, left time.Duration) time.Time {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.estimator.SoftDeadline(now, route.Goal, router.estimator.Elapsed(route.Name, left))
}

// ForgetFailures ends what was believed of targets while none could be reached.
func (router *Router) ForgetFailures() {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.selector.ForgetFailures()
}

// InFlight returns the number of attempts in flight at targets of the data centre.
func (router *Router) InFlight(dataCentre string) int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.selector.InFlight(dataCentre)
}

// recordSent records an attempt that is about to be sent.
func (router *Router) recordSent(now time.Time, target string, attempt choice.Attempt) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.selector.RecordSent(now, target, attempt)
}

// recordEnd records the end of an attempt and what its target reported with it.
func (router *Router) recordEnd(now time.Time, target catalogue.Target, attemptID uint64, outcome choice.Outcome, report choice.Report) {
	router.mutex.Lock()
	defer router.unlockAndNotify()
	router.selector.RecordEnd(now, target, attemptID, outcome, report)
}

// unlockAndNotify releases the lock and then passes the health changes that the selector has collected to
// onHealthChange.
func (router *Router) unlockAndNotify() {
	changes := router.selector.TakeHealthChanges()
	router.mutex.Unlock()
	for _, change := range changes {
		router.onHealthChange(change)
	}
}

// Sweep removes the statistics of targets that were not used for long, except evacuated ones, which return.
func (router *Router) Sweep(now time.Time) {
	view := router.catalogue.View()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	for target := range view.EvacuatedTargets() {
		router.selector.Keep(now, target.ID)
	}
	router.selector.Sweep(now)
}

// SelectServices returns the services that a request of the route goes to. A weighted route selects one of its services
// by weighted round robin.
func (router *Router) SelectServices(route *catalogue.Route) []string {
	if len(route.Weighted) == 0 {
		return route.ServiceNames()
	}
	router.mutex.Lock()
	defer router.mutex.Unlock()
	current, ok := router.rotations[route.Name]
	if !ok || !slices.Equal(current.weights, route.Weighted) {
		current = newRotation(route.Weighted)
		router.rotations[route.Name] = current
	}
	return []string{current.next()}
}

// budget returns the budget of the service and creates it if needed. The caller must hold the lock.
func (router *Router) budget(now time.Time, service string) *extra.Budget {
	budget, ok := router.budgets[service]
	if !ok {
		budget = extra.NewBudget(now, router.limits)
		router.budgets[service] = budget
	}
	return budget
}

// rotation selects the services of a route by smooth weighted round robin, which spreads the requests to each service
// evenly over any stretch of the sequence.
type rotation struct {
	weights []catalogue.Weight
	credits []float64 // by index in weights
	total   float64   // sum of the positive weights
}

// newRotation returns a rotation with no credit for any service.
func newRotation(weights []catalogue.Weight) *rotation {
	rotation := &rotation{weights: weights, credits: make([]float64, len(weights))}
	for _, weight := range weights {
		rotation.total += max(weight.Weight, 0)
	}
	return rotation
}

// next returns the service of the next request.
func (rotation *rotation) next() string {
	best := 0
	for i, weight := range rotation.weights {
		rotation.credits[i] += max(weight.Weight, 0)
		if cmp.Compare(rotation.credits[i], rotation.credits[best]) > 0 {
			best = i
		}
	}
	rotation.credits[best] -= rotation.total
	return rotation.weights[best].Service
}
