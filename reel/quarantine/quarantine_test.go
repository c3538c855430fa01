package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)

func assertVerdict(t *testing.T, book *Book, now time.Time, want Verdict) {
	t.Helper()
	if got := book.Judge(now, 7); got != want {
		t.Fatalf("verdict %v, want %v", got, want)
	}
}

func TestVerdicts(t *testing.T) {
	var book Book
	assertVerdict(t, &book, start, Untried)
	book.Passed(start, 7)
	assertVerdict(t, &book, start, Clear)
	book.Broke(start, 7, "a")
	assertVerdict(t, &book, start, Suspect)
	book.Broke(start.Add(500*time.Millisecond), 7, "a")
	assertVerdict(t, &book, start, Suspect)
	book.Broke(start.Add(2*time.Second), 7, "a")
	assertVerdict(t, &book, start, Quarantined)
}

func TestQuarantineEndsByItself(t *testing.T) {
	var book Book
	book.Broke(start, 7, "a")
	book.Broke(start, 7, "b")
	assertVerdict(t, &book, start.Add(Term-time.Second), Quarantined)
	assertVerdict(t, &book, start.Add(Term), Untried)
	book.Sweep(start.Add(Term))
	if got := book.Marks(start); len(got) != 0 {
		t.Fatalf("marks %v after the sweep", got)
	}
}

func TestTrialLiftsTheMarkForThoseWhoHearOfIt(t *testing.T) {
	var here, there Book
	there.Merge(start, here.Broke(start, 7, "a"))
	lifted, ok := here.Passed(start, 7)
	if !ok {
		t.Fatal("the trial lifted nothing")
	}
	assertVerdict(t, &there, start, Suspect)
	if got := there.JudgeFor(start, 7, Trust{Passed: true, Version: lifted.Version}); got != Clear {
		t.Fatalf("an entry that knows of the trial is told %v", got)
	}
	if got := there.JudgeFor(start, 7, Trust{Passed: true}); got != Suspect {
		t.Fatalf("an entry that trusts from before the break is told %v", got)
	}
	there.Merge(start, lifted)
	assertVerdict(t, &there, start, Untried)
}

func TestTrustIsBounded(t *testing.T) {
	var book Book
	for i := range MaxClear + 100 {
		book.Passed(start, Fingerprint(i))
	}
	if got := book.Judge(start, 0); got != Untried {
		t.Fatalf("the oldest of too many is still %v", got)
	}
	if got := book.Judge(start, MaxClear+99); got != Clear {
		t.Fatalf("the newest is %v", got)
	}
}

// TestBooksConverge merges marks in any order; all books agree once all have heard all.
func TestBooksConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := []*Book{{}, {}, {}}
		var marks []Mark
		for i := range rapid.IntRange(1, 6).Draw(t, "breaks") {
			book := rapid.SampledFrom(books).Draw(t, "book")
			marks = append(marks, book.Broke(start, 7, fmt.Sprintf("t%d", i)))
			if rapid.Bool().Draw(t, "tells") {
				rapid.SampledFrom(books).Draw(t, "other").Merge(start, marks[len(marks)-1])
			}
		}
		for range 2 {
			for _, from := range books {
				for _, to := range books {
					for _, mark := range from.Marks(start) {
						to.Merge(start, mark)
					}
				}
			}
		}
		for _, book := range books[1:] {
			if a, b := books[0].Judge(start, 7), book.Judge(start, 7); a != b {
				t.Fatalf("books disagree: %v and %v", a, b)
			}
		}
	})
}
