// Package member tracks the other entry hosts: which of them this host exchanges state with, who was heard when,
// and in which incarnation.
package member

import (
	"slices"
	"sort"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/cell"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/limit"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"
)

// Heartbeat is what a host tells its peers about itself.
type Heartbeat struct {
	// Address is the sender's callers' address, Peer its peer address; both IP address and port.
	Address     string `json:"address,omitempty"`
	Peer        string `json:"peer"`
	Zone        string `json:"zone,omitempty"`
	Incarnation string `json:"incarnation"`
	// ClockMs is the sender's clock, in milliseconds since its start.
	ClockMs int64 `json:"clock_ms"`
	// Revision and Digest are the configuration in force at the sender, HostsVersion and HostsDigest its host list.
	Revision     uint64 `json:"revision,omitempty"`
	Digest       uint64 `json:"digest,omitempty"`
	HostsVersion uint64 `json:"hosts_version,omitempty"`
	HostsDigest  uint64 `json:"hosts_digest,omitempty"`
	Draining     bool   `json:"draining,omitempty"`
	// Demands and Grants share out the teams' limits between hosts.
	Demands []limit.Demand `json:"demands,omitempty"`
	Grants  []limit.Grant  `json:"grants,omitempty"`
	// Ready tells whether the sender takes requests.
	Ready bool `json:"ready,omitempty"`
	// IntervalMs is the time after which the next heartbeat is due, in milliseconds.
	IntervalMs int64 `json:"interval_ms,omitempty"`
	// PlatformAgesMs are the times since the platform answered the first hosts of the sender's availability zone, by
	// their rank as readers, as far as the sender knows, in milliseconds; -1 for never.
	PlatformAgesMs []int64 `json:"platform_ages_ms,omitempty"`
	// AnsweredMs is the sender's clock when the platform last answered it, where no host list names entry hosts; 0 for
	// never.
	AnsweredMs int64 `json:"answered_ms,omitempty"`
	// Loads is what the sender has placed at the targets of its host list, as target.Table.Digest makes it, and Work
	// what waits. They concern the hosts of the sender's cell only, and every heartbeat to them carries them.
	Loads []byte `json:"loads,omitempty"`
	Work  Work   `json:"work,omitzero"`
	// LoadsAddress is where the sender takes load digests by datagram; empty for nowhere.
	LoadsAddress string `json:"loads_address,omitempty"`
	// Introduces are the peer addresses of the hosts that the sender hears, where no host list names entry hosts.
	Introduces []string `json:"introduces,omitempty"`
	// State rises whenever any of the sender's state above changes, but for the clock, the configuration, the
	// platform's ages and the loads, which every heartbeat carries.
	State uint64 `json:"state,omitempty"`
	// Repeats marks a brief heartbeat: the state is that of the last full one with the same State, and left out.
	Repeats bool `json:"repeats,omitempty"`
	// Ask marks an answer to a brief heartbeat that the sender of this one can't fill in: it asks for a full one.
	Ask bool `json:"ask,omitempty"`
}

// Config is the version of the configuration in force at the sender.
func (h *Heartbeat) Config() conf.Version {
	return conf.Version{Revision: h.Revision, Digest: h.Digest}
}

// Hosts is the version of the host list in force at the sender.
func (h *Heartbeat) Hosts() conf.Version {
	return conf.Version{Revision: h.HostsVersion, Digest: h.HostsDigest}
}

// Content is the heartbeat without what changes from one to the next while the sender's state does not.
func (h Heartbeat) Content() Heartbeat {
	h.ClockMs, h.AnsweredMs, h.PlatformAgesMs, h.State, h.Ask = 0, 0, nil, 0, false
	h.Revision, h.Digest = 0, 0
	h.Demands, h.Grants = nil, nil
	h.Loads, h.Work = nil, Work{}
	return h
}

// Brief returns the heartbeat that repeats this one's state.
func (h Heartbeat) Brief() Heartbeat {
	return Heartbeat{
		Peer: h.Peer, Incarnation: h.Incarnation, ClockMs: h.ClockMs, AnsweredMs: h.AnsweredMs, PlatformAgesMs: h.PlatformAgesMs,
		Revision: h.Revision, Digest: h.Digest, Loads: h.Loads, Work: h.Work, State: h.State, Repeats: true,
	}
}

// Work is what a host knows of the work of its own requests, by lane of engines.
type Work struct {
	// Offered is the averaged offered prefill work, in tokens of weight 1 a second.
	Offered [target.Lanes]int64 `json:"offered"`
	// Queued is the prefill work that waits for a target, in tokens.
	Queued [target.Lanes]int64 `json:"queued"`
	// Groups is the number of requests that wait for several engines.
	Groups int `json:"groups,omitempty"`
	// GroupWaitMs is how long the next of them has waited, in milliseconds; 0 while it reserves its engines.
	GroupWaitMs int64 `json:"group_wait_ms,omitempty"`
}

// Timings of the peer protocol.
const (
	// Interval is the time between heartbeats to one peer, at up to fewPeers peers.
	Interval = 450 * time.Millisecond
	// Silence is the least time without a heartbeat after which a peer counts as gone.
	Silence = 1500 * time.Millisecond
	// fewPeers is the number of peers that are sent a heartbeat each Interval. With more, the interval grows in
	// proportion, so that the bytes sent do not.
	fewPeers = 3
	// manyPeers is the number of peers from which the interval grows no more, so that silence is noticed.
	manyPeers = 11
	// fullInterval is the time between full heartbeats to one peer.
	fullInterval = 30 * time.Second
	// silentIntervals is the number of its intervals after which a peer counts as gone.
	silentIntervals = 3
	// settledDelay is how much longer than the fastest heartbeat of its sender a heartbeat may take and still count
	// as heard when it arrives. One that took longer waited for a process that slept.
	settledDelay = 500 * time.Millisecond
	// driftDivisor allows two hosts' clocks to drift apart by one part in that many.
	driftDivisor = 1000
)

// IntervalFor is the time between heartbeats to one of that many peers.
func IntervalFor(peers int) time.Duration {
	return Interval * time.Duration(min(max(peers, fewPeers), manyPeers)) / fewPeers
}

// Peer is another entry host.
type Peer struct {
	Last Heartbeat
	// Heard is when Last was fresh, on this host's clock; meaningful if Known.
	Heard core.Time
	Known bool
	// Leaving is the host list's word.
	Leaving bool
	// neighbour marks a host that this one exchanges heartbeats with by the overlay.
	neighbour bool
	// sentState is the State of the last full heartbeat to the peer, sent at sentFull.
	sentState uint64
	sentFull  core.Time
	// sent is when any heartbeat was last sent to the peer.
	sent core.Time
	// offset is the least difference seen between this host's clock at arrival and the peer's in the heartbeat.
	offset core.Time
	// seed marks a peer from the settings; introduced is when another host last named the peer.
	seed       bool
	introduced core.Time
}

// Alive tells whether the peer was heard lately.
func (p *Peer) Alive(now core.Time) bool { return p.Known && now-p.Heard < p.silence() }

func (p *Peer) silence() time.Duration {
	return max(Silence, silentIntervals*time.Duration(p.Last.IntervalMs)*time.Millisecond)
}

// Clock estimates the peer's clock; it is late by the time that the heartbeat travelled, never early.
func (p *Peer) Clock(now core.Time) core.Time {
	return core.Time(p.Last.ClockMs)*time.Millisecond + now - p.Heard
}

// Table holds the peers by peer address.
type Table struct {
	self  string
	zone  string
	peers map[string]*Peer
	// contacts are the peers that this host sends heartbeats to, sorted.
	contacts []string
	// zoneRanks are the listed live entry hosts of the own availability zone, in order of preference as readers.
	zoneRanks []string
	// anyLive tells whether the host list names a live entry host.
	anyLive bool
	listed  bool
}

// NewTable returns a table for the host with that peer address and availability zone, seeded with peer addresses
// from the settings.
func NewTable(self, zone string, seeds []string) *Table {
	t := &Table{self: self, zone: zone, peers: make(map[string]*Peer)}
	t.Seed(0, seeds)
	return t
}

// Seed takes peer addresses from the settings, in place of those from before.
func (t *Table) Seed(now core.Time, seeds []string) {
	for _, p := range t.peers {
		p.seed = false
	}
	for _, address := range seeds {
		if p := t.ensure(address); p != nil {
			p.seed = true
		}
	}
	t.recontact(now)
}

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

// Apply takes a host list: the overlay's neighbours are added, other hosts that are silent are dropped.
func (t *Table) Apply(now core.Time, list *hostlist.List, cells *cell.Map) {
	if len(entryHosts(list, "")) == 0 {
		return // the list names no entry hosts at all: seeds and introductions go on to stand for it
	}
	t.listed = true
	t.zoneRanks = rankZone(list, t.zone)
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
	t.recontact(now)
}

// fill takes what the host list says of a peer that was not heard.
func (p *Peer) fill(host hostlist.Host) {
	if !p.Known {
		p.Last.Address = host.Address
		p.Last.Zone = host.Zone
	}
}

// maxStrangers is how many hosts that the overlay does not give are answered while they send heartbeats: hosts that
// the host list does not name yet, or whose host list differs.
const maxStrangers = 8

// recontact drops silent strangers and settles who is sent heartbeats.
func (t *Table) recontact(now core.Time) {
	t.contacts = t.contacts[:0:0]
	var strangers []string
	for address, p := range t.peers {
		switch {
		case p.neighbour, !t.listed:
			t.contacts = append(t.contacts, address)
		case p.Alive(now):
			strangers = append(strangers, address)
		default:
			delete(t.peers, address)
		}
	}
	sort.Strings(strangers)
	t.contacts = append(t.contacts, strangers[:min(len(strangers), maxStrangers)]...)
	sort.Strings(t.contacts)
}

// Expire forgets strangers that fell silent.
func (t *Table) Expire(now core.Time) {
	for _, p := range t.peers {
		if t.listed && !p.neighbour && !p.Alive(now) {
			t.recontact(now)
			return
		}
	}
	t.expireIntroduced(now)
}

// Next returns the heartbeat that the peer is to be sent: the full one, or a brief one when the peer should know the
// rest.
func (p *Peer) Next(now core.Time, full Heartbeat) Heartbeat {
	p.sent = now
	shares := len(full.Demands) > 0 || len(full.Grants) > 0
	if shares || p.sentState != full.State || now-p.sentFull >= fullInterval {
		p.sentState, p.sentFull = full.State, now
		return full
	}
	brief := full.Brief()
	if p.Last.Zone != full.Zone {
		brief.PlatformAgesMs = nil
	}
	return brief
}

// Due tells whether the peer is to be sent a heartbeat, once an interval has passed: not when it was sent one since
// half an interval ago to tell it news.
func (p *Peer) Due(now core.Time, interval time.Duration) bool {
	return p.sent == 0 || now-p.sent >= interval/2
}

// Complete fills in a brief heartbeat from the last full one; it reports false when that was never heard.
func (t *Table) Complete(hb Heartbeat) (Heartbeat, bool) {
	if !hb.Repeats {
		return hb, true
	}
	p := t.peers[hb.Peer]
	if p == nil || !p.Known || p.Last.Incarnation != hb.Incarnation || p.Last.State != hb.State {
		return hb, false
	}
	whole := p.Last.Content()
	whole.ClockMs, whole.AnsweredMs, whole.PlatformAgesMs, whole.State = hb.ClockMs, hb.AnsweredMs, hb.PlatformAgesMs, hb.State
	whole.Revision, whole.Digest = hb.Revision, hb.Digest
	whole.Loads, whole.Work = hb.Loads, hb.Work
	return whole, true
}

// Hearing is what a heartbeat told about its sender.
type Hearing struct {
	// Fresh is false for a heartbeat that waited while a process slept.
	Fresh bool
	// Started is true for the first heartbeat of an incarnation.
	Started bool
}

// Hear takes a heartbeat. Its age is reckoned from the fastest one of the same incarnation, so that heartbeats that
// waited in a buffer while this process slept do not make their sender look alive.
func (t *Table) Hear(now core.Time, hb Heartbeat) Hearing {
	p := t.peers[hb.Peer]
	if p == nil {
		if p = t.ensure(hb.Peer); p == nil {
			return Hearing{}
		}
		defer t.recontact(now)
	}
	started := !p.Known || p.Last.Incarnation != hb.Incarnation
	offset := now - core.Time(hb.ClockMs)*time.Millisecond
	p.offset += (now - p.Heard) / driftDivisor
	if started || offset < p.offset {
		p.offset = offset
	}
	if !started && hb.ClockMs < p.Last.ClockMs {
		return Hearing{}
	}
	delay := offset - p.offset
	p.Last = hb
	p.Known = true
	p.Heard = now
	if delay > settledDelay {
		p.Heard = now - delay
	}
	return Hearing{Fresh: delay <= settledDelay, Started: started}
}

// Addresses returns the peer addresses of all known hosts that this one exchanges state with, sorted. It must not
// be changed.
func (t *Table) Addresses() []string { return t.contacts }

// Get returns a peer by peer address, or nil.
func (t *Table) Get(address string) *Peer { return t.peers[address] }

// ByCallersAddress returns the peer whose callers' address this is, or nil. Of several, as when a host was replaced by
// one with another peer address, it is the one that was heard last.
func (t *Table) ByCallersAddress(address string) *Peer {
	var found *Peer
	for _, p := range t.peers {
		if p.Last.Address == address && (found == nil || p.heardAfter(found)) {
			found = p
		}
	}
	return found
}

func (p *Peer) heardAfter(other *Peer) bool {
	switch {
	case p.Known != other.Known:
		return p.Known
	case p.Heard != other.Heard:
		return p.Heard > other.Heard
	}
	return p.Last.Peer < other.Last.Peer
}

// AllHeard tells whether every contact was heard, and whether one of them is ready.
func (t *Table) AllHeard(now core.Time) (all, ready bool) {
	all = true
	for _, address := range t.contacts {
		p := t.peers[address]
		all = all && p.Alive(now)
		ready = ready || (p.Alive(now) && p.Last.Ready)
	}
	return all, ready
}

// Rank is this host's place among the listed live hosts of its availability zone in the order in which they are to
// read the platform, from 0; -1 when it is not listed.
func (t *Table) Rank() int { return slices.Index(t.zoneRanks, t.self) }

// Listed tells whether the host list names entry hosts.
func (t *Table) Listed() bool { return t.listed }

// AnyLive tells whether the host list names a live entry host. While it names none, as when all are being replaced and
// the list lags, nobody has a rank.
func (t *Table) AnyLive() bool { return t.anyLive }
