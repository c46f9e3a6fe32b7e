package document

import (
	"slices"
	"time"
)

// Kind says how often a request of a route may be executed, and what its answer is.
type Kind string

// The kinds.
const (
	// KindIdempotent requests may be executed any number of times.
	KindIdempotent Kind = "idempotent"
	// KindOnce requests may be executed once.
	KindOnce Kind = "once"
	// KindStream answers are streams of numbered events.
	KindStream Kind = "stream"
)

// Route sends the requests of one authority and path prefix to services.
type Route struct {
	Name string `json:"name" jsonschema:"minLength=1,description=name of the route"`
	// Authority is the host name that requests carry, and Prefix what their paths begin with; the longest one counts.
	Authority string `json:"authority" jsonschema:"minLength=1,description=host name that requests carry"`
	Prefix    string `json:"prefix" jsonschema:"pattern=^/,description=what the path begins with; the longest one counts"`
	Kind      Kind   `json:"kind" jsonschema:"enum=idempotent,enum=once,enum=stream,description=how often a request may be executed and what its answer is"`
	// Resumable streams may go on at another target after the last event that the caller has.
	Resumable bool `json:"resumable,omitempty" jsonschema:"description=whether a stream may go on at another target"`
	// Public routes ask for no key.
	Public bool `json:"public,omitempty" jsonschema:"description=whether no key is asked for"`
	// Services share the requests by weight.
	Services []WeightedService `json:"services" jsonschema:"minItems=1,description=services that share the requests by weight"`
	// MaxExecutions is how many targets may execute one request.
	MaxExecutions int64 `json:"max_executions" jsonschema:"minimum=1,description=how many targets may execute one request"`
	// TimeoutMs bounds the time to the end of the answer.
	TimeoutMs int64 `json:"timeout_ms" jsonschema:"minimum=1,description=longest time to the end of the answer in milliseconds"`
	// TargetMs is the aim for the answer, of a stream for its first event; GapTargetMs the aim for the longest pause
	// between two events.
	TargetMs    int64 `json:"target_ms" jsonschema:"minimum=1,description=aim for the answer or the first event of a stream in milliseconds"`
	GapTargetMs int64 `json:"pause_target_ms,omitempty" jsonschema:"minimum=0,description=aim for the longest pause between two events in milliseconds"`
	// Rank orders routes by urgency; 0 goes first.
	Rank int64 `json:"rank,omitempty" jsonschema:"minimum=0,description=urgency; 0 goes first"`
}

// WeightedService is one of the services of a route.
type WeightedService struct {
	Name   string `json:"name" jsonschema:"minLength=1,description=name of the service"`
	Weight int64  `json:"weight" jsonschema:"minimum=0,description=part of the requests"`
}

// Timeout bounds the time from a request's headers to the end of its answer.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMs) * time.Millisecond }

// Target is the aim for the answer, of a stream for its first event.
func (r *Route) Target() time.Duration { return time.Duration(r.TargetMs) * time.Millisecond }

// GapTarget is the aim for the longest pause between two events.
func (r *Route) GapTarget() time.Duration { return time.Duration(r.GapTargetMs) * time.Millisecond }

// MayRepeat tells whether a request may be executed again after it may have been executed.
func (r *Route) MayRepeat() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// LeadsTo tells whether requests of the route may go to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Name == service })
}

// Service is a group of targets that answer alike.
type Service struct {
	Name string `json:"name" jsonschema:"minLength=1,description=name of the service"`
	// MaxConnections is how many connections one target takes from all entry hosts together.
	MaxConnections int64 `json:"max_connections" jsonschema:"minimum=1,description=connections that one target takes from all entry hosts"`
	// Engine describes the targets of a service of model engines.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine is how fast a model engine works. An engine works in passes of StepsPerPass token steps while it writes
// answers; each step may read ChunkTokens of waiting prompts besides.
type Engine struct {
	// Slots is how many requests one engine works on at a time.
	Slots int64 `json:"slots" jsonschema:"minimum=1,description=requests that one engine works on at a time"`
	// MemoryTokens is the KV memory in tokens.
	MemoryTokens int64 `json:"memory_tokens" jsonschema:"minimum=1,description=KV memory in tokens"`
	StepsPerPass int64 `json:"steps_per_pass" jsonschema:"minimum=1,description=token steps in one pass"`
	ChunkTokens  int64 `json:"chunk_tokens" jsonschema:"minimum=1,description=prompt tokens that one step may read"`
	// StepMs is the time of a step, StepPerStreamMs and StepPerContextMs what each writing stream and each thousand
	// tokens of its context add.
	StepMs           float64 `json:"step_ms" jsonschema:"minimum=0,description=time of a step in milliseconds"`
	StepPerStreamMs  float64 `json:"step_per_stream_ms" jsonschema:"minimum=0,description=what each writing stream adds in milliseconds"`
	StepPerContextMs float64 `json:"step_per_context_ms" jsonschema:"minimum=0,description=what each thousand tokens of context add in milliseconds"`
	// ReadTokensPerMs is the rate at which prompts are read, PairsMs the time for a million pairs of a token and an
	// earlier one.
	ReadTokensPerMs float64 `json:"read_tokens_per_ms" jsonschema:"exclusiveMinimum=0,description=prompt tokens read in a millisecond"`
	PairsMs         float64 `json:"pairs_ms" jsonschema:"minimum=0,description=time for a million pairs of tokens in milliseconds"`
}

// ReadTime is how long one engine reads a prompt of that many tokens alone.
func (e *Engine) ReadTime(tokens int64) time.Duration {
	n := float64(tokens)
	ms := n/e.ReadTokensPerMs + n*n/2/1e6*e.PairsMs
	return time.Duration(ms * float64(time.Millisecond))
}

// Service returns the service with that name.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}
