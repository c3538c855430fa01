package settings

import (
	"strings"
	"testing"
	"time"
)

const validFront = `{"name":"one","data_centre":"a","caller_address":"10.0.0.1:1","ready_address":"10.0.0.1:2",
	"resolve_address":"10.0.0.1:3","peer_address":"10.0.0.1:4","metrics_address":"10.0.0.1:5","store_address":"10.0.0.9:6",
	"seeds":["10.0.0.2:4"],"grace":"6s","keep_most":"5s","extra":{"ratio":0.2,"window":"10s","slack":58}}`

func TestFront(t *testing.T) {
	front, err := ParseFront([]byte(validFront))
	if err != nil {
		t.Fatal(err)
	}
	if front.Grace.Std() != 6*time.Second || front.Extra.Slack != 58 || len(front.Seeds) != 1 {
		t.Errorf("got %+v", front)
	}
	for _, test := range []struct{ name, old, replacement, want string }{
		{"missing name", `"name":"one",`, ``, "name"},
		{"invalid address", `"10.0.0.9:6"`, `"store:6"`, ""},
		{"invalid duration", `"6s"`, `"6"`, "duration"},
		{"zero grace", `"6s"`, `"0s"`, "grace"},
		{"negative ratio", `"ratio":0.2`, `"ratio":-1`, "extra.ratio"},
		{"too little memory", `"name":"one"`, `"name":"one","memory_mb":63`, "memory_mb"},
		{"too few descriptors", `"name":"one"`, `"name":"one","max_descriptors":127`, "max_descriptors"},
		{"unknown field", `"name":"one"`, `"name":"one","nmae":"two"`, "nmae"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseFront([]byte(strings.Replace(validFront, test.old, test.replacement, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v does not name %s", err, test.want)
			}
		})
	}
}
