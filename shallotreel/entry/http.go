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

const maxBody = 1 << 20 // bytes

// Handle adds the callers' interface to the mux.
func (entry *Entry) Handle(mux *http.ServeMux) {
	mux.HandleFunc("GET "+caller.AddressesPath, entry.serveAddresses)
	mux.HandleFunc("POST "+caller.SearchPath, entry.serve(document.Search))
	mux.HandleFunc("POST "+caller.FetchPath, entry.serve(document.Fetch))
	mux.HandleFunc("POST "+caller.RecordPath, entry.serve(document.Record))
}

func (entry *Entry) serveAddresses(writer http.ResponseWriter, request *http.Request) {
	addresses := entry.Addresses(request.URL.Query().Get("data_centre"), false)
	if !entry.stopping.Load() {
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
			answer = entry.refusal(body, refusal)
		case operation == document.Record:
			answer = entry.Record(request.Context(), body)
		default:
			answer = entry.answer(request.Context(), operation, body)
		}
		entry.count(body.Kind, answer, time.Since(start))
		if request.Context().Err() != nil {
			return
		}
		if answer.RetryAfter > 0 {
			seconds := math.Ceil(answer.RetryAfter.Std().Seconds())
			writer.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
		}
		writeJSON(writer, status(answer.Code), answer)
	}
}

func readBody(reader io.Reader) (caller.Request, *result.Error) {
	var body caller.Request
	data, err := io.ReadAll(io.LimitReader(reader, maxBody+1))
	if err != nil {
		return body, fieldRefusal(result.BadRequest, "(body)", err.Error())
	}
	if len(data) > maxBody {
		return body, fieldRefusal(result.BadRequest, "(body)", "send at most 1 MiB")
	}
	err = document.DecodeStrict(data, &body)
	if err == nil {
		err = document.CheckFields(body)
	}
	var fault *document.FieldError
	if errors.As(err, &fault) {
		return body, fieldRefusal(result.BadRequest, fault.Field, fault.Value+": "+fault.Remedy)
	}
	if err != nil {
		return body, fieldRefusal(result.BadRequest, "(body)", err.Error())
	}
	return body, nil
}

// answer runs a search or a fetch.
func (entry *Entry) answer(ctx context.Context, operation document.Operation, body caller.Request) caller.Answer {
	admitted, refusal := entry.check(time.Now(), operation, body)
	if refusal != nil {
		return entry.refusal(body, refusal)
	}
	return entry.compose(admitted, entry.run(ctx, admitted))
}

// Record runs a request that may not be repeated, here if this process owns its ticket.
func (entry *Entry) Record(ctx context.Context, body caller.Request) caller.Answer {
	if body.Ticket == "" {
		answer := entry.refusal(body, fieldRefusal(result.TicketNeeded, "ticket", "send the ticket that comes with this refusal"))
		answer.Ticket = entry.ledger.Issue().String()
		return answer
	}
	owned, err := ticket.Parse(body.Ticket)
	if err != nil {
		return entry.refusal(body, fieldRefusal(result.TicketInvalid, "ticket", err.Error()))
	}
	for {
		claim := entry.ledger.Claim(owned, uint64(fingerprint(body)))
		switch claim.Status {
		case ticket.Granted:
			return entry.runTicket(ctx, owned, body)
		case ticket.InProgress:
			select {
			case <-claim.Done:
			case <-ctx.Done():
				return entry.refusal(body, &result.Error{Code: result.Canceled, Ran: result.RanUnknown})
			}
		case ticket.Finished:
			return claim.Outcome
		case ticket.OtherOwner:
			return entry.forward(ctx, owned, body)
		case ticket.Forged:
			return entry.refusal(body, fieldRefusal(result.TicketInvalid, "ticket", "ask for a ticket"))
		case ticket.Reused:
			return entry.refusal(body, fieldRefusal(result.TicketMismatch, "ticket", "this ticket belongs to another request"))
		case ticket.Forgotten:
			return entry.refusal(body, &result.Error{Code: result.OutcomeForgotten, Ran: result.RanUnknown,
				Field: "ticket", Detail: "the ticket is too old to tell its outcome"})
		}
	}
}

// runTicket runs a claimed request to its end, also when its caller hangs up, and keeps the outcome.
func (entry *Entry) runTicket(ctx context.Context, owned ticket.Ticket, body caller.Request) caller.Answer {
	admitted, refusal := entry.check(time.Now(), document.Record, body)
	if refusal != nil {
		entry.ledger.Release(owned)
		return entry.refusal(body, refusal)
	}
	answer := entry.compose(admitted, entry.run(context.WithoutCancel(ctx), admitted))
	if answer.Ran == result.RanNo {
		entry.ledger.Release(owned)
		return answer
	}
	entry.ledger.Finish(owned, answer)
	return answer
}

// forward brings the request to the process that owns its ticket; nobody else may run it.
func (entry *Entry) forward(ctx context.Context, owned ticket.Ticket, body caller.Request) caller.Answer {
	unknown := &result.Error{Code: result.OwnerGone, Ran: result.RanUnknown, Field: "ticket",
		Detail: "the process that owns the ticket cannot be reached"}
	for _, member := range entry.fleet.View().Members {
		if member.Name != owned.Instance || member.Incarnation != owned.Incarnation {
			continue
		}
		if !member.State.Reachable() {
			break
		}
		ctx, cancel := context.WithTimeout(ctx, entry.patience(body))
		defer cancel()
		answer, err := entry.network.Record(ctx, member.Peer, body)
		if err != nil {
			return entry.refusal(body, unknown)
		}
		return answer
	}
	return entry.refusal(body, unknown)
}

// patience returns how long the owner of a ticket may take.
func (entry *Entry) patience(body caller.Request) time.Duration {
	patience := time.Second
	if doc := entry.fleet.View().Document; doc != nil {
		if kind, ok := doc.Kind(body.Kind); ok {
			patience = kind.Deadline.Std()
		}
	}
	if !body.Deadline.IsZero() {
		patience = min(patience, time.Until(body.Deadline))
	}
	return patience
}

func (entry *Entry) compose(admitted admitted, outcome request.Outcome) caller.Answer {
	answer := caller.Answer{
		RequestID: admitted.body.RequestID, Code: outcome.Code, Result: outcome.Code.String(),
		Ran: outcome.Ran, Detail: outcome.Detail, Coverage: &outcome.Coverage,
		Revision: admitted.document.Revision, Preset: admitted.preset.Name, Hits: outcome.Hits,
		RetryAfter: document.Duration(outcome.RetryAfter), Instance: entry.self.Name,
	}
	if outcome.Ran == result.RanYes {
		answer.Snapshot = outcome.Snapshot
	} else if answer.RetryAfter == 0 {
		answer.RetryAfter = admitted.preset.RetryAfter
	}
	entry.attachAddresses(&answer)
	return answer
}

func (entry *Entry) refusal(body caller.Request, refusal *result.Error) caller.Answer {
	answer := caller.Answer{
		RequestID: body.RequestID, Code: refusal.Code, Result: refusal.Code.String(), Ran: refusal.Ran,
		Field: refusal.Field, Detail: refusal.Detail, Instance: entry.self.Name,
		RetryAfter: document.Duration(refusal.RetryAfter),
	}
	entry.attachAddresses(&answer)
	return answer
}

// attachAddresses adds fresher addresses when the caller should use another instance.
func (entry *Entry) attachAddresses(answer *caller.Answer) {
	elsewhere := answer.Code == result.Overloaded || answer.Code == result.Isolated ||
		answer.Code == result.Paused || answer.Code == result.NotReady
	if !elsewhere && !entry.stopping.Load() {
		return
	}
	addresses := entry.Addresses(entry.self.DataCentre, answer.Code == result.Overloaded)
	answer.Addresses = &addresses
}

func (entry *Entry) count(kind string, answer caller.Answer, took time.Duration) {
	if doc := entry.fleet.View().Document; doc != nil {
		if _, known := doc.Kind(kind); !known {
			kind = "unknown"
		}
	}
	scope := entry.scope.Tagged(map[string]string{"kind": kind, "result": answer.Result})
	scope.Counter("requests").Inc(1)
	scope.Timer("latency").Record(took)
}

func status(code result.Code) int {
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
	// A failed write means that the caller is gone.
	_ = json.NewEncoder(writer).Encode(value)
}
