package door

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"shallotreel.example/platform"
	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/query"
	"shallotreel.example/reel/result"
	"shallotreel.example/shallotreel/line"
)

const (
	unpreparedReturn = 200 * time.Millisecond // until a starting instance is worth asking again
	bodyDefault      = 1 << 20                // bytes, while the configuration names no limit
)

// Door answers callers' requests.
type Door struct {
	catalogue Catalogue
	router    *Router
	pool      *line.Pool
	recorder  Recorder
	closing   atomic.Bool
	running   atomic.Int64
}

// Recorder takes the record of each request that has ended.
type Recorder interface{ Record(record Record) }

// Record is what is told of one request.
type Record struct {
	ID       string
	Route    string
	Version  uint64
	Code     result.Code
	Reason   string
	Took     time.Duration
	Goal     time.Duration
	Parts    int
	Gaps     []query.Gap
	Attempts []Attempt
	Serial   uint64        // of the view of targets that the request began with
	Patience time.Duration // what the caller said it waits
}

// Attempt is one decision to send a request to a target, and its end.
type Attempt struct {
	Target  string        `json:"target"`
	Service string        `json:"service"`
	Why     string        `json:"why"`
	Grade   string        `json:"grade"` // what was believed of the target
	After   time.Duration `json:"after"` // since the request's begin
	Took    time.Duration `json:"took"`
	Status  int           `json:"status"`
	Cause   string        `json:"cause,omitempty"`
}

// New returns a door.
func New(catalogue Catalogue, router *Router, pool *line.Pool, recorder Recorder) *Door {
	return &Door{catalogue: catalogue, router: router, pool: pool, recorder: recorder}
}

// Close makes callers open their next connection elsewhere.
func (door *Door) Close() { door.closing.Store(true) }

// Running returns how many requests are being served.
func (door *Door) Running() int64 { return door.running.Load() }

// ServeHTTP serves one request.
func (door *Door) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	begun := time.Now()
	door.running.Add(1)
	defer door.running.Add(-1)
	if door.closing.Load() {
		writer.Header().Set("Connection", "close")
	}
	call := platform.ReadCall(request)
	view := door.catalogue.View()
	record := Record{ID: call.ID, Serial: view.Serial, Patience: call.Patience}
	if view.Configuration == nil {
		door.refuse(writer, begun, record, query.Finish{Code: result.NotReady, RetryAfter: unpreparedReturn})
		return
	}
	record.Version = view.Configuration.Version
	route, ok := view.Configuration.FindRoute(call.Host, call.Path())
	if !ok {
		door.refuse(writer, begun, record, query.Finish{Code: result.UnknownRoute})
		return
	}
	record.Route, record.Goal = route.Name, route.Goal
	body, code := readBody(writer, request, view.Configuration.Limits)
	if code != result.OK {
		door.refuse(writer, begun, record, query.Finish{Code: code})
		return
	}
	run := &run{door: door, begun: begun, record: record, plan: door.plan(begun, call, route),
		forward: platform.NewForward(request, call, body), calls: map[uint64]*line.Call{}}
	run.plan.Services = door.router.Services(route)
	run.record.Parts = len(run.plan.Services)
	finish := run.run(request.Context())
	door.write(writer, finish)
	run.record.Code, run.record.Reason, run.record.Took = finish.Code, finish.Reason, time.Since(begun)
	door.recorder.Record(run.record)
}

// plan sets the times of a request: what the caller still waits, within what the operator allows.
func (door *Door) plan(begun time.Time, call platform.Call, route *catalogue.Route) query.Plan {
	wait := route.Timeout
	if wait <= 0 || call.Patience > 0 && call.Patience < wait {
		wait = call.Patience
	}
	return query.Plan{Route: route, Begun: begun, Goal: door.router.goal(begun, route, call.Patience),
		Deadline: begun.Add(wait)}
}

func readBody(writer http.ResponseWriter, request *http.Request, limits catalogue.Limits) ([]byte, result.Code) {
	if request.ContentLength == 0 {
		return nil, result.OK
	}
	most := limits.BodyBytes
	if most <= 0 {
		most = bodyDefault
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, most))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.TooLarge
	case err != nil:
		return nil, result.BadRequest
	}
	return body, result.OK
}

func (door *Door) refuse(writer http.ResponseWriter, begun time.Time, record Record, finish query.Finish) {
	door.write(writer, finish)
	record.Code, record.Took = finish.Code, time.Since(begun)
	door.recorder.Record(record)
}

// write sends the one answer of a request.
func (door *Door) write(writer http.ResponseWriter, finish query.Finish) {
	header := writer.Header()
	switch finish.Code {
	case result.OK, result.Partial:
		if finish.Answer != nil {
			door.relay(writer, finish.Answer)
			return
		}
		platform.Gathered(header, finish.Parts, finish.Missing)
		writeBody(writer, http.StatusOK, finish.Body)
	case result.Relayed:
		door.relay(writer, finish.Answer)
	default:
		if finish.RetryAfter > 0 {
			platform.ComeBack(header, finish.RetryAfter)
		}
		writeBody(writer, statusOf(finish.Code), []byte(finish.Code.String()+"\n"))
	}
}

func (door *Door) relay(writer http.ResponseWriter, answer *query.Answer) {
	platform.Relay(writer.Header(), answer.Header)
	writeBody(writer, answer.Status, answer.Body)
}

func writeBody(writer http.ResponseWriter, status int, body []byte) {
	writer.WriteHeader(status)
	_, _ = writer.Write(body) // a caller that is gone needs no answer
}

func statusOf(code result.Code) int {
	switch code {
	case result.UnknownRoute:
		return http.StatusNotFound
	case result.TooLarge:
		return http.StatusRequestEntityTooLarge
	case result.BadRequest:
		return http.StatusBadRequest
	case result.NotReady, result.NoTarget:
		return http.StatusServiceUnavailable
	case result.DeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
