// Package document defines the published configuration: one JSON document with a revision, the presets, of which
// exactly one is in force, the teams, and the models and routes to serve. An invalid document is refused as a whole.
package document

import (
	"slices"
	"time"
)

// Document is the configuration that operators publish.
type Document struct {
	// Revision increases with every publication.
	Revision uint64 `json:"revision" jsonschema:"minimum=1,description=rises with every publication"`
	// Active names the one preset in force.
	Active string `json:"active" jsonschema:"minLength=1,description=name of the one preset in force"`
	// Presets are the modes of operation that operators have prepared, by name.
	Presets map[string]Preset `json:"presets" jsonschema:"minProperties=1"`
	// Teams are the customers and their limits.
	Teams []Team `json:"teams" jsonschema:"minItems=1"`
	// Placements list the engines that are to serve each model; engines are ordered to load models accordingly.
	Placements []Placement `json:"placements,omitempty"`
	// Routes and Services serve callers whose requests are routed by host name and path.
	Routes   []Route   `json:"routes,omitempty"`
	Services []Service `json:"services,omitempty"`
	// LeftOut is the number of published entries that can't be used and have no effect.
	LeftOut int64 `json:"left_out,omitempty" jsonschema:"minimum=0,description=number of published entries that can't be used"`
	// Callers limits what callers on routes may send.
	Callers *CallerLimits `json:"callers,omitempty"`
}

// CallerLimits limit the size of a request on a route, the time for its headers and the idle time of its connection.
// Hosts give no less time than they do without a document.
type CallerLimits struct {
	HeaderBytes     int64 `json:"header_bytes" jsonschema:"minimum=1,description=headers of one request in bytes"`
	BodyBytes       int64 `json:"body_bytes" jsonschema:"minimum=1,maximum=1099511627776,description=body of one request in bytes"`
	HeaderTimeoutMs int64 `json:"header_timeout_ms" jsonschema:"minimum=1,description=time for the headers of a request in milliseconds"`
	IdleTimeoutMs   int64 `json:"idle_timeout_ms" jsonschema:"minimum=1,description=time that a connection may be idle in milliseconds"`
}

// Preset is one mode of operation: the values that operators switch together.
type Preset struct {
	// Budgets are the time budgets of the classes, used if a caller names none.
	Budgets Budgets `json:"budgets"`
	// FirstTokenTargetMs is the objective for the time to first token of short prompts, in milliseconds. The lateness of
	// a prompt that is prefilled in parts is measured against it too.
	FirstTokenTargetMs int64 `json:"first_token_target_ms" jsonschema:"minimum=1,description=aim for the first token of short prompts in milliseconds"`
	// ShortPromptTokens and MiddlePromptTokens are the longest prompts of the short and the middle class, in tokens.
	ShortPromptTokens  int64 `json:"short_prompt_tokens" jsonschema:"minimum=1,description=longest prompt of the short class in tokens"`
	MiddlePromptTokens int64 `json:"middle_prompt_tokens" jsonschema:"minimum=1,description=longest prompt of the middle class in tokens"`
	// ProtectShortPercent is the minimum percentage of engines that take no long prefill. It trades the slowdown of short
	// requests against the share of engines open to long prompts.
	ProtectShortPercent int64 `json:"protect_short_percent" jsonschema:"minimum=0,maximum=90,description=least percentage of engines that take no long prefill"`
	// RetryPercent is the retry budget as a percentage of fresh requests.
	RetryPercent int64 `json:"retry_percent" jsonschema:"minimum=0,maximum=100,description=retry budget as a percentage of fresh requests"`
	// WeightLoadsPerMinute is the maximum number of model loads that all hosts together may start in a minute.
	WeightLoadsPerMinute int64 `json:"weight_loads_per_minute" jsonschema:"minimum=0,description=model loads that all hosts together may start in a minute"`
}

// Budgets are time budgets by class, in milliseconds.
type Budgets struct {
	ShortMs  int64 `json:"short_ms" jsonschema:"minimum=1,description=default time budget of the short class in milliseconds"`
	MiddleMs int64 `json:"middle_ms" jsonschema:"minimum=1,description=default time budget of the middle class in milliseconds"`
	LongMs   int64 `json:"long_ms" jsonschema:"minimum=1,description=default time budget of the long class in milliseconds"`
}

// Team is a customer and its limits.
type Team struct {
	Name string `json:"name" jsonschema:"minLength=1,description=name of the team"`
	// Weight is the team's share among waiting requests.
	Weight int64 `json:"weight" jsonschema:"minimum=1,description=share of the team among waiting requests"`
	// TokensPerSecond limits the work that the team may submit across all hosts, in prompt and answer tokens per second.
	TokensPerSecond int64 `json:"tokens_per_second" jsonschema:"minimum=1,description=work that the team may offer across all hosts in tokens a second"`
	// KeySHA256 is the hexadecimal SHA-256 of the team's bearer key; empty if callers are authenticated by certificate,
	// or not at all.
	KeySHA256 string `json:"key_sha256,omitempty" jsonschema:"pattern=^[0-9a-f]{64}$,description=SHA-256 of the team's bearer key in hexadecimal; without it no key is asked for"`
	// KeysSHA256 are the SHA-256 digests of the team's keys on routes, in hexadecimal; nil if the team is without keys. Once any
	// team has the list, even an empty one, routes that are not public need a key.
	KeysSHA256 []string `json:"keys_sha256,omitzero" jsonschema:"description=SHA-256 of the keys of the team on routes in hexadecimal; once any team has the list, even an empty one, routes that are not public need a key"`
	// Unmetered teams have no limit on routes; TokensPerSecond then only determines their share of the hosts. It has no
	// effect on other requests.
	Unmetered bool `json:"unmetered,omitempty" jsonschema:"description=whether the team has no limit"`
	// Rank is the urgency of the team's requests on routes; it takes precedence over that of the route. Nil if the team has
	// none.
	Rank *int64 `json:"rank,omitempty" jsonschema:"minimum=0,description=urgency of the requests on routes in place of that of the route; 0 goes first"`
	// Regions are the regions where the team's requests may run, in addition to the restriction of the route; nil for all. An
	// empty list allows none.
	Regions []string `json:"regions,omitzero" jsonschema:"description=regions where requests may run; default: all"`
}

// Placement assigns a version of a model to engines.
type Placement struct {
	Model string `json:"model" jsonschema:"minLength=1,description=name of the model"`
	// Engines are the addresses of the engines that are to serve the model.
	Engines []string `json:"engines" jsonschema:"minItems=1,description=addresses of the engines that are to serve the model"`
	Version string   `json:"version" jsonschema:"minLength=1,description=version of the model"`
}

// Class is the class of a request by prompt length.
type Class string

// The classes of prompts, and the class of requests to plain services.
const (
	ClassShort   Class = "short"
	ClassMiddle  Class = "middle"
	ClassLong    Class = "long"
	ClassService Class = "service"
)

// Preset returns the preset in force.
func (d *Document) Preset() Preset { return d.Presets[d.Active] }

// NeedsKeys reports whether requests on routes that are not public need a key. It follows from the presence of a list of keys,
// not from its length: taking the last key away shuts callers out.
func (d *Document) NeedsKeys() bool {
	return slices.ContainsFunc(d.Teams, func(t Team) bool { return t.KeysSHA256 != nil })
}

// Team returns the team with that name.
func (d *Document) Team(name string) (Team, bool) {
	for _, t := range d.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Classify returns the class of a prompt of that many tokens.
func (p Preset) Classify(promptTokens int64) Class {
	switch {
	case promptTokens <= p.ShortPromptTokens:
		return ClassShort
	case promptTokens <= p.MiddlePromptTokens:
		return ClassMiddle
	}
	return ClassLong
}

// FirstTokenTarget returns the objective for the time to first token of short prompts.
func (p Preset) FirstTokenTarget() time.Duration { return Milliseconds(float64(p.FirstTokenTargetMs)) }

// Budget returns the default time budget of a class.
func (p Preset) Budget(c Class) time.Duration {
	ms := p.Budgets.ShortMs
	switch c {
	case ClassMiddle:
		ms = p.Budgets.MiddleMs
	case ClassLong:
		ms = p.Budgets.LongMs
	}
	return Milliseconds(float64(ms))
}
