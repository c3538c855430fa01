package entry

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/request"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/ticket"
)

const maxBodySize = 1 << 20 // bytes, of a request

// RegisterHandlers registers the HTTP handlers of the callers' interface with mux.
func (entry *Entry) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET "+caller.AddressesPath, entry.serveAddresses)
	mux.HandleFunc("POST "+caller.SearchPath, entry.serve(document.Search))
	mux.HandleFunc("POST "+caller.FetchPath, entry.serve(document.Fetch))
	mux.HandleFunc("POST "+caller.RecordPath, entry.serve(document.Record))
}

func (entry *Entry) serveAddresses(writer http.ResponseWriter, request *http.Request) {
	addresses := entry.Addresses(request.URL.Query().Get("data_centre"), false)
	if !entry.draining.Load() {
		addresses.Ticket = entry.ledger.Issue().String()
	}
	writeJSON(writer, http.StatusOK, addresses)
}

func (entry *Entry) serve(operation document.Operation) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		entry.running.Add(1)
		defer entry.running.Add(-1)
		start := time.Now()
		body, refusal := readBody(request.Body)
		var answer caller.Answer
		switch {
		case refusal != nil:
			answer = entry.refusalAnswer(body, refusal)
		case operation == document.Record:
			answer = entry.Record(request.Context(), body)
		default:
			answer = entry.runQuery(request.Context(), operation, body)
		}
		entry.recordMetrics(body.Kind, answer, time.Since(start))
		if request.Context().Err() != nil {
			return
		}
		if answer.RetryAfter > 0 {
			seconds := math.Ceil(answer.RetryAfter.Std().Seconds())
			writer.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
		}
		writeJSON(writer, httpStatus(answer.Code), answer)
	}
}

func readBody(reader io.Reader) (caller.Request, *result.Error) {
	var body caller.Request
	data, err := io.ReadAll(io.LimitReader(reader, maxBodySize+1))
	if err != nil {
		return body, fieldRefusal(result.BadRequest, "(body)", err.Error())
	}
	if len(data) > maxBodySize {
		return body, fieldRefusal(result.BadRequest, "(body)", "send at most 1 MiB")
	}
	err = document.DecodeStrict(data, &body)
	if err == nil {
		err = document.CheckFields(body)
	}
	var fieldError *document.FieldError
	if errors.As(err, &fieldError) {
		return body, fieldRefusal(result.BadRequest, fieldError.Field, fieldError.Value+": "+fieldError.Remedy)
	}
	if err != nil {
		return body, fieldRefusal(result.BadRequest, "(body)", err.Error())
	}
	return body, nil
}

// runQuery checks and runs a search or a fetch.
func (entry *Entry) runQuery(ctx context.Context, operation document.Operation, body caller.Request) caller.Answer {
	checked, refusal := entry.check(time.Now(), operation, body)
	if refusal != nil {
		return entry.refusalAnswer(body, refusal)
	}
	return entry.outcomeAnswer(checked, entry.admitAndRun(ctx, checked))
}

// Record runs a request that must not run twice. Only the process that issued the request's ticket runs it; Record
// forwards other requests to their owner. A request with a ticket that is already in use gets the outcome of the first
// run.
func (entry *Entry) Record(ctx context.Context, body caller.Request) caller.Answer {
	if body.Ticket == "" {
		answer := entry.refusalAnswer(body, fieldRefusal(result.TicketNeeded, "ticket", "send the request again with the ticket of this answer"))
		answer.Ticket = entry.ledger.Issue().String()
		return answer
	}
	parsed, err := ticket.Parse(body.Ticket)
	if err != nil {
		return entry.refusalAnswer(body, fieldRefusal(result.TicketInvalid, "ticket", err.Error()))
	}
	for {
		claim := entry.ledger.Claim(parsed, uint64(fingerprintOf(body)))
		switch claim.Status {
		case ticket.Granted:
			return entry.runTicket(ctx, parsed, body)
		case ticket.InProgress:
			select {
			case <-claim.Done:
			case <-ctx.Done():
				return entry.refusalAnswer(body, &result.Error{Code: result.Canceled, Ran: result.RanUnknown})
			}
		case ticket.Finished:
			return claim.Outcome
		case ticket.OtherOwner:
			return entry.forward(ctx, parsed, body)
		case ticket.Forged:
			return entry.refusalAnswer(body, fieldRefusal(result.TicketInvalid, "ticket", "the ticket is not genuine; request a new one"))
		case ticket.Reused:
			return entry.refusalAnswer(body, fieldRefusal(result.TicketMismatch, "ticket", "this ticket belongs to another request"))
		case ticket.Forgotten:
			return entry.refusalAnswer(body, &result.Error{Code: result.OutcomeForgotten, Ran: result.RanUnknown,
				Field: "ticket", Detail: "the ticket is too old; its outcome is no longer stored"})
		}
	}
}

// runTicket runs a claimed request to completion, even if its caller disconnects, and stores the outcome. It releases
// the ticket if the request did not run, so that the caller can send it again.
func (entry *Entry) runTicket(ctx context.Context, parsed ticket.Ticket, body caller.Request) caller.Answer {
	checked, refusal := entry.check(time.Now(), document.Record, body)
	if refusal != nil {
		entry.ledger.Release(parsed)
		return entry.refusalAnswer(body, refusal)
	}
	answer := entry.outcomeAnswer(checked, entry.admitAndRun(context.WithoutCancel(ctx), checked))
	if answer.Ran == result.RanNo {
		entry.ledger.Release(parsed)
		return answer
	}
	entry.ledger.Finish(parsed, answer)
	return answer
}

// forward sends the request to the process that owns its ticket; no other process may run it. If the owner is
// unreachable, the outcome is unknown.
func (entry *Entry) forward(ctx context.Context, parsed ticket.Ticket, body caller.Request) caller.Answer {
	unknown := &result.Error{Code: result.OwnerGone, Ran: result.RanUnknown, Field: "ticket",
		Detail: "the process that owns the ticket is unreachable"}
	for _, member := range entry.fleet.View().Members {
		if member.Name != parsed.Instance || member.Incarnation != parsed.Incarnation {
			continue
		}
		if !member.State.Reachable() {
			break
		}
		ctx, cancel := context.WithTimeout(ctx, entry.forwardTimeout(body))
		defer cancel()
		answer, err := entry.network.Record(ctx, member.Peer, body)
		if err != nil {
			return entry.refusalAnswer(body, unknown)
		}
		return answer
	}
	return entry.refusalAnswer(body, unknown)
}

// forwardTimeout returns how long to wait for the owner of a ticket: the deadline of the request's kind, or 1 second if
// the kind is unknown, limited by the request's own deadline.
func (entry *Entry) forwardTimeout(body caller.Request) time.Duration {
	timeout := time.Second
	if doc := entry.fleet.View().Document; doc != nil {
		if kind, ok := doc.Kind(body.Kind); ok {
			timeout = kind.Deadline.Std()
		}
	}
	if !body.Deadline.IsZero() {
		timeout = min(timeout, time.Until(body.Deadline))
	}
	return timeout
}

// outcomeAnswer returns the answer for a request that passed the checks. A request that certainly ran has a snapshot;
// any other has a retry delay.
func (entry *Entry) outcomeAnswer(checked checkedRequest, outcome request.Outcome) caller.Answer {
	answer := caller.Answer{
		RequestID: checked.body.RequestID, Code: outcome.Code, Result: outcome.Code.String(),
		Ran: outcome.Ran, Detail: outcome.Detail, Coverage: &outcome.Coverage,
		Revision: checked.document.Revision, Preset: checked.preset.Name, Hits: outcome.Hits,
		RetryAfter: document.Duration(outcome.RetryAfter), Instance: entry.self.Name,
	}
	if outcome.Ran == result.RanYes {
		answer.Snapshot = outcome.Snapshot
	} else if answer.RetryAfter == 0 {
		answer.RetryAfter = checked.preset.RetryAfter
	}
	entry.attachAddresses(&answer)
	return answer
}

// refusalAnswer returns the answer for a rejected request.
func (entry *Entry) refusalAnswer(body caller.Request, refusal *result.Error) caller.Answer {
	answer := caller.Answer{
		RequestID: body.RequestID, Code: refusal.Code, Result: refusal.Code.String(), Ran: refusal.Ran,
		Field: refusal.Field, Detail: refusal.Detail, Instance: entry.self.Name,
		RetryAfter: document.Duration(refusal.RetryAfter),
	}
	entry.attachAddresses(&answer)
	return answer
}

// attachAddresses adds the current addresses if the caller should use another instance.
func (entry *Entry) attachAddresses(answer *caller.Answer) {
	elsewhere := answer.Code == result.Overloaded || answer.Code == result.Isolated ||
		answer.Code == result.Paused || answer.Code == result.NotReady
	if !elsewhere && !entry.draining.Load() {
		return
	}
	addresses := entry.Addresses(entry.self.DataCentre, answer.Code == result.Overloaded)
	answer.Addresses = &addresses
}

// recordMetrics counts a request and records its latency. It labels kinds that are not configured as unknown.
func (entry *Entry) recordMetrics(kind string, answer caller.Answer, elapsed time.Duration) {
	if doc := entry.fleet.View().Document; doc != nil {
		if _, ok := doc.Kind(kind); !ok {
			kind = "unknown"
		}
	}
	scope := entry.scope.Tagged(map[string]string{"kind": kind, "result": answer.Result})
	scope.Counter("requests").Inc(1)
	scope.Timer("latency").Record(elapsed)
}

// httpStatus returns the HTTP status code for a result code.
func httpStatus(code result.Code) int {
	switch {
	case code == result.OK || code == result.Partial:
		return http.StatusOK
	case code == result.NotServed:
		return http.StatusForbidden
	case code == result.UnknownKind || code == result.UnknownEvent:
		return http.StatusNotFound
	case code == result.TicketMismatch || code == result.TicketNeeded:
		return http.StatusConflict
	case code < result.NotReady:
		return http.StatusBadRequest
	case code.Ran() == result.RanUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(writer).Encode(value)
}
