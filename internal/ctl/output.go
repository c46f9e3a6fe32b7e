package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// Forms of the output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// report is what a command prints: its fields as JSON, or a table.
type report interface {
	table(w *tableWriter)
}

// print writes a report in the form that was asked for.
func (a *app) print(r report) error {
	if a.output == outputJSON {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(r))
	}
	w := &tableWriter{Writer: tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)}
	r.table(w)
	return errors.Trace(w.Flush())
}

// tableWriter aligns columns.
type tableWriter struct {
	*tabwriter.Writer
	// columns is the number of columns of the table that is being written; 0 between tables.
	columns int
}

// row writes a line of a table, whose first row has its headings. Columns that are left out are dashes.
func (w *tableWriter) row(columns ...any) {
	w.columns = max(w.columns, len(columns))
	var cells []string
	for _, c := range columns {
		cells = append(cells, fmt.Sprint(c))
	}
	for len(cells) < w.columns {
		cells = append(cells, "-")
	}
	_, _ = io.WriteString(w, strings.Join(cells, "\t")+"\n")
}

// line ends a table and writes text that is not aligned.
func (w *tableWriter) line(format string, args ...any) {
	_ = w.Flush()
	w.columns = 0
	_, _ = fmt.Fprintf(w.Writer, format+"\n", args...)
	_ = w.Flush()
}

// formatMs is a time in milliseconds in a form to read.
func formatMs(ms int64) string {
	if ms < 0 {
		return "never"
	}
	d := time.Duration(ms) * time.Millisecond
	if d > time.Minute {
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Millisecond).String()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
