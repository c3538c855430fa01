package ticket

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

func newTestLedger(instance string, window int) *Ledger[string] {
	return NewLedger(instance, 7, []byte("key of "+instance), WithWindow[string](window))
}

func TestParseReadsString(t *testing.T) {
	issued := newTestLedger("bole-1", 10).Issue()
	parsed, err := Parse(issued.String())
	if err != nil || parsed != issued {
		t.Fatalf("Parse(%q) = %v, %v", issued, parsed, err)
	}
	for _, text := range []string{"", "a", "a~b~c", "~1~1~00", "a~1~1~zz", "a~1~1~00", "a~-1~1~00000000000000000000000000000000"} {
		if _, err := Parse(text); !errors.Is(err, ErrMalformed) {
			t.Errorf("Parse(%q) returned %v, want ErrMalformed", text, err)
		}
	}
}

func TestClaims(t *testing.T) {
	ledger := newTestLedger("bole-1", 3)
	ticket := ledger.Issue()
	changed := ticket
	changed.Sequence++
	foreign := newTestLedger("bole-2", 3).Issue()
	restarted := NewLedger[string]("bole-1", 8, []byte("other key")).Issue()
	steps := []struct {
		name   string
		claim  func() Claim[string]
		want   ClaimStatus
		finish string
	}{
		{"first", func() Claim[string] { return ledger.Claim(ticket, 1) }, Granted, ""},
		{"while the first claim runs", func() Claim[string] { return ledger.Claim(ticket, 1) }, InProgress, "done"},
		{"after the end of the run", func() Claim[string] { return ledger.Claim(ticket, 1) }, Finished, ""},
		{"for another request", func() Claim[string] { return ledger.Claim(ticket, 2) }, Reused, ""},
		{"with a changed sequence number", func() Claim[string] { return ledger.Claim(changed, 1) }, Forged, ""},
		{"of another instance", func() Claim[string] { return ledger.Claim(foreign, 1) }, OtherOwner, ""},
		{"of another incarnation", func() Claim[string] { return ledger.Claim(restarted, 1) }, OtherOwner, ""},
	}
	for _, step := range steps {
		if got := step.claim(); got.Status != step.want {
			t.Errorf("%s: status %d, want %d", step.name, got.Status, step.want)
		}
		if step.finish != "" {
			ledger.Finish(ticket, step.finish)
		}
	}
}

func TestMemoryIsBoundedAndOldTicketsAreForgotten(t *testing.T) {
	ledger := newTestLedger("bole-1", 100)
	old := ledger.Issue()
	if got := ledger.Claim(old, 1).Status; got != Granted {
		t.Fatalf("status %d of the first claim, want Granted", got)
	}
	for range 1000 {
		ticket := ledger.Issue()
		ledger.Claim(ticket, 1)
		ledger.Finish(ticket, "x")
		if ledger.Len() > 100 {
			t.Fatalf("the ledger keeps %d outcomes, want at most 100", ledger.Len())
		}
	}
	ledger.Finish(old, "late")
	if got := ledger.Claim(old, 1).Status; got != Forgotten {
		t.Fatalf("status %d of a ticket older than the window, want Forgotten", got)
	}
}

func TestReleasedTicketCanBeClaimedAgain(t *testing.T) {
	ledger := newTestLedger("bole-1", 10)
	ticket := ledger.Issue()
	ledger.Claim(ticket, 1)
	waiting := ledger.Claim(ticket, 1)
	ledger.Release(ticket)
	<-waiting.Done
	if got := ledger.Claim(ticket, 1).Status; got != Granted {
		t.Fatalf("status %d after a release, want Granted", got)
	}
}

// TestNoTicketRunsTwice claims random tickets at two ledgers, of which one is not the owner, and guards against a
// ticket that is granted twice.
func TestNoTicketRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledgers := []*Ledger[string]{newTestLedger("a", 5), newTestLedger("b", 5)}
		var tickets []Ticket
		runs := map[Ticket]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			ledger := rapid.SampledFrom(ledgers).Draw(t, "ledger")
			if len(tickets) == 0 || rapid.Bool().Draw(t, "issue") {
				tickets = append(tickets, ledger.Issue())
				continue
			}
			ticket := rapid.SampledFrom(tickets).Draw(t, "ticket")
			if ledger.Claim(ticket, 1).Status == Granted {
				runs[ticket]++
				if rapid.Bool().Draw(t, "finishes") {
					ledger.Finish(ticket, "ok")
				}
			}
			if runs[ticket] > 1 {
				t.Fatalf("ticket %v ran %d times", ticket, runs[ticket])
			}
		}
	})
}

type claimInput struct{ caller int }
type claimOutput struct{ outcome string }

// TestConcurrentClaimsAreLinearizable checks that all concurrent callers with one ticket get the outcome of the first
// granted run.
func TestConcurrentClaimsAreLinearizable(t *testing.T) {
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			outcome := output.(claimOutput).outcome
			if state == "" {
				return outcome == fmt.Sprint(input.(claimInput).caller), outcome
			}
			return outcome == state, state
		},
	}
	ledger := newTestLedger("a", 10)
	ticket := ledger.Issue()
	var mutex sync.Mutex
	var history []porcupine.Operation
	var callers sync.WaitGroup
	start := time.Now()
	for caller := range 8 {
		callers.Go(func() {
			call := time.Since(start).Nanoseconds()
			outcome := claimUntilDone(ledger, ticket, caller)
			mutex.Lock()
			defer mutex.Unlock()
			history = append(history, porcupine.Operation{ClientId: caller,
				Input: claimInput{caller}, Call: call, Output: claimOutput{outcome}, Return: time.Since(start).Nanoseconds()})
		})
	}
	callers.Wait()
	if !porcupine.CheckOperations(model, history) {
		t.Fatalf("history is not linearizable: %v", history)
	}
}

func claimUntilDone(ledger *Ledger[string], ticket Ticket, caller int) string {
	for {
		switch claim := ledger.Claim(ticket, 1); claim.Status {
		case Granted:
			ledger.Finish(ticket, fmt.Sprint(caller))
			return fmt.Sprint(caller)
		case Finished:
			return claim.Outcome
		default:
			<-claim.Done
		}
	}
}
