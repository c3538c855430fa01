package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"shallotreel.example/bench/experiment"
	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/document"
)

const (
	clientGrace        = 500 * time.Millisecond // time after a kind's deadline until a caller counts the request as unanswered
	crashQueryText     = "crash-every-target"   // equals servers.CrashMarker
	crashQuerySends    = 30
	crashQueryInterval = 100 * time.Millisecond
	distinctKeys       = 1000
)

// Callers simulates the callers of one deployment.
type Callers struct {
	document          *document.Document
	event             document.Event
	clients           []*caller.Client
	seed              uint64
	queries           int
	mutex             sync.Mutex
	samples           []sample
	brokenConnections atomic.Int64
	lastRequestNumber atomic.Int64
	inFlight          sync.WaitGroup
}

// New returns callers that request instance addresses from the seeds first.
func New(doc *document.Document, seeds []netip.AddrPort, spec experiment.Experiment) *Callers {
	callers := &Callers{document: doc, event: doc.Events[0], seed: spec.Seed, queries: spec.Queries}
	observe := func(_ netip.AddrPort, err error) {
		if !caller.IsDialError(err) {
			callers.brokenConnections.Add(1)
		}
	}
	for i := range spec.Callers {
		callerName := callers.event.People[i%len(callers.event.People)]
		centre := doc.DataCentres[i%len(doc.DataCentres)]
		seedOrder := append([]netip.AddrPort{seeds[i%len(seeds)]}, seeds...)
		callers.clients = append(callers.clients, caller.NewClient(callerName, centre, seedOrder, caller.WithObserver(observe)))
	}
	return callers
}

// Run sends requests for the duration in an open loop: their arrivals form a Poisson process that is independent of the
// answers.
func (callers *Callers) Run(ctx context.Context, load experiment.Load, duration time.Duration) {
	kind, _ := callers.document.Kind(load.Kind)
	random := rand.New(rand.NewPCG(callers.seed, uint64(len(load.Kind))))
	start := time.Now()
	for at := time.Duration(0); at < duration; {
		at += time.Duration(random.ExpFloat64() / load.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(at))):
		}
		client := callers.clients[random.IntN(len(callers.clients))]
		request := callers.request(kind, random)
		callers.inFlight.Go(func() { callers.send(client, kind, request) })
	}
}

// Wait blocks until every request has an answer or has timed out.
func (callers *Callers) Wait() {
	callers.inFlight.Wait()
}

func (callers *Callers) request(kind document.Kind, random *rand.Rand) caller.Request {
	request := caller.Request{
		RequestID: fmt.Sprintf("%s-%d", kind.Name, callers.lastRequestNumber.Add(1)),
		Event:     callers.event.Name, Kind: kind.Name,
	}
	switch kind.Operation {
	case document.Search:
		request.Query = fmt.Sprintf("query %d", random.IntN(callers.queries))
	case document.Fetch:
		request.Key = fmt.Sprintf("item-%d", random.IntN(distinctKeys))
	case document.Record:
		request.Key = fmt.Sprintf("entry-%s", request.RequestID)
	}
	return request
}

func (callers *Callers) send(client *caller.Client, kind document.Kind, request caller.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), kind.Deadline.Std()+clientGrace)
	defer cancel()
	observed := sample{id: request.RequestID, kind: kind.Name, sent: time.Now()}
	answer, err := callers.call(ctx, client, kind, request)
	observed.received = time.Now()
	observed.answer, observed.unanswered = answer, err != nil
	callers.mutex.Lock()
	callers.samples = append(callers.samples, observed)
	callers.mutex.Unlock()
}

func (callers *Callers) call(ctx context.Context, client *caller.Client, kind document.Kind, request caller.Request) (caller.Answer, error) {
	switch kind.Operation {
	case document.Fetch:
		return client.Fetch(ctx, request)
	case document.Record:
		return client.Record(ctx, request)
	default:
		return client.Search(ctx, request)
	}
}

// CrashQuery repeatedly sends a query that crashes the targets that run it, each time from another caller. The requests
// aren't part of the result.
func (callers *Callers) CrashQuery(ctx context.Context, kindName string) {
	kind, _ := callers.document.Kind(kindName)
	for i := range crashQuerySends {
		client := callers.clients[i%len(callers.clients)]
		request := caller.Request{RequestID: fmt.Sprintf("crash-%d", i), Event: callers.event.Name,
			Kind: kindName, Query: crashQueryText}
		callers.inFlight.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), kind.Deadline.Std()+clientGrace)
			defer cancel()
			_, _ = callers.call(ctx, client, kind, request)
		})
		select {
		case <-ctx.Done():
			return
		case <-time.After(crashQueryInterval):
		}
	}
}
