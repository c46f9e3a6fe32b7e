package replay

import (
	"fmt"
	"io"
	"text/tabwriter"

	"carobshunt/internal/core/node"
	"carobshunt/internal/trace"
)

// Summary collects the reports of several policies and seeds, and prints the mean and the range over the seeds.
type Summary struct{ policies []*policyRuns }

// policyRuns holds the reports of one policy.
type policyRuns struct {
	policy node.Policy
	runs   []*Report
}

// Add adds the report of one run.
func (s *Summary) Add(r *Report) {
	for _, p := range s.policies {
		if p.policy == r.Policy {
			p.runs = append(p.runs, r)
			return
		}
	}
	s.policies = append(s.policies, &policyRuns{policy: r.Policy, runs: []*Report{r}})
}

// summaryFigure is one figure of the summary.
type summaryFigure struct {
	title string
	of    func(r *Report) float64
}

// summaryFigures returns the figures of the summary in the order in which they are printed.
func summaryFigures() []summaryFigure {
	bands := trace.Bands()
	short, middle, long := bands[0].Name, bands[1].Name, bands[2].Name
	band := func(name string) func(r *Report) Figures {
		return func(r *Report) Figures { return r.Group(KindBand, name) }
	}
	donePercent := func(f Figures) float64 {
		if f.Requests == 0 {
			return 0
		}
		return percent * float64(f.Done) / float64(f.Requests)
	}
	s, m, l := band(short), band(middle), band(long)
	return []summaryFigure{
		{"short first p95 ms", func(r *Report) float64 { return s(r).FirstTokenMs.P95 }},
		{"short gap p95 ms", func(r *Report) float64 { return s(r).GapMs.P95 }},
		{"all gap p95 ms", func(r *Report) float64 { return r.Group(KindAll, string(KindAll)).GapMs.P95 }},
		{"short slowdown p95", func(r *Report) float64 { return s(r).Slowdown.P95 }},
		{"short done %", func(r *Report) float64 { return donePercent(s(r)) }},
		{"middle done %", func(r *Report) float64 { return donePercent(m(r)) }},
		{"long done %", func(r *Report) float64 { return donePercent(l(r)) }},
		{"short late", func(r *Report) float64 { return float64(s(r).Late) }},
		{"middle late", func(r *Report) float64 { return float64(m(r).Late) }},
		{"long late", func(r *Report) float64 { return float64(l(r).Late) }},
		{"middle first p95 ms", func(r *Report) float64 { return m(r).FirstTokenMs.P95 }},
		{"long first p95 s", func(r *Report) float64 { return l(r).FirstTokenMs.P95 / 1000 }},
		{"attempts", func(r *Report) float64 { return r.Group(KindAll, string(KindAll)).Attempts }},
		{"done/s", func(r *Report) float64 { return r.Group(KindAll, string(KindAll)).Goodput }},
		{"worst seconds outside", func(r *Report) float64 { return r.SecondsOutsideObjective() }},
	}
}

// SecondsOutsideObjective returns the longest time, in seconds, for which too few prompts of the shortest band had their
// first token within firstTokenTarget. A window without requests ends it.
func (r *Report) SecondsOutsideObjective() float64 {
	longest, now := 0.0, 0.0
	for _, w := range r.Windows {
		if w.Requests == 0 || w.WithinPercent >= minWithinPercent {
			now = 0
			continue
		}
		now += windowLength.Seconds()
		longest = max(longest, now)
	}
	return longest
}

// minWithinPercent is the percentage of prompts that must have their first token within firstTokenTarget.
const minWithinPercent = 95

// WriteTable prints one line per figure and one column per policy: the mean, least and greatest value over the seeds.
func (s *Summary) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	if len(s.policies) > 0 {
		first := s.policies[0].runs[0]
		_, _ = fmt.Fprintf(out, "%s, %s, %d seeds, mean (least to most)\n", first.Title, first.Deployment, len(s.policies[0].runs))
	}
	_, _ = fmt.Fprint(w, "figure")
	for _, p := range s.policies {
		name := string(p.policy)
		if name == "" {
			name = "in force"
		}
		_, _ = fmt.Fprintf(w, "\t%s", name)
	}
	_, _ = fmt.Fprintln(w)
	for _, figure := range summaryFigures() {
		_, _ = fmt.Fprint(w, figure.title)
		for _, p := range s.policies {
			_, _ = fmt.Fprintf(w, "\t%s", p.formatRange(figure))
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}

// formatRange formats the mean, least and greatest value of a figure.
func (p *policyRuns) formatRange(figure summaryFigure) string {
	sum := 0.0
	least, most := figure.of(p.runs[0]), figure.of(p.runs[0])
	for _, r := range p.runs {
		v := figure.of(r)
		sum += v
		least, most = min(least, v), max(most, v)
	}
	return fmt.Sprintf("%.1f (%.1f-%.1f)", sum/float64(len(p.runs)), least, most)
}
