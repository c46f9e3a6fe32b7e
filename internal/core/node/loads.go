package node

import (
	"time"

	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/member"
)

// datagramPrecedence is how long a digest from a datagram takes precedence over those of heartbeats, which may have been
// delayed.
const datagramPrecedence = time.Second

// shareLoads sends the load digests that are due to the reachable peers of this host's cell, by datagram. Step calls it
// after each input.
func (n *Node) shareLoads() {
	if n.opts.LoadsAddress == "" {
		return
	}
	own := func() ([]byte, loadshare.Freshness) { return n.targets.Digest(), n.freshness() }
	for _, m := range n.loads.Send(n.now, n.targets.LoadChanges(), n.loadsMembers, own) {
		n.do(SendLoads(m))
	}
}

// loadsMembers returns the reachable peers of this host's cell that exchange digests by datagram.
func (n *Node) loadsMembers() []loadshare.Member {
	var out []loadshare.Member
	for _, address := range n.peers.Addresses() {
		p := n.peers.Get(address)
		if !p.Alive(n.now) || p.Last.LoadsAddress == "" || !n.sameCell(address) {
			continue
		}
		out = append(out, loadshare.Member{
			Peer: address, Zone: p.Last.Zone, LoadsAddress: p.Last.LoadsAddress, Leaving: p.Last.Draining,
			LinkMbps: p.Last.Capacity.LinkMbps, ReadsCompact: p.Last.CompactLoads,
		})
	}
	return out
}

// loadsReceived applies the digests that are later than the last ones of their peers and of their current processes.
func (n *Node) loadsReceived(in LoadsReceived) {
	current := func(peer, incarnation string) bool {
		p := n.peers.Get(peer)
		return p != nil && p.Last.Incarnation == incarnation
	}
	for _, d := range n.loads.Receive(n.now, in.From, in.Bundle, current) {
		n.targets.ApplyDigest(n.now, d.Peer, d.Loads)
		if n.resume.active {
			d.Freshness.Age = -1 // the datagram may have been delayed while this process was suspended
		}
		n.freshnessReceived(d.Peer, d.Freshness)
	}
	n.requestLoadPlacement()
}

// applyHeartbeatLoads applies the digest of a heartbeat, unless one came by datagram within datagramPrecedence.
func (n *Node) applyHeartbeatLoads(hb *member.Heartbeat) {
	n.loads.Heard(hb.Peer)
	incarnation, at, ok := n.loads.LastReceived(hb.Peer)
	if ok && incarnation == hb.Incarnation && n.now-at < datagramPrecedence {
		return
	}
	n.targets.ApplyDigest(n.now, hb.Peer, hb.Loads)
}
