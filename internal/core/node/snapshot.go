package node

import (
	"sort"
	"strconv"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/queue"
	"carobshunt/internal/core/routes"
	"carobshunt/internal/delta"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
)

// Snapshot is an immutable copy of the state for everything outside the control loop, such as the servers of callers, peers
// and operators, the platform's client and the metrics. These never access the Node.
type Snapshot struct {
	// Taken is the time of the copy, on this host's clock.
	Taken    core.Time
	Ready    bool
	Draining bool
	// SignalNotBefore is a time at which the process ran; a signal that it has not noticed yet was sent later. KillAt is when a process
	// that was told to stop will be killed, at the earliest; 0 if that is not known.
	SignalNotBefore, KillAt core.Time
	// Hosts lists the entry hosts that take requests, this one first if it is among them.
	Hosts []api.Host
	// Capacities holds what this host and its peers state that they can carry, by the addresses on which they serve callers, where
	// lookups name hosts by it; nil if none states anything.
	Capacities map[string]core.Capacity
	Document   *document.Document
	// RawDocument is the text of the document in force. Documents and HostLists are served to peers. HostList is the
	// latest of the HostLists.
	RawDocument []byte
	Documents   *delta.History
	HostList    *hostlist.List
	HostLists   *delta.History
	// ReadsPlatform reports whether this host is to watch the platform.
	ReadsPlatform bool
	// ReadRetryPause is the mean pause after a failed read of the platform.
	ReadRetryPause time.Duration
	// Heartbeat is this host's, without its loads, work, demands and grants.
	Heartbeat member.Heartbeat
	// TargetAddresses are the engines whose load is to be read.
	TargetAddresses []string
	Status          api.Status
	// Sweeps, Groups and Orders count events since the start of the process, except Groups.Open.
	Sweeps SweepCounts
	Groups GroupCounts
	Orders OrderCounts
	// Adoptions counts attempts to continue streams of failed hosts.
	Adoptions AdoptionCounts

	directory *directory
	table     *routes.Table
}

// Snapshot returns a copy of the state.
func (n *Node) Snapshot() *Snapshot {
	return &Snapshot{
		Taken:           n.now,
		Ready:           n.notReady() == "",
		Draining:        n.drain.active,
		SignalNotBefore: n.ticks.oldest(),
		KillAt:          n.drain.killAt,
		Hosts:           n.usableHosts(),
		Capacities:      n.capacities(),
		Document:        n.config.Document(),
		RawDocument:     n.config.Raw(),
		Documents:       n.config.History(),
		HostList:        n.hosts,
		HostLists:       n.hostsHistory,
		ReadsPlatform:   n.readsPlatform(),
		ReadRetryPause:  n.readRetryPause(),
		Heartbeat:       n.ownHeartbeat(),
		TargetAddresses: n.targetAddresses(),
		Status:          n.status(),
		Sweeps:          n.sweeps.counts,
		Groups:          n.groupCounts(),
		Orders:          n.orders.counts,
		Adoptions:       n.adoptions,
		directory:       n.directory,
		table:           n.table,
	}
}

func (n *Node) usableHosts() []api.Host {
	var hosts []api.Host
	if !n.drain.active && n.notReady() == "" {
		hosts = append(hosts, n.selfHost())
	}
	for _, address := range n.peers.Addresses() {
		p := n.peers.Get(address)
		if n.takesRequests(p) {
			hosts = append(hosts, api.Host{
				Address:     p.Last.Address,
				Zone:        p.Last.Zone,
				Incarnation: p.Last.Incarnation,
				ClockMs:     p.Clock(n.now).Milliseconds(),
			})
		}
	}
	return hosts
}

// capacities returns the stated capacities of this host and its peers, by the addresses on which they serve callers; nil
// without any.
func (n *Node) capacities() map[string]core.Capacity {
	if !n.opts.LookupsByCapacity {
		return nil
	}
	var out map[string]core.Capacity
	add := func(address string, c core.Capacity) {
		if c == (core.Capacity{}) {
			return
		}
		if out == nil {
			out = make(map[string]core.Capacity)
		}
		out[address] = c
	}
	for _, address := range n.peers.Addresses() {
		last := &n.peers.Get(address).Last
		add(last.Address, last.Capacity)
	}
	add(n.opts.Self.Address, n.opts.Capacity)
	return out
}

func (n *Node) selfHost() api.Host {
	return api.Host{
		Address:     n.opts.Self.Address,
		Zone:        n.opts.Zone,
		Incarnation: n.opts.Self.Incarnation,
		ClockMs:     n.now.Milliseconds(),
	}
}

func (n *Node) status() api.Status {
	return api.Status{
		Address:        n.opts.Self.Address,
		Zone:           n.opts.Zone,
		Incarnation:    n.opts.Self.Incarnation,
		ClockMs:        n.now.Milliseconds(),
		Ready:          n.notReady() == "",
		NotReadyReason: n.notReady(),
		Draining:       n.drain.active,
		Warnings:       n.warnings(),
		Config:         n.configStatus(),
		Peers:          n.peerStatus(),
		Targets:        n.cachedTargets(),
		Requests:       n.requestsStatus(),
		Evacuated:      n.evacuations.Zones(),
		Withheld:       n.withheldStatus(),
		Spillover:      n.spilloverStatus(),
		Crossings:      n.spill.crossed,
	}
}

func (n *Node) configStatus() api.ConfigStatus {
	rejected, why := n.config.Rejected()
	status := api.ConfigStatus{
		Revision:         n.config.Revision(),
		InForceMs:        (n.now - n.config.Since()).Milliseconds(),
		ReceivedFrom:     n.config.Source(),
		PlatformSilentMs: n.ageMs(n.observed.platform.latest),
		Digest:           strconv.FormatUint(n.config.Version().Digest, 16),
		KnownRevision:    max(n.floor(), n.config.Revision()),
		CallersRevision:  n.observed.callersRevision,
		HostsVersion:     n.targets.Version(),
		HostsInForceMs:   n.hostsInForceMs(),
		ReadsPlatform:    n.readsPlatform(),
		Rejected:         rejected,
		LastRejection:    why,
	}
	status.Conflicts, _ = n.config.Conflicts()
	if doc := n.config.Document(); doc != nil {
		status.Preset = doc.Active
	}
	return status
}

func (n *Node) hostsInForceMs() int64 {
	if n.hosts == nil {
		return -1
	}
	return (n.now - n.hostsSince).Milliseconds()
}

// ageMs returns the time since an event, in milliseconds; -1 for never.
func (n *Node) ageMs(at core.Time) int64 {
	if at == never {
		return -1
	}
	return (n.now - at).Milliseconds()
}

func (n *Node) peerStatus() []api.PeerStatus {
	out := []api.PeerStatus{}
	for _, address := range n.peers.Addresses() {
		p := n.peers.Get(address)
		lastSeen := never
		if p.Known {
			lastSeen = p.LastSeen
		}
		out = append(out, api.PeerStatus{
			Address:     address,
			Zone:        p.Last.Zone,
			Incarnation: p.Last.Incarnation,
			Alive:       p.Alive(n.now),
			Draining:    p.Last.Draining,
			Revision:    p.Last.Revision,
			SilentMs:    n.ageMs(lastSeen),
		})
	}
	return out
}

func (n *Node) targetStatus() []api.TargetStatus {
	out := []api.TargetStatus{}
	for _, t := range n.targets.All() {
		out = append(out, api.TargetStatus{
			Address:       t.Address,
			Zone:          t.Zone,
			Kind:          string(t.Role),
			State:         string(t.State),
			Eligible:      t.Eligible(n.now),
			InFlight:      t.InFlight(),
			PendingTokens: t.PendingTokens(),
			Limit:         t.Limit(),
			Cold:          t.Cold(),
			Evacuated:     t.Evacuated(),
			SaysLeaving:   t.KnownToLeave(),
			HeldOffMs:     t.HeldFor(n.now).Milliseconds(),
		})
	}
	return out
}

func (n *Node) requestsStatus() api.RequestsStatus {
	status := api.RequestsStatus{
		Queued:    n.queue.Len(),
		Running:   len(n.active) - n.queue.Len(),
		Records:   n.ledger.Len(),
		BodyBytes: n.bodyBytes,
		Outcomes:  []api.OutcomeCount{},
		Withheld:  n.withheldRequests,
	}
	if q, ok := n.queue.(*queue.Objectives); ok {
		status.RankIgnored = q.RankIgnored()
	}
	for outcome, count := range n.outcomes {
		status.Outcomes = append(status.Outcomes, api.OutcomeCount{Outcome: outcome, Count: count})
	}
	sort.Slice(status.Outcomes, func(i, j int) bool { return status.Outcomes[i].Outcome < status.Outcomes[j].Outcome })
	return status
}
