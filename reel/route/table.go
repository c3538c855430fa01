package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/holder"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

// Shard is one part of a pin.
type Shard struct {
	Name  string
	Range coverage.Range
}

// Pin is the snapshot and the partition map that one request keeps to.
type Pin struct {
	Snapshot uint64
	Map      uint64
	Shards   []Shard
}

// Choice is a target for a sub-request, its holder, and why it was chosen.
type Choice struct {
	Target string
	Holder member.Member
	Reason string
}

// Table is what one entry knows of a source's targets; it may be shared.
type Table struct {
	mutex    sync.Mutex
	local    string
	random   *rand.Rand
	version  uint64
	shards   []shard
	replicas map[string]*replica
	holders  *Holders
	avoided  map[string]time.Time // holders that could not be reached, until when
	budget   budget
	pin      Pin
	pinned   bool
}

type shard struct {
	Shard
	replicas []*replica
	latency  *latency
}

// NewTable returns an empty table of an entry in the data centre.
func NewTable(dataCentre string, random *rand.Rand) *Table {
	return &Table{local: dataCentre, random: random, replicas: map[string]*replica{},
		holders: &Holders{}, avoided: map[string]time.Time{}, budget: budget{budgetStart}}
}

// Update takes a newer partition map and keeps what is known of the targets that stay.
func (table *Table) Update(partition *target.Map) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if partition.Version <= table.version {
		return
	}
	table.version = partition.Version
	latencies := map[string]*latency{}
	for _, shard := range table.shards {
		latencies[shard.Name] = shard.latency
	}
	replicas := map[string]*replica{}
	table.shards = nil
	for _, listed := range partition.Shards {
		shard := shard{Shard: Shard{listed.Name, listed.Range}, latency: latencies[listed.Name]}
		if shard.latency == nil {
			shard.latency = newLatency()
		}
		for _, server := range listed.Servers {
			known := replicas[server.Name]
			if known == nil {
				known = table.keep(server)
				replicas[server.Name] = known
			}
			shard.replicas = append(shard.replicas, known)
		}
		table.shards = append(table.shards, shard)
	}
	table.replicas = replicas
	table.pinned = false
}

func (table *Table) keep(server target.Server) *replica {
	known := table.replicas[server.Name]
	if known == nil {
		known = &replica{latency: startLatency}
	}
	known.server = server
	known.local = server.DataCentre == table.local
	known.view = 0
	return known
}

// SetHolders takes a newer view of the instances.
func (table *Table) SetHolders(holders *Holders) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.holders = holders
}

// Pin returns the newest snapshot that the most shards can serve, with the shards to ask.
func (table *Table) Pin(now time.Time) (Pin, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if !table.pinned {
		table.pin = table.choosePin(now)
		table.pinned = table.pin.Snapshot != 0
	}
	return table.pin, table.pinned
}

func (table *Table) choosePin(now time.Time) Pin {
	served := map[uint64]int{}
	for _, shard := range table.shards {
		for _, snapshot := range shard.snapshots(now) {
			served[snapshot]++
		}
	}
	pin := Pin{Map: table.version}
	for snapshot, shards := range served {
		if best := served[pin.Snapshot]; shards > best || shards == best && snapshot > pin.Snapshot {
			pin.Snapshot = snapshot
		}
	}
	for _, shard := range table.shards {
		pin.Shards = append(pin.Shards, shard.Shard)
	}
	return pin
}

// snapshots returns the snapshots that replicas of the shard serve, each once.
func (shard shard) snapshots(now time.Time) []uint64 {
	var snapshots []uint64
	for _, replica := range shard.replicas {
		if replica.leavingAt(now) || replica.downAt(now) {
			continue
		}
		snapshots = append(snapshots, replica.status.Snapshots...)
	}
	slices.Sort(snapshots)
	return slices.Compact(snapshots)
}

// Choose returns the target that should answer first, among those not excluded.
func (table *Table) Choose(now time.Time, pin Pin, shard int, not []string) (Choice, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if pin.Map != table.version {
		shard = table.shardOf(pin.Shards[shard])
	}
	if shard < 0 {
		return Choice{}, false
	}
	chosen, reason := table.best(now, table.shards[shard].replicas, pin.Snapshot, not)
	if chosen == nil {
		return Choice{}, false
	}
	return Choice{chosen.server.Name, table.holderOf(now, chosen), reason}, true
}

// ChooseFor returns the target that every entry picks for the untried or suspect fingerprint. It picks
// one that looks down as well, because its holder knows whether the fingerprint broke it.
func (table *Table) ChooseFor(now time.Time, pin Pin, shard int, fingerprint quarantine.Fingerprint, not []string) (Choice, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if pin.Map != table.version {
		shard = table.shardOf(pin.Shards[shard])
	}
	if shard < 0 {
		return Choice{}, false
	}
	replicas := table.shards[shard].replicas
	for i := range replicas {
		at := (uint64(fingerprint)>>8 + uint64(i)) % uint64(len(replicas))
		candidate := replicas[at]
		usable := !candidate.leavingAt(now) && candidate.holds(pin.Snapshot)
		if usable && !slices.Contains(not, candidate.server.Name) {
			return Choice{candidate.server.Name, table.holderOf(now, candidate), "order of the fingerprint"}, true
		}
	}
	return Choice{}, false
}

// best scores the usable replicas; when all look down, it ignores the signs of health.
func (table *Table) best(now time.Time, replicas []*replica, snapshot uint64, not []string) (*replica, string) {
	fastest := time.Duration(0)
	for _, replica := range replicas {
		if fastest == 0 || replica.latency < fastest {
			fastest = replica.latency
		}
	}
	var chosen, fallback *replica
	var low float64
	for _, candidate := range replicas {
		if candidate.leavingAt(now) || !candidate.holds(snapshot) || slices.Contains(not, candidate.server.Name) {
			continue
		}
		if candidate.downAt(now) || !table.reachable(now, candidate) {
			if fallback == nil || candidate.downUntil.Before(fallback.downUntil) {
				fallback = candidate
			}
			continue
		}
		score := candidate.score(now, fastest, table.random.Float64())
		if chosen == nil || score < low {
			chosen, low = candidate, score
		}
	}
	if chosen != nil {
		return chosen, "lowest score"
	}
	return fallback, "all look down"
}

func (table *Table) shardOf(wanted Shard) int {
	return slices.IndexFunc(table.shards, func(shard shard) bool { return shard.Range == wanted.Range })
}

// holderOf returns the best ranked holder that could be reached lately.
func (table *Table) holderOf(now time.Time, replica *replica) member.Member {
	if replica.view != table.holders.Version {
		replica.view = table.holders.Version
		replica.holders = table.holders.Rank(replica.server.Name, replica.server.DataCentre, ranksKept)
	}
	for _, holder := range replica.holders {
		if until, avoided := table.avoided[holder.Name]; !avoided || !now.Before(until) {
			return holder
		}
	}
	if len(replica.holders) == 0 {
		return member.Member{}
	}
	return replica.holders[0]
}

// reachable reports whether one of the target's holders has not failed lately.
func (table *Table) reachable(now time.Time, replica *replica) bool {
	holder := table.holderOf(now, replica)
	until, avoided := table.avoided[holder.Name]
	return !avoided || !now.Before(until)
}

// AvoidHolder makes the table pass over a holder that could not be reached, for a short time.
func (table *Table) AvoidHolder(now time.Time, name string) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.avoided[name] = now.Add(holderAvoided)
}

// Started counts an attempt at the target; first attempts earn budget.
func (table *Table) Started(name string, first bool, extraLoad float64) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if replica := table.replicas[name]; replica != nil {
		replica.inFlight++
	}
	if first {
		table.budget.earn(extraLoad)
	}
}

// Spend takes one hedge or retry from the budget.
func (table *Table) Spend() bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.budget.spend()
}

// Ended counts the end of an attempt and learns from it.
func (table *Table) Ended(now time.Time, shard Shard, answer holder.Answer, took time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	replica := table.replicas[answer.Target]
	if replica == nil {
		return
	}
	replica.inFlight = max(0, replica.inFlight-1)
	table.observe(now, replica, answer.Status)
	switch answer.Code {
	case result.OK:
		replica.took(now, took)
		if at := table.shardOf(shard); at >= 0 {
			table.shards[at].latency.record(now, took)
		}
	case result.Broken, result.ConnectRefused, result.DeadlineExceeded:
		replica.failed(now)
		table.pinned = false
	case result.Canceled:
		replica.atLeast(now, took)
	}
}

// Observe takes a holder's status of a target.
func (table *Table) Observe(now time.Time, status holder.Status) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if replica := table.replicas[status.Target]; replica != nil {
		table.observe(now, replica, status)
	}
}

func (table *Table) observe(now time.Time, replica *replica, status holder.Status) {
	if !status.Known {
		return
	}
	old := replica.status
	if old.State != status.State || old.Down != status.Down || !slices.Equal(old.Snapshots, status.Snapshots) {
		table.pinned = false
	}
	replica.observe(now, status)
}

// MarkLeaving takes from a peer that a target is leaving.
func (table *Table) MarkLeaving(now time.Time, name string) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if replica := table.replicas[name]; replica != nil {
		replica.leaving = now.Add(leavingTerm)
		table.pinned = false
	}
}

// HedgeDelay returns how long to wait for the shard before a second attempt.
func (table *Table) HedgeDelay(now time.Time, wanted Shard, quantile float64) time.Duration {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	at := table.shardOf(wanted)
	if at < 0 {
		return hedgeDefault
	}
	return table.shards[at].latency.quantile(now, quantile)
}

// Stale returns the targets that have given no status for the term, by holder.
func (table *Table) Stale(now time.Time, term time.Duration) map[member.Member][]string {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	stale := map[member.Member][]string{}
	for name, replica := range table.replicas {
		if now.Sub(replica.statusAt) < term {
			continue
		}
		holder := table.holderOf(now, replica)
		stale[holder] = append(stale[holder], name)
	}
	return stale
}
