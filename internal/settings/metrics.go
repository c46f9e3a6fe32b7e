package settings

import "cmp"

// Metrics configures the labels of metrics and the reference for slowdown. Zero values take the defaults.
type Metrics struct {
	// Teams is the number of teams with series of their own: those with the highest published tokens_per_second.
	Teams int `json:"teams,omitempty" jsonschema:"minimum=1,maximum=200,default=20,description=teams with metrics of their own; the others are counted together"`
	// ShownTeams are teams that always have series of their own.
	ShownTeams []string `json:"shown_teams,omitempty" jsonschema:"maxItems=50,description=teams that always have metrics of their own"`
	// ReferencePrefillTokensPerSecond is the prefill rate of the idle engine against which slowdown is measured.
	ReferencePrefillTokensPerSecond int64 `json:"reference_prefill_tokens_per_second,omitempty" jsonschema:"minimum=1,default=20000,description=prefill rate of an idle engine in tokens a second; slowdown is measured against it"`
	// ReferenceStartMs is the duration of that engine's first iteration, in milliseconds.
	ReferenceStartMs int64 `json:"reference_start_ms,omitempty" jsonschema:"minimum=1,default=15,description=first iteration of an idle engine in milliseconds; slowdown is measured against it"`
}

// Defaults of Metrics; the JSON schema states the same values.
const (
	DefaultMetricsTeams                    = 20
	DefaultReferencePrefillTokensPerSecond = 20_000
	DefaultReferenceStartMs                = 15
)

func (m *Metrics) applyDefaults() {
	m.Teams = cmp.Or(m.Teams, DefaultMetricsTeams)
	m.ReferencePrefillTokensPerSecond = cmp.Or(m.ReferencePrefillTokensPerSecond, DefaultReferencePrefillTokensPerSecond)
	m.ReferenceStartMs = cmp.Or(m.ReferenceStartMs, DefaultReferenceStartMs)
}
