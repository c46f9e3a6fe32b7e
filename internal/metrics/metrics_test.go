package metrics

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/document"
	"carobshunt/internal/settings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"gotest.tools/v3/assert"
)

// fakeSource is a Source with a snapshot that the test sets.
type fakeSource struct{ snapshot node.Snapshot }

func (f *fakeSource) Snapshot() *node.Snapshot { return &f.snapshot }

var classes = []document.Class{document.ClassShort, document.ClassMiddle, document.ClassLong, document.ClassService}

// documentWithTeams returns a document with count teams, in descending order of their limits.
func documentWithTeams(revision uint64, count int) *document.Document {
	doc := &document.Document{Revision: revision}
	for i := range count {
		doc.Teams = append(doc.Teams, document.Team{Name: fmt.Sprintf("team-%04d", i), Weight: 1, TokensPerSecond: int64(10_000 - i)})
	}
	return doc
}

// finishRequests records one finished request and one gap for each team and class.
func finishRequests(m *Metrics, doc *document.Document) {
	for _, team := range doc.Teams {
		for _, class := range classes {
			m.Finished(node.Finish{
				Key:    core.Key{Team: team.Name, ID: "request-1"},
				Result: core.Result{Outcome: api.OutcomeDone},
				Timing: core.Timing{Admitted: time.Second, Dispatched: 1100 * time.Millisecond, FirstToken: 1300 * time.Millisecond},
				Work:   core.Work{Class: class, PrefillTokens: 1000},
			})
			m.GapObserver(node.StartDispatch{Key: core.Key{Team: team.Name}, Work: core.Work{Class: class}}).Observe(0.02)
		}
	}
}

func newMetrics(s settings.Metrics, doc *document.Document) (*Metrics, *fakeSource) {
	source := &fakeSource{snapshot: node.Snapshot{Document: doc}}
	s.Teams = max(s.Teams, 1)
	s.ReferencePrefillTokensPerSecond = settings.DefaultReferencePrefillTokensPerSecond
	s.ReferenceStartMs = settings.DefaultReferenceStartMs
	return New(s, source), source
}

func scrape(handler http.Handler, accept string) string {
	req := httptest.NewRequest(http.MethodGet, "/metrics", nil)
	req.Header.Set("Accept", accept)
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, req)
	return answer.Body.String()
}

// ownSeries returns the sample lines of this project's own metrics.
func ownSeries(text string) []string {
	return slices.DeleteFunc(strings.Split(text, "\n"), func(line string) bool {
		return !strings.HasPrefix(line, namespace+"_")
	})
}

func TestSeriesAreBoundedBySettingsNotByTeams(t *testing.T) {
	lines := make(map[int]int)
	for _, count := range []int{100, 2200} {
		doc := documentWithTeams(1, count)
		m, _ := newMetrics(settings.Metrics{Teams: 20}, doc)
		finishRequests(m, doc)
		lines[count] = len(ownSeries(scrape(m.Handler(), "")))
	}
	assert.Equal(t, lines[100], lines[2200])
	assert.Assert(t, lines[2200] < 21*len(classes)*60, "%d lines", lines[2200])
}

// TestLongNamesOfTeamsAreShortLabels guards against labels of any length, and against series of a long name that stay when the
// team is gone.
func TestLongNamesOfTeamsAreShortLabels(t *testing.T) {
	doc := documentWithTeams(1, 2)
	doc.Teams[0].Name, doc.Teams[1].Name = strings.Repeat("水", 10_000)+"1", strings.Repeat("水", 10_000)+"2"
	m, source := newMetrics(settings.Metrics{Teams: 2}, doc)
	finishRequests(m, doc)
	labels := teamLabelValues(t, m)
	assert.Equal(t, len(labels), 2, "%v", labels)
	for label := range labels {
		assert.Assert(t, len(label) <= 64, label)
	}
	next := documentWithTeams(2, 2)
	source.snapshot.Document = next
	finishRequests(m, next)
	labels = teamLabelValues(t, m)
	assert.Assert(t, len(labels) == 2 && labels["team-0000"] && labels["team-0001"], "%v", labels)
}

func TestSumOverTeamsCountsEveryRequest(t *testing.T) {
	doc := documentWithTeams(1, 50)
	m, _ := newMetrics(settings.Metrics{Teams: 3}, doc)
	finishRequests(m, doc)
	text := scrape(m.Handler(), "")
	assert.Assert(t, strings.Contains(text, `carobshunt_first_token_seconds_count{class="short",team="other"} 47`), text)
	assert.Assert(t, strings.Contains(text, `carobshunt_first_token_seconds_count{class="short",team="team-0002"} 1`))
	assert.Assert(t, !strings.Contains(text, "team-0003"))
}

func TestLabelSetFollowsTheDocumentAlone(t *testing.T) {
	first := documentWithTeams(1, 10)
	m, source := newMetrics(settings.Metrics{Teams: 2, ShownTeams: []string{"team-0009"}}, first)
	finishRequests(m, first)
	text := scrape(m.Handler(), "")
	for _, name := range []string{"team-0000", "team-0001", "team-0009"} {
		assert.Assert(t, strings.Contains(text, name), name)
	}

	second := documentWithTeams(2, 10)
	second.Teams[5].TokensPerSecond = 1_000_000
	source.snapshot.Document = second
	finishRequests(m, second)
	text = scrape(m.Handler(), "")
	for _, name := range []string{"team-0005", "team-0000", "team-0009"} {
		assert.Assert(t, strings.Contains(text, name), name)
	}
	assert.Assert(t, !strings.Contains(text, "team-0001"), "a team that lost its label still has series")
}

func TestSeriesStayBoundedOverManyDocuments(t *testing.T) {
	doc := documentWithTeams(1, 200)
	m, source := newMetrics(settings.Metrics{Teams: 5}, doc)
	for revision := range 100 {
		next := documentWithTeams(uint64(revision+2), 200)
		for i := range 5 {
			next.Teams[(revision*5+i)%200].TokensPerSecond = 1_000_000
		}
		source.snapshot.Document = next
		finishRequests(m, next)
	}
	seen := make(map[string]bool)
	for _, line := range ownSeries(scrape(m.Handler(), "")) {
		if _, rest, ok := strings.Cut(line, `team="`); ok {
			name, _, _ := strings.Cut(rest, `"`)
			seen[name] = true
		}
	}
	assert.Equal(t, len(seen), 6, "%v", seen)
}

func TestSlowdownIsMeasuredAgainstAnIdleEngine(t *testing.T) {
	r := reference{start: 15 * time.Millisecond, tokensPerSecond: 20_000}
	assert.Equal(t, r.slowdown(65*time.Millisecond, 1000), 1.0)
	assert.Equal(t, r.slowdown(130*time.Millisecond, 1000), 2.0)
}

func TestNamesCarryUnitsAndHelp(t *testing.T) {
	doc := documentWithTeams(1, 1)
	m, source := newMetrics(settings.Metrics{Teams: 1}, doc)
	source.snapshot.Status.Targets = []api.TargetStatus{{Kind: "engine", Eligible: true}}
	source.snapshot.Status.Requests.Outcomes = []api.OutcomeCount{{Outcome: api.OutcomeDone, Count: 1}}
	finishRequests(m, doc)
	m.Refused(api.CodeMalformed)
	families, err := m.registry.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		name := family.GetName()
		if !strings.HasPrefix(name, namespace) {
			continue
		}
		assert.Assert(t, family.GetHelp() != "", name)
		counter := family.GetType().String() == "COUNTER"
		assert.Equal(t, strings.HasSuffix(name, "_total"), counter, name)
		if family.GetType().String() == "HISTOGRAM" {
			assert.Assert(t, strings.HasSuffix(name, "_seconds") || strings.HasSuffix(name, "_ratio"), name)
		}
	}
}

// TestExpositionSizes logs the exposition sizes of several ways to label; docs/design/metrics.md quotes them.
func TestExpositionSizes(t *testing.T) {
	doc := documentWithTeams(1, 2200)
	for _, limit := range []int{20, 200, 2200} {
		m, _ := newMetrics(settings.Metrics{Teams: limit}, doc)
		finishRequests(m, doc)
		text := scrape(m.Handler(), "")
		t.Logf("classic, %d teams with labels: %d lines, %d bytes", limit, len(ownSeries(text)), len(text))
	}
	native := prometheus.NewRegistry()
	vec := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "native_seconds", NativeHistogramBucketFactor: 1.1,
	}, []string{"metric", labelTeam, labelClass})
	native.MustRegister(vec)
	for _, metric := range []string{"first_token", "between_tokens", "slowdown", "queueing"} {
		for _, team := range doc.Teams {
			for _, class := range classes {
				for i := range 100 {
					vec.WithLabelValues(metric, team.Name, string(class)).Observe(0.01 * float64(i+1))
				}
			}
		}
	}
	const protobuf = "application/vnd.google.protobuf;proto=io.prometheus.client.MetricFamily;encoding=delimited"
	raw := scrape(promhttp.HandlerFor(native, promhttp.HandlerOpts{}), protobuf)
	t.Logf("native, 2200 teams with labels, 100 observations each: %d series, %d bytes", 4*2200*len(classes), len(raw))
	assert.Assert(t, len(raw) > 0)
}

func BenchmarkFinished(b *testing.B) {
	doc := documentWithTeams(1, 2200)
	m, _ := newMetrics(settings.Metrics{Teams: 20}, doc)
	f := node.Finish{
		Key:    core.Key{Team: "team-0001"},
		Result: core.Result{Outcome: api.OutcomeDone},
		Timing: core.Timing{Admitted: 1, Dispatched: 2, FirstToken: 3},
		Work:   core.Work{Class: document.ClassShort, PrefillTokens: 1000},
	}
	for b.Loop() {
		m.Finished(f)
	}
}

func BenchmarkNewDocument(b *testing.B) {
	m, source := newMetrics(settings.Metrics{Teams: 20}, documentWithTeams(1, 2200))
	docs := []*document.Document{documentWithTeams(2, 2200), documentWithTeams(3, 2200)}
	for i := 0; b.Loop(); i++ {
		source.snapshot.Document = docs[i%2]
		m.teams.label("team-0001")
	}
}

func BenchmarkFrame(b *testing.B) {
	m, _ := newMetrics(settings.Metrics{Teams: 20}, documentWithTeams(1, 2200))
	observer := m.GapObserver(node.StartDispatch{Key: core.Key{Team: "team-0001"}, Work: core.Work{Class: document.ClassShort}})
	for b.Loop() {
		observer.Observe(0.02)
	}
}

// teamLabelValues returns the values of the label of teams in all series.
func teamLabelValues(t *testing.T, m *Metrics) map[string]bool {
	t.Helper()
	families, err := m.registry.Gather()
	assert.NilError(t, err)
	out := make(map[string]bool)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			for _, pair := range metric.GetLabel() {
				if pair.GetName() == labelTeam {
					out[pair.GetValue()] = true
				}
			}
		}
	}
	return out
}
