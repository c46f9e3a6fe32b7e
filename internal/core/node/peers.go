package node

import (
	"fmt"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/member"
)

// heartbeat sends this host's state to its peers once an interval.
func (n *Node) heartbeat() {
	if n.now-n.lastHeartbeat < member.Interval {
		return
	}
	n.lastHeartbeat = n.now
	n.settleLimits()
	hb := n.ownHeartbeat()
	hb.Demands = n.limits.Demands(n.now)
	hb.Grants = n.limits.Lend(n.now, n.borrowers())
	for _, address := range n.peers.Addresses() {
		n.do(SendHeartbeat{Peer: address, Heartbeat: hb})
	}
}

func (n *Node) ownHeartbeat() member.Heartbeat {
	return member.Heartbeat{
		Address:      n.opts.Self.Address,
		Peer:         n.opts.Peer,
		Zone:         n.opts.Zone,
		Incarnation:  n.opts.Self.Incarnation,
		ClockMs:      n.now.Milliseconds(),
		Revision:     n.config.Revision(),
		HostsVersion: n.targets.Version(),
		Draining:     n.draining,
	}
}

// heartbeatHeard takes a peer's state and pulls from it what is newer there.
func (n *Node) heartbeatHeard(in HeartbeatHeard) {
	hb := in.Heartbeat
	n.peers.Hear(n.now, hb)
	n.limits.Borrow(n.now, hb.Peer, n.opts.Self.Incarnation, hb.Grants)
	if hb.Revision > n.config.Revision() {
		n.do(PullDocument{Peer: hb.Peer})
	}
	if hb.HostsVersion > n.targets.Version() {
		n.do(PullHosts{Peer: hb.Peer})
	}
}

func (n *Node) documentHeard(in DocumentHeard) {
	switch n.config.Offer(n.now, in.Raw, in.Source) {
	case conf.Applied:
		doc := n.config.Document()
		n.limitRates()
		n.do(Note{Event: EventRevision, Text: fmt.Sprintf("revision %d preset %s from %s", doc.Revision, doc.Active, in.Source)})
		n.lastHeartbeat = n.now - member.Interval
		n.heartbeat()
	case conf.Invalid:
		_, why := n.config.Rejected()
		n.do(Note{Event: EventRejected, Text: why})
	case conf.Old:
	}
}

func (n *Node) hostsHeard(in HostsHeard) {
	if !n.targets.Apply(in.List) {
		return
	}
	n.hosts = in.List
	n.peers.Apply(n.now, in.List)
	n.limitHosts()
	n.do(Note{Event: EventHosts, Text: fmt.Sprintf("version %d from %s", in.List.Version, in.Source)})
	n.pump()
}

func (n *Node) loadHeard(in LoadHeard) {
	if t := n.targets.Get(in.Target); t != nil {
		t.Report = in.Report
		t.Reported = n.now
	}
}

// notePeers reports peers that fell silent or came back.
func (n *Node) notePeers() {
	for _, address := range n.peers.Addresses() {
		alive := n.peers.Get(address).Alive(n.now)
		if alive == n.alive[address] {
			continue
		}
		n.alive[address] = alive
		event := EventPeerGone
		if alive {
			event = EventPeerAlive
		}
		n.do(Note{Event: event, Text: address})
	}
}

// alternatives are the callers' addresses of other hosts that take requests.
func (n *Node) alternatives() []string {
	var out []string
	for _, address := range n.peers.Addresses() {
		p := n.peers.Get(address)
		if p.Alive(n.now) && !p.Last.Draining && !p.Leaving {
			out = append(out, p.Last.Address)
		}
	}
	return out
}
