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
type tableWriter struct{ *tabwriter.Writer }

// row writes a line; the columns are separated.
func (w *tableWriter) row(columns ...any) {
	cells := make([]string, len(columns))
	for i, c := range columns {
		cells[i] = fmt.Sprint(c)
	}
	_, _ = io.WriteString(w, strings.Join(cells, "\t")+"\n")
}

// line writes text that is not aligned with the rows around it.
func (w *tableWriter) line(format string, args ...any) {
	_ = w.Flush()
	_, _ = fmt.Fprintf(w.Writer, format+"\n", args...)
	_ = w.Flush()
}

// ago is a time in milliseconds in a form to read.
func ago(ms int64) string {
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
