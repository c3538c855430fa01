package story

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const clock = "15:04:05.000"

// Print writes the story as text.
func (story *Story) Print(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	for _, end := range story.Ends {
		fmt.Fprintf(table, "%s at %s: route %s, version %d, from %s\n", end.Request, end.Instance, orNone(end.Route), end.Version,
			end.Begun().Format(clock))
		for _, attempt := range end.Attempts {
			fmt.Fprintf(table, "  +%s\t%s\t%s\t%s\tbelieved %s\t%s\n", short(attempt.After), attempt.Why, attempt.Service,
				attempt.Target, attempt.Grade, attempt.end())
		}
		for _, gap := range end.Gaps {
			fmt.Fprintf(table, "  \tmissing\t%s\t\t%s\n", gap.Service, gap.Held)
		}
		fmt.Fprintf(table, "  +%s\tended\t%s\t%s\n", short(time.Duration(end.TookMs)*time.Millisecond), end.Code, end.Reason)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(story.Around) == 0 {
		return nil
	}
	fmt.Fprintln(writer, "what its instances came to believe before:")
	for _, line := range story.Around {
		if _, err := fmt.Fprintf(writer, "  %s %s %s\n", line.Time.Format(clock), line.Instance, line.Text); err != nil {
			return err
		}
	}
	return nil
}

func (attempt Attempt) end() string {
	switch {
	case attempt.Cause != "":
		return fmt.Sprintf("%s after %s", attempt.Cause, short(attempt.Took))
	case attempt.Status != 0:
		return fmt.Sprintf("status %d after %s", attempt.Status, short(attempt.Took))
	default:
		return "not awaited to its end"
	}
}

func short(duration time.Duration) string { return duration.Round(100 * time.Microsecond).String() }

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
