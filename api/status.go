package api

// RecordState is what a host tells operators of a request that it has a record of.
type RecordState struct {
	State
	Team string `json:"team"`
	// Host is the address and incarnation of the host that has the record.
	Host string `json:"host"`
}

// Status is what a host reports to operators at PathStatus.
type Status struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	ClockMs     int64  `json:"clock_ms"`
	Ready       bool   `json:"ready"`
	// NotReadyReason is empty on a ready host.
	NotReadyReason string         `json:"not_ready_reason,omitempty"`
	Draining       bool           `json:"draining"`
	Config         ConfigStatus   `json:"config"`
	Peers          []PeerStatus   `json:"peers"`
	Targets        []TargetStatus `json:"targets"`
	Requests       RequestsStatus `json:"requests"`
}

// ConfigStatus reports the configuration in force.
type ConfigStatus struct {
	Revision uint64 `json:"revision"`
	Preset   string `json:"preset"`
	// InForceMs is the time since this revision came into force, in milliseconds.
	InForceMs int64 `json:"in_force_ms"`
	// HeardFrom is "platform" or the address of the peer that passed the revision on.
	HeardFrom string `json:"heard_from"`
	// PlatformSilentMs is the time since the platform was last heard, in milliseconds; -1 for never.
	PlatformSilentMs int64 `json:"platform_silent_ms"`
	// Rejected counts documents refused as invalid; LastRejection names the first fault of the last of them.
	Rejected      uint64 `json:"rejected"`
	LastRejection string `json:"last_rejection,omitempty"`
}

// PeerStatus is another entry host as this one sees it.
type PeerStatus struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation,omitempty"`
	Alive       bool   `json:"alive"`
	Draining    bool   `json:"draining"`
	Revision    uint64 `json:"revision"`
	// SilentMs is the time since the peer was last heard, in milliseconds; -1 for never.
	SilentMs int64 `json:"silent_ms"`
}

// TargetStatus is a target as this host sees it.
type TargetStatus struct {
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Kind     string `json:"kind"`
	State    string `json:"state"`
	Eligible bool   `json:"eligible"`
	InFlight int    `json:"in_flight"`
	// PendingTokens is the prefill work dispatched by this host and not yet answered, in tokens.
	PendingTokens int64 `json:"pending_tokens"`
}

// RequestsStatus counts this host's requests.
type RequestsStatus struct {
	Queued    int   `json:"queued"`
	Running   int   `json:"running"`
	Records   int   `json:"records"`
	BodyBytes int64 `json:"body_bytes"`
	// Outcomes counts finished requests by outcome since the start.
	Outcomes []OutcomeCount `json:"outcomes"`
}

// OutcomeCount is the number of requests that ended with one outcome.
type OutcomeCount struct {
	Outcome Outcome `json:"outcome"`
	Count   uint64  `json:"count"`
}
