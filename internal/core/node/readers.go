package node

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/member"
)

// Reading the platform.
const (
	// zoneReaders is how many hosts of each availability zone watch the platform.
	zoneReaders = 2
	// maxZoneReaders bounds how many do while the platform answers none of them.
	maxZoneReaders = 8
	// takeOver is the time without an answer to a reader after which the next host in order reads in its place.
	takeOver = 6 * time.Second
	// takeOverStep is how much longer each further zoneReaders hosts wait, so that they hear of those before them.
	takeOverStep = 4 * time.Second
)

// platformHeard is when the platform last answered.
type platformHeard struct {
	// here is when it answered this host.
	here core.Time
	// back is when it last answered after an outage.
	back core.Time
	// byRank is when it answered the first hosts of this availability zone, as far as is known; never at first.
	byRank [maxZoneReaders]core.Time
	// peers are what the peers told last, by peer address, where the host list names no entry hosts.
	peers map[string]freshHost
}

func newPlatformHeard() platformHeard {
	p := platformHeard{here: never, back: never, peers: make(map[string]freshHost)}
	for i := range p.byRank {
		p.byRank[i] = never
	}
	return p
}

// last is when the platform last answered some host of this zone, or one that is heard.
func (p *platformHeard) last() core.Time {
	last := p.here
	for _, heard := range p.byRank {
		last = max(last, heard)
	}
	for _, heard := range p.peers {
		last = max(last, heard.answered)
	}
	return last
}

// note takes that the platform answered this host or a peer; if it had answered nobody for long, it is back.
func (p *platformHeard) note(now, answered core.Time) {
	if last := p.last(); last != never && answered-last >= outageGap {
		p.back = now
	}
}

// reads tells whether this host is to watch the platform. The hosts of a zone stand in order of rendezvous hash; one
// reads while the platform answers fewer than zoneReaders of those before it. A host that lacks a configuration or a
// host list reads in any case, and so do all while the list names no live host.
func (n *Node) reads() bool {
	if n.hosts == nil || n.config.Document() == nil {
		return true
	}
	if !n.peers.Listed() {
		return n.readsAmongHeard()
	}
	if !n.peers.AnyLive() {
		return true
	}
	rank := n.peers.Rank()
	if rank < 0 || rank >= maxZoneReaders {
		return false
	}
	patience := takeOver + takeOverStep*time.Duration(max(rank/zoneReaders-1, 0))
	answered := 0
	for _, heard := range n.knowledge.platform.byRank[:rank] {
		if n.now-max(heard, 0) < patience {
			answered++
		}
	}
	return answered < zoneReaders
}

const (
	// retryPause is the mean pause of a host after a read that failed, where up to retryHosts hosts read. With more it
	// grows in proportion, so that all together ask a store that is down no more often; the first that it answers tells
	// the others.
	retryPause = 200 * time.Millisecond
	retryHosts = 4
)

// readRetryPause is the mean pause after a read that failed.
func (n *Node) readRetryPause() time.Duration {
	return retryPause * time.Duration(max(len(n.liveHosts()), retryHosts)) / retryHosts
}

const (
	// outageGap is the time without an answer of the platform from which entries may have lapsed meanwhile.
	outageGap = 1500 * time.Millisecond
	// relistTime is how long after that entries of targets that are well may still be missing.
	relistTime = 2200 * time.Millisecond
)

// relisted is when the entries that lapsed in the last outage of the platform must be back; past if there was none.
func (p *platformHeard) relisted() core.Time {
	if p.back == never {
		return 0
	}
	return p.back + relistTime
}

func (n *Node) platformAnswered() {
	n.knowledge.platform.note(n.now, n.now)
	n.knowledge.platform.here = n.now
	if rank := n.peers.Rank(); rank >= 0 && rank < maxZoneReaders {
		n.knowledge.platform.byRank[rank] = n.now
	}
}

// platformAgesMs are the times since the platform answered the first hosts of this zone, in milliseconds.
func (n *Node) platformAgesMs() []int64 {
	out := make([]int64, 0, maxZoneReaders)
	for _, heard := range n.knowledge.platform.byRank {
		out = append(out, n.silentMs(heard))
	}
	for len(out) > 0 && out[len(out)-1] == -1 {
		out = out[:len(out)-1]
	}
	return out
}

// noteZonePlatform takes a peer's word of when the platform answered the hosts of this zone.
func (n *Node) noteZonePlatform(hb *member.Heartbeat) {
	if hb.Zone != n.opts.Zone {
		return
	}
	byRank := n.knowledge.platform.byRank[:]
	for i, age := range hb.PlatformAgesMs[:min(len(hb.PlatformAgesMs), maxZoneReaders)] {
		if age >= 0 {
			byRank[i] = max(byRank[i], n.now-time.Duration(age)*time.Millisecond)
		}
	}
}
