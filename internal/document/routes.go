package document

import (
	"slices"
	"time"
)

// Kind is how often a request on a route may be executed, and the form of its answer.
type Kind string

// The kinds.
const (
	// KindIdempotent means that a request may be executed any number of times.
	KindIdempotent Kind = "idempotent"
	// KindOnce means that a request may be executed at most once.
	KindOnce Kind = "once"
	// KindStream means that the answer is a stream of numbered events.
	KindStream Kind = "stream"
)

// Route sends the requests of one authority and path prefix to services.
type Route struct {
	Name string `json:"name" jsonschema:"minLength=1,description=name of the route"`
	// Authority is the host name that the route's requests carry.
	Authority string `json:"authority" jsonschema:"minLength=1,description=host name that requests carry"`
	// Prefix is the prefix of their paths. The route with the longest matching prefix applies.
	Prefix string `json:"prefix" jsonschema:"pattern=^/,description=what the path begins with; the longest one counts"`
	Kind   Kind   `json:"kind" jsonschema:"enum=idempotent,enum=once,enum=stream,description=how often a request may be executed and what its answer is"`
	// Resumable streams may be continued by another target after the last event that the caller has received.
	Resumable bool `json:"resumable,omitempty" jsonschema:"description=whether a stream may go on at another target"`
	// Public routes require no key.
	Public bool `json:"public,omitempty" jsonschema:"description=whether no key is asked for"`
	// Unusable routes match, but refuse all requests: what was published for them can't be used.
	Unusable bool `json:"unusable,omitempty" jsonschema:"description=whether all requests are refused since what was published for the route can't be used"`
	// Services share the requests by weight.
	Services []WeightedService `json:"services" jsonschema:"minItems=1,description=services that share the requests by weight"`
	// MaxExecutions is the maximum number of targets that may execute one request.
	MaxExecutions int64 `json:"max_executions" jsonschema:"minimum=1,description=how many targets may execute one request"`
	// TimeoutMs is the maximum time from a request's headers to the end of its answer, in milliseconds.
	TimeoutMs int64 `json:"timeout_ms" jsonschema:"minimum=1,description=longest time to the end of the answer in milliseconds"`
	// FirstTokenTargetMs is the latency objective for the answer, or for the first event of a stream, in milliseconds.
	FirstTokenTargetMs int64 `json:"target_ms" jsonschema:"minimum=1,description=aim for the answer or the first event of a stream in milliseconds"`
	// GapTargetMs is the objective for the longest gap between two events, in milliseconds; 0 for none.
	GapTargetMs int64 `json:"pause_target_ms,omitempty" jsonschema:"minimum=0,description=aim for the longest pause between two events in milliseconds"`
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int64 `json:"rank,omitempty" jsonschema:"minimum=0,description=urgency; 0 goes first"`
	// Regions are the regions where the route's requests may run; nil for all. An empty list allows none.
	Regions []string `json:"regions,omitzero" jsonschema:"description=regions where requests may run; default: all"`
}

// WeightedService is one of the services of a route.
type WeightedService struct {
	Name   string `json:"name" jsonschema:"minLength=1,description=name of the service"`
	Weight int64  `json:"weight" jsonschema:"minimum=0,maximum=1000000000,description=part of the requests"`
}

// Timeout returns the maximum time from a request's headers to the end of its answer.
func (r *Route) Timeout() time.Duration { return Milliseconds(float64(r.TimeoutMs)) }

// FirstTokenTarget returns the latency objective for the answer, or for the first event of a stream.
func (r *Route) FirstTokenTarget() time.Duration { return Milliseconds(float64(r.FirstTokenTargetMs)) }

// GapTarget returns the objective for the longest gap between two events.
func (r *Route) GapTarget() time.Duration { return Milliseconds(float64(r.GapTargetMs)) }

// MayRepeat reports whether a request that may have been executed may be executed again.
func (r *Route) MayRepeat() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// HasService reports whether the service is one of the route's.
func (r *Route) HasService(service string) bool {
	return slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Name == service })
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string `json:"name" jsonschema:"minLength=1,description=name of the service"`
	// MaxConnections is the maximum number of connections that one target accepts from all entry hosts together. The
	// hosts don't apply it.
	MaxConnections int64 `json:"max_connections" jsonschema:"minimum=1,description=connections that one target takes from all entry hosts"`
	// HealthPath is where targets answer a GET with status 200 while they take requests; empty if nowhere. The hosts check a
	// target only to see whether a new process has taken the place of one that said that it leaves.
	HealthPath string `json:"health,omitempty" jsonschema:"description=path where targets answer for their health"`
	// ColdPerSecond is the number of requests a second that one target takes from all hosts together for ColdMs after it has
	// started, while it is also slow; 0 for no limit.
	ColdPerSecond float64 `json:"cold_per_s,omitempty" jsonschema:"minimum=0,maximum=1000000000,description=requests a second that a target takes from all hosts while it is cold; 0: no limit"`
	ColdMs        int64   `json:"cold_ms,omitempty" jsonschema:"minimum=0,description=time after its start for which a target is cold in milliseconds"`
	// Engine describes the targets if they are model engines; nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

// ColdTime returns how long a target is cold after its start.
func (s *Service) ColdTime() time.Duration { return Milliseconds(float64(s.ColdMs)) }

// Engine describes the capacity and speed of a model engine. While it generates answers, an engine works in iterations
// of StepsPerIteration decode steps; in each step it may also prefill up to ChunkTokens of waiting prompts. The
// maxima keep the products and sums of these figures in range.
type Engine struct {
	// Slots is the number of requests that one engine works on at a time.
	Slots int64 `json:"slots" jsonschema:"minimum=1,maximum=65536,description=requests that one engine works on at a time"`
	// MemoryTokens is the KV cache memory in tokens.
	MemoryTokens int64 `json:"memory_tokens" jsonschema:"minimum=1,maximum=1099511627776,description=KV memory in tokens"`
	// StepsPerIteration is the number of decode steps in one iteration.
	StepsPerIteration int64 `json:"steps_per_pass" jsonschema:"minimum=1,maximum=1000000,description=token steps in one pass"`
	// ChunkTokens is the maximum number of prompt tokens that one step may prefill.
	ChunkTokens int64 `json:"chunk_tokens" jsonschema:"minimum=1,maximum=1099511627776,description=prompt tokens that one step may read"`
	// StepMs is the base time of a decode step, in milliseconds.
	StepMs float64 `json:"step_ms" jsonschema:"minimum=0,maximum=1000000000,description=time of a step in milliseconds"`
	// StepPerStreamMs is what each generating stream adds to a decode step, in milliseconds.
	StepPerStreamMs float64 `json:"step_per_stream_ms" jsonschema:"minimum=0,maximum=1000000000,description=what each writing stream adds in milliseconds"`
	// StepPerContextMs is what each thousand tokens of a generating stream's context add to a decode step, in
	// milliseconds.
	StepPerContextMs float64 `json:"step_per_context_ms" jsonschema:"minimum=0,maximum=1000000000,description=what each thousand tokens of context add in milliseconds"`
	// PrefillTokensPerMs is the prefill rate without the cost of attention, in tokens per millisecond.
	PrefillTokensPerMs float64 `json:"read_tokens_per_ms" jsonschema:"minimum=0.000001,maximum=1000000,description=prompt tokens read in a millisecond"`
	// AttentionPairsMs is the time that attention adds to prefill per million pairs of a token and an earlier one, in
	// milliseconds.
	AttentionPairsMs float64 `json:"pairs_ms" jsonschema:"minimum=0,maximum=1000000000,description=time for a million pairs of tokens in milliseconds"`
	// Delays are the times that messages take between availability zones; 0 between zones that are not listed.
	Delays []ZoneDelay `json:"delays,omitempty" jsonschema:"description=times that messages take between availability zones"`
}

// ZoneDelay is the time that a message takes from one availability zone to another.
type ZoneDelay struct {
	From    string  `json:"from" jsonschema:"minLength=1,description=availability zone of the sender"`
	To      string  `json:"to" jsonschema:"minLength=1,description=availability zone of the receiver"`
	DelayMs float64 `json:"delay_ms" jsonschema:"minimum=0,maximum=1000000000,description=time of a message in milliseconds"`
}

// Delay returns the time that a message takes between two zones: the longer one, if both directions are listed, and 0 if
// neither is.
func (e *Engine) Delay(a, b string) time.Duration {
	longest := 0.0
	for _, d := range e.Delays {
		if d.From == a && d.To == b || d.From == b && d.To == a {
			longest = max(longest, d.DelayMs)
		}
	}
	return Milliseconds(longest)
}

// PrefillTime returns the time of one engine for the prefill of a prompt of that many tokens, without other work.
func (e *Engine) PrefillTime(tokens int64) time.Duration {
	n := float64(tokens)
	ms := n/e.PrefillTokensPerMs + n*n/2/1e6*e.AttentionPairsMs
	return Milliseconds(ms)
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
