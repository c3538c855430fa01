package table

import (
	"io"
	"text/tabwriter"
)

// New returns a writer that aligns cells, which end with a tab, in columns two spaces apart. The caller must flush it.
func New(writer io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
}
