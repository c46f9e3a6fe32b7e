package lint

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"carobshunt/internal/document"
	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// digest returns a text in the form of a key's digest.
func digest(n int) string { return fmt.Sprintf("%064x", n+1) }

// sample returns a document in which no rule finds anything.
func sample() *document.Document {
	engine := &document.Engine{
		Slots: 16, MemoryTokens: 200_000, StepsPerIteration: 8, ChunkTokens: 2048, StepMs: 1, PrefillTokensPerMs: 200,
	}
	ordinary := document.Preset{
		Budgets:            document.Budgets{ShortMs: 10_000, MiddleMs: 120_000, LongMs: 900_000},
		FirstTokenTargetMs: 750, ShortPromptTokens: 4_000, MiddlePromptTokens: 100_000, RetryPercent: 10,
	}
	peak := ordinary
	peak.RetryPercent = 5
	return &document.Document{
		Revision: 1, Active: "ordinary", Presets: map[string]document.Preset{"ordinary": ordinary, "peak": peak},
		Teams: []document.Team{
			{Name: "desk", Weight: 3, TokensPerSecond: 100, KeysSHA256: []string{digest(1), digest(2)}},
			{Name: "archive", Weight: 1, TokensPerSecond: 100, KeysSHA256: []string{digest(3)}, KeySHA256: digest(4)},
		},
		Placements: []document.Placement{{Model: "draft", Version: "1", Engines: []string{"192.0.2.1:7600", "192.0.2.2:7600"}}},
		Routes: []document.Route{
			{
				Name: "ask", Authority: "a.example", Prefix: "/ask/", Kind: document.KindStream, Resumable: true, MaxExecutions: 2,
				TimeoutMs: 3000, FirstTokenTargetMs: 300, GapTargetMs: 250, Services: []document.WeightedService{{Name: "llm", Weight: 1}},
			},
			{
				Name: "read", Authority: "a.example", Prefix: "/read/", Kind: document.KindIdempotent, Public: true, MaxExecutions: 2,
				TimeoutMs: 3000, FirstTokenTargetMs: 150,
				Services: []document.WeightedService{{Name: "desk", Weight: 90}, {Name: "desk2", Weight: 10}},
			},
		},
		Services: []document.Service{
			{Name: "llm", MaxConnections: 100, Engine: engine}, {Name: "desk", MaxConnections: 100}, {Name: "desk2", MaxConnections: 100},
		},
		Callers: &document.CallerLimits{HeaderBytes: 16_384, BodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000},
	}
}

// checkText checks a document as the tool does: parsed again from its JSON.
func checkText(t testing.TB, doc *document.Document) []Finding {
	raw, err := json.Marshal(doc)
	assert.NilError(t, err)
	return checkRaw(raw)
}

func checkRaw(raw []byte) []Finding {
	decoded := &document.Document{}
	_ = json.Unmarshal(raw, decoded)
	var faults *strictjson.Faults
	if _, err := document.Parse(raw); errors.As(err, &faults) {
		return Check(Input{Document: decoded, Faults: faults.List})
	}
	return Check(Input{Document: decoded})
}

func summary(list []Finding) []string {
	out := []string{}
	for _, f := range list {
		out = append(out, fmt.Sprintf("%s %s %s", f.Severity, f.Code, f.Path))
	}
	return out
}

func TestSampleHasNoFinding(t *testing.T) {
	assert.DeepEqual(t, summary(checkText(t, sample())), []string{})
}

type ruleCase struct {
	name   string
	change func(d *document.Document)
	want   []string
}

func presetAndRouteCases() []ruleCase {
	return []ruleCase{
		{"a budget below the objective", func(d *document.Document) {
			p := d.Presets["peak"]
			p.Budgets.ShortMs = 700
			d.Presets["peak"] = p
		}, []string{"error budget-below-objective /presets/peak/budgets/short_ms"}},
		{"budgets that fall", func(d *document.Document) {
			p := d.Presets["peak"]
			p.Budgets.LongMs = 119_000
			d.Presets["peak"] = p
		}, []string{"warning budgets-fall /presets/peak/budgets/long_ms"}},
		{"a route again", func(d *document.Document) {
			d.Routes = append(d.Routes, d.Routes[0])
			d.Routes[2].Name = "again"
		}, []string{"error route-shadowed /routes/2/prefix"}},
		{"a route again, with its authority in other case", func(d *document.Document) {
			d.Routes = append(d.Routes, d.Routes[0])
			d.Routes[2].Name, d.Routes[2].Authority = "again", "A.Example"
		}, []string{"error route-shadowed /routes/2/prefix"}},
		{"an address with its scheme as authority", func(d *document.Document) {
			d.Routes[0].Authority = "http://a.example"
		}, []string{"warning route-unmatchable /routes/0/authority"}},
		{"a prefix with a query", func(d *document.Document) {
			d.Routes[0].Prefix = "/ask?x="
		}, []string{"warning route-unmatchable /routes/0/prefix"}},
		{"two routes with one name", func(d *document.Document) {
			d.Routes[1].Name = "ask"
		}, []string{"warning route-name-twice /routes/1/name"}},
		{"weights of 0", func(d *document.Document) {
			d.Routes[1].Services[0].Weight, d.Routes[1].Services[1].Weight = 0, 0
		}, []string{
			"error weights-zero /routes/1/services", "note service-without-share /services/1", "note service-without-share /services/2",
		}},
		{"a weight of 0 of the only service", func(d *document.Document) {
			d.Routes[0].Services[0].Weight = 0
		}, []string{}},
		{"a timeout below the objective", func(d *document.Document) {
			d.Routes[1].FirstTokenTargetMs = 3001
		}, []string{"error timeout-below-objective /routes/1/timeout_ms"}},
		{"gaps longer than the timeout", func(d *document.Document) {
			d.Routes[0].GapTargetMs = 3001
		}, []string{"warning gap-over-timeout /routes/0/pause_target_ms"}},
		{"an answer that is no stream and resumable", func(d *document.Document) {
			d.Routes[1].Resumable = true
		}, []string{"note stream-only /routes/1/resumable"}},
		{"an answer that is no stream and has gaps", func(d *document.Document) {
			d.Routes[1].GapTargetMs = 100
		}, []string{"note stream-only /routes/1/pause_target_ms"}},
	}
}

func serviceCases() []ruleCase {
	return []ruleCase{
		{"a service twice", func(d *document.Document) {
			d.Services = append(d.Services, d.Services[1])
		}, []string{"error service-twice /services/3/name"}},
		{"a service on no route", func(d *document.Document) {
			d.Services = append(d.Services, document.Service{Name: "spare", MaxConnections: 1})
		}, []string{"warning service-unreachable /services/3"}},
		{"a service with weight 0", func(d *document.Document) {
			d.Routes[1].Services[1].Weight = 0
		}, []string{"note service-without-share /services/2"}},
		{"more slots than memory", func(d *document.Document) {
			d.Services[0].Engine.Slots = 98
		}, []string{"warning slots-over-memory /services/0/engine/slots"}},
		{"a limit of cold targets without a time", func(d *document.Document) {
			d.Services[0].ColdPerSecond = 14
		}, []string{"warning cold-limit /services/0/cold_ms"}},
		{"a time of cold targets without a limit", func(d *document.Document) {
			d.Services[0].ColdMs = 3000
		}, []string{"warning cold-limit /services/0/cold_per_s"}},
		{"a route without any region", func(d *document.Document) {
			d.Routes[0].Regions = []string{}
		}, []string{"error regions-empty /routes/0/regions"}},
		{"a team without any region", func(d *document.Document) {
			d.Teams[0].Regions = []string{}
		}, []string{"error team-regions-empty /teams/0/regions"}},
		{"a body smaller than a prompt", func(d *document.Document) {
			d.Callers.BodyBytes = 199_999
		}, []string{"warning body-below-prompt /callers/body_bytes"}},
		{"an engine twice", func(d *document.Document) {
			d.Placements = append(d.Placements, document.Placement{Model: "draft", Version: "2", Engines: []string{"192.0.2.2:7600"}})
		}, []string{"warning engine-twice /placements/1/engines/0"}},
		{"a service that is not defined", func(d *document.Document) {
			d.Routes[1].Services[0].Name = "desk0"
		}, []string{"error form /routes/1/services/0/name", "warning service-unreachable /services/1"}},
	}
}

func teamCases() []ruleCase {
	return []ruleCase{
		{"a limit of 0", func(d *document.Document) {
			d.Teams[0].TokensPerSecond = 0
		}, []string{"error team-limit-zero /teams/0/tokens_per_second"}},
		{"a team without a key", func(d *document.Document) {
			d.Placements = nil
			d.Teams = append(d.Teams, document.Team{Name: "new", Weight: 1, TokensPerSecond: 1})
		}, []string{"warning team-unreachable /teams/2"}},
		{"keys that no route asks for", func(d *document.Document) {
			d.Routes[0].Public = true
		}, []string{"warning keys-unused /teams/0/keys_sha256", "warning keys-unused /teams/1/keys_sha256"}},
		{"a bearer key of two teams", func(d *document.Document) {
			d.Teams[0].KeySHA256 = digest(4)
		}, []string{"warning bearer-shared /teams/1/key_sha256"}},
		{"a key instead of its digest", func(d *document.Document) {
			d.Teams[0].KeysSHA256[1] = "secret"
		}, []string{"error key-form /teams/0/keys_sha256/1"}},
		{"a digest in upper case", func(d *document.Document) {
			d.Teams[0].KeysSHA256[1] = strings.Repeat("A", 64)
		}, []string{"error key-form /teams/0/keys_sha256/1"}},
		{"a key of two teams", func(d *document.Document) {
			d.Teams[1].KeysSHA256[0] = digest(2)
		}, []string{"error key-shared /teams/1/keys_sha256/0"}},
		{"a key twice", func(d *document.Document) {
			d.Teams[0].KeysSHA256[1] = digest(1)
		}, []string{"note key-repeated /teams/0/keys_sha256/1"}},
	}
}

// TestEachRuleFindsItsFault guards against a rule that misses its fault, or finds one in what is correct, and against a row
// of the table without a test.
func TestEachRuleFindsItsFault(t *testing.T) {
	tested := make(map[Code]bool)
	for _, c := range append(append(presetAndRouteCases(), serviceCases()...), teamCases()...) {
		doc := sample()
		c.change(doc)
		found := checkText(t, doc)
		assert.DeepEqual(t, summary(found), c.want)
		for _, f := range found {
			tested[f.Code] = true
			assert.Assert(t, strings.HasSuffix(f.Sentence, ".") && strings.HasSuffix(f.Action, "."), "%s: %+v", c.name, f)
		}
	}
	for _, rule := range rules {
		assert.Assert(t, tested[rule.code], "no test of %s", rule.code)
	}
}

func TestFaultsOfFormAreFindings(t *testing.T) {
	raw, err := json.Marshal(sample())
	assert.NilError(t, err)
	text := strings.Replace(string(raw), `"active":"ordinary"`, `"active":"none","color":1`, 1)
	assert.DeepEqual(t, summary(checkRaw([]byte(text))), []string{"error form ", "error form /active"})
}

// TestKeysAreNeverShown guards against keys in findings: of rules, of the parser, which quotes values that it refuses, and
// of differences.
func TestKeysAreNeverShown(t *testing.T) {
	const secret = "secret-of-desk"
	for _, keys := range []string{
		`"key_sha256":"` + secret + `"`,
		`"keys_sha256":["` + secret + `","` + secret + `"]`,
		`"keys_sha256":{"` + secret + `":1,"` + secret + `":2}`,
		`"keys_sha256":[{"` + secret + `":"` + secret + `"}]`,
		`"keys_sha256":"` + secret + `"`,
		`"key_sha256":{"` + secret + `":1}`,
		`"key_sha256":"` + digest(9) + `"`,
		`"keys_sha256":["` + digest(9) + `"]`,
	} {
		text, err := json.Marshal(sample())
		assert.NilError(t, err)
		raw := []byte(strings.Replace(string(text), `"name":"desk"`, keys+`,"name":"desk"`, 1))
		decoded := &document.Document{}
		_ = json.Unmarshal(raw, decoded)
		list := append(checkRaw(raw), Changes(sample(), decoded)...)
		list = append(list, Changes(decoded, sample())...)
		assert.Assert(t, len(list) > 0, keys)
		for _, f := range list {
			shown := fmt.Sprintf("%+v", f)
			assert.Assert(t, !strings.Contains(shown, secret), shown)
			for n := range 10 {
				assert.Assert(t, !strings.Contains(shown, digest(n)), shown)
			}
		}
	}
}

func TestShapeIsBounded(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`{"revision":1}`, ""},
		{`{"a":"\"{[,\\"}`, ""},
		{``, "not JSON at byte 0 of 0: unexpected end of JSON input"},
		{`{"revision":1`, "not JSON at byte 13 of 13: unexpected end of JSON input"},
		{`{"revision":"`, "not JSON at byte 13 of 13: unexpected end of JSON input"},
		{`null`, "not a JSON object"},
		{`[]`, "not a JSON object: json: cannot unmarshal array into Go value of type map[string]json.RawMessage"},
		{strings.Repeat(`{"a":`, 33), "more than 32 levels or 250000 values"},
		{`{"a":[` + strings.Repeat(`0,`, 250_000) + `0]}`, "more than 32 levels or 250000 values"},
		{strings.Repeat(" ", MaxBytes+1), "larger than 8 MiB"},
	} {
		got := ""
		if err := CheckShape([]byte(c.text)); err != nil {
			got = err.Error()
		}
		assert.Equal(t, got, c.want)
	}
}
