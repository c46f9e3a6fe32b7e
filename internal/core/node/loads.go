package node

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/member"
)

// Sharing of load digests by datagram, in addition to heartbeats.
const (
	// loadsInterval is the minimum time between two digests with up to loadsBasePeers peers. With more peers that time
	// grows in proportion to their number, so that a host never sends more datagrams per second than with loadsBasePeers.
	loadsInterval  = 4 * time.Millisecond
	loadsBasePeers = 3
	// datagramPrecedence is how long a digest from a datagram takes precedence over those of heartbeats, which may
	// have been delayed.
	datagramPrecedence = time.Second
	// loadsResendInterval is the time after which an unchanged digest is sent again, since a datagram may be lost.
	loadsResendInterval = 500 * time.Millisecond
)

// loadsState holds what this host has sent to its peers and received from them by datagram.
type loadsState struct {
	sequence uint64
	// sent is when a digest was last due, and changes the count of load changes then. Both advance even if no peer was
	// there to receive it.
	sent    core.Time
	changes uint64
	// received holds the last digest of each peer, by peer address.
	received map[string]receivedLoads
}

// receivedLoads identifies the last digest of a peer.
type receivedLoads struct {
	incarnation string
	sequence    uint64
	at          core.Time
}

// shareLoads sends the digest of the load that this host has placed at targets to the reachable peers of its cell, with
// this host's Freshness. It sends a changed digest once the interval for the number of peers has passed since the last
// one, see loadsInterval, and an unchanged one again after loadsResendInterval. Step calls it after each input.
func (n *Node) shareLoads() {
	if n.opts.LoadsAddress == "" {
		return
	}
	changes := n.targets.LoadChanges()
	wait := loadsInterval * time.Duration(max(len(n.peers.Addresses()), loadsBasePeers)) / loadsBasePeers
	if changes == n.loads.changes {
		wait = max(wait, loadsResendInterval)
	}
	if n.now-n.loads.sent < wait {
		return
	}
	var to []string
	for _, address := range n.peers.Addresses() {
		p := n.peers.Get(address)
		if p.Alive(n.now) && p.Last.LoadsAddress != "" && n.sameCell(address) {
			to = append(to, p.Last.LoadsAddress)
		}
	}
	n.loads.sent, n.loads.changes = n.now, changes
	if len(to) == 0 {
		return
	}
	n.loads.sequence++
	n.do(SendLoads{To: to, Sequence: n.loads.sequence, Digest: n.targets.Digest(), Freshness: n.freshness()})
}

// loadsReceived applies a peer's digest, unless it or a later one was received before or the digest is not of the
// peer's current process.
func (n *Node) loadsReceived(in LoadsReceived) {
	p := n.peers.Get(in.Peer)
	if p == nil || p.Last.Incarnation != in.Incarnation {
		return
	}
	last := n.loads.received[in.Peer]
	if last.incarnation == in.Incarnation && in.Sequence <= last.sequence {
		return
	}
	if n.loads.received == nil {
		n.loads.received = make(map[string]receivedLoads)
	}
	n.loads.received[in.Peer] = receivedLoads{incarnation: in.Incarnation, sequence: in.Sequence, at: n.now}
	n.targets.ApplyDigest(in.Peer, in.Digest)
	if n.resume.active {
		in.Freshness.Age = -1 // the datagram may have been delayed while this process was suspended
	}
	n.freshnessReceived(in.Peer, in.Freshness)
	n.dispatchQueued()
}

// applyHeartbeatLoads applies the digest of a heartbeat, unless one came by datagram within datagramPrecedence.
func (n *Node) applyHeartbeatLoads(hb *member.Heartbeat) {
	last, ok := n.loads.received[hb.Peer]
	if ok && last.incarnation == hb.Incarnation && n.now-last.at < datagramPrecedence {
		return
	}
	n.targets.ApplyDigest(hb.Peer, hb.Loads)
}
