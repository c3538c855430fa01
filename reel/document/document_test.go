package document

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func read(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "deployments", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestShippedDeploymentsAreValid(t *testing.T) {
	for _, name := range []string{"gebeta.json", "bellandi.json"} {
		doc, err := Parse(read(t, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if doc.Preset().Name != "ordinary" || len(doc.Digest()) != 16 {
			t.Errorf("%s: preset %q, digest %q", name, doc.Preset().Name, doc.Digest())
		}
	}
}

// TestFaultsNameTheirField changes one field at a time and reads the error.
func TestFaultsNameTheirField(t *testing.T) {
	tests := []struct{ name, from, to, field, remedy string }{
		{"unknown field", `"deployment":`, `"deploiment":`, "deploiment", "unknown"},
		{"wrong type", `"revision": 1,`, `"revision": "one",`, "revision", "uint64"},
		{"no unit", `"retry_after": "1s"`, `"retry_after": "1"`, "(duration or time)", "250ms"},
		{"event in the past", `"start": "2026-12-03T12:00:00Z"`, `"start": "2026-12-03T05:00:00Z"`, "events[0].start", "past"},
		{"no such preset", `"preset_in_force": "ordinary"`, `"preset_in_force": "feast"`, "preset_in_force", "name a preset"},
		{"no such source of a kind", `"source": "audit-desk"`, `"source": "audit"`, "kinds[3].source", "name a source"},
		{"repeatable record", `"repeatable": false`, `"repeatable": true`, "kinds[2].repeatable", "false"},
		{"tail without patience", `"patience": "150ms"`, `"patience": "0s"`, "kinds[0].patience", "above 0"},
		{"weight of zero", `"weight": 4`, `"weight": 0`, "kinds[0].weight", "gt=0"},
		{"switch too far ahead", `"deployment":`, `"in_force_at": "2026-12-03T07:00:00Z", "deployment":`, "in_force_at", "3s"},
		{"no slots", `"slots": 5`, `"slots": 0`, "sources[0].slots", "min=1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			changed := strings.Replace(string(read(t, "gebeta.json")), test.from, test.to, 1)
			_, err := Parse([]byte(changed))
			assertFault(t, err, test.field, test.remedy)
		})
	}
}

func TestTooLargeDocument(t *testing.T) {
	_, err := Parse(make([]byte, MaxSize+1))
	assertFault(t, err, "(document)", "at most")
}

func assertFault(t *testing.T, err error, field, remedy string) {
	t.Helper()
	var fault *FieldError
	if !errors.As(err, &fault) {
		t.Fatalf("error %v is no FieldError", err)
	}
	if fault.Field != field || !strings.Contains(fault.Remedy, remedy) {
		t.Fatalf("fault %v, want field %s and remedy with %q", fault, field, remedy)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"format":1}`))
	f.Add([]byte(`{"revision":-1,"events":[{"start":"x"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(again); err != nil {
			t.Fatalf("a valid document is invalid once written again: %v", err)
		}
	})
}
