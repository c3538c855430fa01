package catalogue

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// lapseTerm is how long after the store's return a living target may take to register again: two seconds
	// by the users' word, and a moment to read it.
	lapseTerm = 2300 * time.Millisecond
	// forgetTerm is how long a removed target's last sequence number is kept.
	forgetTerm = 2 * time.Minute
)

// Target is one server of a service as it registered itself.
type Target struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	Leaving    bool
	Born       int64  // start of the process in milliseconds of the Unix epoch, 0 if it does not say
	Seq        uint64 // rises with each report of one process
}

// Change tells what a step changed in what this instance believes, and why.
type Change struct {
	Target string
	What   string
}

// View is what requests are routed by; it is never changed, only replaced.
type View struct {
	Configuration *Configuration // nil until one is known
	services      map[string][]Target
	Serial        uint64 // rises with each change
}

// Targets returns the targets of the service that take new work, ordered by id.
func (view *View) Targets(service string) []Target {
	return view.services[service]
}

// Catalogue follows the registrations of targets and the versions of the configuration.
type Catalogue struct {
	configuration *Configuration
	configured    uint64 // serial at which it took force
	entries       map[string]*entry
	failing       bool      // whether the newest call to the store failed
	returnedAt    time.Time // of the store after it failed
	serial        uint64
	view          *View
}

type entry struct {
	Target
	removedAt time.Time // zero while registered
	goneAt    time.Time // from when a removed target takes no more work
	listed    bool      // named by the full reading in progress
	serial    uint64    // of the catalogue at the newest change
}

// registered reports whether the target is registered, or may be living although its registration lapsed.
func (entry *entry) registered() bool {
	return entry.removedAt.IsZero() || entry.goneAt.After(entry.removedAt)
}

// New returns an empty catalogue.
func New() *Catalogue {
	return &Catalogue{entries: map[string]*entry{}}
}

// Configure puts a newer version in force; it reports false for one that is not newer.
func (catalogue *Catalogue) Configure(configuration *Configuration) bool {
	if catalogue.configuration != nil && configuration.Version <= catalogue.configuration.Version {
		return false
	}
	catalogue.configuration = configuration
	catalogue.changed(nil)
	catalogue.configured = catalogue.serial
	return true
}

// Register takes a target's report. A report that is older than a known one of the same process is dropped.
func (catalogue *Catalogue) Register(target Target) (Change, bool) {
	known, ok := catalogue.entries[target.ID]
	if !ok {
		known = &entry{Target: target, listed: true}
		catalogue.entries[target.ID] = known
		catalogue.changed(known)
		return Change{target.ID, "registered"}, true
	}
	known.listed = true
	same := target.Born == known.Born
	if target.Born < known.Born || same && target.Seq < known.Seq {
		return Change{target.ID, "dropped an older report"}, false
	}
	back := !known.removedAt.IsZero()
	if back && same && target.Seq == known.Seq {
		return Change{target.ID, "dropped an older report"}, false
	}
	// A process that has begun to leave does not come back.
	target.Leaving = target.Leaving || same && known.Leaving
	altered := back || known.Leaving != target.Leaving || known.Address != target.Address ||
		known.Service != target.Service || known.Born != target.Born || known.DataCentre != target.DataCentre
	known.Target = target
	known.removedAt, known.goneAt = time.Time{}, time.Time{}
	if !altered {
		return Change{}, false
	}
	catalogue.changed(known)
	switch {
	case target.Leaving:
		return Change{target.ID, "leaving"}, true
	case back:
		return Change{target.ID, "registered again"}, true
	default:
		return Change{target.ID, "restarted or moved"}, true
	}
}

// Remove takes the end of a registration. While the store is unsettled a living target may only have lapsed.
func (catalogue *Catalogue) Remove(now time.Time, id string) (Change, bool) {
	known, ok := catalogue.entries[id]
	if !ok || !known.removedAt.IsZero() {
		return Change{}, false
	}
	known.removedAt = now
	known.goneAt = now
	what := "removed"
	if catalogue.Unsettled(now) {
		known.goneAt = catalogue.returnedAt.Add(lapseTerm)
		what = "lapsed while the store was unsettled"
	}
	catalogue.changed(known)
	return Change{id, what}, true
}

// BeginListing starts a full reading: what it does not name until EndListing is removed.
func (catalogue *Catalogue) BeginListing() {
	for _, entry := range catalogue.entries {
		entry.listed = false
	}
}

// EndListing removes the targets that the full reading did not name.
func (catalogue *Catalogue) EndListing(now time.Time) []Change {
	var changes []Change
	for _, id := range catalogue.ids() {
		if entry := catalogue.entries[id]; !entry.listed {
			if change, ok := catalogue.Remove(now, id); ok {
				changes = append(changes, change)
			}
		}
	}
	return changes
}

// Failed notes that a call to the store failed or was late.
func (catalogue *Catalogue) Failed() {
	catalogue.failing = true
}

// Answered notes that the store answered a call.
func (catalogue *Catalogue) Answered(now time.Time) {
	if catalogue.failing {
		catalogue.failing = false
		catalogue.returnedAt = now
	}
}

// Unsettled reports whether the store is back so lately that a removal may be the lapse of a living target.
func (catalogue *Catalogue) Unsettled(now time.Time) bool {
	return !catalogue.returnedAt.IsZero() && now.Sub(catalogue.returnedAt) < lapseTerm
}

// Tick lets time pass: lapsed targets that did not register again are gone.
func (catalogue *Catalogue) Tick(now time.Time) []Change {
	var changes []Change
	for _, id := range catalogue.ids() {
		entry := catalogue.entries[id]
		switch {
		case entry.removedAt.IsZero():
		case now.Sub(entry.removedAt) >= forgetTerm:
			delete(catalogue.entries, id)
		case entry.goneAt.After(entry.removedAt) && !now.Before(entry.goneAt):
			entry.goneAt = entry.removedAt
			catalogue.changed(entry)
			changes = append(changes, Change{id, "gone after its lapse"})
		}
	}
	return changes
}

// Configuration returns the newest version, nil before the first.
func (catalogue *Catalogue) Configuration() *Configuration {
	return catalogue.configuration
}

// View returns what requests are routed by.
func (catalogue *Catalogue) View() *View {
	if catalogue.view != nil {
		return catalogue.view
	}
	view := &View{Configuration: catalogue.configuration, services: map[string][]Target{}, Serial: catalogue.serial}
	for _, entry := range catalogue.entries {
		if !entry.Leaving && entry.registered() {
			view.services[entry.Service] = append(view.services[entry.Service], entry.Target)
		}
	}
	for _, targets := range view.services {
		slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	catalogue.view = view
	return view
}

// changed makes a new view due; entry is the target that changed, if one did.
func (catalogue *Catalogue) changed(entry *entry) {
	catalogue.serial++
	catalogue.view = nil
	if entry != nil {
		entry.serial = catalogue.serial
	}
}

func (catalogue *Catalogue) ids() []string {
	ids := make([]string, 0, len(catalogue.entries))
	for id := range catalogue.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
