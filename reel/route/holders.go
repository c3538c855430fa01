package route

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotreel.example/reel/member"
)

// Holders is one view of the instances that may hold targets; it is never changed, only replaced.
type Holders struct {
	Version uint64
	centres map[string][]candidate
	others  []string // data centres, ordered
	size    int
}

// candidate is an instance with the hash of its name.
type candidate struct {
	member member.Member
	hash   uint64
}

// NewHolders returns the view made of the members that are alive.
func NewHolders(version uint64, members []member.Member) *Holders {
	holders := &Holders{Version: version, centres: map[string][]candidate{}}
	for _, member := range members {
		if !member.State.Serves() {
			continue
		}
		centre := holders.centres[member.DataCentre]
		holders.centres[member.DataCentre] = append(centre, candidate{member, xxhash.Sum64String(member.Name)})
		holders.size++
	}
	for name := range holders.centres {
		holders.others = append(holders.others, name)
	}
	slices.Sort(holders.others)
	return holders
}

// Rank returns up to n instances to hold the target, best first: its own data centre's before others.
func (holders *Holders) Rank(name, dataCentre string, n int) []member.Member {
	hash := xxhash.Sum64String(name)
	ranked := best(holders.centres[dataCentre], hash, n)
	if len(ranked) < n {
		var far []candidate
		for _, other := range holders.others {
			if other != dataCentre {
				far = append(far, holders.centres[other]...)
			}
		}
		ranked = append(ranked, best(far, hash, n-len(ranked))...)
	}
	return ranked
}

// Len returns the number of instances in the view.
func (holders *Holders) Len() int {
	return holders.size
}

// best returns the n candidates with the highest scores for the target.
func best(candidates []candidate, target uint64, n int) []member.Member {
	type scored struct {
		at    int
		score uint64
	}
	top := make([]scored, 0, n+1)
	for i := range candidates {
		score := mix(candidates[i].hash, target)
		if len(top) == n && score <= top[n-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, score, func(known scored, score uint64) int {
			return cmp.Compare(score, known.score)
		})
		top = slices.Insert(top, at, scored{i, score})
		top = top[:min(n, len(top))]
	}
	ranked := make([]member.Member, 0, n)
	for _, chosen := range top {
		ranked = append(ranked, candidates[chosen.at].member)
	}
	return ranked
}

func mix(a, b uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], a)
	binary.LittleEndian.PutUint64(pair[8:], b)
	return xxhash.Sum64(pair[:])
}
