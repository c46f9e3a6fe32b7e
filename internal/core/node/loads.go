package node

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/member"
)

// Sharing of loads by datagram, beside the heartbeats.
const (
	// loadsInterval is the least time between two digests to the same peers, of which there are up to loadsPeers. With
	// more it grows in proportion, so that what a host sends does not.
	loadsInterval = 4 * time.Millisecond
	loadsPeers    = 3
	// loadsFresh is how long a digest that came by datagram goes before those of heartbeats, which may have waited.
	loadsFresh = time.Second
	// loadsRepeat is the time after which a digest goes out again though nothing has changed: a datagram may be lost.
	loadsRepeat = 500 * time.Millisecond
)

// loadsState is what this host has sent to its peers and heard from them by datagram.
type loadsState struct {
	sequence uint64
	sent     core.Time
	moved    uint64
	heard    map[string]heardLoads
}

type heardLoads struct {
	incarnation string
	sequence    uint64
	at          core.Time
}

// shareLoads tells the peers of this host's cell what it has placed at targets, soon after each change.
func (n *Node) shareLoads() {
	if n.opts.Loads == "" {
		return
	}
	moved := n.targets.Moved()
	wait := loadsInterval * time.Duration(max(len(n.peers.Addresses()), loadsPeers)) / loadsPeers
	if moved == n.loads.moved {
		wait = max(wait, loadsRepeat)
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
	n.loads.sent, n.loads.moved = n.now, moved
	if len(to) == 0 {
		return
	}
	n.loads.sequence++
	n.do(SendLoads{To: to, Sequence: n.loads.sequence, Digest: n.targets.Digest(), Freshness: n.freshness()})
}

// loadsHeard takes a peer's digest unless a later one, or one of a later process, was heard before.
func (n *Node) loadsHeard(in LoadsHeard) {
	p := n.peers.Get(in.Peer)
	if p == nil || p.Last.Incarnation != in.Incarnation {
		return
	}
	last := n.loads.heard[in.Peer]
	if last.incarnation == in.Incarnation && in.Sequence <= last.sequence {
		return
	}
	if n.loads.heard == nil {
		n.loads.heard = make(map[string]heardLoads)
	}
	n.loads.heard[in.Peer] = heardLoads{incarnation: in.Incarnation, sequence: in.Sequence, at: n.now}
	n.targets.HearDigest(in.Peer, in.Digest)
	if n.wake.active {
		in.Freshness.Age = -1 // the datagram may have waited while the process slept
	}
	n.freshnessHeard(in.Peer, in.Freshness)
	n.pump()
}

// hearLoads takes the digest in a heartbeat where none came by datagram lately.
func (n *Node) hearLoads(hb *member.Heartbeat) {
	last, ok := n.loads.heard[hb.Peer]
	if ok && last.incarnation == hb.Incarnation && n.now-last.at < loadsFresh {
		return
	}
	n.targets.HearDigest(hb.Peer, hb.Loads)
}
