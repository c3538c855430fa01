package ingress

import (
	"context"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/query"
	"shallotreel.example/reel/result"
)

const (
	// stopQuantile is the quantile of a route's latency that must fit between the arrival of a request and the end of the process.
	stopQuantile = 0.99
	// stopMargin is reserved at the end of the process for writing the last answers.
	stopMargin = 100 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of an instance that stops; the other ones take requests at once.
	stoppingRetryAfter = 10 * time.Millisecond
	reasonStopping     = "this instance stops before an answer is likely"
)

// lifetime is the time for which a handler may answer requests. It is safe for concurrent use.
type lifetime struct {
	context.Context // ends when the last answers must be written
	end             func()
}

func newLifetime() *lifetime {
	ctx, cancel := context.WithCancel(context.Background())
	return &lifetime{ctx, cancel}
}

// StopBy makes the handler answer all requests by the time, at which the process ends. Until then it takes those that will likely be
// answered, with deadlines that do not pass the end, and refuses the others. Requests in progress end at the latest stopMargin before.
func (handler *Handler) StopBy(end time.Time) {
	answerBy := end.Add(-stopMargin)
	handler.answerBy.Store(&answerBy)
	time.AfterFunc(time.Until(answerBy), handler.lifetime.end)
}

// limit returns the deadline, or the time by which the handler must answer if that is earlier.
func (handler *Handler) limit(deadline time.Time) time.Time {
	if answerBy := handler.answerBy.Load(); answerBy != nil && answerBy.Before(deadline) {
		return *answerBy
	}
	return deadline
}

// refuseLate returns the end of a request that will likely have no answer when the process ends, or nil. It lowers the deadlines of
// others to that end.
func (handler *Handler) refuseLate(now time.Time, plan *query.Plan) *query.Finish {
	limited := handler.limit(plan.Deadline)
	if limited.Equal(plan.Deadline) {
		return nil
	}
	plan.Deadline = limited
	if plan.SoftDeadline.After(limited) {
		plan.SoftDeadline = limited
	}
	if now.Add(handler.router.answerTime(plan.Route)).Before(limited) {
		return nil
	}
	return &query.Finish{Code: result.Stopping, Reason: reasonStopping, RetryAfter: stoppingRetryAfter}
}

// answerTime returns the time within which nearly all requests of the route are answered, or its latency goal while that is unknown.
func (router *Router) answerTime(route *catalogue.Route) time.Duration {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.selector.LatencyQuantile(route.Name, stopQuantile, route.Goal)
}
