package replay

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const tablePadding = 2

// WriteTable prints the report as a table, without the groups by team and band, which only the JSON form has.
func (r *Report) WriteTable(out io.Writer) error {
	_, _ = fmt.Fprintf(out, "%s, %s, policy %s, seed %d\n", r.Title, r.Deployment, r.Policy, r.Seed)
	w := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	_, _ = fmt.Fprintln(w, "by\tname\tasked\tdone\trefused\tlate\tunknown\tfirst ms 50/95/99\tbetween tokens ms\tslowdown\tattempts\tdone/s")
	for _, f := range r.Groups {
		if f.Kind == KindTeamBand {
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%.3f\t%.2f\n", f.Kind, f.Name, f.Requests, f.Done, f.Refused,
			f.Late, f.Unknown, formatWhole(f.FirstTokenMs), formatWhole(f.GapMs), f.Slowdown, f.Attempts, f.Goodput)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, b := range r.Violations {
		_, _ = fmt.Fprintf(out, "not as stated: %s %s got %.3f limit %.3f\n", b.Subject, b.Outcome, b.Got, b.Limit)
	}
	return nil
}

// String formats the quantiles with two decimals.
func (q Quantiles) String() string { return fmt.Sprintf("%.2f/%.2f/%.2f", q.P50, q.P95, q.P99) }

// formatWhole formats the quantiles as whole numbers.
func formatWhole(q Quantiles) string { return fmt.Sprintf("%.0f/%.0f/%.0f", q.P50, q.P95, q.P99) }

// WriteComparison prints the figures of two runs side by side, with the ratio of the second to the first, for the groups
// of the first.
func WriteComparison(out io.Writer, a, b *Report) error {
	_, _ = fmt.Fprintf(out, "A: %s, policy %s, seed %d\nB: %s, policy %s, seed %d\n", a.Title, a.Policy, a.Seed, b.Title, b.Policy, b.Seed)
	w := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	_, _ = fmt.Fprintln(w, "by\tname\tmeasure\tA\tB\tB/A")
	for _, fa := range a.Groups {
		fb := b.Group(fa.Kind, fa.Name)
		for _, m := range measures {
			va, vb := m.of(fa), m.of(fb)
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.2f\t%s\n", fa.Kind, fa.Name, m.name, va, vb, ratio(va, vb))
		}
	}
	return w.Flush()
}

func ratio(a, b float64) string {
	if a == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", b/a)
}
