package settings

import (
	"errors"
	"strings"
	"testing"

	"shallotreel.example/reel/document"
)

const valid = `{"name":"bole-1","data_centre":"bole-hall","caller_address":"10.0.0.1:8080","peer_address":"10.0.0.1:8081","platform_address":"10.0.0.9:7070"}`

func TestDefaults(t *testing.T) {
	settings, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if !settings.HasRole(Entry) || !settings.HasRole(Holder) || settings.LogLevel != "info" {
		t.Fatalf("got %+v", settings)
	}
}

func TestErrorsNameTheField(t *testing.T) {
	tests := []struct{ name, from, to, field string }{
		{"no name", `"name":"bole-1",`, ``, "name"},
		{"name with the separator of tickets", `bole-1`, `bole~1`, "name"},
		{"no data centre", `"data_centre":"bole-hall",`, ``, "data_centre"},
		{"unknown role", `{`, `{"duties":["cook"],`, "duties[0]"},
		{"unknown field", `{`, `{"colour":"red",`, "colour"},
		{"unknown log level", `{`, `{"log_level":"loud",`, "log_level"},
		{"no peer address", `"peer_address":"10.0.0.1:8081",`, ``, "peer_address"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, test.from, test.to, 1)))
			var fieldError *document.FieldError
			if !errors.As(err, &fieldError) || fieldError.Field != test.field {
				t.Fatalf("error %v, want field %s", err, test.field)
			}
		})
	}
}

func TestHostNamesAreRejected(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(valid, "10.0.0.9:7070", "platform:7070", 1)))
	if err == nil {
		t.Fatal("got no error for a host name in place of an IP address")
	}
}
