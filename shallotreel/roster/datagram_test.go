package roster

import (
	"testing"

	"shallotreel.example/reel/member"
)

// TestMalformedDatagrams guards against a datagram that ends the process or its membership: a state without a name could not be logged.
func TestMalformedDatagrams(t *testing.T) {
	const unknown = member.State(99)
	encode := func(message member.Message) []byte {
		data, err := datagram{members: message}.encode()
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	for name, data := range map[string][]byte{
		"empty":                       {},
		"no message":                  []byte("\xff\xfe\x00"),
		"cut off":                     encode(member.Message{From: member.Member{Name: "one"}})[:20],
		"unknown state of the sender": encode(member.Message{From: member.Member{Name: "one", State: unknown}}),
		"unknown state in an update":  encode(member.Message{Updates: []member.Member{{Name: "two", State: unknown}}}),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := decode(data); err == nil {
				t.Error("the datagram is accepted")
			}
		})
	}
	if _, err := decode(encode(member.Message{From: member.Member{Name: "one", State: member.Dead}})); err != nil {
		t.Errorf("a proper datagram is refused: %v", err)
	}
}
