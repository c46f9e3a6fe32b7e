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
	NotReadyReason string `json:"not_ready_reason,omitempty"`
	Draining       bool   `json:"draining"`
	// Warnings name what an operator should look at.
	Warnings []Warning      `json:"warnings"`
	Config   ConfigStatus   `json:"config"`
	Peers    []PeerStatus   `json:"peers"`
	Targets  []TargetStatus `json:"targets"`
	Requests RequestsStatus `json:"requests"`
}

// ConfigStatus reports the configuration in force.
type ConfigStatus struct {
	Revision uint64 `json:"revision"`
	Preset   string `json:"preset"`
	// InForceMs is the time since this revision came into force, in milliseconds.
	InForceMs int64 `json:"in_force_ms"`
	// HeardFrom is "platform" or the address of the peer that passed the revision on.
	HeardFrom string `json:"heard_from"`
	// PlatformSilentMs is the time since the platform last answered some host of this availability zone, in
	// milliseconds; -1 for never.
	PlatformSilentMs int64 `json:"platform_silent_ms"`
	// Digest is the digest of the document in force, in hexadecimal; hosts with one revision and two digests heard
	// two documents.
	Digest string `json:"digest"`
	// KnownRevision is the highest revision that a peer had in force or a target remembers; above Revision, this
	// host is behind.
	KnownRevision uint64 `json:"known_revision"`
	// CallersRevision is the highest revision that a caller echoed from a look-up. Nothing proves it.
	CallersRevision uint64 `json:"callers_revision"`
	// Conflicts counts the times that two documents were heard under the revision in force.
	Conflicts uint64 `json:"conflicts"`
	// HostsVersion is the version of the host list in force, HostsInForceMs the time since it was heard, in
	// milliseconds; -1 for never.
	HostsVersion   uint64 `json:"hosts_version"`
	HostsInForceMs int64  `json:"hosts_in_force_ms"`
	// Reads tells whether this host watches the platform itself.
	Reads bool `json:"reads"`
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

// Warning names a state that an operator should look at.
type Warning string

// The warnings.
const (
	// WarningConflict: two documents were published under the revision in force.
	WarningConflict Warning = "configuration_conflict"
	// WarningBehind: a peer or a target knows a higher revision than the one in force here.
	WarningBehind Warning = "configuration_behind"
	// WarningCallersAhead: a caller echoed a higher revision than any that is known otherwise.
	WarningCallersAhead Warning = "callers_ahead"
	// WarningPlatformSilent: the platform has not answered any host of this availability zone for a while.
	WarningPlatformSilent Warning = "platform_silent"
	// WarningPeersSilent: there are peers, and none of them is heard.
	WarningPeersSilent Warning = "peers_silent"
	// WarningLink: this host's own link to the targets is suspected.
	WarningLink Warning = "own_link_suspected"
	// WarningZone: the targets of an availability zone can't be reached from this host.
	WarningZone Warning = "zone_suspected"
)
