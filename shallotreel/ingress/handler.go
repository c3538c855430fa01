package ingress

import (
	"net/http"
	"sync/atomic"
	"time"

	"shallotreel.example/platform"
	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/query"
	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/connpool"
	"shallotreel.example/shallotreel/crashwatch"
	"shallotreel.example/shallotreel/intake"
	"shallotreel.example/shallotreel/reachwatch"
	"shallotreel.example/shallotreel/relay"
)

const (
	// notReadyRetryAfter is the Retry-After of an instance that is starting, and has no configuration or no marks yet.
	notReadyRetryAfter = 200 * time.Millisecond
)

// Handler is the HTTP handler for callers' requests.
type Handler struct {
	catalogue          Registry
	router             *Router
	pool               *connpool.Pool
	crashes            *crashwatch.Watch
	path               *reachwatch.Watch
	helpers            Helpers
	recorder           Recorder
	admission          *Admission
	keepAlivesDisabled atomic.Bool
	isOpen             atomic.Bool
	running            atomic.Int64
	requests           atomic.Int64
	relaysRefused      atomic.Bool  // whether no more requests of other instances are served
	helpersVersion     versionFloor // newest configuration by which helpers have served callers of this instance
	lifetime           *lifetime
	memory             *intake.Memory            // of requests and answers
	answerBy           atomic.Pointer[time.Time] // when the last answers must be written, nil unless the process stops
}

// Registry provides the newest view of routes and targets, and learns what targets say of themselves.
type Registry interface {
	Catalogue
	// RecordLeaving records that the process of the target said that it takes no new work.
	RecordLeaving(target catalogue.Target)
}

// Recorder receives the record of each request when it has ended.
type Recorder interface{ Record(record Record) }

// Record describes one request for logs and metrics.
type Record struct {
	ID              string
	Fingerprint     quarantine.Fingerprint // same for all requests with the same content
	Route           string                 // name of the route
	Version         uint64                 // version of the configuration
	Code            result.Code
	Reason          string // why the request ended with the code, empty for an ordinary answer
	Took            time.Duration
	Goal            time.Duration // latency goal of the route
	Parts           int           // number of services that the request goes to
	Suspect         bool          // whether the request may have crashed targets before, so that it began with one attempt
	Gaps            []query.Gap   // services without an answer
	Attempts        []Attempt
	CatalogueSerial uint64        // serial of the catalogue view at the start of the request
	CallerTimeout   time.Duration // time that the caller waits, 0 if it stated none
	Origin          string        // instance that handed the request over, empty for a caller's own
	HandedOver      string        // why the request was handed over to other instances, empty if it was not
	Helpers         []relay.Attempt
}

// Attempt describes one attempt of a request at a target, for the log.
type Attempt struct {
	Target  string        `json:"target"` // id of the target
	Service string        `json:"service"`
	Kind    string        `json:"why"`               // kind of the attempt, as in query.Send
	Grade   string        `json:"grade"`             // health of the target when it was chosen
	Limited string        `json:"limited,omitempty"` // id of a target that was left out because of its limit
	After   time.Duration `json:"after"`             // from the start of the request to the start of the attempt
	Took    time.Duration `json:"took"`              // 0 if the attempt had not ended when the request did
	Status  int           `json:"status"`            // HTTP status, 0 without a complete response
	Cause   string        `json:"cause,omitempty"`   // why there is no usable response
	Refused bool          `json:"refused,omitempty"` // whether the target refused a connection, so that its process has ended
	// Connection is the number of the connection within the process, 0 if none is known; two attempts of a request never share one.
	Connection uint64 `json:"connection,omitempty"`
}

// New returns a handler that takes its view of routes and targets from the catalogue.
func New(catalogue Registry, router *Router, pool *connpool.Pool, crashes *crashwatch.Watch, path *reachwatch.Watch,
	helpers Helpers, recorder Recorder, options ...Option) *Handler {
	handler := &Handler{catalogue: catalogue, router: router, pool: pool, crashes: crashes, path: path, helpers: helpers, recorder: recorder,
		admission: silentAdmission(), lifetime: newLifetime(), memory: pool.Memory()}
	for _, option := range options {
		option(handler)
	}
	return handler
}

// Open lets the handler serve requests. Before, it refuses them as an instance that is starting.
func (handler *Handler) Open() { handler.isOpen.Store(true) }

// DisableKeepAlives makes the handler close each connection after its next answer, so that callers open their
// next connection to another instance.
func (handler *Handler) DisableKeepAlives() { handler.keepAlivesDisabled.Store(true) }

// Running returns the number of requests in progress.
func (handler *Handler) Running() int64 { return handler.running.Load() }

// Requests returns the number of requests since the start.
func (handler *Handler) Requests() int64 { return handler.requests.Load() }

// ServeHTTP serves one request of a caller.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	start := time.Now()
	handler.running.Add(1)
	handler.requests.Add(1)
	defer handler.running.Add(-1)
	if handler.keepAlivesDisabled.Load() {
		writer.Header().Set("Connection", "close")
	}
	requestHead := platform.ParseRequestHead(request)
	view := handler.catalogue.View()
	record := Record{ID: requestHead.ID, CatalogueSerial: view.Serial, CallerTimeout: requestHead.Timeout}
	hold := handler.memory.Hold()
	defer hold.Release()
	caller := newCaller(writer, request, hold)
	if view.Configuration == nil || !handler.isOpen.Load() {
		handler.refuse(caller, start, record, query.Finish{Code: result.NotReady, RetryAfter: notReadyRetryAfter})
		return
	}
	record.Version = view.Configuration.Version
	route, ok := view.Configuration.FindRoute(requestHead.Host, requestHead.Path())
	if !ok {
		handler.refuse(caller, start, record, query.Finish{Code: result.UnknownRoute})
		return
	}
	record.Route, record.Goal = route.Name, route.Goal
	plan := handler.plan(start, requestHead, route)
	caller.readBy = plan.Deadline.Add(readGrace)
	if err := hold.Grow(intake.Work, requestBytes); err != nil {
		handler.refuse(caller, start, record, *noMemory())
		return
	}
	body, refusal := readBody(writer, request, view.Configuration.Limits, plan.Deadline, hold)
	if refusal != nil {
		handler.refuse(caller, start, record, *refusal)
		return
	}
	caller.sendsBody = false
	if refusal := handler.refuseLate(time.Now(), &plan); refusal != nil {
		handler.refuse(caller, start, record, *refusal)
		return
	}
	run := handler.newRun(start, incoming{request, requestHead, body}, plan, record, hold)
	finish := run.serve(request.Context(), view)
	handler.write(caller, finish)
	run.recordEnd(finish)
}

// incoming is a request as the caller sent it.
type incoming struct {
	*http.Request
	head platform.RequestHead
	body []byte
}

// newRun returns the run of a request by the plan.
func (handler *Handler) newRun(start time.Time, request incoming, plan query.Plan, record Record, hold *intake.Hold) *run {
	record.Fingerprint = fingerprintOf(request.Request, request.head, request.body)
	if plan.Services == nil {
		plan.Services = handler.router.SelectServices(plan.Route)
	}
	plan.Fingerprint = record.Fingerprint
	record.Route, record.Goal, record.Parts = plan.Route.Name, plan.Route.Goal, len(plan.Services)
	return &run{handler: handler, hold: hold, start: start, record: record, plan: plan, request: request,
		outbound: platform.NewOutboundRequest(request.Request, request.head, request.body), calls: map[uint64]*connpool.Call{}}
}

// plan returns the plan of a request, whose deadline is the lesser of the caller's timeout and the route's.
func (handler *Handler) plan(start time.Time, requestHead platform.RequestHead, route *catalogue.Route) query.Plan {
	timeout := route.Timeout
	if timeout <= 0 || requestHead.Timeout > 0 && requestHead.Timeout < timeout {
		timeout = requestHead.Timeout
	}
	return query.Plan{Route: route, Start: start, SoftDeadline: handler.router.softDeadline(start, route, requestHead.Timeout),
		Deadline: start.Add(timeout)}
}

// refuse ends a request for which no attempt is made.
func (handler *Handler) refuse(caller *caller, start time.Time, record Record, finish query.Finish) {
	handler.write(caller, finish)
	record.Code, record.Reason, record.Took = finish.Code, finish.Reason, time.Since(start)
	handler.recorder.Record(record)
}

func (handler *Handler) write(caller *caller, finish query.Finish) {
	header := caller.Header()
	caller.prepare(&finish)
	switch finish.Code {
	case result.OK, result.Partial:
		if finish.Answer != nil {
			relayAnswer(caller, finish.Answer)
			return
		}
		platform.SetMergedHeader(header, finish.Signatures, finish.Missing)
		caller.write(http.StatusOK, finish.Body)
	case result.Relayed:
		relayAnswer(caller, finish.Answer)
	default:
		if finish.RetryAfter > 0 {
			platform.SetRetryAfter(header, finish.RetryAfter)
		}
		caller.write(statusOf(finish.Code), []byte(finish.Code.String()+"\n"))
	}
}

// relayAnswer writes the response of a target as the answer.
func relayAnswer(caller *caller, answer *query.Answer) {
	platform.CopyResponseHeader(caller.Header(), answer.Header)
	caller.write(answer.Status, answer.Body)
}

// statusOf returns the HTTP status for a code without a response of a target.
func statusOf(code result.Code) int {
	switch code {
	case result.UnknownRoute:
		return http.StatusNotFound
	case result.TooLarge:
		return http.StatusRequestEntityTooLarge
	case result.BadRequest:
		return http.StatusBadRequest
	case result.NotReady, result.NoTarget, result.Quarantined, result.Overloaded, result.TooLate, result.Stopping:
		return http.StatusServiceUnavailable
	case result.DeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
