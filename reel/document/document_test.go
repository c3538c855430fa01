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
	for _, name := range []string{"gebeta.json", "bellandi.json", "vannkobling.json"} {
		doc, err := Parse(read(t, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if doc.Preset().Name != "ordinary" || len(doc.Digest()) != 16 {
			t.Errorf("%s: preset %q, digest %q", name, doc.Preset().Name, doc.Digest())
		}
	}
}

// TestErrorsNameTheField makes one field invalid at a time and checks the field and the remedy in the error.
func TestErrorsNameTheField(t *testing.T) {
	tests := []struct{ name, from, to, field, remedy string }{
		{"unknown field", `"deployment":`, `"deploiment":`, "deploiment", "unknown"},
		{"wrong type", `"revision": 1,`, `"revision": "one",`, "revision", "uint64"},
		{"duration without a unit", `"retry_after": "1s"`, `"retry_after": "1"`, "(duration or time)", "250ms"},
		{"event in the past", `"start": "2026-12-03T12:00:00Z"`, `"start": "2026-12-03T05:00:00Z"`, "events[0].start", "past"},
		{"unknown preset in force", `"preset_in_force": "ordinary"`, `"preset_in_force": "feast"`, "preset_in_force", "name a preset"},
		{"unknown source of a kind", `"source": "audit-desk"`, `"source": "audit"`, "kinds[3].source", "name a source"},
		{"repeatable record operation", `"repeatable": false`, `"repeatable": true`, "kinds[2].repeatable", "false"},
		{"tail rule without patience", `"patience": "150ms"`, `"patience": "0s"`, "kinds[0].patience", "above 0"},
		{"weight of zero", `"weight": 4`, `"weight": 0`, "kinds[0].weight", "gt=0"},
		{"in_force_at too late", `"deployment":`, `"in_force_at": "2026-12-03T07:00:00Z", "deployment":`, "in_force_at", "3s"},
		{"no slots", `"slots": 5`, `"slots": 0`, "sources[0].slots", "min=1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			changed := strings.Replace(string(read(t, "gebeta.json")), test.from, test.to, 1)
			_, err := Parse([]byte(changed))
			assertFieldError(t, err, test.field, test.remedy)
		})
	}
}

func TestTooLargeDocument(t *testing.T) {
	_, err := Parse(make([]byte, MaxSize+1))
	assertFieldError(t, err, "(document)", "at most")
}

func assertFieldError(t *testing.T, err error, field, remedy string) {
	t.Helper()
	var fieldError *FieldError
	if !errors.As(err, &fieldError) {
		t.Fatalf("error %v is not a *FieldError", err)
	}
	if fieldError.Field != field || !strings.Contains(fieldError.Remedy, remedy) {
		t.Fatalf("error %v, want field %s and a remedy that contains %q", fieldError, field, remedy)
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
			t.Fatalf("a valid document is invalid after it is encoded again: %v", err)
		}
	})
}
