package relay

import (
	"bytes"
	"encoding/gob"
	"flag"
	"net/http"
	"os"
	"testing"
	"time"

	"shallotreel.example/reel/query"
	"shallotreel.example/reel/result"
)

// goldenFile holds a request and a reply as the build of commit bd038c1 encodes them, which does not say whether a request may be
// repeated.
const goldenFile = "testdata/messages_bd038c1.gob"

var update = flag.Bool("update", false, "write the golden file anew")

// Copies of the types of commit bd038c1.
type (
	oldRequest struct {
		Call     uint64
		Origin   string
		Method   string
		Host     string
		URI      string
		Header   http.Header
		Body     []byte
		Left     time.Duration
		GoalLeft time.Duration
		Version  uint64
		Once     bool
		Counted  bool
		Spent    map[string]int
	}
	oldReply struct {
		Refusal    string
		PathLost   bool
		Code       result.Code
		Overloaded bool
		Reason     string
		RetryAfter time.Duration
		Status     int
		Header     http.Header
		Body       []byte
		Signatures []string
		Missing    int
		Version    uint64
		Spent      map[string]int
	}
)

// encode returns the messages as one stream.
func encode(t *testing.T, messages ...any) []byte {
	t.Helper()
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	for _, message := range messages {
		if err := encoder.Encode(message); err != nil {
			t.Fatal(err)
		}
	}
	return buffer.Bytes()
}

func decode(t *testing.T, data []byte, messages ...any) {
	t.Helper()
	decoder := gob.NewDecoder(bytes.NewReader(data))
	for _, message := range messages {
		if err := decoder.Decode(message); err != nil {
			t.Fatal(err)
		}
	}
}

// TestMessagesOfOlderBuild guards against a reply of the build in production that seems to allow a repetition, and against messages of it
// that this build cannot read.
func TestMessagesOfOlderBuild(t *testing.T) {
	if *update {
		data := encode(t, oldRequest{Call: 3, Origin: "one", URI: "/x", Left: time.Second, Once: true, Spent: map[string]int{"desk": 1}},
			oldReply{PathLost: true, Code: result.Broken, Version: 4, Spent: map[string]int{"desk": 2}})
		if err := os.WriteFile(goldenFile, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	var request Request
	var reply Reply
	decode(t, data, &request, &reply)
	if !request.Once || request.Spent["desk"] != 1 || request.Left != time.Second {
		t.Errorf("got request %+v", request)
	}
	if reply.Repeatable || !reply.PathLost || reply.Spent["desk"] != 2 || reply.Version != 4 {
		t.Errorf("got reply %+v", reply)
	}
}

// TestMessagesToOlderBuild guards against messages that the build in production cannot read.
func TestMessagesToOlderBuild(t *testing.T) {
	data := encode(t, Request{Call: 3, URI: "/x", Once: true, Spent: query.Spending{"desk": 1}},
		Reply{PathLost: true, Code: result.Broken, Spent: query.Spending{"desk": 2}, Repeatable: true})
	var request oldRequest
	var reply oldReply
	decode(t, data, &request, &reply)
	if !request.Once || request.Spent["desk"] != 1 || request.Call != 3 {
		t.Errorf("got request %+v", request)
	}
	if !reply.PathLost || reply.Code != result.Broken || reply.Spent["desk"] != 2 {
		t.Errorf("got reply %+v", reply)
	}
}
