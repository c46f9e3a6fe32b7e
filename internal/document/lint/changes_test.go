package lint

import (
	"slices"
	"strings"
	"testing"

	"carobshunt/internal/document"

	"gotest.tools/v3/assert"
)

// changeCases change the sample after its revision was raised.
func changeCases() []ruleCase {
	preset := func(change func(p *document.Preset)) func(d *document.Document) {
		return func(d *document.Document) {
			p := d.Presets["ordinary"]
			change(&p)
			d.Presets["ordinary"] = p
		}
	}
	return []ruleCase{
		{"nothing but the revision", func(*document.Document) {}, []string{}},
		{"the order of entries", func(d *document.Document) {
			slices.Reverse(d.Teams)
			slices.Reverse(d.Routes)
			slices.Reverse(d.Services)
		}, []string{}},
		{"something under the same revision", func(d *document.Document) {
			d.Revision = 1
			d.Teams[0].Weight = 4
		}, []string{"error revision-not-raised /revision", "note value-changed /teams/0/weight"}},
		{"something under a lower revision", func(d *document.Document) {
			d.Revision = 0
			d.Teams[0].Weight = 4
		}, []string{"error revision-not-raised /revision", "note value-changed /teams/0/weight"}},
		{"a route gone, a number changed", func(d *document.Document) {
			d.Routes = d.Routes[:1]
			d.Routes[0].Rank = 1
		}, []string{"warning route-removed /routes", "note value-changed /routes/0/rank"}},
		{"another prefix", func(d *document.Document) {
			d.Routes[0].Prefix = "/asked/"
		}, []string{"warning route-removed /routes", "note route-added /routes/0"}},
		{"a key gone and one new", func(d *document.Document) {
			d.Teams[0].KeysSHA256[0] = digest(7)
		}, []string{"warning key-removed /teams/0/keys_sha256", "note key-added /teams/0/keys_sha256"}},
		{"a key of another team", func(d *document.Document) {
			d.Teams[0].KeysSHA256 = append(d.Teams[0].KeysSHA256, digest(3))
			d.Teams[1].KeysSHA256 = nil
		}, []string{"warning key-moved /teams/0/keys_sha256"}},
		{"a new bearer key", func(d *document.Document) {
			d.Teams[1].KeySHA256 = digest(5)
		}, []string{"warning key-removed /teams/1/key_sha256"}},
		{"the first bearer key", func(d *document.Document) {
			d.Teams[0].KeySHA256 = digest(5)
		}, []string{"warning key-required /teams/0/key_sha256"}},
		{"no bearer key", func(d *document.Document) {
			d.Teams[1].KeySHA256 = ""
		}, []string{"warning key-not-required /teams/1"}},
		{"a team gone", func(d *document.Document) {
			d.Teams = d.Teams[:1]
		}, []string{"warning key-removed /teams", "warning team-removed /teams"}},
		{"a team more", func(d *document.Document) {
			d.Teams = append(d.Teams, document.Team{Name: "new", Weight: 1, TokensPerSecond: 1})
		}, []string{"note team-added /teams/2"}},
		{"a lower and a higher limit of teams", func(d *document.Document) {
			d.Teams[0].TokensPerSecond, d.Teams[1].TokensPerSecond = 99, 101
		}, []string{"warning limit-lowered /teams/0/tokens_per_second", "note value-changed /teams/1/tokens_per_second"}},
		{"no keys", func(d *document.Document) {
			d.Teams[0].KeysSHA256, d.Teams[1].KeysSHA256 = nil, nil
		}, []string{
			"warning key-removed /teams/1/keys_sha256", "warning key-removed /teams/0/keys_sha256", "warning key-not-required /teams",
		}},
		{"lists of keys that are empty", func(d *document.Document) {
			d.Teams[0].KeysSHA256, d.Teams[1].KeysSHA256 = []string{}, []string{}
		}, []string{
			"warning key-removed /teams/1/keys_sha256", "warning key-removed /teams/0/keys_sha256",
		}},
		{"a route public, another not any more", func(d *document.Document) {
			d.Routes[0].Public, d.Routes[1].Public = true, false
		}, []string{"warning key-required /routes/1/public", "warning key-not-required /routes/0/public"}},
		{"another kind", func(d *document.Document) {
			d.Routes[1].Kind = document.KindOnce
		}, []string{"warning kind-changed /routes/1/kind"}},
		{"a lower timeout, a higher one, other weights", func(d *document.Document) {
			d.Routes[0].TimeoutMs, d.Routes[1].TimeoutMs, d.Routes[1].Services[0].Weight = 2999, 3001, 80
		}, []string{
			"warning limit-lowered /routes/0/timeout_ms", "note value-changed /routes/1/services", "note value-changed /routes/1/timeout_ms",
		}},
		{"a smaller body", func(d *document.Document) {
			d.Callers.BodyBytes, d.Callers.HeaderBytes = 1000, 1000
		}, []string{"warning limit-lowered /callers/body_bytes", "note value-changed /callers/header_bytes"}},
		{"no limits of callers", func(d *document.Document) {
			d.Callers = nil
		}, []string{
			"note value-changed /callers/body_bytes", "note value-changed /callers/header_bytes",
			"note value-changed /callers/header_timeout_ms", "note value-changed /callers/idle_timeout_ms",
		}},
		{"another preset", func(d *document.Document) {
			d.Active = "peak"
		}, []string{"note preset-switched /active", "note value-changed /presets/peak/retry_percent"}},
		{"a shorter budget, a longer one", preset(func(p *document.Preset) {
			p.Budgets.ShortMs, p.Budgets.LongMs, p.RetryPercent = 9_000, 950_000, 11
		}), []string{
			"warning limit-lowered /presets/ordinary/budgets/short_ms", "note value-changed /presets/ordinary/budgets/long_ms",
			"note value-changed /presets/ordinary/retry_percent",
		}},
		{"a preset gone, one new", func(d *document.Document) {
			d.Presets["calm"] = d.Presets["peak"]
			delete(d.Presets, "peak")
		}, []string{"note value-changed /presets/calm", "note value-changed /presets"}},
		{"a service gone, one new, a slower engine", func(d *document.Document) {
			d.Services[1].Name = "spare"
			engine := *d.Services[0].Engine
			engine.PrefillTokensPerMs = 100
			d.Services[0].Engine = &engine
		}, []string{
			"note service-removed /services", "note value-changed /services/0/engine/read_tokens_per_ms", "note service-added /services/1",
		}},
		{"another model", func(d *document.Document) {
			d.Placements[0].Model = "final"
		}, []string{"warning model-removed /placements", "note model-added /placements/0"}},
		{"another version, on fewer engines", func(d *document.Document) {
			d.Placements[0].Version = "2"
		}, []string{"note value-changed /placements/0", "note value-changed /placements"}},
		{"fewer engines", func(d *document.Document) {
			d.Placements[0].Engines = d.Placements[0].Engines[:1]
		}, []string{"note value-changed /placements/0/engines"}},
	}
}

// TestChangesComeInOrderOfTheirEffect guards against a difference that is missed, and against one that callers notice
// below changed numbers.
func TestChangesComeInOrderOfTheirEffect(t *testing.T) {
	tested := make(map[Code]bool)
	for _, c := range changeCases() {
		to := sample()
		to.Revision = 2
		c.change(to)
		found := Changes(sample(), to)
		assert.DeepEqual(t, summary(found), c.want)
		for _, f := range found {
			tested[f.Code] = true
			assert.Assert(t, strings.HasSuffix(f.Sentence, ".") && strings.HasSuffix(f.Action, "."), "%s: %+v", c.name, f)
		}
	}
	for _, e := range effects {
		assert.Assert(t, tested[e.code], "no test of %s", e.code)
	}
}

// TestPublicRoutesWithoutKeysAreReported guards against a difference that is left out because it has no effect on callers
// yet.
func TestPublicRoutesWithoutKeysAreReported(t *testing.T) {
	from, to := sample(), sample()
	to.Revision = 2
	for i := range to.Teams {
		to.Teams[i].KeysSHA256 = nil
	}
	to.Routes[1].Public = false
	assert.DeepEqual(t, summary(Changes(from, to)), []string{
		"warning key-removed /teams/1/keys_sha256", "warning key-removed /teams/0/keys_sha256", "warning key-not-required /teams",
		"note value-changed /routes/1/public",
	})
}

// TestTheFirstKeysAreReported guards against a configuration that shuts out all callers without a word, as hosts ask for
// keys as soon as a document has one.
func TestTheFirstKeysAreReported(t *testing.T) {
	from, to := sample(), sample()
	to.Revision = 2
	for i := range from.Teams {
		from.Teams[i].KeysSHA256 = nil
	}
	assert.DeepEqual(t, summary(Changes(from, to)), []string{
		"warning key-required /teams", "note key-added /teams/1/keys_sha256", "note key-added /teams/0/keys_sha256",
	})
}
