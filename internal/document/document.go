// Package document is the published configuration: one JSON document with a revision, the presets, exactly one of
// them in force, and the teams. A document is taken whole or refused whole.
package document

import "time"

// Document is what operators publish.
type Document struct {
	// Revision rises with every publication.
	Revision uint64 `json:"revision" jsonschema:"minimum=1,description=rises with every publication"`
	// Active names the one preset in force.
	Active string `json:"active" jsonschema:"minLength=1,description=name of the one preset in force"`
	// Presets are the operators' prepared modes of operation, by name.
	Presets map[string]Preset `json:"presets" jsonschema:"minProperties=1"`
	// Teams are the customers and their limits.
	Teams []Team `json:"teams" jsonschema:"minItems=1"`
	// Placements say which model each engine group serves; engines are ordered to match.
	Placements []Placement `json:"placements,omitempty"`
	// Routes and Services are for callers that name what they ask for by host name and path.
	Routes   []Route   `json:"routes,omitempty"`
	Services []Service `json:"services,omitempty"`
	// Callers bound what callers on routes may send.
	Callers *CallerLimits `json:"callers,omitempty"`
}

// CallerLimits bound what a caller on a route may send, and how long it may take.
type CallerLimits struct {
	HeaderBytes     int64 `json:"header_bytes" jsonschema:"minimum=1,description=headers of one request in bytes"`
	BodyBytes       int64 `json:"body_bytes" jsonschema:"minimum=1,description=body of one request in bytes"`
	HeaderTimeoutMs int64 `json:"header_timeout_ms" jsonschema:"minimum=1,description=time for the headers of a request in milliseconds"`
	IdleTimeoutMs   int64 `json:"idle_timeout_ms" jsonschema:"minimum=1,description=time that a connection may be idle in milliseconds"`
}

// Preset is one mode of operation.
type Preset struct {
	// Budgets are the time budgets of the classes, used where a caller names none.
	Budgets Budgets `json:"budgets"`
	// FirstTokenTargetMs is the aim for the first token of short prompts, in milliseconds.
	FirstTokenTargetMs int64 `json:"first_token_target_ms" jsonschema:"minimum=1,description=aim for the first token of short prompts in milliseconds"`
	// ShortPromptTokens and MiddlePromptTokens bound the classes, in prompt tokens.
	ShortPromptTokens  int64 `json:"short_prompt_tokens" jsonschema:"minimum=1,description=longest prompt of the short class in tokens"`
	MiddlePromptTokens int64 `json:"middle_prompt_tokens" jsonschema:"minimum=1,description=longest prompt of the middle class in tokens"`
	// ProtectShortPercent weighs the slowdown of short requests against the share of engines open to long prompts:
	// the least percentage of engines that takes no long prefill.
	ProtectShortPercent int64 `json:"protect_short_percent" jsonschema:"minimum=0,maximum=90,description=least percentage of engines that take no long prefill"`
	// RetryPercent is the retry budget as a percentage of fresh requests.
	RetryPercent int64 `json:"retry_percent" jsonschema:"minimum=0,maximum=100,description=retry budget as a percentage of fresh requests"`
	// WeightLoadsPerMinute bounds the model loads that all hosts together may start.
	WeightLoadsPerMinute int64 `json:"weight_loads_per_minute" jsonschema:"minimum=0,description=model loads that all hosts together may start in a minute"`
}

// Budgets are time budgets by class, in milliseconds.
type Budgets struct {
	ShortMs  int64 `json:"short_ms" jsonschema:"minimum=1,description=default time budget of the short class in milliseconds"`
	MiddleMs int64 `json:"middle_ms" jsonschema:"minimum=1,description=default time budget of the middle class in milliseconds"`
	LongMs   int64 `json:"long_ms" jsonschema:"minimum=1,description=default time budget of the long class in milliseconds"`
}

// Team is one customer.
type Team struct {
	Name string `json:"name" jsonschema:"minLength=1,maxLength=64,description=name of the team"`
	// Weight is the team's share among waiting requests.
	Weight int64 `json:"weight" jsonschema:"minimum=1,description=share of the team among waiting requests"`
	// TokensPerSecond bounds the work that the team may offer across all hosts, in tokens a second.
	TokensPerSecond int64 `json:"tokens_per_second" jsonschema:"minimum=1,description=work that the team may offer across all hosts in tokens a second"`
	// KeySHA256 is the hexadecimal SHA-256 of the team's bearer key; empty where callers are told apart by
	// certificate, or not at all.
	KeySHA256 string `json:"key_sha256,omitempty" jsonschema:"pattern=^[0-9a-f]{64}$,description=SHA-256 of the team's bearer key in hexadecimal; without it no key is asked for"`
	// KeysSHA256 are the digests of the team's keys on routes, in hexadecimal.
	KeysSHA256 []string `json:"keys_sha256,omitempty" jsonschema:"description=SHA-256 of the keys of the team on routes in hexadecimal"`
	// Unmetered teams have no limit; TokensPerSecond then says only what part of the hosts they are given.
	Unmetered bool `json:"unmetered,omitempty" jsonschema:"description=whether the team has no limit"`
}

// Placement is a model wanted on engines.
type Placement struct {
	Model string `json:"model" jsonschema:"minLength=1,description=name of the model"`
	// Engines are the addresses of the engines that are to serve the model.
	Engines []string `json:"engines" jsonschema:"minItems=1,description=addresses of the engines that are to serve the model"`
	Version string   `json:"version" jsonschema:"minLength=1,description=version of the model"`
}

// Class sorts requests by prompt length.
type Class string

// The classes, and the one of plain services.
const (
	ClassShort   Class = "short"
	ClassMiddle  Class = "middle"
	ClassLong    Class = "long"
	ClassService Class = "service"
)

// Preset returns the preset in force.
func (d *Document) Preset() Preset { return d.Presets[d.Active] }

// Team returns the team with that name.
func (d *Document) Team(name string) (Team, bool) {
	for _, t := range d.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Classify sorts a prompt of that many tokens.
func (p Preset) Classify(promptTokens int64) Class {
	switch {
	case promptTokens <= p.ShortPromptTokens:
		return ClassShort
	case promptTokens <= p.MiddlePromptTokens:
		return ClassMiddle
	}
	return ClassLong
}

// Budget returns the default time budget of a class.
func (p Preset) Budget(c Class) time.Duration {
	ms := p.Budgets.ShortMs
	switch c {
	case ClassMiddle:
		ms = p.Budgets.MiddleMs
	case ClassLong:
		ms = p.Budgets.LongMs
	}
	return time.Duration(ms) * time.Millisecond
}
