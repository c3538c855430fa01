package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// MaxLosses is the number of targets a fingerprint may be involved in losing.
	MaxLosses = 2
	// Term is how long a mark lasts after its last change.
	Term = 60 * time.Second
	// ClearTerm is how long a fingerprint that ran well is trusted.
	ClearTerm = 10 * time.Minute
	// sameLoss is the time within which breaks of one target count as one loss.
	sameLoss = time.Second
	// MaxClear bounds the number of trusted fingerprints kept.
	MaxClear = 1 << 16
)

// Fingerprint identifies requests of the same kind and content.
type Fingerprint uint64

// Verdict says how a fingerprint may run.
type Verdict int

// Verdicts, from freest to strictest.
const (
	Clear Verdict = iota
	Untried
	Suspect
	Quarantined
)

// String returns the verdict's name.
func (verdict Verdict) String() string {
	return [...]string{"clear", "untried", "suspect", "quarantined"}[verdict]
}

// Loss is one break of a target while a fingerprint ran on it.
type Loss struct {
	Target string    `json:"target" msgpack:"t"`
	At     time.Time `json:"at" msgpack:"a"`
}

// Mark is what is known against a fingerprint, as instances tell it to each other.
type Mark struct {
	Fingerprint Fingerprint `json:"fingerprint" msgpack:"f"`
	Version     uint64      `json:"version" msgpack:"v"`
	Losses      []Loss      `json:"losses" msgpack:"l"`
	Until       time.Time   `json:"until" msgpack:"u"`
}

// Book keeps the marks and the trusted fingerprints; its zero value is ready, and it may be shared.
type Book struct {
	mutex sync.Mutex
	marks map[Fingerprint]Mark
	clear map[Fingerprint]time.Time
	since map[Fingerprint]time.Time // when each mark last changed here
	order []Fingerprint             // trusted fingerprints, oldest first
}

// Judge returns how the fingerprint may run now for an entry that knows no mark of its own.
func (book *Book) Judge(now time.Time, fingerprint Fingerprint) Verdict {
	return book.JudgeFor(now, fingerprint, Trust{})
}

// Trust is an entry's word that a fingerprint ran well, and up to which mark that holds.
type Trust struct {
	Passed  bool
	Version uint64
}

// JudgeFor returns how the fingerprint may run now, given what the entry knows of it.
func (book *Book) JudgeFor(now time.Time, fingerprint Fingerprint, trust Trust) Verdict {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	mark, marked := book.marks[fingerprint]
	if marked && now.Before(mark.Until) && len(mark.Losses) > 0 {
		switch {
		case len(mark.Losses) >= MaxLosses:
			return Quarantined
		case !trust.Passed || trust.Version < mark.Version:
			return Suspect
		}
		return Clear
	}
	if until, ok := book.clear[fingerprint]; trust.Passed || ok && now.Before(until) {
		return Clear
	}
	return Untried
}

// Changed returns when the mark on the fingerprint last changed here.
func (book *Book) Changed(fingerprint Fingerprint) time.Time {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return book.since[fingerprint]
}

// Version returns the version of the mark on the fingerprint, 0 without one.
func (book *Book) Version(fingerprint Fingerprint) uint64 {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return book.marks[fingerprint].Version
}

// Lost returns the targets that the fingerprint was running on when they broke.
func (book *Book) Lost(fingerprint Fingerprint) []string {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	var targets []string
	for _, loss := range book.marks[fingerprint].Losses {
		targets = append(targets, loss.Target)
	}
	return targets
}

// Remaining returns how long the mark on the fingerprint still lasts.
func (book *Book) Remaining(now time.Time, fingerprint Fingerprint) time.Duration {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return max(0, book.marks[fingerprint].Until.Sub(now))
}

// Broke records that a target broke while the fingerprint ran on it and returns the new mark.
func (book *Book) Broke(now time.Time, fingerprint Fingerprint, target string) Mark {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.init()
	delete(book.clear, fingerprint)
	mark := book.current(now, fingerprint)
	mark.Losses = union(mark.Losses, []Loss{{target, now}})
	mark.Version++
	mark.Until = now.Add(Term)
	book.set(now, mark)
	return mark
}

// Passed records that the fingerprint ran well and returns the new mark if it lifted one.
func (book *Book) Passed(now time.Time, fingerprint Fingerprint) (Mark, bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.init()
	mark, marked := book.marks[fingerprint]
	if marked && len(mark.Losses) >= MaxLosses && now.Before(mark.Until) {
		return Mark{}, false
	}
	book.trust(now, fingerprint)
	if !marked || len(mark.Losses) == 0 {
		return Mark{}, false
	}
	mark.Losses = nil
	mark.Version++
	mark.Until = now.Add(Term)
	book.set(now, mark)
	return mark, true
}

// Merge takes a mark heard from a peer and reports whether it changed anything.
func (book *Book) Merge(now time.Time, heard Mark) bool {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.init()
	if !now.Before(heard.Until) {
		return false
	}
	heard.Until = earlier(heard.Until, now.Add(Term))
	known := book.current(now, heard.Fingerprint)
	switch {
	case heard.Version < known.Version:
		return false
	case heard.Version == known.Version:
		merged := union(known.Losses, heard.Losses)
		if len(merged) == len(known.Losses) {
			return false
		}
		heard.Losses = merged
	case len(known.Losses) >= MaxLosses:
		heard.Losses = union(known.Losses, heard.Losses)
	}
	if len(heard.Losses) > 0 {
		delete(book.clear, heard.Fingerprint)
	}
	book.set(now, heard)
	return true
}

// Marks returns the marks in force, ordered by fingerprint.
func (book *Book) Marks(now time.Time) []Mark {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	var marks []Mark
	for _, mark := range book.marks {
		if now.Before(mark.Until) {
			marks = append(marks, mark)
		}
	}
	slices.SortFunc(marks, func(a, b Mark) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return marks
}

// Sweep forgets what has expired.
func (book *Book) Sweep(now time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	for fingerprint, mark := range book.marks {
		if !now.Before(mark.Until) {
			delete(book.marks, fingerprint)
			delete(book.since, fingerprint)
		}
	}
	for fingerprint, until := range book.clear {
		if !now.Before(until) {
			delete(book.clear, fingerprint)
		}
	}
	book.order = slices.DeleteFunc(book.order, func(fingerprint Fingerprint) bool {
		_, known := book.clear[fingerprint]
		return !known
	})
}

func (book *Book) set(now time.Time, mark Mark) {
	book.marks[mark.Fingerprint] = mark
	book.since[mark.Fingerprint] = now
}

func (book *Book) init() {
	if book.marks == nil {
		book.marks = map[Fingerprint]Mark{}
		book.since = map[Fingerprint]time.Time{}
		book.clear = map[Fingerprint]time.Time{}
	}
}

func (book *Book) current(now time.Time, fingerprint Fingerprint) Mark {
	mark, ok := book.marks[fingerprint]
	if !ok || !now.Before(mark.Until) {
		return Mark{Fingerprint: fingerprint}
	}
	return mark
}

func (book *Book) trust(now time.Time, fingerprint Fingerprint) {
	if _, known := book.clear[fingerprint]; !known {
		book.order = append(book.order, fingerprint)
	}
	book.clear[fingerprint] = now.Add(ClearTerm)
	for len(book.order) > MaxClear {
		delete(book.clear, book.order[0])
		book.order = book.order[1:]
	}
}

// union joins losses; breaks of one target within sameLoss are one.
func union(a, b []Loss) []Loss {
	merged := slices.Concat(a, b)
	slices.SortFunc(merged, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), a.At.Compare(b.At))
	})
	return slices.CompactFunc(merged, func(a, b Loss) bool {
		return a.Target == b.Target && b.At.Sub(a.At).Abs() < sameLoss
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
