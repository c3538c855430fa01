package coverage

import (
	"cmp"
	"slices"
)

// KeySpace is the number of keys in the key space; the shards of a source divide the range [0, KeySpace).
const KeySpace uint64 = 1 << 32

// Range is the half-open range of keys [From, To).
type Range struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// Contains reports whether the key lies in the range.
func (rng Range) Contains(key uint64) bool {
	return rng.From <= key && key < rng.To
}

// Len returns the number of keys in the range; it is 0 if To is not above From.
func (rng Range) Len() uint64 {
	if rng.To <= rng.From {
		return 0
	}
	return rng.To - rng.From
}

// Report states which part of a wanted range was answered.
type Report struct {
	Fraction float64 `json:"fraction"`          // answered share of the wanted keys, from 0 to 1
	Missing  []Range `json:"missing,omitempty"` // wanted ranges without an answer, in ascending order
}

// Complete reports whether the whole wanted range was answered.
func (report Report) Complete() bool {
	return len(report.Missing) == 0
}

// Compute returns the coverage of the wanted range by the answered ranges, which may overlap and may exceed it.
func Compute(wanted Range, answered []Range) Report {
	sorted := slices.Clone(answered)
	slices.SortFunc(sorted, func(a, b Range) int { return cmp.Compare(a.From, b.From) })
	report := Report{}
	next := wanted.From
	missing := uint64(0)
	for _, rng := range sorted {
		from, to := max(rng.From, wanted.From), min(rng.To, wanted.To)
		if to <= from || to <= next {
			continue
		}
		if from > next {
			report.Missing = append(report.Missing, Range{next, from})
			missing += from - next
		}
		next = to
	}
	if next < wanted.To {
		report.Missing = append(report.Missing, Range{next, wanted.To})
		missing += wanted.To - next
	}
	if wanted.Len() > 0 {
		report.Fraction = float64(wanted.Len()-missing) / float64(wanted.Len())
	}
	return report
}

// Disjoint reports whether no key lies in two of the ranges.
func Disjoint(ranges []Range) bool {
	sorted := slices.Clone(ranges)
	slices.SortFunc(sorted, func(a, b Range) int { return cmp.Compare(a.From, b.From) })
	for i := 1; i < len(sorted); i++ {
		if sorted[i].From < sorted[i-1].To {
			return false
		}
	}
	return true
}
