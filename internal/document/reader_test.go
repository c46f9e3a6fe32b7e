package document

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func validText(t *testing.T, teams int) string {
	t.Helper()
	preset := Preset{
		Budgets:            Budgets{ShortMs: 10_000, MiddleMs: 120_000, LongMs: 900_000},
		FirstTokenTargetMs: 750, ShortPromptTokens: 4_000, MiddlePromptTokens: 100_000,
	}
	doc := Document{Revision: 1, Active: "ordinary", Presets: map[string]Preset{"ordinary": preset}}
	for i := range teams {
		doc.Teams = append(doc.Teams, Team{Name: fmt.Sprintf("team-%d", i), Weight: 1, TokensPerSecond: 1000})
		doc.Routes = append(doc.Routes, Route{
			Name: fmt.Sprintf("route-%d", i), Authority: "a.example", Prefix: fmt.Sprintf("/%d/", i), Kind: KindIdempotent, Public: true,
			MaxExecutions: 1, TimeoutMs: 5_000, FirstTokenTargetMs: 300, Services: []WeightedService{{Name: "desk", Weight: 1}},
		})
	}
	doc.Services = []Service{{Name: "desk", MaxConnections: 1}}
	raw, err := json.Marshal(doc)
	assert.NilError(t, err)
	return string(raw)
}

// TestReaderAgreesWithParse changes documents at random. Some changes leave them valid; others fail the decoder, the
// schema or the checks beyond it.
func TestReaderAgreesWithParse(t *testing.T) {
	edits := [][2]string{
		{`"weight":1`, `"weight":0`}, {`"weight":1`, `"weight":7`}, {`"weight":1`, `"weight":"1"`}, {`"weight":1,`, ``},
		{`"name":"team-1"`, `"name":"team-0"`}, {`"name":"team-2"`, `"name":""`}, {`"name":"team-2"`, `"Name":"team-2"`},
		{`"teams"`, `"Teams"`}, {`"revision":1`, `"revision":2`}, {`"revision":1`, `"revision":-1`}, {`"active":"ordinary"`, `"active":"peak"`},
		{`"short_prompt_tokens":4000`, `"short_prompt_tokens":400000`}, {`"retry_percent":0`, `"retry_percent":101`},
		{`"retry_percent":0,`, ``}, {`{"name"`, `{"color":1,"name"`}, {`"tokens_per_second":1000`, `"tokens_per_second":2000`},
		{`}`, ``}, {`:`, ` : `}, {`"revision":1`, `"revision":1,"teams":[]`}, {`},{`, `}, {`}, {`"routes":[`, `"routes":null,"x":[`},
		{`"name":"route-1"`, `"name":"\u0072oute-1"`}, {`"timeout_ms":5000`, `"timeout_ms":5001`}, {`"prefix":"/1/"`, `"prefix":"/0/"`},
		{`"name":"desk","weight"`, `"name":"none","weight"`}, {`"public":true,`, ``}, {`"name":"route-2"`, `"name":"<&>"`},
	}
	valid := validText(t, 5)
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 3))
		reader := NewReader()
		for range 6 {
			text := valid
			for range rng.IntN(3) {
				edit := edits[rng.IntN(len(edits))]
				text = replaceOne(rng, text, edit[0], edit[1])
			}
			want, wantErr := Parse([]byte(text))
			got, canonical, gotErr := reader.Read([]byte(text))
			assert.Equal(t, wantErr == nil, gotErr == nil, "seed %d: %s", seed, text)
			if wantErr != nil {
				assert.DeepEqual(t, paths(t, gotErr), paths(t, wantErr))
				continue
			}
			assert.DeepEqual(t, got, want)
			encoded, err := json.Marshal(want)
			assert.NilError(t, err)
			assert.Equal(t, string(canonical), string(encoded), "seed %d: %s", seed, text)
		}
	}
}

// paths returns the paths of the faults of an error.
func paths(t *testing.T, err error) []string {
	t.Helper()
	var faults *strictjson.Faults
	assert.Assert(t, errors.As(err, &faults), "%v", err)
	var out []string
	for _, fault := range faults.List {
		out = append(out, fault.Path)
	}
	return out
}

// replaceOne replaces one occurrence of old in text, chosen at random.
func replaceOne(rng *rand.Rand, text, old, replacement string) string {
	parts := strings.Split(text, old)
	if len(parts) == 1 {
		return text
	}
	at := 1 + rng.IntN(len(parts)-1)
	return strings.Join(parts[:at], old) + replacement + strings.Join(parts[at:], old)
}

func TestRevisionOfACanonicalDocument(t *testing.T) {
	for text, want := range map[string]uint64{
		validText(t, 1): 1, `{"revision":18446744073709551615,"active":""}`: 1<<64 - 1, `{"revision":18446744073709551616,"active":""}`: 0,
		`{ "revision":1,"active":""}`: 0, `{"revision":-1,"active":""}`: 0, `{"revision":1}`: 0, `{"active":""}`: 0, ``: 0,
	} {
		assert.Equal(t, RevisionOf([]byte(text)), want, text)
	}
}
