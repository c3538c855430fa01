package trace

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden file")

func readLogs(t *testing.T, names ...string) []*Line {
	t.Helper()
	var lines []*Line
	for _, name := range names {
		file, err := os.Open("testdata/" + name)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Read(file, strings.TrimSuffix(name, ".jsonl"))
		file.Close()
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, got...)
	}
	return lines
}

// assertGolden compares the printed trace of the request with the golden file.
func assertGolden(t *testing.T, lines []*Line, request, name string) {
	t.Helper()
	trace, err := Find(lines, request)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := trace.Print(&text); err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile("testdata/"+name, text.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	if got := text.Bytes(); !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestFind(t *testing.T) {
	lines := readLogs(t, "one.jsonl", "two.jsonl")
	t.Run("golden file", func(t *testing.T) { assertGolden(t, lines, "ab12", "story.txt") })
	t.Run("golden file of a request that crashes targets", func(t *testing.T) {
		repeats := readLogs(t, "repeats-0.jsonl", "repeats-1.jsonl", "repeats-2.jsonl")
		assertGolden(t, repeats, "crash-3", "repeats.txt")
	})
	t.Run("golden file of a request that passes over a target with a rate limit", func(t *testing.T) {
		assertGolden(t, readLogs(t, "limited.jsonl"), "0333d64b6ad4fc8a", "limited.txt")
	})
	t.Run("golden file of a request that went by way of another instance", func(t *testing.T) {
		assertGolden(t, readLogs(t, "relayed-cut.jsonl", "relayed-helper.jsonl"), "83a638063327ab43", "relayed.txt")
	})
	t.Run("unknown request", func(t *testing.T) {
		if _, err := Find(lines, "none"); !errors.Is(err, ErrNotFound) {
			t.Errorf("got error %v, want ErrNotFound", err)
		}
	})
}
