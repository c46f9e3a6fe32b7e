package main

// Values of op/config, as PROTOCOL.md has them on the wire.

type configValue struct {
	Version  int            `json:"version"`
	Routes   []routeValue   `json:"routes"`
	Services []serviceValue `json:"services"`
	Limits   limitsValue    `json:"limits"`
	Tenants  []tenantValue  `json:"tenants"`
}

type routeValue struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Type      string `json:"type"`
	TimeoutMs int    `json:"timeout_ms"`
	GoalMs    int    `json:"goal_latency_ms"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"max_attempts"`
	Public    bool   `json:"public"`
	Resumable bool   `json:"resumable,omitempty"`
	Sticky    bool   `json:"sticky,omitempty"`
	GapMs     int    `json:"gap_target_ms,omitempty"`
}

type serviceValue struct {
	Name       string       `json:"name"`
	HealthPath string       `json:"health_path"`
	MaxConns   int          `json:"max_conns"`
	Protocol   string       `json:"protocol"`
	TLS        bool         `json:"tls"`
	Engine     *engineValue `json:"engine,omitempty"`
}

type engineValue struct {
	Slots       int     `json:"slots"`
	KVCapacity  int     `json:"kv_capacity_tokens"`
	Stride      int     `json:"stride"`
	StepMs      float64 `json:"step_ms"`
	PerSeqMs    float64 `json:"per_seq_ms"`
	ContextPerK float64 `json:"context_per_k"`
	ReadPerS    float64 `json:"read_per_s"`
	PairsPerM   float64 `json:"pairs_per_m"`
	Chunk       int     `json:"chunk"`
}

type limitsValue struct {
	HeaderBytes int `json:"max_header_bytes"`
	BodyBytes   int `json:"max_body_bytes"`
	HeaderMs    int `json:"header_timeout_ms"`
	IdleMs      int `json:"idle_timeout_ms"`
}

type tenantValue struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// siteHost is the host name of all routes.
const siteHost = "desk.example"

// exampleConfig has a route of each kind.
func exampleConfig() configValue {
	return configValue{
		Version: 7,
		Routes: []routeValue{
			{Name: "r-notice", Host: siteHost, Prefix: "/notice/", Type: "non_idempotent", TimeoutMs: 1500, GoalMs: 150, Priority: 2, Service: "affil", Attempts: 2},
			{Name: "r-sched", Host: siteHost, Prefix: "/sched/", Type: "idempotent", TimeoutMs: 1500, GoalMs: 150, Priority: 2, Service: "affil", Attempts: 2},
		},
		Services: []serviceValue{{Name: "affil", HealthPath: "/healthz", MaxConns: 100, Protocol: "h1"}},
		Limits:   limitsValue{HeaderBytes: 16384, BodyBytes: 4194304, HeaderMs: 3000, IdleMs: 15000},
		Tenants:  []tenantValue{{Name: "hule930", Keys: []string{"n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"}, Priority: 1}},
	}
}
