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

// Constants of the histograms, which hold values in thousandths of their unit, with histogramDigits significant digits.
const (
	histogramScale  = 1000
	histogramMax    = 4_000_000 * histogramScale
	histogramDigits = 3
)

// histogram is a histogram of milliseconds or ratios. Values beyond its range count as the nearest end.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() *histogram {
	return &histogram{h: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (h *histogram) add(v float64) {
	_ = h.h.RecordValue(min(max(int64(v*histogramScale), 1), histogramMax))
}

func (h *histogram) quantiles() Quantiles {
	at := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / histogramScale }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// gapHistograms holds histograms of the inter-token gaps in milliseconds: of all requests, and by band of prompt length.
type gapHistograms struct {
	all  *histogram
	band map[string]*histogram
}

func newGapHistograms() *gapHistograms {
	g := &gapHistograms{all: newHistogram(), band: make(map[string]*histogram)}
	for _, b := range trace.Bands() {
		g.band[b.Name] = newHistogram()
	}
	return g
}

func (g *gapHistograms) add(band string, d time.Duration) {
	v := milliseconds(d)
	g.all.add(v)
	if h := g.band[band]; h != nil {
		h.add(v)
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
