package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	contextWindow = 10 * time.Second // time before a request's start in which log lines may explain its result
	maxLineBytes  = 1 << 20          // of a log line
)

// completionMessage is the message of the line that an instance writes at the end of a request.
const completionMessage = "request ended"

// ErrNotFound means that no log line contains the request's id.
var ErrNotFound = errors.New("no log line contains the request id: no instance received the request, or its line was dropped")

// Attempt is one attempt to send the request to a target, and its result.
type Attempt struct {
	Target  string        `json:"target"`
	Service string        `json:"service"`
	Why     string        `json:"why"`
	Grade   string        `json:"grade"`
	Limited string        `json:"limited"` // target that was left out because of its rate limit
	After   time.Duration `json:"after"`   // from the start of the request to the attempt
	Took    time.Duration `json:"took"`
	Status  int           `json:"status"`
	Cause   string        `json:"cause"`
}

// Line is one JSON log line of an instance.
type Line struct {
	Instance string    `json:"from"`
	Text     string    `json:"text"` // the JSON of the line as it was logged
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Request  string    `json:"request"`
	// Fingerprint is the same in all lines about requests with the same content.
	Fingerprint string    `json:"fingerprint"`
	Route       string    `json:"route"`
	Code        string    `json:"code"`
	Reason      string    `json:"reason"`
	Version     uint64    `json:"version"`
	TookMs      int64     `json:"took_ms"`
	Target      string    `json:"target"`
	Subject     string    `json:"subject"`
	Service     string    `json:"service"`
	Peer        string    `json:"peer"`
	Evidence    string    `json:"evidence"`
	Crashes     int       `json:"crashes"` // under requests with the fingerprint
	Verdict     string    `json:"verdict"` // on them
	Trials      int       `json:"trials"`  // of them since they are quarantined
	Attempts    []Attempt `json:"attempts"`
	Gaps        []Gap     `json:"gaps"`
	Origin      string    `json:"origin"`      // instance that handed the request over to this one
	HandedOver  string    `json:"handed_over"` // why the request was handed over to others
	Helpers     []Helper  `json:"helpers"`     // that were asked
}

// Helper is an instance that was asked to serve the request.
type Helper struct {
	Name  string        `json:"helper"`
	Took  time.Duration `json:"took"`
	Cause string        `json:"cause"` // why it gave no answer
}

// Gap is a service that returned no response, and the reason why no other target of the service was tried.
type Gap struct {
	Service string        `json:"service"`
	Waited  time.Duration `json:"waited"`
	Reason  string        `json:"held"`
}

// StartTime returns the time at which the request of a "request ended" line began.
func (line *Line) StartTime() time.Time {
	return line.Time.Add(-time.Duration(line.TookMs) * time.Millisecond)
}

// Trace holds the log lines that concern one request, each list ordered by time.
type Trace struct {
	Completions []*Line `json:"Ends"`   // one for each instance that served the request
	Context     []*Line `json:"Around"` // earlier lines of those instances about themselves or the request's targets
	// Repeats holds the lines of all instances about other requests with the same content, and about the marks on them.
	Repeats []*Line `json:"Repeats,omitempty"`
}

// Read returns the JSON lines of one log and skips all others. The last word before the JSON of a line, if there is
// one, is the name of the instance that wrote it; otherwise the given name is used. A line longer than 1 MiB is an
// error.
func Read(reader io.Reader, instance string) ([]*Line, error) {
	var lines []*Line
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		prefix, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		line := &Line{}
		if json.Unmarshal([]byte("{"+text), line) != nil || line.Message == "" {
			continue // not a log line of an instance
		}
		line.Instance, line.Text = instance, "{"+text
		if words := strings.Fields(prefix); len(words) > 0 {
			line.Instance = words[len(words)-1]
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	return lines, nil
}

// Find returns the lines that record the end of the request, the earlier lines that may explain its result, and those
// about its repeats. The error wraps ErrNotFound if no line records its end.
func Find(lines []*Line, request string) (*Trace, error) {
	trace := &Trace{}
	for _, line := range lines {
		if line.Request == request && line.Message == completionMessage {
			trace.Completions = append(trace.Completions, line)
		}
	}
	if len(trace.Completions) == 0 {
		return nil, errors.Wrap(ErrNotFound, request)
	}
	for _, line := range lines {
		if line.Fingerprint != "" && line.Fingerprint == trace.Completions[0].Fingerprint && !slices.Contains(trace.Completions, line) {
			trace.Repeats = append(trace.Repeats, line)
		}
		if line.Request == "" && line.Fingerprint == "" && slices.ContainsFunc(trace.Completions, line.relatesTo) {
			trace.Context = append(trace.Context, line)
		}
	}
	byTime := func(a, b *Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance)) }
	slices.SortStableFunc(trace.Completions, byTime)
	slices.SortStableFunc(trace.Context, byTime)
	slices.SortStableFunc(trace.Repeats, byTime)
	return trace, nil
}

// relatesTo reports whether the line may explain the result that the completion line records: the same instance wrote
// the line during the request or shortly before, and the line concerns a target or service that was tried, a target that
// was left out, a service that did not answer, or no target.
func (line *Line) relatesTo(completion *Line) bool {
	if line.Instance != completion.Instance || line.Time.After(completion.Time) || line.Time.Before(completion.StartTime().Add(-contextWindow)) {
		return false
	}
	subject := cmp.Or(line.Target, line.Subject)
	return subject == "" || slices.ContainsFunc(completion.Attempts, func(attempt Attempt) bool {
		return attempt.Target == subject || attempt.Service == subject || attempt.Limited == subject
	}) || line.Service != "" && slices.ContainsFunc(completion.Gaps, func(gap Gap) bool { return gap.Service == line.Service })
}
