package replay

import (
	"time"

	"carobshunt/internal/trace"
)

const (
	windowLength = 5 * time.Second
	// firstTokenTarget is the latency objective for the time to first token of the shortest band.
	firstTokenTarget = 750 * time.Millisecond
	percent          = 100
)

// windows returns the windows of the run, by time of arrival; arrivals before the measured part don't count.
func (r *run) windows() []Window {
	n := int(r.opts.Trace.Header.Length()/windowLength) + 1
	histograms := make([]*histogram, n)
	withinCounts := make([]int, n)
	out := make([]Window, n)
	for i := range out {
		out[i].FromMs = (time.Duration(i) * windowLength).Milliseconds()
		histograms[i] = newHistogram()
	}
	for _, c := range r.calls {
		if c.band != trace.Bands()[0].Name || c.startedAt < r.measureFrom() {
			continue
		}
		r.addToWindow(c, out, histograms, withinCounts)
	}
	for i := range out {
		out[i].FirstTokenP95Ms = histograms[i].quantiles().P95
		if out[i].Requests > 0 {
			out[i].WithinPercent = percent * float64(withinCounts[i]) / float64(out[i].Requests)
		}
	}
	return out
}

// addToWindow adds a call to its window. It skips a call that was refused at once, which is not a late answer, and one
// that got neither a decision nor an end.
func (r *run) addToWindow(c *call, out []Window, histograms []*histogram, withinCounts []int) {
	i := int((c.startedAt - warmup) / windowLength)
	if c.endedAt == c.decidedAt || i >= len(out) {
		return
	}
	out[i].Requests++
	if c.outcome == "done" {
		out[i].Done++
	}
	if c.firstTokenAt == 0 {
		return
	}
	first := c.firstTokenAt - c.startedAt
	histograms[i].add(milliseconds(first))
	if first <= firstTokenTarget {
		withinCounts[i]++
	}
}
