package document

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// TestLongTimesDoNotOverflow guards against a time-out that is so long that it counts as passed.
func TestLongTimesDoNotOverflow(t *testing.T) {
	const most = math.MaxInt64
	r := Route{TimeoutMs: most, FirstTokenTargetMs: most, GapTargetMs: most}
	s := Service{ColdMs: most}
	p := Preset{FirstTokenTargetMs: most, Budgets: Budgets{ShortMs: most}}
	e := Engine{PrefillTokensPerMs: 1e-6, AttentionPairsMs: 1e9, Delays: []ZoneDelay{{From: "a", To: "b", DelayMs: 1e300}}}
	for name, got := range map[string]time.Duration{
		"timeout": r.Timeout(), "first token": r.FirstTokenTarget(), "gap": r.GapTarget(), "cold": s.ColdTime(),
		"preset": p.FirstTokenTarget(), "budget": p.Budget(ClassShort), "delay": e.Delay("a", "b"), "prefill": e.PrefillTime(most),
		"infinite": Milliseconds(math.Inf(1)), "not a number": Milliseconds(math.NaN()),
	} {
		assert.Equal(t, got, maxTime, name)
	}
	r = Route{TimeoutMs: 1500}
	assert.Equal(t, r.Timeout(), 1500*time.Millisecond)
}

// TestFiguresOutOfRangeAreFaults guards against figures that overflow where they are summed or multiplied, and that would be used
// since each of them is a number.
func TestFiguresOutOfRangeAreFaults(t *testing.T) {
	const engine = "/services/0/engine/"
	for path, value := range map[string]string{
		engine + "slots": "65537", engine + "memory_tokens": "9223372036854775807", engine + "steps_per_pass": "1000001",
		engine + "chunk_tokens": "9223372036854775807", engine + "step_ms": "1e300", engine + "step_per_stream_ms": "1e300",
		engine + "step_per_context_ms": "1e300", engine + "read_tokens_per_ms": "1e-300", engine + "pairs_ms": "1e300",
		engine + "delays/0/delay_ms": "1e300", "/services/0/cold_per_s": "1e300", "/callers/body_bytes": "9223372036854775807",
		"/routes/0/services/0/weight": "9223372036854775807",
	} {
		_, err := Parse([]byte(documentWith(t, path, value)))
		var faults *strictjson.Faults
		assert.Assert(t, errors.As(err, &faults), "%s: %v", path, err)
		assert.Equal(t, len(faults.List), 1, "%v", err)
		assert.Equal(t, faults.List[0].Path, path)
	}
	_, err := Parse([]byte(documentWith(t, engine+"slots", "65536")))
	assert.NilError(t, err)
}

// documentWith returns the text of a document with one number replaced.
func documentWith(t *testing.T, path, value string) string {
	doc := Document{
		Revision: 1, Active: "p", Teams: []Team{{Name: "t", Weight: 1, TokensPerSecond: 1}},
		Presets: map[string]Preset{"p": {
			Budgets: Budgets{1, 1, 1}, FirstTokenTargetMs: 1, ShortPromptTokens: 1, MiddlePromptTokens: 2,
		}},
		Services: []Service{{Name: "s", MaxConnections: 1, ColdPerSecond: 1, Engine: &Engine{
			Slots: 1, MemoryTokens: 1, StepsPerIteration: 1, ChunkTokens: 1, PrefillTokensPerMs: 1,
			Delays: []ZoneDelay{{From: "a", To: "b", DelayMs: 1}},
		}}},
		Routes: []Route{{
			Name: "r", Authority: "a", Prefix: "/", Kind: KindOnce, MaxExecutions: 1, TimeoutMs: 1, FirstTokenTargetMs: 1,
			Services: []WeightedService{{Name: "s", Weight: 1}},
		}},
		Callers: &CallerLimits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeoutMs: 1, IdleTimeoutMs: 1},
	}
	raw, err := json.Marshal(&doc)
	assert.NilError(t, err)
	field := path[strings.LastIndex(path, "/")+1:]
	outer := strings.Index(string(raw), `"`+strings.Split(path, "/")[1]+`":`)
	start := outer + strings.Index(string(raw[outer:]), `"`+field+`":`) + len(field) + 3
	return string(raw[:start]) + value + strings.TrimLeft(string(raw[start:]), "0123456789.")
}
