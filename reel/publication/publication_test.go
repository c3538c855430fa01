package publication

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func value(version uint64, data string) Value {
	return Value{"document", version, []byte(data)}
}

func TestVersionsOnlyRise(t *testing.T) {
	var store Store
	for _, step := range []struct {
		value Value
		want  bool
	}{{value(2, "b"), true}, {value(2, "b"), false}, {value(1, "a"), false}, {value(3, "c"), true}} {
		if got := store.Put(step.value); got != step.want {
			t.Fatalf("Put(%d) = %v, want %v", step.value.Version, got, step.want)
		}
	}
	if held, _ := store.Get("document"); held.Version != 3 {
		t.Fatalf("holds version %d", held.Version)
	}
}

// TestStoresConverge exchanges updates in any order until all hold the same.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stores := []*Store{{}, {}, {}}
		for range rapid.IntRange(1, 20).Draw(t, "puts") {
			store := rapid.SampledFrom(stores).Draw(t, "store")
			version := rapid.Uint64Range(1, 5).Draw(t, "version")
			store.Put(Value{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), version,
				[]byte(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "data"))})
		}
		for range 2 {
			for _, from := range stores {
				for _, to := range stores {
					for _, update := range from.Since(to.Stamps()) {
						opened, err := to.Open(update)
						if err != nil {
							t.Fatal(err)
						}
						to.Put(opened)
					}
				}
			}
		}
		for _, store := range stores[1:] {
			if store.Clock() != stores[0].Clock() {
				t.Fatal("the stores differ")
			}
		}
	})
}

// large returns a document of about half a megabyte with one line that differs by version.
func large(version uint64) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	var text bytes.Buffer
	for line := range 5000 {
		if line == 2500 {
			fmt.Fprintf(&text, "event %d starts at noon\n", version)
		}
		fmt.Fprintf(&text, "event %x starts at %x, serves %x\n", random.Uint64(), random.Uint64(), random.Uint64())
	}
	return text.Bytes()
}

func TestChangeOfALargeValueTravelsAsADelta(t *testing.T) {
	var from, to Store
	from.Put(Value{"document", 1, large(1)})
	to.Put(Value{"document", 1, large(1)})
	from.Put(Value{"document", 2, large(2)})
	updates := from.Since(to.Stamps())
	if len(updates) != 1 || len(updates[0].Data) > 1024 {
		t.Fatalf("%d updates, the first of %d bytes", len(updates), len(updates[0].Data))
	}
	opened, err := to.Open(updates[0])
	if err != nil || !bytes.Equal(opened.Data, large(2)) {
		t.Fatalf("opened %d bytes: %v", len(opened.Data), err)
	}
	var empty Store
	if _, err := empty.Open(updates[0]); !errors.Is(err, ErrBaseMissing) {
		t.Fatalf("a store without the base gave %v", err)
	}
	if whole := from.Since(empty.Stamps())[0]; whole.Base != (Stamp{}) || len(whole.Data) != len(large(2)) {
		t.Fatalf("a store without the base is sent %d bytes", len(whole.Data))
	}
}

func BenchmarkDelta(b *testing.B) {
	old, changed := large(1), large(2)
	for b.Loop() {
		delta, err := compress(old, changed)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(delta)), "bytes")
	}
}
