package holder

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

var start = time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)

// testTracker adapts quarantine.Tracker to FingerprintTracker by dropping the return values.
type testTracker struct{ *quarantine.Tracker }

func (tracker testTracker) RecordCrash(now time.Time, fingerprint quarantine.Fingerprint, name string) {
	tracker.Tracker.RecordCrash(now, fingerprint, name)
}

func (tracker testTracker) RecordSuccess(now time.Time, fingerprint quarantine.Fingerprint) {
	tracker.Tracker.RecordSuccess(now, fingerprint)
}

// TestSessions replays the sessions in testdata and compares the actions with the recorded ones. If UPDATE_GOLDEN is
// set, it overwrites the recorded actions instead.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("session files: %v, error %v", files, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := replay(t, string(archive.Files[0].Data))
			if os.Getenv("UPDATE_GOLDEN") != "" {
				archive.Files = []txtar.File{archive.Files[0], {Name: "actions", Data: []byte(got)}}
				if err := os.WriteFile(file, txtar.Format(archive), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if want := string(archive.Files[1].Data); got != want {
				t.Errorf("actions:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

// replay runs one session and returns its lines, each followed by the resulting actions. A line consists of a time in
// milliseconds, an event and the fields of the event.
func replay(t *testing.T, session string) string {
	t.Helper()
	machine := New("s/1/1", testTracker{&quarantine.Tracker{}})
	var output strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(session), "\n") {
		if strings.HasPrefix(line, "#") {
			continue
		}
		words := strings.Fields(line)
		millis, err := strconv.Atoi(words[0])
		if err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		now := start.Add(time.Duration(millis) * time.Millisecond)
		fmt.Fprintf(&output, "%s\n", line)
		for _, action := range machine.Handle(now, parseEvent(t, words[1], fields(words[2:]))) {
			fmt.Fprintf(&output, "  %s\n", describe(action))
		}
	}
	return output.String()
}

func fields(words []string) map[string]string {
	fields := map[string]string{}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		fields[name] = value
	}
	return fields
}

func number(t *testing.T, fields map[string]string, name string, defaultValue int) int {
	t.Helper()
	text, ok := fields[name]
	if !ok {
		return defaultValue
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("field %s: %v", name, err)
	}
	return value
}

func attemptOf(name string) target.Attempt {
	var attempt target.Attempt
	copy(attempt[:], name)
	return attempt
}

func parseEvent(t *testing.T, kind string, fields map[string]string) Event {
	t.Helper()
	id := attemptOf(fields["id"])
	_, trusted := fields["trusted"]
	_, alone := fields["alone"]
	switch kind {
	case "limits":
		return Configured{Slots: number(t, fields, "slots", 2), SlotFraction: 1,
			QueuePerSlot: float64(number(t, fields, "queue", 2)), RetryAfter: time.Second}
	case "offer":
		return Offered{SubRequest{Target: "s/1/1", From: "e1", Weight: float64(number(t, fields, "weight", 1)),
			Fingerprint: quarantine.Fingerprint(number(t, fields, "print", 0)),
			Trust:       quarantine.Trust{Passed: trusted, Version: uint64(number(t, fields, "mark", 0))}, Alone: alone,
			Request: target.Request{Attempt: id, Kind: fields["kind"], Snapshot: 41,
				Deadline: start.Add(time.Duration(number(t, fields, "deadline", 100000)) * time.Millisecond)}}}
	case "reply":
		code := result.Code(number(t, fields, "code", 0))
		return Replied{target.Reply{Attempt: id, Code: code, Snapshot: uint64(number(t, fields, "snapshot", 41)),
			Report: target.Report{State: target.State(fields["state"]), InFlight: number(t, fields, "load", 0)}}}
	case "fail":
		code := result.Code(number(t, fields, "code", 401))
		return Failed{Attempt: id, Code: code, Ran: code.Ran()}
	case "cancel":
		return Canceled{id}
	case "report":
		_, failed := fields["failed"]
		return Reported{Failed: failed, Report: target.Report{State: target.State(fields["state"]),
			InFlight: number(t, fields, "load", 0), Snapshots: []uint64{41}}}
	case "marked":
		return MarkedLeaving{}
	case "tick":
		return Ticked{}
	}
	t.Fatalf("unknown event %q in a session", kind)
	return nil
}

func describe(action Action) string {
	name := func(attempt target.Attempt) string { return strings.TrimRight(string(attempt[:]), "\x00") }
	switch action := action.(type) {
	case Send:
		return "send " + name(action.Sub.Request.Attempt)
	case Finish:
		text := fmt.Sprintf("finish %s %v ran=%s: %s", name(action.Answer.Attempt), action.Answer.Code, action.Answer.Ran, action.Reason)
		if action.Answer.RetryAfter > 0 {
			text += fmt.Sprintf(", retry after %v", action.Answer.RetryAfter)
		}
		return text
	case Abort:
		return "abort " + name(action.Attempt)
	case AnnounceLeaving:
		return "leave " + action.Target
	}
	return fmt.Sprint(action)
}

func BenchmarkSubRequest(b *testing.B) {
	machine := New("s/1/1", testTracker{&quarantine.Tracker{}})
	machine.Handle(start, Configured{Slots: 5, SlotFraction: 1, QueuePerSlot: 1})
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		machine.Handle(now, Offered{SubRequest{Request: target.Request{Kind: "k", Deadline: now.Add(time.Second)}, Weight: 1,
			Trust: quarantine.Trust{Passed: true}}})
		machine.Handle(now, Replied{target.Reply{}})
	}
}
