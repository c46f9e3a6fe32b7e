package replay

import (
	"slices"

	"carobshunt/internal/trace"
)

// Violation is an expectation of the trace that a run violated.
type Violation struct {
	// Subject is a request identifier, or the measure and the group of a bound.
	Subject string `json:"subject"`
	// Outcome is the request's outcome or a description of the violation; empty when a figure violates its bound.
	Outcome string `json:"outcome,omitempty"`
	// Got is the measured value, Limit the bound that it violates.
	Got   float64 `json:"got"`
	Limit float64 `json:"limit"`
}

// check returns the expectations of the trace that the run violated. A non-idempotent request that arrived at a service
// more than once is a violation in every trace.
func (r *run) check(report *Report) []Violation {
	violations := []Violation{}
	for _, c := range r.calls {
		if len(c.req.Expect) > 0 && !slices.Contains(c.req.Expect, c.outcome) {
			violations = append(violations, Violation{Subject: c.req.ID, Outcome: string(c.outcome)})
		}
		if !c.req.Idempotent && c.arrivals > 1 {
			violations = append(violations, Violation{Subject: c.req.ID, Outcome: "arrived more than once", Got: float64(c.arrivals), Limit: 1})
		}
	}
	for _, b := range r.opts.Trace.Header.Expect {
		got, ok := report.Measure(b)
		subject := b.Measure + " " + b.Group
		switch {
		case !ok:
			violations = append(violations, Violation{Subject: subject, Outcome: "no such measure"})
		case b.AtMost != nil && got > *b.AtMost:
			violations = append(violations, Violation{Subject: subject, Got: got, Limit: *b.AtMost})
		case b.AtLeast != nil && got < *b.AtLeast:
			violations = append(violations, Violation{Subject: subject, Got: got, Limit: *b.AtLeast})
		}
	}
	return violations
}

// measures lists the figures that a bound of a trace may name.
var measures = []struct {
	name string
	of   func(f Figures) float64
}{
	{"requests", func(f Figures) float64 { return float64(f.Requests) }},
	{"done", func(f Figures) float64 { return float64(f.Done) }},
	{"failed", func(f Figures) float64 { return float64(f.Failed) }},
	{"unknown", func(f Figures) float64 { return float64(f.Unknown) }},
	{"not_run", func(f Figures) float64 { return float64(f.NotRun) }},
	{"late", func(f Figures) float64 { return float64(f.Late) }},
	{"first_p50_ms", func(f Figures) float64 { return f.FirstTokenMs.P50 }},
	{"first_p95_ms", func(f Figures) float64 { return f.FirstTokenMs.P95 }},
	{"first_p99_ms", func(f Figures) float64 { return f.FirstTokenMs.P99 }},
	{"gap_p95_ms", func(f Figures) float64 { return f.GapMs.P95 }},
	{"slowdown_p50", func(f Figures) float64 { return f.Slowdown.P50 }},
	{"slowdown_p95", func(f Figures) float64 { return f.Slowdown.P95 }},
	{"attempts", func(f Figures) float64 { return f.Attempts }},
	{"goodput", func(f Figures) float64 { return f.Goodput }},
	{"refused_max_ms", func(f Figures) float64 { return f.RefusedMaxMs }},
}

// Measure returns the figure that a bound names, and whether the report has it. A bound without a group means the whole
// run.
func (r *Report) Measure(b trace.Bound) (float64, bool) {
	name := b.Group
	if name == "" {
		name = string(KindAll)
	}
	for _, f := range r.Groups {
		if f.Name != name {
			continue
		}
		for _, m := range measures {
			if m.name == b.Measure {
				return m.of(f), true
			}
		}
	}
	return 0, false
}
