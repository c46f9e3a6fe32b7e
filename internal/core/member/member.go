// Package member tracks the other entry hosts: who is listed, who was heard when, and in which incarnation.
package member

import (
	"sort"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/limit"
	"carobshunt/internal/hostlist"
)

// Heartbeat is what a host tells its peers about itself.
type Heartbeat struct {
	// Address is the sender's callers' address, Peer its peer address; both IP address and port.
	Address     string `json:"address"`
	Peer        string `json:"peer"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	// ClockMs is the sender's clock, in milliseconds since its start.
	ClockMs int64 `json:"clock_ms"`
	// Revision is the configuration revision in force at the sender, HostsVersion its host list's version.
	Revision     uint64 `json:"revision"`
	HostsVersion uint64 `json:"hosts_version"`
	Draining     bool   `json:"draining,omitempty"`
	// Demands and Grants share out the teams' limits between hosts.
	Demands []limit.Demand `json:"demands,omitempty"`
	Grants  []limit.Grant  `json:"grants,omitempty"`
}

// Timings of the peer protocol.
const (
	// Interval is the time between heartbeats to one peer.
	Interval = 250 * time.Millisecond
	// Silence is the time without a heartbeat after which a peer counts as gone.
	Silence = 1500 * time.Millisecond
)

// Peer is another entry host.
type Peer struct {
	Last Heartbeat
	// Heard is when Last arrived; meaningful if Known.
	Heard core.Time
	Known bool
	// Leaving is the host list's word.
	Leaving bool
}

// Alive tells whether the peer was heard lately.
func (p *Peer) Alive(now core.Time) bool { return p.Known && now-p.Heard < Silence }

// Clock estimates the peer's clock; it is late by the time that the heartbeat travelled, never early.
func (p *Peer) Clock(now core.Time) core.Time {
	return core.Time(p.Last.ClockMs)*time.Millisecond + now - p.Heard
}

// Table holds the peers by peer address.
type Table struct {
	self  string
	peers map[string]*Peer
}

// NewTable returns a table for the host with that peer address, seeded with peer addresses from the settings.
func NewTable(self string, seeds []string) *Table {
	t := &Table{self: self, peers: make(map[string]*Peer)}
	for _, address := range seeds {
		t.ensure(address)
	}
	return t
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

// Apply takes a host list: listed entry hosts are added, unlisted ones that are silent are dropped.
func (t *Table) Apply(now core.Time, list *hostlist.List) {
	listed := make(map[string]bool)
	for _, host := range list.Hosts {
		if host.Role != hostlist.RoleEntry || host.Peer == t.self {
			continue
		}
		listed[host.Peer] = true
		p := t.ensure(host.Peer)
		p.Leaving = host.State == hostlist.StateLeaving
		if !p.Known {
			p.Last.Address = host.Address
			p.Last.Zone = host.Zone
		}
	}
	for address, p := range t.peers {
		if !listed[address] && !p.Alive(now) {
			delete(t.peers, address)
		}
	}
}

// Hear takes a heartbeat.
func (t *Table) Hear(now core.Time, hb Heartbeat) {
	p := t.ensure(hb.Peer)
	if p == nil {
		return
	}
	p.Last = hb
	p.Heard = now
	p.Known = true
}

// Addresses returns the peer addresses, sorted.
func (t *Table) Addresses() []string {
	out := make([]string, 0, len(t.peers))
	for address := range t.peers {
		out = append(out, address)
	}
	sort.Strings(out)
	return out
}

// Get returns a peer by peer address, or nil.
func (t *Table) Get(address string) *Peer { return t.peers[address] }

// ByCallersAddress returns the peer whose callers' address this is, or nil.
func (t *Table) ByCallersAddress(address string) *Peer {
	for _, p := range t.peers {
		if p.Last.Address == address {
			return p
		}
	}
	return nil
}
