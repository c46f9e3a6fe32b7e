package trace_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"carobshunt/internal/model"
	"carobshunt/internal/strictjson"
	"carobshunt/internal/trace"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// The expected means are calculated by hand from the log-uniform bands: a short prompt costs 2,164 + 13.5 weighted
// tokens, a middle one 14,912 + 2,908 with its prefix cached, a long one 195,432 + 403,095.
func TestMeanRequestCostMatchesHandCalculation(t *testing.T) {
	l := trace.MeanRequestCost(model.Reference())
	within(t, l.PrefillWork, 0.7*2_177.5+0.28*17_820+0.02*598_527, 0.001)
	within(t, l.PrefillTokens, 0.7*2_164+0.28*14_912+0.02*195_432, 0.001)
	within(t, l.AnswerTokens, 317.1, 0.001)
}

func TestReferenceCapacityIsPrefillBoundAndAboveAttainable(t *testing.T) {
	c := trace.CapacityOf(model.Reference(), 20)
	within(t, c.Prefill, 20*20_000/18_484.0, 0.001)
	assert.Equal(t, c.Reference, c.Prefill)
	assert.Assert(t, c.Memory > c.Prefill)
	// 26,404 weighted tokens, since groups of engines have no cached prefixes and lose a fifth of their rate; and 23.4
	// iterations of 17.4 ms.
	within(t, c.Attainable, 20/(26_404/20_000.0+23.4*0.0174), 0.002)
}

func within(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, got > want*(1-tolerance) && got < want*(1+tolerance), "got %f, want %f", got, want)
}

func testOptions(s trace.Scenario) trace.GenerateOptions {
	return trace.GenerateOptions{
		Scenario: s, Deployment: "sk-west", Seed: 7, Percent: 85, CapacityKind: trace.ReferenceCapacity, Length: 10 * time.Minute,
	}
}

func TestGeneratedTraceFollowsTheReferenceMix(t *testing.T) {
	tr, err := trace.Generate(testOptions(trace.Ordinary))
	assert.NilError(t, err)
	var services, orders, large float64
	bands := make(map[string]float64)
	prompts := 0.0
	for _, r := range tr.Requests {
		if r.Team == "bratislava" || r.Team == "kosice" || r.Team == "zilina" {
			large++
		}
		if r.Model != "newsroom" {
			services++
			if !r.Idempotent {
				orders++
			}
			continue
		}
		prompts++
		for _, b := range trace.Bands() {
			if float64(r.PromptTokens) >= b.From-1 && float64(r.PromptTokens) < b.To {
				bands[b.Name]++
			}
		}
		assert.Assert(t, r.AnswerTokens >= 49 && r.AnswerTokens <= 1_000)
		assert.Assert(t, (r.PrefixTokens > 0) == (r.PromptTokens >= 4_000) || r.PromptTokens == 4_000)
	}
	total := float64(len(tr.Requests))
	within(t, prompts/600, 0.85*trace.CapacityOf(model.Reference(), 20).Reference, 0.05)
	within(t, services/total, 0.1, 0.1)
	within(t, orders/services, 1/3.0, 0.15)
	within(t, large/total, 0.7, 0.05)
	for _, b := range trace.Bands() {
		within(t, bands[b.Name]/prompts, b.Percent/100, 0.25)
	}
}

func TestScenariosAreReproducibleAndRoundTrip(t *testing.T) {
	for _, s := range trace.Scenarios() {
		for _, deployment := range trace.Deployments() {
			r := testOptions(s)
			r.Deployment = deployment.Name
			r.Length = time.Minute
			a, err := trace.Generate(r)
			assert.NilError(t, err)
			b, err := trace.Generate(r)
			assert.NilError(t, err)
			assert.DeepEqual(t, a, b)
			var file bytes.Buffer
			assert.NilError(t, a.Write(&file))
			read, err := trace.Read(&file)
			assert.NilError(t, err)
			assert.DeepEqual(t, a, read)
		}
	}
}

func TestUnknownScenarioAndDeploymentAreTypedErrors(t *testing.T) {
	var unknown *trace.OptionError
	_, err := trace.Generate(testOptions("nothing"))
	assert.Assert(t, errors.As(err, &unknown))
	r := testOptions(trace.Ordinary)
	r.Deployment = "nowhere"
	_, err = trace.Generate(r)
	assert.Assert(t, errors.As(err, &unknown))
}

func TestInvalidLineFailsTheWholeTrace(t *testing.T) {
	header := `{"header":{"format":1,"deployment":"sk-west","generated":false,"title":"t","length_ms":1}}` + "\n"
	request := `{"request":{"at_ms":0,"id":"r","team":"a","model":"m","prompt_tokens":5,"answer_tokens":1,"idempotent":true,"budget_ms":1}}`
	_, err := trace.Read(strings.NewReader(header + request))
	assert.NilError(t, err)
	for name, text := range map[string]string{
		"empty":             "",
		"no header":         request,
		"two headers":       header + header,
		"unknown field":     header + strings.Replace(request, "at_ms", "at_us", 1),
		"no budget":         header + strings.Replace(request, `"budget_ms":1`, `"budget_ms":0`, 1),
		"not JSON":          header + "{",
		"prefix too long":   header + strings.Replace(request, `"idempotent"`, `"prefix":"p","prefix_tokens":6,"idempotent"`, 1),
		"unknown format":    strings.Replace(header, `"format":1`, `"format":2`, 1),
		"nothing on a line": header + "{}",
	} {
		var faults *strictjson.Faults
		_, err := trace.Read(strings.NewReader(text))
		assert.Assert(t, errors.As(err, &faults), "%s: %v", name, err)
	}
}
