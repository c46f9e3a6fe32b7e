// Package member tracks the other entry hosts: which of them this host exchanges state with, when each was last seen
// alive, and in which incarnation.
package member

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/cell"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/evacuation"
	"carobshunt/internal/core/limit"
	"carobshunt/internal/core/quarantine"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"
)

// Heartbeat is the state that a host sends to its peers.
type Heartbeat struct {
	// Address is the address on which the sender serves callers, Peer the one on which it serves peers; both are IP
	// address and port.
	Address     string `json:"address,omitempty"`
	Peer        string `json:"peer"`
	Zone        string `json:"zone,omitempty"`
	Incarnation string `json:"incarnation"`
	// ClockMs is the sender's clock, in milliseconds since its start.
	ClockMs int64 `json:"clock_ms"`
	// Revision and Digest are the version of the configuration in force at the sender, HostsVersion and HostsDigest that
	// of its host list.
	Revision     uint64 `json:"revision,omitempty"`
	Digest       uint64 `json:"digest,omitempty"`
	HostsVersion uint64 `json:"hosts_version,omitempty"`
	HostsDigest  uint64 `json:"hosts_digest,omitempty"`
	Draining     bool   `json:"draining,omitempty"`
	// Demands and Grants divide the teams' limits among hosts.
	Demands []limit.Demand `json:"demands,omitempty"`
	Grants  []limit.Grant  `json:"grants,omitempty"`
	// Ready reports whether the sender accepts requests.
	Ready bool `json:"ready,omitempty"`
	// IntervalMs is the time after which the next heartbeat is due, in milliseconds.
	IntervalMs int64 `json:"interval_ms,omitempty"`
	// PlatformAgesMs holds, for the first hosts of the sender's availability zone in the order of their rank as readers,
	// the time since the platform last answered them, as far as the sender knows, in milliseconds; -1 for never.
	PlatformAgesMs []int64 `json:"platform_ages_ms,omitempty"`
	// AnsweredMs is the sender's clock when the platform last answered it, in milliseconds; 0 for never. It is only used
	// where no host list names entry hosts.
	AnsweredMs int64 `json:"answered_ms,omitempty"`
	// Loads is the load that the sender has placed on the targets of its host list, in the form of target.Table.Digest.
	// Work is the work of the sender's own requests. Brief heartbeats carry both too. Hosts of other cells get them only in
	// an Ask, and in the answer to an Ask or to the first heartbeat of an incarnation.
	Loads []byte `json:"loads,omitempty"`
	Work  Work   `json:"work,omitzero"`
	// LoadsAddress is the address on which the sender receives load digests by datagram; empty if it receives none.
	LoadsAddress string `json:"loads_address,omitempty"`
	// CompactLoads is set if the sender reads datagrams in the compact form, see package peer.
	CompactLoads bool `json:"compact_loads,omitempty"`
	// Capacity is what the sender can carry, as its settings name it.
	Capacity core.Capacity `json:"capacity,omitzero"`
	// Introduces are the peer addresses of the hosts that the sender sees alive, where no host list names entry hosts; in brief
	// heartbeats a few of them, in turn.
	Introduces []string `json:"introduces,omitempty"`
	// Evacuations are the evacuated availability zones. Brief heartbeats carry them too.
	Evacuations evacuation.Published `json:"evacuations,omitzero"`
	// Notices are what targets have said of themselves to any host, as far as it holds. Hosts of other cells don't get them.
	Notices []target.PublishedNotice `json:"notices,omitempty"`
	// Departed are the targets' processes that the host list had as leaving lately. Only heartbeats that answer a host which has just started,
	// or which asks, carry them.
	Departed []target.Process `json:"departed,omitempty"`
	// Prompts is what the sender tells of harmful requests and prompts, WorkRates how its own requests have fared lately. Brief
	// heartbeats carry the rates too. Hosts of other cells get what Published.OfOtherCells returns.
	Prompts   quarantine.Published `json:"prompts,omitzero"`
	WorkRates quarantine.HostRates `json:"work_rates,omitzero"`
	// State is incremented whenever any of the fields above changes, except Departed, Demands and Grants, which only full heartbeats
	// carry, and ClockMs, Revision, Digest, HostsVersion, HostsDigest, Introduces, Evacuations, PlatformAgesMs, AnsweredMs, Loads,
	// Work and WorkRates, which brief heartbeats carry too.
	State uint64 `json:"state,omitempty"`
	// Repeats marks a brief heartbeat, which omits the fields of the last full one with the same State.
	Repeats bool `json:"repeats,omitempty"`
	// Ask asks the receiver for a full heartbeat, since the sender can't complete its brief one.
	Ask bool `json:"ask,omitempty"`
}

// Config returns the version of the configuration in force at the sender.
func (h *Heartbeat) Config() conf.Version {
	return conf.Version{Revision: h.Revision, Digest: h.Digest}
}

// Hosts returns the version of the host list in force at the sender.
func (h *Heartbeat) Hosts() conf.Version {
	return conf.Version{Revision: h.HostsVersion, Digest: h.HostsDigest}
}

// Content returns the heartbeat without the fields that may differ between heartbeats of the same State.
func (h Heartbeat) Content() Heartbeat {
	h.ClockMs, h.AnsweredMs, h.PlatformAgesMs, h.State, h.Ask = 0, 0, nil, 0, false
	h.Revision, h.Digest, h.HostsVersion, h.HostsDigest = 0, 0, 0, 0
	h.Introduces, h.Departed = nil, nil
	h.Evacuations = evacuation.Published{}
	h.Demands, h.Grants = nil, nil
	h.Loads, h.Work, h.WorkRates = nil, Work{}, quarantine.HostRates{}
	return h
}

// Brief returns the brief form of the heartbeat, which refers to its State and omits its content, Demands and Grants.
func (h Heartbeat) Brief() Heartbeat {
	return Heartbeat{
		Peer: h.Peer, Incarnation: h.Incarnation, ClockMs: h.ClockMs, AnsweredMs: h.AnsweredMs, PlatformAgesMs: h.PlatformAgesMs,
		Revision: h.Revision, Digest: h.Digest, HostsVersion: h.HostsVersion, HostsDigest: h.HostsDigest,
		Evacuations: h.Evacuations, Loads: h.Loads, Work: h.Work, WorkRates: h.WorkRates,
		State: h.State, Repeats: true,
	}
}

// Work is the work of a host's own requests, by lane of engines.
type Work struct {
	// Offered is the moving average of the offered prefill work, in weighted tokens per second.
	Offered [target.Lanes]int64 `json:"offered"`
	// Queued is the prefill work that waits for a target, in weighted tokens.
	Queued [target.Lanes]int64 `json:"queued"`
	// Groups is the number of requests that wait for a group of engines.
	Groups int `json:"groups,omitempty"`
	// GroupWaitMs is how long the next of them has waited, in milliseconds; 0 while it reserves its engines.
	GroupWaitMs int64 `json:"group_wait_ms,omitempty"`
}

// Timings of the peer protocol.
const (
	// Interval is the time between heartbeats to one peer, with up to minIntervalPeers peers.
	Interval = 450 * time.Millisecond
	// PeerTimeout is the minimum time without a heartbeat after which a peer counts as unreachable.
	PeerTimeout = 1500 * time.Millisecond
	// minIntervalPeers is the number of peers up to which each is sent a heartbeat per Interval. With more, the interval
	// grows in proportion, so that the bytes sent do not.
	minIntervalPeers = 3
	// maxIntervalPeers is the number of peers above which the interval grows no more, so that unreachable peers are
	// detected in time.
	maxIntervalPeers = 11
	// fullInterval is the time between full heartbeats to one peer.
	fullInterval = 30 * time.Second
	// timeoutIntervals is the number of a peer's intervals without a heartbeat after which it counts as unreachable.
	timeoutIntervals = 3
	// maxFreshDelay is how much longer than the fastest heartbeat of its sender a heartbeat may take and still show that
	// its sender is alive on arrival. One that took longer was buffered while a process was suspended.
	maxFreshDelay = 500 * time.Millisecond
	// driftDivisor is the inverse of the tolerated drift between the clocks of two hosts: one part in 1000.
	driftDivisor = 1000
)

// Rounds returns in how many parts the heartbeats of an interval are sent to that many peers. To many peers they are spread over
// the interval, since a burst of them would hold up everything else on a narrow link.
func Rounds(peers int) int { return min(1+peers/peersPerRound, maxRounds) }

const (
	// peersPerRound heartbeats of a few hundred bytes hold up a link of 14 Mbit/s for some milliseconds.
	peersPerRound = 12
	// maxRounds keeps the time between two parts above the interval of ticks.
	maxRounds = 16
)

// IntervalFor returns the time between heartbeats to each of that many peers.
func IntervalFor(peers int) time.Duration {
	return Interval * time.Duration(min(max(peers, minIntervalPeers), maxIntervalPeers)) / minIntervalPeers
}

// Peer is another entry host.
type Peer struct {
	// Last is the last heartbeat received, completed if it was brief. Before the first one it holds the peer address and
	// what the host list states.
	Last Heartbeat
	// LastSeen is when the peer was last seen alive, on this host's clock: the arrival of Last, minus its excess delay if
	// it was not fresh. It is valid if Known is set.
	LastSeen core.Time
	// Known is set once a heartbeat was received.
	Known bool
	// Leaving is set when the host list has the peer in the state leaving.
	Leaving bool
	// neighbour is set for a neighbour in the overlay.
	neighbour bool
	// sentState is the State of the last full heartbeat to the peer, sent at sentFull.
	sentState uint64
	sentFull  core.Time
	// introducedTo counts the hosts that were introduced to the peer in brief heartbeats.
	introducedTo int
	// sent is when the last heartbeat of either form was sent to the peer.
	sent core.Time
	// offset is the smallest difference seen between this host's clock on arrival and the peer's clock in the heartbeat,
	// raised over time by the tolerated drift, up to the instant driftedTo.
	offset    core.Time
	driftedTo core.Time
	// seed is set for a peer from the settings; introduced is when another host last introduced the peer.
	seed       bool
	introduced core.Time
}

// Alive reports whether the peer was last seen within its timeout.
func (p *Peer) Alive(now core.Time) bool { return p.Known && now-p.LastSeen < p.timeout() }

// timeout returns the time without a heartbeat after which the peer counts as unreachable.
func (p *Peer) timeout() time.Duration {
	return max(PeerTimeout, timeoutIntervals*time.Duration(p.Last.IntervalMs)*time.Millisecond)
}

// Clock estimates the peer's clock. The estimate is behind by the network delay of the last heartbeat, never ahead.
func (p *Peer) Clock(now core.Time) core.Time {
	return core.Time(p.Last.ClockMs)*time.Millisecond + now - p.LastSeen
}

// Table holds the peers by peer address.
type Table struct {
	self  string
	zone  string
	peers map[string]*Peer
	// contacts are the peer addresses that this host sends heartbeats to, sorted.
	contacts []string
	// zoneReaders are the peer addresses of the listed live entry hosts of the own availability zone, in order of
	// preference as readers of the platform.
	zoneReaders []string
	// anyLive is set when the host list names a live entry host, listed when it names any entry host.
	anyLive bool
	listed  bool
}

// NewTable returns a table for the host with the peer address self in an availability zone. The seeds are peer addresses
// from the settings.
func NewTable(self, zone string, seeds []string) *Table {
	t := &Table{self: self, zone: zone, peers: make(map[string]*Peer)}
	t.Seed(0, seeds)
	return t
}

// Seed replaces the seeds, the peer addresses from the settings.
func (t *Table) Seed(now core.Time, seeds []string) {
	for _, p := range t.peers {
		p.seed = false
	}
	for _, address := range seeds {
		if p := t.ensure(address); p != nil {
			p.seed = true
		}
	}
	t.updateContacts(now)
}

// ensure returns the peer with the address and adds it if it is unknown. It returns nil for this host's own address.
func (t *Table) ensure(address string) *Peer {
	if address == t.self {
		return nil
	}
	p := t.peers[address]
	if p == nil {
		p = &Peer{Last: Heartbeat{Peer: address}}
		t.peers[address] = p
	}
	return p
}

// Apply takes a new host list: it adds the neighbours in the overlay and removes all other peers that are not alive. A
// list without entry hosts has no effect.
func (t *Table) Apply(now core.Time, list *hostlist.List, cells *cell.Map) {
	if len(entryHosts(list, "")) == 0 {
		return // the list names no entry hosts: seeds and introductions stay in use
	}
	t.listed = true
	t.zoneReaders = rankReaders(list, t.zone)
	t.anyLive = slices.ContainsFunc(list.Hosts, func(h hostlist.Host) bool {
		return h.Role == hostlist.RoleEntry && h.State == hostlist.StateLive
	})
	neighbours := Neighbours(list, cells, t.self, t.zone)
	for _, p := range t.peers {
		p.neighbour = false
		p.Leaving = false
	}
	for _, host := range neighbours {
		t.ensure(host.Peer).neighbour = true
	}
	for _, host := range list.Hosts {
		if p := t.peers[host.Peer]; p != nil && host.Role == hostlist.RoleEntry {
			p.Leaving = host.State == hostlist.StateLeaving
			p.fill(host)
		}
	}
	t.updateContacts(now)
}

// fill sets the address and zone of a peer without heartbeat from the host list.
func (p *Peer) fill(host hostlist.Host) {
	if !p.Known {
		p.Last.Address = host.Address
		p.Last.Zone = host.Zone
	}
}

// maxNonNeighbours is the maximum number of contacts that are not neighbours in the overlay but send heartbeats: hosts
// that the host list does not name yet, or hosts that have a different host list.
const maxNonNeighbours = 8

// updateContacts sets the contacts. If the host list names entry hosts, it removes the peers that are neither neighbours nor
// alive, and the contacts are the neighbours and up to maxNonNeighbours others. Otherwise all peers are contacts.
func (t *Table) updateContacts(now core.Time) {
	t.contacts = t.contacts[:0:0]
	var nonNeighbours []string
	for address, p := range t.peers {
		switch {
		case p.neighbour, !t.listed:
			t.contacts = append(t.contacts, address)
		case p.Alive(now):
			nonNeighbours = append(nonNeighbours, address)
		default:
			delete(t.peers, address)
		}
	}
	sort.Strings(nonNeighbours)
	t.contacts = append(t.contacts, nonNeighbours[:min(len(nonNeighbours), maxNonNeighbours)]...)
	sort.Strings(t.contacts)
}

// Expire removes the peers that are not alive, except neighbours in the overlay. Where the host list names no entry
// hosts, see expireIntroduced.
func (t *Table) Expire(now core.Time) {
	for _, p := range t.peers {
		if t.listed && !p.neighbour && !p.Alive(now) {
			t.updateContacts(now)
			return
		}
	}
	t.expireIntroduced(now)
}

// Next returns the heartbeat to send to the peer now: the full one, or a brief one when the peer should already have the
// rest. To a peer of another availability zone, a brief one has no PlatformAgesMs. Next records the heartbeat as sent.
func (p *Peer) Next(now core.Time, full Heartbeat) Heartbeat {
	p.sent = now
	carriesLimits := len(full.Demands) > 0 || len(full.Grants) > 0
	if carriesLimits || p.sentState != full.State || now-p.sentFull >= fullInterval {
		p.sentState, p.sentFull = full.State, now
		return full
	}
	brief := full.Brief()
	brief.Introduces = p.nextIntroductions(full.Introduces)
	if p.Last.Zone != full.Zone {
		brief.PlatformAgesMs = nil
	}
	return brief
}

// briefIntroductions is the number of hosts that a brief heartbeat introduces. A host that starts learns all from the full answer
// to its first heartbeat; this serves those that were cut off.
const briefIntroductions = 3

// nextIntroductions returns the next hosts to introduce to the peer in a brief heartbeat.
func (p *Peer) nextIntroductions(all []string) []string {
	if len(all) <= briefIntroductions {
		return all
	}
	var out []string
	for range briefIntroductions {
		out = append(out, all[p.introducedTo%len(all)])
		p.introducedTo++
	}
	return out
}

// LongestDue returns the contacts to which a periodic heartbeat is due, at most limit: those that have waited longest.
func (t *Table) LongestDue(now core.Time, interval time.Duration, limit int) []*Peer {
	var due []*Peer
	for _, address := range t.contacts {
		if p := t.peers[address]; p.Due(now, interval) {
			due = append(due, p)
		}
	}
	slices.SortStableFunc(due, func(a, b *Peer) int { return cmp.Compare(a.sent, b.sent) })
	return due[:min(len(due), limit)]
}

// Due reports whether a periodic heartbeat is due to the peer. It is skipped when one was sent within the last half
// interval, as after a change of state.
func (p *Peer) Due(now core.Time, interval time.Duration) bool {
	return p.sent == 0 || now-p.sent >= interval/2
}

// Complete fills in a brief heartbeat from the last full one with the same State. It reports false when this host has
// not received that one.
func (t *Table) Complete(hb Heartbeat) (Heartbeat, bool) {
	if !hb.Repeats {
		return hb, true
	}
	p := t.peers[hb.Peer]
	if p == nil || !p.Known || p.Last.Incarnation != hb.Incarnation || p.Last.State != hb.State {
		return hb, false
	}
	full := p.Last.Content()
	full.ClockMs, full.AnsweredMs, full.PlatformAgesMs, full.State = hb.ClockMs, hb.AnsweredMs, hb.PlatformAgesMs, hb.State
	full.Revision, full.Digest, full.HostsVersion, full.HostsDigest = hb.Revision, hb.Digest, hb.HostsVersion, hb.HostsDigest
	full.Introduces, full.Evacuations = hb.Introduces, hb.Evacuations
	full.Loads, full.Work, full.WorkRates = hb.Loads, hb.Work, hb.WorkRates
	return full, true
}

// HeartbeatResult is what the arrival of a heartbeat shows about its sender.
type HeartbeatResult struct {
	// Fresh is false for a heartbeat that was buffered while a process was suspended, or that is older than the last one.
	Fresh bool
	// Started is set for the first heartbeat of an incarnation.
	Started bool
}

// Receive handles a received heartbeat. It derives the heartbeat's delay from the fastest one of the same incarnation, so
// that heartbeats that were buffered while this process was suspended do not make their sender look alive.
func (t *Table) Receive(now core.Time, hb Heartbeat) HeartbeatResult {
	p := t.peers[hb.Peer]
	if p == nil {
		if p = t.ensure(hb.Peer); p == nil {
			return HeartbeatResult{}
		}
		defer t.updateContacts(now)
	}
	started := !p.Known || p.Last.Incarnation != hb.Incarnation
	offset := now - core.Time(hb.ClockMs)*time.Millisecond
	p.offset += (now - p.driftedTo) / driftDivisor
	p.driftedTo = now
	if started || offset < p.offset {
		p.offset = offset
	}
	if !started && hb.ClockMs < p.Last.ClockMs {
		return HeartbeatResult{}
	}
	delay := offset - p.offset
	p.Last = hb
	p.Known = true
	p.LastSeen = now
	if delay > maxFreshDelay {
		p.LastSeen = now - delay
	}
	return HeartbeatResult{Fresh: delay <= maxFreshDelay, Started: started}
}

// Addresses returns the peer addresses of the contacts, the hosts that this one exchanges state with, sorted. The slice
// must not be changed.
func (t *Table) Addresses() []string { return t.contacts }

// Get returns a peer by peer address, or nil.
func (t *Table) Get(address string) *Peer { return t.peers[address] }

// ByCallersAddress returns the peer that serves callers on the address, or nil. If there are several, as when a host was
// replaced by one with another peer address, it returns the one last seen most recently.
func (t *Table) ByCallersAddress(address string) *Peer {
	var found *Peer
	for _, p := range t.peers {
		if p.Last.Address == address && (found == nil || p.seenAfter(found)) {
			found = p
		}
	}
	return found
}

// seenAfter reports whether p was last seen after other; the tie-break is the lower peer address.
func (p *Peer) seenAfter(other *Peer) bool {
	switch {
	case p.Known != other.Known:
		return p.Known
	case p.LastSeen != other.LastSeen:
		return p.LastSeen > other.LastSeen
	}
	return p.Last.Peer < other.Last.Peer
}

// AllAlive reports whether all contacts are alive, and whether any of them is ready.
func (t *Table) AllAlive(now core.Time) (all, ready bool) {
	all = true
	for _, address := range t.contacts {
		p := t.peers[address]
		all = all && p.Alive(now)
		ready = ready || (p.Alive(now) && p.Last.Ready)
	}
	return all, ready
}

// Rank returns this host's place, from 0, among the listed live hosts of its availability zone in order of preference as
// readers of the platform; -1 when it is not one of them.
func (t *Table) Rank() int { return slices.Index(t.zoneReaders, t.self) }

// Listed reports whether the host list names entry hosts.
func (t *Table) Listed() bool { return t.listed }

// AnyLive reports whether the host list names a live entry host. While it names none, as when all hosts are being replaced
// and the list lags behind, no host has a rank.
func (t *Table) AnyLive() bool { return t.anyLive }
