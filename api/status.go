package api

import "strings"

// RecordState is what a host reports to operators about a request that it has a record of.
type RecordState struct {
	State
	Team string `json:"team"`
	// Host is the host that has the record, as "address/incarnation".
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
	// Warnings are the conditions that need an operator's attention.
	Warnings []Warning      `json:"warnings"`
	Config   ConfigStatus   `json:"config"`
	Peers    []PeerStatus   `json:"peers"`
	Targets  []TargetStatus `json:"targets"`
	Requests RequestsStatus `json:"requests"`
	// Evacuated are the availability zones whose targets get nothing new.
	Evacuated []string `json:"evacuated,omitempty"`
	// Withheld are the prompts that this host refuses because such prompts have ended targets.
	Withheld []WithheldWork `json:"withheld,omitempty"`
	// Spillover are the parts of the short prompts of this host's availability zone that are sent to others.
	Spillover []SpilloverShare `json:"spillover,omitempty"`
	// Crossings count the requests that this host has sent to engines of other availability zones.
	Crossings CrossingCounts `json:"crossings,omitzero"`
}

// SpilloverShare is the part of the short prompts for a service that is sent to another availability zone.
type SpilloverShare struct {
	Service string  `json:"service"`
	Zone    string  `json:"zone"`
	Share   float64 `json:"share"`
}

// CrossingCounts count requests sent to engines of other availability zones since the start of the process, by reason.
type CrossingCounts struct {
	// Share counts short prompts that the share sent there, and Cost those for which an engine there was better in spite of
	// the cost, or the only one that could take them. Long counts prompts of 20,000 tokens or more.
	Share uint64 `json:"share"`
	Cost  uint64 `json:"cost"`
	Long  uint64 `json:"long"`
	// Bytes are the request bodies.
	Bytes uint64 `json:"bytes"`
}

// WithheldWork are requests that end the targets that run them: a request that comes again, or prompts with some parts.
type WithheldWork struct {
	// Work identifies the request that is withheld, in hexadecimal; empty where prompts with some parts are.
	Work string `json:"work,omitempty"`
	// Parts identify the parts, in hexadecimal. Prompts with all of them are withheld.
	Parts []string `json:"parts,omitempty"`
	// SinceMs is for how long they have been withheld, in milliseconds, By the peer address of the host that found them.
	SinceMs int64  `json:"since_ms"`
	By      string `json:"by"`
	// Ends is the number of moments at which targets ended before, and Hosts are the peer addresses of hosts that saw it.
	Ends  int      `json:"ends"`
	Hosts []string `json:"hosts"`
	// Probes is the number of requests that were let through since, to see whether they still end targets. The next one is
	// in NextProbeMs milliseconds; NoProbe if there is none any more.
	Probes      int   `json:"probes"`
	NextProbeMs int64 `json:"next_probe_ms"`
}

// Name returns the name by which an operator releases what is withheld: the work, or the parts joined by "+".
func (w *WithheldWork) Name() string {
	if w.Work != "" {
		return w.Work
	}
	return strings.Join(w.Parts, "+")
}

// NoProbe is the NextProbeMs of a request of which no other one is let through until an operator releases it.
const NoProbe = -1

// ConfigStatus reports the configuration in force.
type ConfigStatus struct {
	Revision uint64 `json:"revision"`
	Preset   string `json:"preset"`
	// InForceMs is the time since this document came into force, in milliseconds; before the first one, since the process
	// started.
	InForceMs int64 `json:"in_force_ms"`
	// ReceivedFrom is the source of the revision: "platform" or the address of a peer.
	ReceivedFrom string `json:"heard_from"`
	// PlatformSilentMs is the time since the platform last answered any host of this availability zone, or any peer if
	// the host list names no entry hosts, as far as this host knows, in milliseconds; -1 for never.
	PlatformSilentMs int64 `json:"platform_silent_ms"`
	// Digest is the digest of the document in force, in hexadecimal. Two hosts with the same revision and different
	// digests have received different documents under it.
	Digest string `json:"digest"`
	// KnownRevision is the highest revision that this host or a peer has had in force or a target has seen; if it is
	// above Revision, this host is behind.
	KnownRevision uint64 `json:"known_revision"`
	// CallersRevision is the highest revision that a caller echoed from a lookup. It is not verified.
	CallersRevision uint64 `json:"callers_revision"`
	// Conflicts counts how often a different document was received under the revision then in force. The same one
	// received several times in a row counts once.
	Conflicts uint64 `json:"conflicts"`
	// HostsVersion is the version of the host list in force.
	HostsVersion uint64 `json:"hosts_version"`
	// HostsInForceMs is the time since that list was received, in milliseconds; -1 for never.
	HostsInForceMs int64 `json:"hosts_in_force_ms"`
	// ReadsPlatform reports whether this host watches the platform itself.
	ReadsPlatform bool `json:"reads"`
	// Rejected counts the documents that were refused as invalid. The same one received several times in a row
	// counts once.
	Rejected uint64 `json:"rejected"`
	// LastRejection names every fault of the last of them.
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
	// SilentMs is the time since the peer was last seen, in milliseconds; -1 for never.
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
	// PendingTokens is the prefill work dispatched by this host and not yet answered, in weighted tokens.
	PendingTokens int64 `json:"pending_tokens"`
	// Limit is the number of requests a second that the hosts together send the target, since it named a limit or is cold; 0 for
	// no limit.
	Limit float64 `json:"limit,omitempty"`
	// Cold is set while the target has just started, or may have, and takes few requests.
	Cold bool `json:"cold,omitempty"`
	// Evacuated is set while the target's availability zone is evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	// SaysLeaving is set when the target counts as about to stop, by its answers, its earlier entries or other hosts, whatever State is.
	SaysLeaving bool `json:"says_leaving,omitempty"`
	// HeldOffMs is how much longer this host sends the target nothing because the target asked for that, in milliseconds.
	HeldOffMs int64 `json:"held_off_ms,omitempty"`
}

// RequestsStatus counts this host's requests.
type RequestsStatus struct {
	Queued    int   `json:"queued"`
	Running   int   `json:"running"`
	Records   int   `json:"records"`
	BodyBytes int64 `json:"body_bytes"`
	// Outcomes counts the requests finished and the attempts refused since the process started.
	Outcomes []OutcomeCount `json:"outcomes"`
	// Withheld counts the requests that were refused because their prompts are withheld.
	Withheld uint64 `json:"withheld"`
	// RankIgnored counts the dispatches that ignored the ranks of teams so that no team is starved.
	RankIgnored uint64 `json:"rank_ignored,omitempty"`
}

// OutcomeCount is the number of requests and refused attempts that ended with one outcome.
type OutcomeCount struct {
	Outcome Outcome `json:"outcome"`
	Count   uint64  `json:"count"`
}

// Warning names a condition that needs an operator's attention.
type Warning string

// The warnings.
const (
	// WarningConflict means that two documents were published under the revision in force.
	WarningConflict Warning = "configuration_conflict"
	// WarningBehind means that a peer or a target has a higher revision than the one in force here.
	WarningBehind Warning = "configuration_behind"
	// WarningCallersAhead means that a caller echoed a higher revision than this host, its peers and its targets have.
	WarningCallersAhead Warning = "callers_ahead"
	// WarningPlatformSilent means that the platform has not answered any host of this availability zone recently.
	WarningPlatformSilent Warning = "platform_silent"
	// WarningPeersSilent means that there are peers and none of them is reachable.
	WarningPeersSilent Warning = "peers_silent"
	// WarningOwnLink means that this host's own link to the targets is suspected of a fault.
	WarningOwnLink Warning = "own_link_suspected"
	// WarningZone means that most targets of an availability zone fail for this host, and that its own link is not
	// suspected.
	WarningZone Warning = "zone_suspected"
	// WarningUnknownRegion means that the document in force lists a region that contains no zone, by this host's settings.
	WarningUnknownRegion Warning = "unknown_region"
)
