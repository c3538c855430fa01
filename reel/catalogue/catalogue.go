package catalogue

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"shallotreel.example/reel/storepos"
)

// tombstoneTTL is how long the last report of a removed target and its position are kept, so that older reports are
// detected.
const tombstoneTTL = 2 * time.Minute

// Target is a server of a service, as it registered itself.
type Target struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int    // maximum number of requests that it runs concurrently
	Leaving    bool   // whether it drains and takes no new work
	Born       int64  // start of the process in milliseconds since the Unix epoch, 0 if not reported
	Seq        uint64 // increases with each report of one process
	// ColdLeft is how long the target was still cold at ColdAt, which is zero if it is unknown.
	ColdLeft time.Duration
	ColdAt   time.Time // when the instance that reads the store read the registration, by its clock
	// Position is the newest state of the store that is known to have the registration, or in which the registration had ended. It is zero if
	// the target was told by an instance whose build does not know positions.
	Position storepos.Position
}

// Change is a change to one target in the catalogue.
type Change struct {
	Target       string // ID of the target
	Kind         string // such as "registered" or "leaving"
	Registration Target // new registration, zero if it has ended or did not change
	Ended        bool   // whether the registration ended without the target saying before that it leaves
}

// View is an immutable snapshot of the catalogue by which requests are routed.
type View struct {
	Configuration *Configuration // nil before the first version
	services      map[string][]Target
	evacuation    evacuationView
	Serial        uint64 // serial of the catalogue, which increases with each change
}

// Targets returns the targets of the service that take new work, ordered by ID. Targets of evacuated data centres do not.
func (view *View) Targets(service string) []Target {
	return view.services[service]
}

// Catalogue tracks the registrations of targets and the versions of the configuration. It is not safe for concurrent
// use, except that its views may be read from any goroutine.
type Catalogue struct {
	configuration       *Configuration
	configurationSerial uint64 // serial at which the configuration took effect
	entries             map[string]*entry
	evacuations         evacuations
	storeFailing        bool      // whether the latest call to the store failed
	storeAnsweredAt     time.Time // when the store last answered, zero if never
	storeLostAt         time.Time // when it last answered before the latest outage, zero if never
	storeRecoveredAt    time.Time // when the store last answered after a failure, zero if never
	serial              uint64
	view                *View
}

// entry is a target that is registered or was removed less than tombstoneTTL ago.
type entry struct {
	Target
	removedAt  time.Time // when the registration ended, zero while registered
	unusableAt time.Time // when a removed target stops taking work
	listed     bool      // whether the listing in progress contains the target
	serial     uint64    // serial of the catalogue at the latest change
	held       *held     // report that a restored store has, nil if there is none
}

// New returns an empty catalogue.
func New() *Catalogue {
	return &Catalogue{entries: map[string]*entry{}, evacuations: evacuations{states: map[string]*evacuationState{}}}
}

// Configure applies the configuration. It reports false and does nothing if its version is not newer than the current
// one.
func (catalogue *Catalogue) Configure(configuration *Configuration) bool {
	if catalogue.configuration != nil && configuration.Version <= catalogue.configuration.Version {
		return false
	}
	catalogue.configuration = configuration
	catalogue.changed(nil)
	catalogue.configurationSerial = catalogue.serial
	return true
}

// Register applies a target's report of itself and reports whether that changed the target. A report that is older than what is known is
// dropped.
func (catalogue *Catalogue) Register(target Target) (Change, bool) {
	existing, ok := catalogue.entries[target.ID]
	if !ok {
		existing = &entry{Target: target, listed: true}
		catalogue.entries[target.ID] = existing
		catalogue.changed(existing)
		return Change{Target: target.ID, Kind: "registered", Registration: target}, true
	}
	existing.listed = true
	if existing.outdates(target) {
		existing.hold(target)
		return Change{Target: target.ID, Kind: "dropped an older report"}, false
	}
	return catalogue.replace(existing, target)
}

// replace makes the report that of the entry, and reports whether that changed the target.
func (catalogue *Catalogue) replace(existing *entry, target Target) (Change, bool) {
	existing.held = nil
	if !target.Position.IsKnown() {
		target.Position = existing.Position
	}
	sameProcess, wasRemoved := target.Born == existing.Born, existing.isRemoved()
	// A process that is leaving stays so, whatever it reports later.
	target.Leaving = target.Leaving || sameProcess && existing.Leaving
	altered := wasRemoved || existing.Leaving != target.Leaving || existing.Address != target.Address ||
		existing.Service != target.Service || existing.Born != target.Born || existing.DataCentre != target.DataCentre
	coldChanged := target.coldDiffers(existing.Target)
	if !coldChanged && (!altered || sameProcess && target.ColdAt.IsZero()) {
		target.ColdLeft, target.ColdAt = existing.ColdLeft, existing.ColdAt // as published, so that small differences add up
	}
	existing.Target = target
	existing.removedAt, existing.unusableAt = time.Time{}, time.Time{}
	if !altered && !coldChanged {
		return Change{}, false
	}
	catalogue.changed(existing)
	change := Change{Target: target.ID, Kind: "restarted or moved", Registration: target}
	switch {
	case target.Leaving:
		change.Kind = "leaving"
	case wasRemoved:
		change.Kind = "registered again"
	case !altered:
		change.Kind = "cold period changed"
	}
	return change, true
}

// outdates reports whether the report is older than what is known of the target, also of its removal. Within an era of the store the
// revisions tell; a report that lacks the start of the process is another program's. Otherwise the starts of the processes and the numbers of
// the reports do: a store that was restored returns older reports, and some builds do not tell positions.
func (entry *entry) outdates(target Target) bool {
	if target.Position.IsSameEra(entry.Position) && target.Position != entry.Position {
		return entry.Position.IsAfter(target.Position) || target.Born == 0 && entry.Born > 0
	}
	switch {
	case target.Born != entry.Born:
		return target.Born < entry.Born
	case entry.isRemoved():
		return target.Seq <= entry.Seq
	}
	return target.Seq < entry.Seq
}

// Leave records that a process of a target said itself that it leaves, and reports whether that changed the target. It
// stays so whatever its registration says later.
func (catalogue *Catalogue) Leave(id string, born int64) (Change, bool) {
	existing, ok := catalogue.entries[id]
	if !ok || existing.Leaving || existing.Born != born {
		return Change{}, false
	}
	existing.Leaving = true
	catalogue.changed(existing)
	return Change{Target: id, Kind: "leaving, as its answer says", Registration: existing.Target}, true
}

// BeginListing starts a full listing; EndListing removes the targets not registered in between, and EndEvacuationListing ends
// the evacuations that it lacks. Both are told the oldest state of the store that a part of the listing is of.
func (catalogue *Catalogue) BeginListing() {
	catalogue.beginEvacuationListing()
	for _, entry := range catalogue.entries {
		entry.listed = false
	}
}

// EndListing removes the targets that were not registered since BeginListing, and returns the changes. Targets of which something newer is
// known than the position of the listing stay; it is zero if it is not known.
func (catalogue *Catalogue) EndListing(now time.Time, position storepos.Position) []Change {
	var changes []Change
	for _, id := range catalogue.ids() {
		if entry := catalogue.entries[id]; !entry.listed {
			if change, ok := catalogue.Remove(now, Removal{id, position}); ok {
				changes = append(changes, change)
			}
		}
	}
	return changes
}

// Tick removes targets whose registration expired and that did not register again in time, deletes old tombstones, applies reports of a
// restored store that were held, and returns the changes. It ends evacuations that were retained for long enough.
func (catalogue *Catalogue) Tick(now time.Time) []Change {
	catalogue.tickEvacuations(now)
	var changes []Change
	for _, id := range catalogue.ids() {
		entry := catalogue.entries[id]
		if change, ok := catalogue.tickHeld(now, entry); ok {
			changes = append(changes, change)
		}
		switch {
		case !entry.isRemoved():
		case now.Sub(entry.removedAt) >= tombstoneTTL:
			delete(catalogue.entries, id)
		case entry.isPending() && !now.Before(entry.unusableAt):
			changes = append(changes, catalogue.endPending(entry))
		}
	}
	return changes
}

// Configuration returns the current configuration, or nil before the first one.
func (catalogue *Catalogue) Configuration() *Configuration {
	return catalogue.configuration
}

// View returns a snapshot of the catalogue for routing, which is cached until the next change.
func (catalogue *Catalogue) View() *View {
	if catalogue.view != nil {
		return catalogue.view
	}
	view := &View{Configuration: catalogue.configuration, services: map[string][]Target{}, evacuation: catalogue.evacuationView(),
		Serial: catalogue.serial}
	for _, entry := range catalogue.entries {
		switch {
		case entry.Leaving || !entry.presumedAlive():
		case view.IsEvacuated(entry.DataCentre):
			view.evacuation.add(entry.Target)
		default:
			view.services[entry.Service] = append(view.services[entry.Service], entry.Target)
		}
	}
	sortByID(view.services)
	sortByID(view.evacuation.evacuated)
	catalogue.view = view
	return view
}

func sortByID(services map[string][]Target) {
	for _, targets := range services {
		slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// changed advances the serial and discards the cached view; entry is the target that changed, or nil.
func (catalogue *Catalogue) changed(entry *entry) {
	catalogue.serial++
	catalogue.view = nil
	if entry != nil {
		entry.serial = catalogue.serial
	}
}

// ids returns the IDs of all entries in order, so that changes are reported in a fixed order.
func (catalogue *Catalogue) ids() []string {
	ids := make([]string, 0, len(catalogue.entries))
	for id := range catalogue.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
