package ingress

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"shallotreel.example/reel/admit"
	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/result"
)

// group runs the admission machine of the requests to one set of services. It is safe for concurrent use.
type group struct {
	services    []string
	admission   *Admission
	usedAt      time.Time // guarded by the mutex of the admission
	mutex       sync.Mutex
	machine     *admit.Machine
	lastID      admit.ID
	waiting     map[admit.ID]chan admit.Decision
	ranks       map[int]*rankCounts
	limitGauge  tally.Gauge
	wasRefusing bool // whether the group refused requests when noteChange was called last
	routes      map[string]*routeMetrics
}

// rankCounts counts the requests of one rank since the start of the group.
type rankCounts struct {
	admitted int
	refused  map[string]int // by reason
	inFlight int
	waiting  int
}

// routeMetrics are the metrics of one route.
type routeMetrics struct {
	scope    tally.Scope
	admitted tally.Counter
	inFlight tally.Gauge
	running  int
}

func newGroup(services []string, random *rand.Rand, admission *Admission) *group {
	tags := map[string]string{"group": services[0], "services": strconv.Itoa(len(services))}
	return &group{services: services, admission: admission, machine: admit.NewAdaptive(random), waiting: map[admit.ID]chan admit.Decision{},
		ranks: map[int]*rankCounts{}, limitGauge: admission.scope.Tagged(tags).Gauge("admission_limit"), routes: map[string]*routeMetrics{}}
}

// acquire waits until the request may start, is refused, or ctx is done. After a decision with the code OK, the caller must call
// release.
func (group *group) acquire(ctx context.Context, now time.Time, route *catalogue.Route, request admit.Request) admit.Decision {
	group.mutex.Lock()
	group.lastID++
	request.ID = group.lastID
	decided := make(chan admit.Decision, 1)
	group.waiting[request.ID] = decided
	group.notify(group.machine.Offer(now, request))
	group.rank(route).waiting++
	group.mutex.Unlock()
	decision := group.await(ctx, request, decided)
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.count(route, decision)
	group.noteChange(time.Now())
	return decision
}

// await returns the decision of the request.
func (group *group) await(ctx context.Context, request admit.Request, decided chan admit.Decision) admit.Decision {
	select {
	case decision := <-decided:
		return decision
	default:
	}
	timer := time.NewTimer(request.MaxWait)
	defer timer.Stop()
	for {
		select {
		case decision := <-decided:
			return decision
		case <-ctx.Done():
			return group.cancel(request.ID, decided)
		case <-timer.C:
			group.tick(time.Now())
			timer.Reset(time.Millisecond) // the machine refuses it as soon as its wait is over by the time of another event
		}
	}
}

// cancel removes a request from the queue. If its start has been granted in the meantime, cancel ends it.
func (group *group) cancel(id admit.ID, decided chan admit.Decision) admit.Decision {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.machine.Cancel(id)
	delete(group.waiting, id)
	select {
	case decision := <-decided:
		if decision.Code == result.OK {
			group.notify(group.machine.End(time.Now(), 0, admit.Neutral))
		}
	default:
	}
	return admit.Decision{ID: id, Code: result.Canceled}
}

func (group *group) tick(now time.Time) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.notify(group.machine.Tick(now))
}

// release ends an admitted request and starts waiting ones.
func (group *group) release(now time.Time, ticket *ticket, signal admit.Signal) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.rank(ticket.route).inFlight--
	group.metrics(ticket.route).running--
	group.notify(group.machine.End(now, now.Sub(ticket.admittedAt), signal))
	group.noteChange(now)
}

// notify passes the decisions to the requests that wait for them.
func (group *group) notify(decisions []admit.Decision) {
	for _, decision := range decisions {
		if decided, ok := group.waiting[decision.ID]; ok {
			delete(group.waiting, decision.ID)
			decided <- decision
		}
	}
}

// count counts a decision.
func (group *group) count(route *catalogue.Route, decision admit.Decision) {
	counts, metrics := group.rank(route), group.metrics(route)
	counts.waiting--
	switch decision.Code {
	case result.OK:
		counts.admitted++
		counts.inFlight++
		metrics.admitted.Inc(1)
		metrics.running++
	case result.Canceled:
	default:
		counts.refused[decision.Reason]++
		metrics.scope.Tagged(map[string]string{"reason": decision.Reason}).Counter("requests_refused").Inc(1)
	}
}

func (group *group) rank(route *catalogue.Route) *rankCounts {
	counts, ok := group.ranks[route.Priority]
	if !ok {
		counts = &rankCounts{refused: map[string]int{}}
		group.ranks[route.Priority] = counts
	}
	return counts
}

func (group *group) metrics(route *catalogue.Route) *routeMetrics {
	metrics, ok := group.routes[route.Name]
	if !ok {
		scope := group.admission.scope.Tagged(map[string]string{"route": route.Name, "rank": strconv.Itoa(route.Priority)})
		metrics = &routeMetrics{scope: scope, admitted: scope.Counter("requests_admitted"), inFlight: scope.Gauge("requests_in_flight")}
		group.routes[route.Name] = metrics
	}
	return metrics
}

// noteChange writes a log line when the group begins or ends to refuse requests.
func (group *group) noteChange(now time.Time) {
	state := group.machine.State(now)
	if state.Refusing == group.wasRefusing {
		return
	}
	group.wasRefusing = state.Refusing
	running, waiting, _ := group.machine.Load()
	message := "group refuses requests"
	if !state.Refusing {
		message = "group admits all requests again"
	}
	group.admission.log.WithFields(logrus.Fields{"group": group.services[0], "services": len(group.services), "limit": state.Limit,
		"in_flight": running, "waiting": waiting, "evidence": state.Signal.String()}).Info(message)
}

func (group *group) isRefusing(now time.Time) bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.machine.State(now).Refusing
}

func (group *group) updateGauges(now time.Time) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.noteChange(now)
	group.limitGauge.Update(float64(group.machine.State(now).Limit))
	for _, metrics := range group.routes {
		metrics.inFlight.Update(float64(metrics.running))
	}
}

func (group *group) attempt(now time.Time, service string, queue float64, turnedAway bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.notify(group.machine.Attempt(now, service, queue, turnedAway))
}
