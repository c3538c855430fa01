package door

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
	"shallotreel.example/reel/patience"
	"shallotreel.example/shallotreel/line"
)

// Catalogue gives the newest view of routes and targets.
type Catalogue interface{ View() *catalogue.View }

// Router decides about targets for all requests of the process.
type Router struct {
	catalogue Catalogue
	pool      *line.Pool
	limits    extra.Limits
	mutex     sync.Mutex
	board     *choice.Selector
	budgets   map[string]*extra.Budget
	turns     map[string]*turns
	patience  *patience.Learner
	serial    uint64
	believed  func(choice.HealthChange) // told of each change of a belief
	most      int                       // instances known at any time, among which the slack is divided
}

// NewRouter returns a router that has seen no traffic; believed is told of each change of a belief.
func NewRouter(catalogue Catalogue, pool *line.Pool, limits extra.Limits, home string, random *rand.Rand, believed func(choice.HealthChange)) *Router {
	router := &Router{catalogue: catalogue, pool: pool, limits: limits, board: choice.New(random), believed: believed,
		budgets: map[string]*extra.Budget{}, turns: map[string]*turns{}, patience: patience.New(), most: 1}
	router.board.SetFleet(choice.Fleet{DataCentre: home, Instances: map[string]int{home: 1}, Total: 1})
	return router
}

// Share tells which instances share the targets.
func (router *Router) Share(members []member.Member) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	fleet := choice.Fleet{DataCentre: router.board.Fleet().DataCentre, Instances: map[string]int{}}
	for _, member := range members {
		if member.State.Reachable() {
			fleet.Instances[member.DataCentre]++
			fleet.Total++
		}
	}
	router.most = max(router.most, len(members))
	router.board.SetFleet(fleet)
}

// Choose picks a target of the service.
func (router *Router) Choose(now time.Time, route *catalogue.Route, service string, tried []string) (choice.Pick, bool) {
	view := router.catalogue.View()
	router.mutex.Lock()
	defer router.unlock()
	room := func(target catalogue.Target) bool { return router.pool.CanStart(now, target.Address) }
	return router.board.Choose(now, route, view.Targets(service), view.Configuration.Services[service], tried, room)
}

// Serves reports whether any target is registered for the service.
func (router *Router) Serves(service string) bool {
	return len(router.catalogue.View().Targets(service)) > 0
}

// Scarce reports whether most requests of late waited in vain for a target of the service, and for how long.
func (router *Router) Scarce(now time.Time, service string) (time.Duration, bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.board.ServiceSaturated(now, service)
}

// Waited notes that a request got a target of the service, or waited for one in vain.
func (router *Router) Waited(now time.Time, service string, inVain bool) {
	router.mutex.Lock()
	defer router.unlock()
	router.board.RecordWait(now, service, inVain)
}

// First counts the first arrival of a request at the service.
func (router *Router) First(now time.Time, service string) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.budget(now, service).First(now)
}

// Spend takes an extra arrival at the service from this instance's part of the bound.
func (router *Router) Spend(now time.Time, service string, purpose extra.Purpose) bool {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.budget(now, service).Spend(now, purpose, router.most)
}

// Usual returns the latency that the share of the route's parts stays under.
func (router *Router) Usual(route *catalogue.Route, share float64) time.Duration {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.board.LatencyQuantile(route.Name, share, route.Goal/3)
}

// Limit changes the bounds on extra arrivals.
func (router *Router) Limit(limits extra.Limits) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if limits == router.limits {
		return
	}
	router.limits = limits
	for _, budget := range router.budgets {
		budget.Limit(limits)
	}
}

// Serial numbers an attempt.
func (router *Router) Serial() uint64 {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.serial++
	return router.serial
}

// goal returns the last moment at which an answer is worth most to a caller that still waits so long.
func (router *Router) goal(now time.Time, route *catalogue.Route, left time.Duration) time.Time {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.patience.Goal(now, route.Goal, router.patience.Spent(route.Name, left))
}

// sent notes an attempt that goes out.
func (router *Router) sent(now time.Time, target string, ticket choice.Attempt) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.board.RecordSent(now, target, ticket)
}

// ended notes what an attempt showed of its target.
func (router *Router) ended(now time.Time, target catalogue.Target, serial uint64, verdict choice.Outcome, load *choice.Load) {
	router.mutex.Lock()
	defer router.unlock()
	router.board.RecordEnd(now, target, serial, verdict, load)
}

// unlock lets others use the board and tells what it has come to believe.
func (router *Router) unlock() {
	beliefs := router.board.TakeHealthChanges()
	router.mutex.Unlock()
	for _, belief := range beliefs {
		router.believed(belief)
	}
}

// Sweep forgets what has not been used for long.
func (router *Router) Sweep(now time.Time) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.board.Sweep(now)
}

// Services returns the services that the request goes to, for a weighted route the one whose turn it is.
func (router *Router) Services(route *catalogue.Route) []string {
	if len(route.Weighted) == 0 {
		return route.ServiceNames()
	}
	router.mutex.Lock()
	defer router.mutex.Unlock()
	known, ok := router.turns[route.Name]
	if !ok || !slices.Equal(known.weights, route.Weighted) {
		known = newTurns(route.Weighted)
		router.turns[route.Name] = known
	}
	return []string{known.next()}
}

func (router *Router) budget(now time.Time, service string) *extra.Budget {
	known, ok := router.budgets[service]
	if !ok {
		known = extra.NewBudget(now, router.limits)
		router.budgets[service] = known
	}
	return known
}

// turns deals the requests of a route to its services by weight, evenly in every stretch.
type turns struct {
	weights []catalogue.Weight
	credit  []float64
	total   float64
}

func newTurns(weights []catalogue.Weight) *turns {
	turns := &turns{weights: weights, credit: make([]float64, len(weights))}
	for _, weight := range weights {
		turns.total += max(weight.Weight, 0)
	}
	return turns
}

func (turns *turns) next() string {
	best := 0
	for i, weight := range turns.weights {
		turns.credit[i] += max(weight.Weight, 0)
		if cmp.Compare(turns.credit[i], turns.credit[best]) > 0 {
			best = i
		}
	}
	turns.credit[best] -= turns.total
	return turns.weights[best].Service
}
