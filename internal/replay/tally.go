package replay

import (
	"time"

	"carobshunt/internal/trace"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles holds the 50th, 95th and 99th percentile.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Constants of the histograms, which hold values in thousandths of their unit, with histogramSigns significant digits.
const (
	histogramScale = 1000
	histogramMax   = 4_000_000 * histogramScale
	histogramSigns = 3
)

// tally is a histogram of milliseconds or ratios. Values beyond its range count as the nearest end.
type tally struct{ h *hdrhistogram.Histogram }

func newTally() *tally { return &tally{h: hdrhistogram.New(1, histogramMax, histogramSigns)} }

func (t *tally) add(v float64) {
	_ = t.h.RecordValue(min(max(int64(v*histogramScale), 1), histogramMax))
}

func (t *tally) quantiles() Quantiles {
	at := func(q float64) float64 { return float64(t.h.ValueAtQuantile(q)) / histogramScale }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// gapTally holds histograms of the inter-token gaps in milliseconds: of all requests, and by band of prompt length.
type gapTally struct {
	all  *tally
	band map[string]*tally
}

func newGapTally() *gapTally {
	g := &gapTally{all: newTally(), band: make(map[string]*tally)}
	for _, b := range trace.Bands() {
		g.band[b.Name] = newTally()
	}
	return g
}

func (g *gapTally) add(band string, d time.Duration) {
	v := milliseconds(d)
	g.all.add(v)
	if t := g.band[band]; t != nil {
		t.add(v)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// bandService is the band of calls to plain services.
const bandService = "service"

// bandOf returns the name of the band of a request's prompt length, or bandService for a call to a plain service.
func bandOf(req *trace.Request, isEngineModel func(string) bool) string {
	if !isEngineModel(req.Model) {
		return bandService
	}
	bands := trace.Bands()
	for _, b := range bands {
		if float64(req.PromptTokens) <= b.To {
			return b.Name
		}
	}
	return bands[len(bands)-1].Name
}
