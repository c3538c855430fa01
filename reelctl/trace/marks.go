package trace

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"shallotreel.example/reelctl/table"
)

// Mark is what the logs record about the mark on the requests with one fingerprint.
type Mark struct {
	Fingerprint string  `json:"fingerprint"`
	Verdict     string  `json:"verdict"` // newest one, empty if no line has one
	Refusals    int     `json:"refusals"`
	Reasons     []*Line `json:"reasons"` // lines that raised, learned or cleared the mark, ordered by time
}

const (
	refusalMessage = "request refused by its mark"
	clearedMessage = "mark on a request that ran without a crash is cleared"
)

// Marks returns the marks that the lines mention, those with the most refusals first.
func Marks(lines []*Line) []Mark {
	marks := map[string]*Mark{}
	ordered := slices.SortedStableFunc(slices.Values(lines), func(a, b *Line) int { return a.Time.Compare(b.Time) })
	for _, line := range ordered {
		if line.Fingerprint == "" || line.Message == completionMessage {
			continue
		}
		mark, ok := marks[line.Fingerprint]
		if !ok {
			mark = &Mark{Fingerprint: line.Fingerprint}
			marks[line.Fingerprint] = mark
		}
		mark.Verdict = cmp.Or(line.Verdict, mark.Verdict)
		if line.Message == refusalMessage {
			mark.Refusals++
			continue
		}
		if line.Message == clearedMessage && line.Crashes == 0 {
			mark.Verdict = "" // no crash counts any more
		}
		mark.Reasons = append(mark.Reasons, line)
	}
	var list []Mark
	for _, mark := range marks {
		list = append(list, *mark)
	}
	slices.SortFunc(list, func(a, b Mark) int {
		return cmp.Or(cmp.Compare(b.Refusals, a.Refusals), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list
}

// PrintMarks writes the marks as text: each with its verdict, the number of refusals, and why it stands.
func PrintMarks(writer io.Writer, marks []Mark) error {
	table := table.New(writer)
	for _, mark := range marks {
		fmt.Fprintf(table, "%s: %s, %d requests refused\n", mark.Fingerprint, orNone(mark.Verdict), mark.Refusals)
		for _, line := range mark.Reasons {
			fmt.Fprintf(table, "  %s\t%s\t%s\t%s\t%s\n", line.Time.Format(clockLayout), line.Instance, orNone(line.Request),
				line.Message, line.detail())
		}
	}
	return table.Flush()
}
