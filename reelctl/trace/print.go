package trace

import (
	"fmt"
	"io"
	"strings"
	"time"

	"shallotreel.example/reelctl/table"
)

const clockLayout = "15:04:05.000"

// Print writes the trace as text: each instance's attempts and result, then the context lines.
func (trace *Trace) Print(writer io.Writer) error {
	table := table.New(writer)
	for _, completion := range trace.Completions {
		fmt.Fprintf(table, "request %s at instance %s: route %s, version %d, started %s\n", completion.Request,
			completion.Instance, orNone(completion.Route), completion.Version, completion.StartTime().Format(clockLayout))
		for _, attempt := range completion.Attempts {
			fmt.Fprintf(table, "  +%s\t%s\t%s\t%s\tgrade %s\t%s\n", formatDuration(attempt.After), attempt.Why, attempt.Service,
				attempt.Target, attempt.Grade, attempt.outcome())
			if attempt.Limited != "" {
				fmt.Fprintf(table, "  \tleft out\t%s\t%s\tby its rate limit\t\n", attempt.Service, attempt.Limited)
			}
		}
		if completion.Origin != "" {
			fmt.Fprintf(table, "  \tfor\t%s\t\t\n", completion.Origin)
		}
		if completion.HandedOver != "" {
			fmt.Fprintf(table, "  \thanded over\t\t\t%s\n", completion.HandedOver)
		}
		for _, helper := range completion.Helpers {
			fmt.Fprintf(table, "  \tasked\t%s\t\t%s\n", helper.Name, helper.outcome())
		}
		for _, gap := range completion.Gaps {
			fmt.Fprintf(table, "  \tmissing\t%s\t\t%s\n", gap.Service, gap.Reason)
		}
		fmt.Fprintf(table, "  +%s\tended\t%s\t%s\n", formatDuration(time.Duration(completion.TookMs)*time.Millisecond),
			completion.Code, completion.Reason)
	}
	trace.printRepeats(table)
	if err := table.Flush(); err != nil {
		return err
	}
	if len(trace.Context) == 0 {
		return nil
	}
	fmt.Fprintln(writer, "related earlier log lines of these instances:")
	for _, line := range trace.Context {
		if _, err := fmt.Fprintf(writer, "  %s %s %s\n", line.Time.Format(clockLayout), line.Instance, line.Text); err != nil {
			return err
		}
	}
	return nil
}

// printRepeats writes what happened to requests with the same content and to the marks on them.
func (trace *Trace) printRepeats(table io.Writer) {
	if len(trace.Repeats) == 0 {
		return
	}
	fmt.Fprintf(table, "requests with the same content, fingerprint %s:\n", trace.Completions[0].Fingerprint)
	for _, line := range trace.Repeats {
		fmt.Fprintf(table, "  %s\t%s\t%s\t%s\t%s\n", line.Time.Format(clockLayout), line.Instance, orNone(line.Request),
			line.Message, line.detail())
	}
}

// detail returns the fields of a line that say why it was written.
func (line *Line) detail() string {
	if line.Message == completionMessage {
		return fmt.Sprintf("%s, %d attempts %s", line.Code, len(line.Attempts), line.Reason)
	}
	var details []string
	for _, field := range []string{line.Target, line.Evidence, line.Peer} {
		if field != "" {
			details = append(details, field)
		}
	}
	details = append(details, fmt.Sprintf("%d crashes", line.Crashes))
	if line.Verdict != "" {
		details = append(details, line.Verdict)
	}
	if line.Trials > 0 {
		details = append(details, fmt.Sprintf("trial %d", line.Trials))
	}
	return strings.Join(details, ", ")
}

func (helper Helper) outcome() string {
	if helper.Cause != "" {
		return fmt.Sprintf("%s after %s", helper.Cause, formatDuration(helper.Took))
	}
	return "answered after " + formatDuration(helper.Took)
}

func (attempt Attempt) outcome() string {
	switch {
	case attempt.Cause != "":
		return fmt.Sprintf("%s after %s", attempt.Cause, formatDuration(attempt.Took))
	case attempt.Status != 0:
		return fmt.Sprintf("status %d after %s", attempt.Status, formatDuration(attempt.Took))
	default:
		return "unfinished when the request ended"
	}
}

func formatDuration(duration time.Duration) string {
	return duration.Round(100 * time.Microsecond).String()
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
