package route

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotreel.example/reel/member"
)

// Holders is an immutable view of the instances that can hold targets. A change of membership creates a new view
// with a new Version.
type Holders struct {
	Version      uint64
	byDataCentre map[string][]candidate
	dataCentres  []string // names in ascending order
	size         int
}

// candidate is an instance and the hash of its name.
type candidate struct {
	member member.Member
	hash   uint64
}

// NewHolders returns the view of the members whose state allows them to serve.
func NewHolders(version uint64, members []member.Member) *Holders {
	holders := &Holders{Version: version, byDataCentre: map[string][]candidate{}}
	for _, member := range members {
		if !member.State.Serves() {
			continue
		}
		centre := holders.byDataCentre[member.DataCentre]
		holders.byDataCentre[member.DataCentre] = append(centre, candidate{member, xxhash.Sum64String(member.Name)})
		holders.size++
	}
	for name := range holders.byDataCentre {
		holders.dataCentres = append(holders.dataCentres, name)
	}
	slices.Sort(holders.dataCentres)
	return holders
}

// Rank returns up to n instances that can hold the target, most preferred first. Instances in the target's data
// centre precede all others; within each group the order is that of rendezvous hashing, so that a change of
// membership moves as few targets as possible.
func (holders *Holders) Rank(name, dataCentre string, n int) []member.Member {
	hash := xxhash.Sum64String(name)
	ranked := highestRanked(holders.byDataCentre[dataCentre], hash, n)
	if len(ranked) < n {
		var remote []candidate
		for _, other := range holders.dataCentres {
			if other != dataCentre {
				remote = append(remote, holders.byDataCentre[other]...)
			}
		}
		ranked = append(ranked, highestRanked(remote, hash, n-len(ranked))...)
	}
	return ranked
}

// Len returns the number of instances in the view.
func (holders *Holders) Len() int {
	return holders.size
}

// highestRanked returns the n candidates with the highest rendezvous hash for the target, in descending order.
func highestRanked(candidates []candidate, target uint64, n int) []member.Member {
	type scored struct {
		index int
		score uint64
	}
	top := make([]scored, 0, n+1)
	for i := range candidates {
		score := combineHashes(candidates[i].hash, target)
		if len(top) == n && score <= top[n-1].score {
			continue
		}
		position, _ := slices.BinarySearchFunc(top, score, func(listed scored, score uint64) int {
			return cmp.Compare(score, listed.score)
		})
		top = slices.Insert(top, position, scored{i, score})
		top = top[:min(n, len(top))]
	}
	ranked := make([]member.Member, 0, n)
	for _, chosen := range top {
		ranked = append(ranked, candidates[chosen.index].member)
	}
	return ranked
}

// combineHashes returns the rendezvous hash of an instance and a target.
func combineHashes(a, b uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], a)
	binary.LittleEndian.PutUint64(pair[8:], b)
	return xxhash.Sum64(pair[:])
}
