package story

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
	before   = 10 * time.Second // of the request, in which what an instance came to believe may matter
	lineMost = 1 << 20          // bytes
)

// ErrUnknown means that no line names the request.
var ErrUnknown = errors.New("no line names the request: it met no instance, or its line was one of those left out")

// Attempt is one decision to send the request to a target, and its end.
type Attempt struct {
	Target  string        `json:"target"`
	Service string        `json:"service"`
	Why     string        `json:"why"`
	Grade   string        `json:"grade"`
	After   time.Duration `json:"after"` // since the request's begin
	Took    time.Duration `json:"took"`
	Status  int           `json:"status"`
	Cause   string        `json:"cause"`
}

// Line is one log line of an instance.
type Line struct {
	Instance string    `json:"from"`
	Text     string    `json:"text"` // as it was written
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Request  string    `json:"request"`
	Route    string    `json:"route"`
	Code     string    `json:"code"`
	Reason   string    `json:"reason"`
	Version  uint64    `json:"version"`
	TookMs   int64     `json:"took_ms"`
	Target   string    `json:"target"`
	Subject  string    `json:"subject"`
	Attempts []Attempt `json:"attempts"`
	Gaps     []Gap     `json:"gaps"`
}

// Gap is a service that brought no answer, and why no other target of it was asked.
type Gap struct {
	Service string        `json:"service"`
	Waited  time.Duration `json:"waited"`
	Held    string        `json:"held"`
}

// Begun is when the request that the line tells of began.
func (line *Line) Begun() time.Time {
	return line.Time.Add(-time.Duration(line.TookMs) * time.Millisecond)
}

// Story is what the logs tell of one request.
type Story struct {
	Ends   []*Line // one for each instance that served it
	Around []*Line // what those instances came to believe of its targets and of themselves, in order of time
}

// Read returns the lines of one log. What stands before the JSON of a line names the instance; else it is the given one.
func Read(reader io.Reader, instance string) ([]*Line, error) {
	var lines []*Line
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, lineMost)
	for scanner.Scan() {
		prefix, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		line := &Line{}
		if json.Unmarshal([]byte("{"+text), line) != nil || line.Message == "" {
			continue // another program's line
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

// Tell finds the request's ends, and the lines around them that may explain them.
func Tell(lines []*Line, request string) (*Story, error) {
	story := &Story{}
	for _, line := range lines {
		if line.Request == request {
			story.Ends = append(story.Ends, line)
		}
	}
	if len(story.Ends) == 0 {
		return nil, errors.Wrap(ErrUnknown, request)
	}
	for _, line := range lines {
		if line.Request == "" && slices.ContainsFunc(story.Ends, line.explains) {
			story.Around = append(story.Around, line)
		}
	}
	byTime := func(a, b *Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance)) }
	slices.SortStableFunc(story.Ends, byTime)
	slices.SortStableFunc(story.Around, byTime)
	return story, nil
}

// explains reports whether the line tells what the instance that served the request came to believe shortly before
// or meanwhile: of a target or service that it asked, or of itself.
func (line *Line) explains(end *Line) bool {
	if line.Instance != end.Instance || line.Time.After(end.Time) || line.Time.Before(end.Begun().Add(-before)) {
		return false
	}
	about := cmp.Or(line.Target, line.Subject)
	return about == "" || slices.ContainsFunc(end.Attempts, func(attempt Attempt) bool {
		return attempt.Target == about || attempt.Service == about
	})
}
