package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/contact"
	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/route"
	"shallotreel.example/reel/target"
	"shallotreel.example/shallotreel/control"
	"shallotreel.example/shallotreel/decision"
	"shallotreel.example/shallotreel/peers"
)

// fakeFleet is the control part of the tests.
type fakeFleet struct {
	view     *control.View
	standing contact.Standing
}

func (fleet *fakeFleet) View() *control.View                 { return fleet.view }
func (fleet *fakeFleet) Standing(time.Time) contact.Standing { return fleet.standing }

// fakeTargets answers sub-requests after a time, or with a code.
type fakeTargets struct {
	mutex sync.Mutex
	entry *Entry
	took  time.Duration
	code  result.Code
	runs  map[string]int // by request
}

func (targets *fakeTargets) Offer(subs []holder.SubRequest) {
	for _, sub := range subs {
		go targets.serve(sub)
	}
}

func (targets *fakeTargets) serve(sub holder.SubRequest) {
	time.Sleep(targets.took)
	answer := holder.Answer{Attempt: sub.Request.Attempt, Target: sub.Target, Code: targets.code, Ran: targets.code.Ran()}
	if answer.Ran != result.RanNo {
		targets.mutex.Lock()
		targets.runs[sub.Request.RequestID]++
		targets.mutex.Unlock()
	}
	if targets.code == result.OK {
		answer.Snapshot, answer.Range = sub.Request.Snapshot, sub.Request.Range
		answer.Hits = []target.Hit{{ID: sub.Request.RequestID, Score: 1}}
	}
	targets.entry.Return([]holder.Answer{answer})
}

func (targets *fakeTargets) Cancel(string, target.Attempt) {}

func (targets *fakeTargets) Statuses(names []string) []holder.Status {
	var statuses []holder.Status
	for _, name := range names {
		statuses = append(statuses, holder.Status{Target: name, State: target.Serving, Snapshots: []uint64{41}, Known: true, Limit: 5})
	}
	return statuses
}

func (targets *fakeTargets) ran(request string) int {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	return targets.runs[request]
}

// noNetwork is a network without peers.
type noNetwork struct{}

func (noNetwork) Deliver(netip.AddrPort, peers.Batch) {}
func (noNetwork) Status(context.Context, netip.AddrPort, []string) ([]holder.Status, error) {
	return nil, context.DeadlineExceeded
}
func (noNetwork) Record(context.Context, netip.AddrPort, caller.Request) (caller.Answer, error) {
	return caller.Answer{}, context.DeadlineExceeded
}

// bench is one entry with its fakes, inside a bubble of fake time.
type bench struct {
	t       *testing.T
	entry   *Entry
	fleet   *fakeFleet
	targets *fakeTargets
	mux     *http.ServeMux
	event   time.Time
}

// run starts an entry whose event starts an hour from now and hands it to the test.
func run(t *testing.T, test func(t *testing.T, bench *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		event := time.Now().Add(time.Hour)
		self := member.Member{Name: "bole-1", DataCentre: "bole-hall", Incarnation: 7, State: member.Alive,
			Peer: netip.MustParseAddrPort("10.0.0.1:2"), Caller: netip.MustParseAddrPort("10.0.0.1:1")}
		fleet := &fakeFleet{standing: contact.Good, view: &control.View{Self: self, Members: []member.Member{self},
			Holders: route.NewHolders(1, []member.Member{self}), Document: testDocument(t, event), Maps: testMaps()}}
		targets := &fakeTargets{took: 10 * time.Millisecond, runs: map[string]int{}}
		logger := logrus.New()
		entry := New(ctx, Config{Self: self, Fleet: fleet, Local: targets, Network: noNetwork{}, Book: &quarantine.Tracker{},
			Log: decision.New(logger, "entry", 0), Scope: tally.NoopScope, Random: rand.New(rand.NewPCG(1, 1)), Key: []byte("key")})
		targets.entry = entry
		entry.Apply(fleet.view)
		mux := http.NewServeMux()
		entry.Handle(mux)
		time.Sleep(time.Second) // until the targets' status is known
		test(t, &bench{t, entry, fleet, targets, mux, event})
		cancel()
		synctest.Wait()
	})
}

func testDocument(t *testing.T, event time.Time) *document.Document {
	t.Helper()
	data := fmt.Sprintf(`{"format":1,"revision":3,"published_at":%q,"deployment":"test","data_centres":["bole-hall"],
"sources":[{"name":"leftovers","slots":5,"connections":40,"connect_cost":"6ms"}],
"kinds":[{"name":"search","source":"leftovers","operation":"search","weight":1,"deadline":"1s","rule":"tail","patience":"150ms","repeatable":true},
{"name":"weighing","source":"leftovers","operation":"record","weight":1,"deadline":"1s","rule":"coverage","repeatable":false}],
"events":[{"name":"lunch","start":%q,"sources":["leftovers"],"people":["chef"]}],
"presets":[{"name":"ordinary","hedge_quantile":0.97,"extra_load":0.05,"queue_per_slot":1,"slot_fraction":1,"canary":true,"retry_after":"1s","address_keep":"5s"}],
"preset_in_force":"ordinary"}`, event.Add(-2*time.Hour).Format(time.RFC3339Nano), event.Format(time.RFC3339Nano))
	doc, err := document.Parse([]byte(data))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func testMaps() map[string]*target.PartitionMap {
	server := func(name string) []target.Server {
		return []target.Server{{Name: name, Address: netip.MustParseAddrPort("10.1.0.1:1"), DataCentre: "bole-hall"}}
	}
	half := coverage.KeySpace / 2
	return map[string]*target.PartitionMap{"leftovers": {Source: "leftovers", Version: 1, Shards: []target.Shard{
		{Name: "leftovers/1", Range: coverage.Range{From: 0, To: half}, Servers: server("leftovers/1/1")},
		{Name: "leftovers/2", Range: coverage.Range{From: half, To: coverage.KeySpace}, Servers: server("leftovers/2/1")}}}}
}

func (bench *bench) post(path string, body any) (int, caller.Answer) {
	bench.t.Helper()
	data, ok := body.(string)
	if !ok {
		encoded, err := json.Marshal(body)
		if err != nil {
			bench.t.Fatal(err)
		}
		data = string(encoded)
	}
	recorder := httptest.NewRecorder()
	bench.mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, bytes.NewReader([]byte(data))))
	var answer caller.Answer
	if err := json.Unmarshal(recorder.Body.Bytes(), &answer); err != nil {
		bench.t.Fatalf("answer %q: %v", recorder.Body, err)
	}
	return recorder.Code, answer
}

func search() caller.Request {
	return caller.Request{RequestID: "r1", Caller: "chef", Event: "lunch", Kind: "search", Query: "injera"}
}

func weighing(ticket string) caller.Request {
	return caller.Request{RequestID: "w1", Caller: "chef", Event: "lunch", Kind: "weighing", Key: "tray-1", Query: "3 kg", Ticket: ticket}
}

func assertAnswer(t *testing.T, answer caller.Answer, code result.Code, ran result.Ran) {
	t.Helper()
	if answer.Code != code || answer.Ran != ran {
		t.Fatalf("got %v ran=%s (%s %s), want %v ran=%s", answer.Code, answer.Ran, answer.Field, answer.Detail, code, ran)
	}
}

func TestSearchAnswersWithItsPins(t *testing.T) {
	run(t, func(t *testing.T, bench *bench) {
		status, answer := bench.post(caller.SearchPath, search())
		assertAnswer(t, answer, result.OK, result.RanYes)
		if status != http.StatusOK || answer.Snapshot != 41 || answer.Revision != 3 || answer.Preset != "ordinary" ||
			answer.Coverage.Fraction != 1 || len(answer.Hits) != 2 || answer.Instance != "bole-1" {
			t.Fatalf("status %d, answer %+v", status, answer)
		}
	})
}

func TestRefusalsNameTheField(t *testing.T) {
	change := func(change func(*caller.Request)) caller.Request {
		request := search()
		change(&request)
		return request
	}
	tests := []struct {
		name   string
		body   any
		status int
		code   result.Code
		field  string
	}{
		{"unknown field", `{"caller":"chef","qwery":"x"}`, 400, result.BadRequest, "qwery"},
		{"no JSON", `hello`, 400, result.BadRequest, "(document)"},
		{"no caller", change(func(r *caller.Request) { r.Caller = "" }), 400, result.BadRequest, "caller"},
		{"neither query nor key", change(func(r *caller.Request) { r.Query = "" }), 400, result.BadRequest, "query"},
		{"unknown kind", change(func(r *caller.Request) { r.Kind = "feast" }), 404, result.UnknownKind, "kind"},
		{"kind of another path", change(func(r *caller.Request) { r.Kind = "weighing" }), 404, result.UnknownKind, "kind"},
		{"unknown event", change(func(r *caller.Request) { r.Event = "dinner" }), 404, result.UnknownEvent, "event"},
		{"not served", change(func(r *caller.Request) { r.Caller = "stranger" }), 403, result.NotServed, "caller"},
		{"late deadline", change(func(r *caller.Request) { r.Deadline = time.Unix(1, 0) }), 503, result.TooLate, "deadline"},
	}
	run(t, func(t *testing.T, bench *bench) {
		for _, test := range tests {
			status, answer := bench.post(caller.SearchPath, test.body)
			assertAnswer(t, answer, test.code, result.RanNo)
			if status != test.status || answer.Field != test.field {
				t.Errorf("%s: status %d field %q, want %d %q", test.name, status, answer.Field, test.status, test.field)
			}
		}
	})
}

func TestStandingDecidesWhetherWorkIsTaken(t *testing.T) {
	tests := map[contact.Standing]result.Code{contact.Waiting: result.NotReady, contact.Isolated: result.Isolated,
		contact.Paused: result.Paused, contact.Undecided: result.Isolated}
	run(t, func(t *testing.T, bench *bench) {
		for standing, code := range tests {
			bench.fleet.standing = standing
			_, answer := bench.post(caller.SearchPath, search())
			assertAnswer(t, answer, code, result.RanNo)
			if answer.RetryAfter <= 0 || answer.Addresses == nil {
				t.Errorf("%v: no time to come back or no addresses: %+v", standing, answer)
			}
		}
		if got := bench.targets.ran("r1"); got != 0 {
			t.Fatalf("refused requests ran %d times", got)
		}
	})
}

func TestAnswersComeBeforeTheEventStarts(t *testing.T) {
	run(t, func(t *testing.T, bench *bench) {
		bench.targets.took = 10 * time.Second
		time.Sleep(time.Until(bench.event.Add(-StartMargin - 100*time.Millisecond)))
		_, answer := bench.post(caller.SearchPath, search())
		assertAnswer(t, answer, result.DeadlineExceeded, result.RanUnknown)
		if left := time.Until(bench.event); left < StartMargin {
			t.Fatalf("answered %v before the start, want at least %v", left, StartMargin)
		}
		_, answer = bench.post(caller.SearchPath, search())
		assertAnswer(t, answer, result.TooLate, result.RanNo)
		time.Sleep(10 * time.Millisecond)
		_, answer = bench.post(caller.SearchPath, search())
		assertAnswer(t, answer, result.EventStarted, result.RanNo)
		time.Sleep(bench.targets.took)
	})
}

func TestRecordNeedsATicketAndRunsOnce(t *testing.T) {
	run(t, func(t *testing.T, bench *bench) {
		_, answer := bench.post(caller.RecordPath, weighing(""))
		assertAnswer(t, answer, result.TicketNeeded, result.RanNo)
		ticket := answer.Ticket
		for range 3 {
			_, answer = bench.post(caller.RecordPath, weighing(ticket))
			assertAnswer(t, answer, result.OK, result.RanYes)
		}
		if got := bench.targets.ran("w1"); got != 1 {
			t.Fatalf("the record ran %d times", got)
		}
		other := weighing(ticket)
		other.Key = "tray-2"
		_, answer = bench.post(caller.RecordPath, other)
		assertAnswer(t, answer, result.TicketMismatch, result.RanNo)
	})
}

func TestRecordSentAgainWhileItRunsGetsTheSameOutcome(t *testing.T) {
	run(t, func(t *testing.T, bench *bench) {
		bench.targets.took = 300 * time.Millisecond
		ticket := bench.entry.ledger.Issue().String()
		answers := make(chan caller.Answer, 5)
		for range cap(answers) {
			go func() {
				_, answer := bench.post(caller.RecordPath, weighing(ticket))
				answers <- answer
			}()
		}
		for range cap(answers) {
			assertAnswer(t, <-answers, result.OK, result.RanYes)
		}
		if got := bench.targets.ran("w1"); got != 1 {
			t.Fatalf("the record ran %d times", got)
		}
	})
}

func TestUnknownOutcomeStaysUnknown(t *testing.T) {
	run(t, func(t *testing.T, bench *bench) {
		bench.targets.code = result.Broken
		ticket := bench.entry.ledger.Issue().String()
		for range 3 {
			_, answer := bench.post(caller.RecordPath, weighing(ticket))
			assertAnswer(t, answer, result.Broken, result.RanUnknown)
			bench.targets.code = result.OK
		}
		if got := bench.targets.ran("w1"); got != 1 {
			t.Fatalf("the record ran %d times", got)
		}
	})
}

func TestRecordThatDidNotRunMayUseItsTicketAgain(t *testing.T) {
	run(t, func(t *testing.T, bench *bench) {
		bench.targets.code = result.Draining
		ticket := bench.entry.ledger.Issue().String()
		_, answer := bench.post(caller.RecordPath, weighing(ticket))
		if answer.Ran != result.RanNo {
			t.Fatalf("answer %+v", answer)
		}
		bench.targets.code = result.OK
		_, answer = bench.post(caller.RecordPath, weighing(ticket))
		assertAnswer(t, answer, result.OK, result.RanYes)
	})
}

func TestTicketOfAGoneOwnerIsNeverRunElsewhere(t *testing.T) {
	run(t, func(t *testing.T, bench *bench) {
		ticket := "bole-2~1~1~00000000000000000000000000000000"
		_, answer := bench.post(caller.RecordPath, weighing(ticket))
		assertAnswer(t, answer, result.OwnerGone, result.RanUnknown)
		if got := bench.targets.ran("w1"); got != 0 {
			t.Fatalf("the record ran %d times", got)
		}
	})
}

func TestStoppingInstanceNamesOthersAndGivesNoTicket(t *testing.T) {
	run(t, func(t *testing.T, bench *bench) {
		bench.entry.Stop()
		_, answer := bench.post(caller.SearchPath, search())
		assertAnswer(t, answer, result.OK, result.RanYes)
		if answer.Addresses == nil {
			t.Fatal("the answer carries no fresher addresses")
		}
		recorder := httptest.NewRecorder()
		bench.mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, caller.AddressesPath, nil))
		var addresses caller.Addresses
		if err := json.Unmarshal(recorder.Body.Bytes(), &addresses); err != nil || addresses.Ticket != "" {
			t.Fatalf("addresses %+v, %v", addresses, err)
		}
	})
}

func TestLateAndStrangeAnswersAreDropped(t *testing.T) {
	run(t, func(t *testing.T, bench *bench) {
		_, answer := bench.post(caller.SearchPath, search())
		assertAnswer(t, answer, result.OK, result.RanYes)
		stranger := holder.Answer{Attempt: target.Attempt{1, 2, 3}, Target: "leftovers/1/1", Code: result.OK}
		bench.entry.Return([]holder.Answer{stranger, stranger})
		_, answer = bench.post(caller.SearchPath, search())
		assertAnswer(t, answer, result.OK, result.RanYes)
		if len(answer.Hits) != 2 {
			t.Fatalf("hits %v", answer.Hits)
		}
	})
}
