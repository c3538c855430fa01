package experiment

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"shallotreel.example/reel/document"
)

func TestExperimentFilesAreValid(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "experiments", "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatalf("experiment files %v, error %v; want at least one file", files, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(data); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

func TestParseErrorsNameTheField(t *testing.T) {
	tests := []struct{ name, data, field string }{
		{"unknown fault", `{"load":[{"kind":"k","rate":1}],"faults":[{"fault":"flood"}]}`, "faults[0].fault"},
		{"missing target", `{"load":[{"kind":"k","rate":1}],"faults":[{"fault":"target_slow","factor":2}]}`, "faults[0].target"},
		{"missing instances", `{"load":[{"kind":"k","rate":1}],"faults":[{"fault":"cut"}]}`, "faults[0].instances"},
		{"instance number out of range", `{"load":[{"kind":"k","rate":1}],"faults":[{"fault":"cut","instances":[9]}]}`, "faults[0].instances"},
		{"missing rate", `{"load":[{"kind":"k"}]}`, "load[0].rate"},
		{"empty load", `{"load":[]}`, "load"},
		{"unknown field", `{"lode":[]}`, "lode"},
		{"unknown deployment", `{"deployment":"x","load":[{"kind":"k","rate":1}]}`, "deployment"},
		{"duration without unit", `{"warmup":"3","load":[{"kind":"k","rate":1}]}`, "(duration or time)"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(test.data))
			var fieldError *document.FieldError
			if !errors.As(err, &fieldError) || fieldError.Field != test.field {
				t.Fatalf("error %v, want field %s", err, test.field)
			}
		})
	}
}
