package workingset

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotreel.example/reel/member"
)

const (
	// minInstances is the number of instances below which the loss of one would more than double the load of another.
	minInstances = 3
	// targetUse is the share of its processor that an instance uses at most for the usual load. The rest is for bursts and
	// for the loss of a data centre, since callers learn of new instances only when they ask for addresses again.
	targetUse = 0.3
	// similarSize is the least processor share, as a part of the largest one, of instances that belong to the working set
	// without a load that needs them. A request takes longer on a smaller processor.
	similarSize = 0.5
	// defaultProcessor is the assumed processor share of an instance that does not announce it, in thousandths of a core.
	defaultProcessor = 1000
)

// Of returns the working set of the data centre, in the order in which instances are added to it. Members of other data
// centres and those that do not serve are left out, and those that reach no target unless no member reaches any.
func Of(members []member.Member, dataCentre string) []member.Member {
	var serving []member.Member
	noneReaches := !slices.ContainsFunc(members, member.Member.Reaches)
	load := 0.0
	for _, candidate := range members {
		if candidate.DataCentre != dataCentre {
			continue
		}
		if candidate.State != member.Dead {
			load += candidate.Load.Use() // that of a failing or leaving instance moves to others
		}
		if candidate.Reaches() || candidate.State.Serves() && noneReaches {
			serving = append(serving, candidate)
		}
	}
	slices.SortFunc(serving, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(processor(b), processor(a)), cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
	})
	for size := minimum(serving); size < len(serving); size++ {
		smallest := processor(serving[size-1]) // callers choose among the instances at random, whatever their size
		if load <= targetUse*smallest*float64(size) {
			return serving[:size]
		}
	}
	return serving
}

// All returns the working set of each data centre.
func All(members []member.Member) map[string][]member.Member {
	sets := map[string][]member.Member{}
	for _, candidate := range members {
		if _, ok := sets[candidate.DataCentre]; !ok {
			sets[candidate.DataCentre] = Of(members, candidate.DataCentre)
		}
	}
	return sets
}

// ExpectedSize returns the number of instances in the working sets of all data centres once those that join serve too.
func ExpectedSize(members []member.Member) int {
	joined := slices.Clone(members)
	for i := range joined {
		if joined[i].State == member.Joining {
			joined[i].State = member.Alive
		}
	}
	size := 0
	for _, set := range All(joined) {
		size += len(set)
	}
	return size
}

// Contains reports whether the member with the name is in the working set.
func Contains(set []member.Member, name string) bool {
	return slices.ContainsFunc(set, func(candidate member.Member) bool { return candidate.Name == name })
}

// minimum returns the size of the working set of an idle data centre. It grows slowly with the number of instances, since
// the load of a larger fleet may be larger before any is measured, and leaves out much smaller instances.
func minimum(serving []member.Member) int {
	similar := 0
	for _, candidate := range serving {
		if processor(candidate) >= similarSize*processor(serving[0]) {
			similar++
		}
	}
	size := int(math.Ceil(math.Sqrt(float64(len(serving)))))
	return min(max(min(size, similar), minInstances), len(serving))
}

func processor(instance member.Member) float64 {
	return float64(cmp.Or(instance.Processor, defaultProcessor))
}

// rank is the order among instances of the same size. It does not follow their names, since instances with similar names
// often fail together.
func rank(instance member.Member) uint64 {
	return xxhash.Sum64String(instance.Name)
}
