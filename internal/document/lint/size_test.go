package lint

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"carobshunt/internal/document"

	"gotest.tools/v3/assert"
)

// The largest configuration expected.
const (
	mostRoutes  = 2400
	mostTeams   = 2200
	mostTargets = 6800
)

// sized returns a document of the largest size divided by part, in which every entry has a fault if faulty is set.
func sized(part int, faulty bool) *document.Document {
	doc := sample()
	route, service := doc.Routes[1], doc.Services[0]
	doc.Routes, doc.Services, doc.Teams = nil, nil, nil
	for i := range mostRoutes / part {
		r := route
		r.Name, r.Prefix = fmt.Sprintf("route-%d", i), fmt.Sprintf("/product-%d/", i)
		r.Services = []document.WeightedService{{Name: fmt.Sprintf("service-%d", i), Weight: 1}, {Name: "shared", Weight: 9}}
		if faulty {
			r.Prefix, r.TimeoutMs = "/", 1
		}
		s := service
		s.Name = r.Services[0].Name
		doc.Routes, doc.Services = append(doc.Routes, r), append(doc.Services, s)
	}
	doc.Services = append(doc.Services, document.Service{Name: "shared", MaxConnections: 100})
	for i := range mostTeams / part {
		keys := []string{digest(2 * i), digest(2*i + 1)}
		if faulty {
			keys = []string{digest(0), digest(0)}
		}
		doc.Teams = append(doc.Teams, document.Team{Name: fmt.Sprintf("team-%d", i), Weight: 1, TokensPerSecond: 1, KeysSHA256: keys})
	}
	doc.Routes[0].Public = false
	doc.Placements[0].Engines = nil
	for i := range mostTargets / part {
		doc.Placements[0].Engines = append(doc.Placements[0].Engines, fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250))
	}
	return doc
}

// work is what a check of a document does.
type work struct {
	entries, checks int
	allocations     float64
}

func workOf(t *testing.T, part int, faulty bool) work {
	doc := sized(part, faulty)
	r := newRunner(Input{Document: doc})
	r.run(rules)
	raw, err := json.Marshal(doc)
	assert.NilError(t, err)
	old := sized(part, !faulty)
	allocations := testing.AllocsPerRun(1, func() {
		assert.NilError(t, CheckShape(raw))
		checkRaw(raw)
		Changes(old, doc)
	})
	return work{entries: r.entries, checks: r.checks, allocations: allocations}
}

// TestWorkIsProportionalToTheSize guards against a rule or a comparison that looks at all entries for each entry, which
// would take minutes at the largest size.
func TestWorkIsProportionalToTheSize(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		whole, half := workOf(t, 1, faulty), workOf(t, 2, faulty)
		assert.Equal(t, whole.entries, 2+2*mostRoutes+1+3*mostTeams+mostTargets)
		assert.Assert(t, whole.checks <= whole.entries*len(rules), "%+v", whole)
		assert.Assert(t, whole.checks <= 2*half.checks, "%+v %+v", whole, half)
		assert.Assert(t, whole.allocations < 2.2*half.allocations, "%+v %+v", whole, half)
	}
}

// TestLargestConfigurationIsWithinTheBounds guards against bounds that refuse a configuration that is expected.
func TestLargestConfigurationIsWithinTheBounds(t *testing.T) {
	raw, err := json.MarshalIndent(sized(1, false), "", "  ")
	assert.NilError(t, err)
	assert.NilError(t, CheckShape(raw))
	levels, values := measure(raw)
	t.Logf("%d bytes, %d levels, %d values", len(raw), levels, values)
	assert.Assert(t, len(raw)*2 < MaxBytes && values*2 < maxValues && levels*2 < maxLevels, "%d bytes, %d values", len(raw), values)
	assert.DeepEqual(t, summary(checkRaw(raw)), []string{})
}

func BenchmarkCheckLargest(b *testing.B) {
	for _, faulty := range []bool{false, true} {
		b.Run(fmt.Sprintf("faulty=%v", faulty), func(b *testing.B) {
			doc, old := sized(1, faulty), sized(1, !faulty)
			raw, err := json.Marshal(doc)
			assert.NilError(b, err)
			for b.Loop() {
				assert.NilError(b, CheckShape(raw))
				checkRaw(raw)
				Changes(old, doc)
			}
		})
	}
}

// BenchmarkCheckHostile measures the texts within the bounds that cost most: many entries without any field.
func BenchmarkCheckHostile(b *testing.B) {
	raw := []byte(`{"teams":[` + strings.Repeat(`{},`, maxValues/2-3) + `{}]}`)
	assert.NilError(b, CheckShape(raw))
	for b.Loop() {
		checkRaw(raw)
	}
}

// FuzzCheck looks for texts that end the check, or that give other findings the second time.
func FuzzCheck(f *testing.F) {
	for _, c := range append(append(presetAndRouteCases(), serviceCases()...), teamCases()...) {
		doc := sample()
		c.change(doc)
		raw, err := json.Marshal(doc)
		assert.NilError(f, err)
		f.Add(raw)
	}
	f.Add([]byte(`{"teams":[null,{"keys_sha256":[""]}],"routes":[{"services":[{"weight":9223372036854775807},{"weight":1}]}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if CheckShape(raw) != nil {
			return
		}
		found := checkRaw(raw)
		assert.DeepEqual(t, summary(checkRaw(raw)), summary(found))
		doc := &document.Document{}
		if json.Unmarshal(raw, doc) != nil {
			return
		}
		Changes(sample(), doc)
		Changes(doc, sample())
		assert.DeepEqual(t, summary(Changes(doc, doc)), []string{})
	})
}
