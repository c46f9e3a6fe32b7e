package docscheck

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"testing"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/ctl"
	"carobshunt/internal/document"
	"carobshunt/internal/headlimit"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/membudget"
	"carobshunt/internal/metrics"
	"carobshunt/internal/netdial"
	"carobshunt/internal/settings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"gotest.tools/v3/assert"
)

// writeVariable is the environment variable that makes TestReferenceIsCurrent write the page before it compares.
const writeVariable = "CAROB_WRITE_REFERENCE"

func TestReferenceIsCurrent(t *testing.T) {
	path := filepath.Join(root, "docs/REFERENCE.md")
	want := reference(t)
	if os.Getenv(writeVariable) != "" {
		assert.NilError(t, os.WriteFile(path, []byte(want), 0o644))
	}
	got, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want, "run: make reference")
}

func reference(t *testing.T) string {
	var out strings.Builder
	out.WriteString("# Reference\n\nMade from the code by `make reference`; changes by hand are refused by the tests.\n")
	trees := commandTrees()
	for _, name := range []string{"carobctl", "carobshuntd", "carobfake"} {
		fmt.Fprintf(&out, "\n## %s\n\n", name)
		writeCommand(&out, trees[name])
	}
	out.WriteString("\nThe daemon ends with status 0 after a planned stop, 2 for settings that are invalid, else 1.\n")
	writeRows(t, &out, "Settings of the daemon", settings.Reference())
	writeRows(t, &out, "Deployment file of carobctl", ctl.DeploymentReference())
	writeRows(t, &out, "Published document", document.Reference())
	writeRows(t, &out, "Host list", hostlist.Reference())
	out.WriteString("\n## Metrics\n\nServed at `/metrics` on the operators' interface.\n\n")
	out.WriteString("| Metric | Kind | Labels | Meaning |\n|---|---|---|---|\n")
	for _, m := range metricRows(t) {
		fmt.Fprintf(&out, "| `%s` | %s | %s | %s |\n", m.name, m.kind, m.labels, m.help)
	}
	return out.String()
}

func writeCommand(out *strings.Builder, cmd *cobra.Command) {
	if cmd.HasParent() {
		fmt.Fprintf(out, "\n### %s\n\n", cmd.CommandPath())
	}
	fmt.Fprintf(out, "```text\n%s\n```\n\n%s\n", cmd.UseLine(), description(cmd))
	rows := 0
	cmd.LocalFlags().VisitAll(func(f *pflag.Flag) {
		if f.Name == "help" {
			return
		}
		if rows == 0 {
			out.WriteString("\n| Flag | Default | Meaning |\n|---|---|---|\n")
		}
		rows++
		fmt.Fprintf(out, "| `--%s` | %s | %s |\n", f.Name, codeOrDash(f.DefValue), f.Usage)
	})
	for _, child := range cmd.Commands() {
		if child.Name() != "help" && child.Name() != "completion" {
			writeCommand(out, child)
		}
	}
}

// statusLine matches the start of a line that documents an exit status in the help text.
var statusLine = regexp.MustCompile(`(?m)^  (\d)  `)

func description(cmd *cobra.Command) string {
	if cmd.Long != "" {
		list := statusLine.ReplaceAllString(cmd.Long, "- `$1`: ")
		return strings.ReplaceAll(list, "Exit statuses:\n", "Exit statuses:\n\n")
	}
	return cmd.Short + "."
}

func codeOrDash(value string) string {
	if value == "" || value == "[]" {
		return "-"
	}
	return "`" + value + "`"
}

// settingRow is the row of one leaf field of a schema.
type settingRow struct {
	path, kind, limits, meaning string
}

// schemaNode holds the keywords of a JSON schema that the reference uses.
type schemaNode struct {
	Ref         string                 `json:"$ref"`
	Defs        map[string]*schemaNode `json:"$defs"`
	Type        string                 `json:"type"`
	Description string                 `json:"description"`
	Properties  map[string]*schemaNode `json:"properties"`
	Additional  json.RawMessage        `json:"additionalProperties"`
	Items       *schemaNode            `json:"items"`
	Required    []string               `json:"required"`
	Default     any                    `json:"default"`
	Minimum     *json.Number           `json:"minimum"`
	Maximum     *json.Number           `json:"maximum"`
	Enum        []any                  `json:"enum"`
}

func settingsRows(t *testing.T, schema []byte) []settingRow {
	t.Helper()
	top := &schemaNode{}
	assert.NilError(t, json.Unmarshal(schema, top))
	var rows []settingRow
	collectRows(t, top, top, "", false, &rows)
	sort.Slice(rows, func(i, j int) bool { return rows[i].path < rows[j].path })
	return rows
}

func collectRows(t *testing.T, top, schema *schemaNode, path string, required bool, rows *[]settingRow) {
	if name, ok := strings.CutPrefix(schema.Ref, "#/$defs/"); ok {
		refDescription := schema.Description
		schema = top.Defs[name]
		assert.Assert(t, schema != nil, name)
		if refDescription != "" && schema.Description == "" {
			schema.Description = refDescription
		}
	}
	var values schemaNode
	switch {
	case len(schema.Properties) > 0:
		for name, child := range schema.Properties {
			collectRows(t, top, child, strings.TrimPrefix(path+"."+name, "."), contains(schema.Required, name), rows)
		}
	case schema.Type == "array" && schema.Items != nil && schema.Items.Ref != "":
		collectRows(t, top, schema.Items, path+"[]", false, rows)
	case schema.Type == "object" && json.Unmarshal(schema.Additional, &values) == nil:
		collectRows(t, top, &values, path+".NAME", false, rows)
	default:
		*rows = append(*rows, settingRow{path: path, kind: schema.Type, limits: limitsOf(schema, required), meaning: schema.Description})
	}
}

func contains(list []string, name string) bool {
	for _, item := range list {
		if item == name {
			return true
		}
	}
	return false
}

func limitsOf(schema *schemaNode, required bool) string {
	var parts []string
	if required {
		parts = append(parts, "required")
	}
	if schema.Default != nil {
		parts = append(parts, fmt.Sprintf("default %v", number(schema.Default)))
	}
	if schema.Minimum != nil {
		parts = append(parts, "at least "+schema.Minimum.String())
	}
	if schema.Maximum != nil {
		parts = append(parts, "at most "+schema.Maximum.String())
	}
	if len(schema.Enum) > 0 {
		parts = append(parts, "one of "+strings.Trim(fmt.Sprint(schema.Enum), "[]"))
	}
	return strings.Join(parts, ", ")
}

// number formats floats as whole numbers without an exponent; other values are returned as they are.
func number(value any) any {
	if f, ok := value.(float64); ok {
		return fmt.Sprintf("%.0f", f)
	}
	return value
}

func writeRows(t *testing.T, out *strings.Builder, title string, schema []byte) {
	fmt.Fprintf(out, "\n## %s\n\nUnknown fields are refused. `[]` stands for each item of a list, `NAME` for each name.\n\n", title)
	out.WriteString("| Field | Type | Limits | Meaning |\n|---|---|---|---|\n")
	for _, r := range settingsRows(t, schema) {
		fmt.Fprintf(out, "| `%s` | %s | %s | %s |\n", r.path, r.kind, orDash(r.limits), orDash(r.meaning))
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// metricRow is the row of one metric.
type metricRow struct{ name, kind, labels, help string }

// fakeSource is a metrics.Source with a fixed snapshot.
type fakeSource struct{ snapshot node.Snapshot }

func (s *fakeSource) Snapshot() *node.Snapshot { return &s.snapshot }

type fakeListener struct{}

func (fakeListener) Open() int64       { return 0 }
func (fakeListener) Refused() uint64   { return 0 }
func (fakeListener) Displaced() uint64 { return 0 }

// metricRows records one of each kind of event, so that every metric has a sample, and returns the scraped metrics.
func metricRows(t *testing.T) []metricRow {
	t.Helper()
	s := &fakeSource{snapshot: node.Snapshot{Status: api.Status{
		Spillover: []api.SpilloverShare{{Service: "s", Zone: "z"}},
		Warnings:  []api.Warning{api.WarningBehind},
		Config:    api.ConfigStatus{Preset: "ordinary"},
		Targets:   []api.TargetStatus{{Kind: "engine"}},
		Requests:  api.RequestsStatus{Outcomes: []api.OutcomeCount{{Outcome: api.OutcomeDone, Count: 1}}},
	}}}
	m := metrics.New(settings.Example().Metrics, s)
	m.WatchListener("callers", fakeListener{})
	m.WatchPeerTraffic(&netdial.Traffic{})
	m.WatchAnswers(membudget.New(1))
	m.WatchHeads(headlimit.NewGuard(1))
	key := core.Key{Team: "desk", ID: "request-1"}
	work := core.Work{Class: document.ClassShort, PrefillTokens: 1}
	m.Dispatched(node.StartDispatch{Key: key, Dispatch: 1, Work: work})
	m.GapObserver(node.StartDispatch{Key: key, Work: work}).Observe(1)
	m.Finished(node.Finish{Key: key, Work: work, Timing: core.Timing{Admitted: 1, Dispatched: 2, FirstToken: 3}})
	m.Refused(api.CodeMalformed)
	m.StreamRunEnded(node.StreamRunEnded{Key: key})
	m.StateChanged(node.EventReady)
	m.Reloaded("peers", nil)
	response := httptest.NewRecorder()
	m.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return parseMetrics(response.Body.String())
}

func parseMetrics(text string) []metricRow {
	var rows []metricRow
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "# HELP carobshunt_"):
			name, help, _ := strings.Cut(strings.TrimPrefix(line, "# HELP "), " ")
			rows = append(rows, metricRow{name: name, help: help, labels: "-"})
		case strings.HasPrefix(line, "# TYPE carobshunt_"):
			rows[len(rows)-1].kind = line[strings.LastIndex(line, " ")+1:]
		case strings.HasPrefix(line, "carobshunt_") && strings.Contains(line, "{"):
			rows[len(rows)-1].labels = labelNames(line)
		}
	}
	return rows
}

// labelNames returns the label names of a sample, without the bucket label "le".
func labelNames(line string) string {
	_, rest, _ := strings.Cut(line, "{")
	inside, _, _ := strings.Cut(rest, "}")
	var names []string
	for _, pair := range strings.Split(inside, ",") {
		if name, _, ok := strings.Cut(pair, "="); ok && name != "le" {
			names = append(names, "`"+name+"`")
		}
	}
	return strings.Join(names, ", ")
}
