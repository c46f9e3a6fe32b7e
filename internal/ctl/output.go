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

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// report is the result of a command. It is printed as JSON or as a table.
type report interface {
	table(w *tableWriter)
}

// print writes a report in the format that --output selects.
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

// tableWriter writes tables with aligned columns, and lines of text between them.
type tableWriter struct {
	*tabwriter.Writer
	// columns is the number of columns of the current table; 0 between tables.
	columns int
}

// row writes a row of a table; the first row holds the headings. Missing trailing columns are filled with dashes.
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

// line ends the current table and writes a line of unaligned text.
func (w *tableWriter) line(format string, args ...any) {
	_ = w.Flush()
	w.columns = 0
	_, _ = fmt.Fprintf(w.Writer, format+"\n", args...)
	_ = w.Flush()
}

// formatMs formats a duration in milliseconds, rounded to 100 ms, or to a second above a minute. Negative means never.
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
