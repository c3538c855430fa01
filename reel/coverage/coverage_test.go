package coverage

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestCompute(t *testing.T) {
	wanted := Range{0, 100}
	tests := []struct {
		name     string
		answered []Range
		fraction float64
		missing  []Range
	}{
		{"no answer", nil, 0, []Range{{0, 100}}},
		{"complete", []Range{{50, 100}, {0, 50}}, 1, nil},
		{"gap in the middle", []Range{{0, 25}, {75, 100}}, 0.5, []Range{{25, 75}}},
		{"overlaps count once", []Range{{0, 60}, {40, 80}, {0, 60}}, 0.8, []Range{{80, 100}}},
		{"range beyond the wanted one", []Range{{90, 200}}, 0.1, []Range{{0, 90}}},
		{"range inside another", []Range{{0, 100}, {10, 20}}, 1, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Compute(wanted, test.answered)
			if got.Fraction != test.fraction || !slices.Equal(got.Missing, test.missing) {
				t.Errorf("Compute = %+v, want %v missing %v", got, test.fraction, test.missing)
			}
		})
	}
}

// TestComputeAgreesWithKeyByKeyCheck compares the report with a check of each key.
func TestComputeAgreesWithKeyByKeyCheck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) Range {
			from := rapid.Uint64Range(0, 60).Draw(t, "from")
			return Range{from, from + rapid.Uint64Range(0, 20).Draw(t, "length")}
		})
		wanted := Range{5, 55}
		answered := rapid.SliceOfN(draw, 0, 6).Draw(t, "answered")
		report := Compute(wanted, answered)
		covered := 0
		for key := wanted.From; key < wanted.To; key++ {
			has := slices.ContainsFunc(answered, func(rng Range) bool { return rng.Contains(key) })
			lacks := slices.ContainsFunc(report.Missing, func(rng Range) bool { return rng.Contains(key) })
			if has == lacks {
				t.Fatalf("key %d: answered %v, missing %v", key, has, lacks)
			}
			if has {
				covered++
			}
		}
		if want := float64(covered) / 50; report.Fraction != want {
			t.Fatalf("fraction %v, want %v", report.Fraction, want)
		}
	})
}

func ExampleCompute() {
	report := Compute(Range{0, KeySpace}, []Range{{0, KeySpace / 2}})
	fmt.Println(report.Complete(), report.Fraction)
	// Output: false 0.5
}
