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

// Shard is a named key range of a partition map.
type Shard struct {
	Name  string
	Range coverage.Range
}

// Pin fixes the snapshot and the version of the partition map that a request uses for all its sub-requests, so that
// one answer never mixes snapshots.
type Pin struct {
	Snapshot uint64
	Map      uint64
	Shards   []Shard
}

// Choice is the target selected for a sub-request, its holder, and the reason for the selection.
type Choice struct {
	Target string
	Holder member.Member
	Reason string
}

// Table is the routing table that an instance keeps for the targets of one source. It is safe for concurrent use.
type Table struct {
	mutex        sync.Mutex
	dataCentre   string
	random       *rand.Rand
	version      uint64
	shards       []shard
	replicas     map[string]*replica
	holders      *Holders
	avoidedUntil map[string]time.Time // unreachable holders and the end of their exclusion
	budget       budget
	pin          Pin
	pinValid     bool
}

type shard struct {
	Shard
	replicas []*replica
	latency  *latency
}

// NewTable returns an empty table for an instance in the data centre. The table uses random under its own lock.
func NewTable(dataCentre string, random *rand.Rand) *Table {
	return &Table{dataCentre: dataCentre, random: random, replicas: map[string]*replica{},
		holders: &Holders{}, avoidedUntil: map[string]time.Time{}, budget: budget{initialBudgetTokens}}
}

// Update replaces the partition map if the given one is newer. Targets and shards that are in both maps keep their
// measurements.
func (table *Table) Update(partition *target.PartitionMap) {
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
			existing := replicas[server.Name]
			if existing == nil {
				existing = table.reuseReplica(server)
				replicas[server.Name] = existing
			}
			shard.replicas = append(shard.replicas, existing)
		}
		table.shards = append(table.shards, shard)
	}
	table.replicas = replicas
	table.pinValid = false
}

// reuseReplica returns the existing replica of the server, or a new one, with the server's new description.
func (table *Table) reuseReplica(server target.Server) *replica {
	existing := table.replicas[server.Name]
	if existing == nil {
		existing = &replica{latency: initialLatency}
	}
	existing.server = server
	existing.local = server.DataCentre == table.dataCentre
	existing.holdersVersion = 0
	return existing
}

// SetHolders replaces the view of the instances that can hold targets.
func (table *Table) SetHolders(holders *Holders) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.holders = holders
}

// Pin returns the snapshot that the largest number of shards can serve, the newest one on a tie, together with all
// shards of the partition map. It returns false if no shard serves any snapshot.
func (table *Table) Pin(now time.Time) (Pin, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if !table.pinValid {
		table.pin = table.choosePin(now)
		table.pinValid = table.pin.Snapshot != 0
	}
	return table.pin, table.pinValid
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

// snapshots returns the distinct snapshots that available replicas of the shard serve, in ascending order.
func (shard shard) snapshots(now time.Time) []uint64 {
	var snapshots []uint64
	for _, replica := range shard.replicas {
		if replica.isLeaving(now) || replica.isDown(now) {
			continue
		}
		snapshots = append(snapshots, replica.status.Snapshots...)
	}
	slices.Sort(snapshots)
	return slices.Compact(snapshots)
}

// Choose returns the target with the lowest score among the replicas of the shard that serve the pinned snapshot and
// are not excluded. The shard is an index into the pin's shards. Choose returns false if there is no such target.
func (table *Table) Choose(now time.Time, pin Pin, shard int, exclude []string) (Choice, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if pin.Map != table.version {
		shard = table.shardIndex(pin.Shards[shard])
	}
	if shard < 0 {
		return Choice{}, false
	}
	chosen, reason := table.bestReplica(now, table.shards[shard].replicas, pin.Snapshot, exclude)
	if chosen == nil {
		return Choice{}, false
	}
	return Choice{chosen.server.Name, table.holderOf(now, chosen), reason}, true
}

// ChooseByFingerprint returns a target for an untried or suspect fingerprint, in an order that is the same on all
// instances. It also returns targets that appear to be down, because their holder has recorded whether the fingerprint
// crashed them.
func (table *Table) ChooseByFingerprint(now time.Time, pin Pin, shard int, fingerprint quarantine.Fingerprint, exclude []string) (Choice, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if pin.Map != table.version {
		shard = table.shardIndex(pin.Shards[shard])
	}
	if shard < 0 {
		return Choice{}, false
	}
	replicas := table.shards[shard].replicas
	for i := range replicas {
		at := (uint64(fingerprint)>>8 + uint64(i)) % uint64(len(replicas))
		candidate := replicas[at]
		usable := !candidate.isLeaving(now) && candidate.servesSnapshot(pin.Snapshot)
		if usable && !slices.Contains(exclude, candidate.server.Name) {
			return Choice{candidate.server.Name, table.holderOf(now, candidate), "fixed order by fingerprint"}, true
		}
	}
	return Choice{}, false
}

// bestReplica returns the replica with the lowest score. If all candidates appear to be down, it ignores
// the health signals and returns the one whose backoff ends first.
func (table *Table) bestReplica(now time.Time, replicas []*replica, snapshot uint64, exclude []string) (*replica, string) {
	fastest := time.Duration(0)
	for _, replica := range replicas {
		if fastest == 0 || replica.latency < fastest {
			fastest = replica.latency
		}
	}
	var chosen, fallback *replica
	var lowest float64
	for _, candidate := range replicas {
		if candidate.isLeaving(now) || !candidate.servesSnapshot(snapshot) || slices.Contains(exclude, candidate.server.Name) {
			continue
		}
		if candidate.isDown(now) || !table.hasReachableHolder(now, candidate) {
			if fallback == nil || candidate.downUntil.Before(fallback.downUntil) {
				fallback = candidate
			}
			continue
		}
		score := candidate.score(now, fastest, table.random.Float64())
		if chosen == nil || score < lowest {
			chosen, lowest = candidate, score
		}
	}
	if chosen != nil {
		return chosen, "lowest score"
	}
	return fallback, "all candidates appear to be down"
}

// shardIndex returns the index of the shard with the same range in the current partition map, or -1.
func (table *Table) shardIndex(wanted Shard) int {
	return slices.IndexFunc(table.shards, func(shard shard) bool { return shard.Range == wanted.Range })
}

// holderOf returns the most preferred holder that is not avoided, or the most preferred one if all are avoided.
func (table *Table) holderOf(now time.Time, replica *replica) member.Member {
	if replica.holdersVersion != table.holders.Version {
		replica.holdersVersion = table.holders.Version
		replica.holders = table.holders.Rank(replica.server.Name, replica.server.DataCentre, holderCandidates)
	}
	for _, holder := range replica.holders {
		if until, avoided := table.avoidedUntil[holder.Name]; !avoided || !now.Before(until) {
			return holder
		}
	}
	if len(replica.holders) == 0 {
		return member.Member{}
	}
	return replica.holders[0]
}

// hasReachableHolder reports whether at least one of the target's holders is not avoided.
func (table *Table) hasReachableHolder(now time.Time, replica *replica) bool {
	holder := table.holderOf(now, replica)
	until, avoided := table.avoidedUntil[holder.Name]
	return !avoided || !now.Before(until)
}

// AvoidHolder excludes an unreachable holder for 500 milliseconds.
func (table *Table) AvoidHolder(now time.Time, name string) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.avoidedUntil[name] = now.Add(holderAvoidTime)
}

// AttemptStarted counts an attempt in flight at the target. A first attempt adds extraLoad tokens to the budget.
func (table *Table) AttemptStarted(name string, first bool, extraLoad float64) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if replica := table.replicas[name]; replica != nil {
		replica.inFlight++
	}
	if first {
		table.budget.earn(extraLoad)
	}
}

// SpendBudget takes one token for a hedge or a retry and reports whether the budget allowed it.
func (table *Table) SpendBudget() bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.budget.spend()
}

// AttemptEnded removes an attempt from those in flight and updates the target's status, latency and health.
func (table *Table) AttemptEnded(now time.Time, shard Shard, answer holder.Answer, elapsed time.Duration) {
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
		replica.recordLatency(now, elapsed)
		if at := table.shardIndex(shard); at >= 0 {
			table.shards[at].latency.record(now, elapsed)
		}
	case result.Broken, result.ConnectRefused, result.DeadlineExceeded:
		replica.recordFailure(now)
		table.pinValid = false
	case result.Canceled:
		replica.recordMinLatency(now, elapsed)
	}
}

// ObserveStatus records the status of a target as reported by its holder.
func (table *Table) ObserveStatus(now time.Time, status holder.Status) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if replica := table.replicas[status.Target]; replica != nil {
		table.observe(now, replica, status)
	}
}

// observe records the status and discards the cached pin if the status can change it.
func (table *Table) observe(now time.Time, replica *replica, status holder.Status) {
	if !status.Known {
		return
	}
	old := replica.status
	if old.State != status.State || old.Down != status.Down || !slices.Equal(old.Snapshots, status.Snapshots) {
		table.pinValid = false
	}
	replica.observe(now, status)
}

// MarkLeaving records a peer's report that a target is leaving; the report is valid for 10 seconds.
func (table *Table) MarkLeaving(now time.Time, name string) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if replica := table.replicas[name]; replica != nil {
		replica.leavingUntil = now.Add(leavingLifetime)
		table.pinValid = false
	}
}

// HedgeDelay returns how long to wait for an answer from the shard before hedging: the given quantile of the shard's
// latency, or a default for a shard that is not in the partition map.
func (table *Table) HedgeDelay(now time.Time, wanted Shard, quantile float64) time.Duration {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	at := table.shardIndex(wanted)
	if at < 0 {
		return defaultHedgeDelay
	}
	return table.shards[at].latency.quantile(now, quantile)
}

// StaleTargets returns the targets whose last status is at least maxAge old, grouped by holder.
func (table *Table) StaleTargets(now time.Time, maxAge time.Duration) map[member.Member][]string {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	stale := map[member.Member][]string{}
	for name, replica := range table.replicas {
		if now.Sub(replica.statusAt) < maxAge {
			continue
		}
		holder := table.holderOf(now, replica)
		stale[holder] = append(stale[holder], name)
	}
	return stale
}
