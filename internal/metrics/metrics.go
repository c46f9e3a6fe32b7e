// Package metrics exposes the Prometheus metrics of an entry host. Histograms and the counter of finished requests are
// labeled by team and class. Only the teams with the highest published limits and those named in the settings have
// labels of their own, so that the settings bound the number of series, not the number of teams, and hosts with the same
// revision and settings have the same series.
package metrics

import (
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core/node"
	"carobshunt/internal/document"
	"carobshunt/internal/settings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Source provides the current state of the host.
type Source interface {
	Snapshot() *node.Snapshot
}

// Metrics holds the metrics of one process. It is safe for concurrent use.
type Metrics struct {
	registry  *prometheus.Registry
	reference reference
	teams     *teamLabels

	firstToken *prometheus.HistogramVec
	interToken *prometheus.HistogramVec
	slowdown   *prometheus.HistogramVec
	queueing   *prometheus.HistogramVec
	finished   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	dispatches *prometheus.CounterVec
	streamRuns *prometheus.CounterVec
	events     *prometheus.CounterVec
	reloads    *prometheus.CounterVec
	lags       prometheus.Histogram
	lastLag    prometheus.Gauge
}

// Label names.
const (
	labelTeam    = "team"
	labelClass   = "class"
	labelOutcome = "outcome"
	labelCode    = "code"
	labelAttempt = "attempt"
	labelEvent   = "event"
	labelFraming = "framing"
	labelResumed = "resumed"
	labelEnding  = "ending"
	labelFile    = "file"
	labelResult  = "result"
)

const namespace = "carobshunt"

// Histogram buckets in seconds; those of slowdown are ratios. The latency objectives, 0.75 s to first token and 0.059 s
// between tokens, are bucket bounds, so that the share of requests that meet them is exact.
var (
	firstTokenBuckets = []float64{0.05, 0.1, 0.25, 0.5, 0.75, 1, 2.5, 5, 15, 60, 300}
	interTokenBuckets = []float64{0.01, 0.02, 0.03, 0.04, 0.059, 0.08, 0.12, 0.25, 1}
	slowdownBuckets   = []float64{1, 1.1, 1.25, 1.5, 2, 3, 5, 10, 30}
	lagBuckets        = []float64{0.0001, 0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2.5}
	queueingBuckets   = []float64{0.001, 0.01, 0.05, 0.25, 1, 5, 30, 120}
)

// New returns the metrics of a process. The source provides the state at each scrape and the document in force.
func New(s settings.Metrics, source Source) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		reference: reference{
			start:           time.Duration(s.ReferenceStartMs) * time.Millisecond,
			tokensPerSecond: float64(s.ReferencePrefillTokensPerSecond),
		},
		firstToken: histogram("first_token_seconds", "Time from admission to the first token.", firstTokenBuckets),
		interToken: histogram("between_tokens_seconds", "Time between two frames of an answer.", interTokenBuckets),
		slowdown:   histogram("slowdown_ratio", "Time to first token over that of an idle engine.", slowdownBuckets),
		queueing:   histogram("queueing_seconds", "Time from admission to the last dispatch.", queueingBuckets),
		finished:   counter("requests_finished_total", "Admitted requests by outcome.", labelTeam, labelClass, labelOutcome),
		refusals:   counter("refusals_total", "Requests refused by reason.", labelCode),
		dispatches: counter("dispatches_total", "Requests sent to targets: first tries and retries.", labelAttempt),
		streamRuns: counter("stream_runs_total", "Dispatches that got an answer to a stream, by the framing of the answer, "+
			"whether they had to continue the stream, and how they ended.", labelFraming, labelResumed, labelEnding),
		events:  counter("state_changes_total", "Changes of state, each of which is a log line too.", labelEvent),
		reloads: counter("file_reloads_total", "Key and certificate files read again.", labelFile, labelResult),
	}
	m.lags = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "control_lag_seconds", Buckets: lagBuckets,
		Help: "Age of the oldest input of each step of the control goroutine.",
	})
	m.lastLag = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "control_oldest_input_seconds",
		Help: "Age of the oldest input of the last step of the control goroutine.",
	})
	m.teams = newTeamLabels(s, source, m.dropTeam)
	m.registry.MustRegister(m.firstToken, m.interToken, m.slowdown, m.queueing,
		m.finished, m.refusals, m.dispatches, m.streamRuns, m.events, m.reloads, m.lags, m.lastLag,
		newStateCollector(source), buildInfo(),
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func histogram(name, help string, buckets []float64) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: buckets,
	}, []string{labelTeam, labelClass})
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func buildInfo() prometheus.Collector {
	version, goVersion := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
	}
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "build_info", Help: "Always 1; the labels tell the build.",
		ConstLabels: prometheus.Labels{"version": version, "goversion": goVersion},
	})
	gauge.Set(1)
	return gauge
}

// Handler returns the handler for scrapes.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes, Timeout: scrapeTimeout})
}

// Limits of scrapes: how many may run at one time, and how long one may take.
const (
	maxScrapes    = 4
	scrapeTimeout = 5 * time.Second
)

// Registry returns the registerer for other collectors of the process.
func (m *Metrics) Registry() prometheus.Registerer { return m.registry }

// Refused counts a request that was refused with the code.
func (m *Metrics) Refused(code api.Code) { m.refusals.WithLabelValues(string(code)).Inc() }

// StreamRunEnded counts a dispatch that got an answer to a stream.
func (m *Metrics) StreamRunEnded(a node.StreamRunEnded) {
	m.streamRuns.WithLabelValues(string(a.Run.Framing), strconv.FormatBool(a.Run.Resumed), a.Ending.String()).Inc()
}

// Lagged observes the age of the oldest input of a step of the control goroutine.
func (m *Metrics) Lagged(lag time.Duration) {
	m.lags.Observe(lag.Seconds())
	m.lastLag.Set(lag.Seconds())
}

// StateChanged counts a change of state.
func (m *Metrics) StateChanged(event node.Event) { m.events.WithLabelValues(string(event)).Inc() }

// Reloaded counts a reload of the certificates or keys with that name, see secure.NamedReloader, or its failure if err is
// not nil.
func (m *Metrics) Reloaded(name string, err error) {
	result := "applied"
	if err != nil {
		result = "refused"
	}
	m.reloads.WithLabelValues(name, result).Inc()
}

// Dispatched counts a dispatch of a request, as a first attempt or a retry.
func (m *Metrics) Dispatched(d node.StartDispatch) {
	attempt := "first"
	if d.Dispatch > 1 {
		attempt = "retry"
	}
	m.dispatches.WithLabelValues(attempt).Inc()
}

// GapObserver returns the observer of the gaps, in seconds, between the frames of a dispatch's answer.
func (m *Metrics) GapObserver(d node.StartDispatch) prometheus.Observer {
	return m.interToken.WithLabelValues(m.teams.label(d.Key.Team), string(d.Work.Class))
}

// Finished counts an admitted request with its final result and observes its latencies.
func (m *Metrics) Finished(f node.Finish) {
	team, class := m.teams.label(f.Key.Team), string(f.Work.Class)
	m.finished.WithLabelValues(team, class, string(f.Result.Outcome)).Inc()
	if f.Timing.Dispatched != 0 {
		m.queueing.WithLabelValues(team, class).Observe((f.Timing.Dispatched - f.Timing.Admitted).Seconds())
	}
	if f.Timing.FirstToken == 0 {
		return
	}
	firstToken := f.Timing.FirstToken - f.Timing.Admitted
	m.firstToken.WithLabelValues(team, class).Observe(firstToken.Seconds())
	if f.Work.Class != document.ClassService {
		m.slowdown.WithLabelValues(team, class).Observe(m.reference.slowdown(firstToken, f.Work.PrefillTokens))
	}
}

// dropTeam deletes the series of a label that no team has any more.
func (m *Metrics) dropTeam(label string) {
	labels := prometheus.Labels{labelTeam: label}
	for _, vec := range []*prometheus.HistogramVec{m.firstToken, m.interToken, m.slowdown, m.queueing} {
		vec.DeletePartialMatch(labels)
	}
	m.finished.DeletePartialMatch(labels)
}

// reference models an idle engine, against which slowdown is measured.
type reference struct {
	// start is the duration of its first iteration.
	start time.Duration
	// tokensPerSecond is its prefill rate.
	tokensPerSecond float64
}

// slowdown returns the ratio of a time to first token to that of an idle engine.
func (r reference) slowdown(firstToken time.Duration, prefillTokens int64) float64 {
	idle := r.start.Seconds() + float64(prefillTokens)/r.tokensPerSecond
	return firstToken.Seconds() / idle
}
