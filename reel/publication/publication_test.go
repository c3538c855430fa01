package publication

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func newValue(version uint64, data string) Value {
	return Value{"document", version, []byte(data)}
}

func TestPutRejectsOlderVersions(t *testing.T) {
	var store Store
	for _, step := range []struct {
		value Value
		want  bool
	}{{newValue(2, "b"), true}, {newValue(2, "b"), false}, {newValue(1, "a"), false}, {newValue(3, "c"), true}} {
		if got := store.Put(step.value); got != step.want {
			t.Fatalf("Put(%d) = %v, want %v", step.value.Version, got, step.want)
		}
	}
	if current, _ := store.Get("document"); current.Version != 3 {
		t.Fatalf("stored version is %d, want 3", current.Version)
	}
}

// Stores that received different values must hold the same ones after each has sent its updates to the others twice.
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
					for _, update := range from.UpdatesFor(to.Stamps()) {
						decoded, err := to.Decode(update)
						if err != nil {
							t.Fatal(err)
						}
						to.Put(decoded)
					}
				}
			}
		}
		for _, store := range stores[1:] {
			if store.Summary() != stores[0].Summary() {
				t.Fatal("the stores hold different values after the exchange")
			}
		}
	})
}

// largeDocument returns a document of about 374 kB in which one line depends on the version.
func largeDocument(version uint64) []byte {
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

// A store that holds the previous version of a large value is sent a short delta; a store that holds none is sent
// the whole value, because it cannot decode the delta.
func TestLargeValueIsSentAsDelta(t *testing.T) {
	var from, to Store
	from.Put(Value{"document", 1, largeDocument(1)})
	to.Put(Value{"document", 1, largeDocument(1)})
	from.Put(Value{"document", 2, largeDocument(2)})
	updates := from.UpdatesFor(to.Stamps())
	if len(updates) != 1 || len(updates[0].Data) > 1024 {
		t.Fatalf("got %d updates, the first of %d bytes; want 1 of at most 1024 bytes", len(updates), len(updates[0].Data))
	}
	decoded, err := to.Decode(updates[0])
	if err != nil || !bytes.Equal(decoded.Data, largeDocument(2)) {
		t.Fatalf("Decode() returned %d bytes that differ from the sent value, or an error: %v", len(decoded.Data), err)
	}
	var empty Store
	if _, err := empty.Decode(updates[0]); !errors.Is(err, ErrBaseMissing) {
		t.Fatalf("Decode() of a delta without its base returned %v, want ErrBaseMissing", err)
	}
	if whole := from.UpdatesFor(empty.Stamps())[0]; whole.Base != (Stamp{}) || len(whole.Data) != len(largeDocument(2)) {
		t.Fatalf("a store without the base is sent %d bytes, want the whole value", len(whole.Data))
	}
}

func BenchmarkDelta(b *testing.B) {
	old, changed := largeDocument(1), largeDocument(2)
	for b.Loop() {
		delta, err := compress(old, changed)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(delta)), "bytes")
	}
}
