package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotreel.example/reel/member"
)

// Holders is one view of the instances that may hold targets; it is never changed, only replaced.
type Holders struct {
	Version uint64
	members []member.Member
}

// NewHolders returns the view made of the members that are alive.
func NewHolders(version uint64, members []member.Member) *Holders {
	holders := &Holders{Version: version}
	for _, member := range members {
		if member.State.Serves() {
			holders.members = append(holders.members, member)
		}
	}
	return holders
}

// Rank returns up to n instances to hold the target, best first: its own data centre's before others.
func (holders *Holders) Rank(name, dataCentre string, n int) []member.Member {
	type scored struct {
		member member.Member
		local  bool
		score  uint64
	}
	candidates := make([]scored, len(holders.members))
	for i, member := range holders.members {
		score := xxhash.Sum64String(member.Name + "\x00" + name)
		candidates[i] = scored{member, member.DataCentre == dataCentre, score}
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		if a.local != b.local {
			if a.local {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
	})
	ranked := make([]member.Member, 0, n)
	for _, candidate := range candidates[:min(n, len(candidates))] {
		ranked = append(ranked, candidate.member)
	}
	return ranked
}

// Len returns the number of instances in the view.
func (holders *Holders) Len() int {
	return len(holders.members)
}
