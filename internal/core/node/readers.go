package node

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/member"
)

// Only some hosts of each availability zone watch the platform, the first ones by rendezvous hash. The others learn of
// updates from them.
const (
	// zoneReaders is how many hosts of each availability zone watch the platform.
	zoneReaders = 2
	// maxZoneReaders bounds how many hosts of a zone watch the platform while it answers none of them.
	maxZoneReaders = 8
	// takeoverDelay is the time without an answer to a reader after which the next host in order takes its place.
	takeoverDelay = 6 * time.Second
	// takeoverStep is added for each further zoneReaders hosts in the order, so that they first learn of the answers to
	// those before them.
	takeoverStep = 4 * time.Second
)

// platformContact records when the platform last answered.
type platformContact struct {
	// local is when it last answered this host.
	local core.Time
	// recovered is when this host last learned that it answered after an outage; never if there was none.
	recovered core.Time
	// restored is set once the platform has told this host that it came back from an older copy, at any time.
	restored bool
	// byRank is when it last answered the first hosts of this availability zone by rank; never if unknown.
	byRank [maxZoneReaders]core.Time
	// latest is when it last answered this host, a host of this zone or a peer that reported it, as far as that was recorded;
	// never if it has not. It does not fall when such a peer is gone.
	latest core.Time
	// peers holds the last freshness of the peers that reported an answer of the platform, by peer address. If the host list
	// names no entry hosts, it decides which hosts read.
	peers map[string]peerFreshness
}

func newPlatformContact() platformContact {
	p := platformContact{local: never, recovered: never, latest: never, peers: make(map[string]peerFreshness)}
	for i := range p.byRank {
		p.byRank[i] = never
	}
	return p
}

// recordAnswer records an answer of the platform to this host or a peer, and a recovery of the platform if it is the first one for
// outageGap. The caller records whom it answered.
func (p *platformContact) recordAnswer(now, answered core.Time) {
	if p.latest != never && answered-p.latest >= outageGap {
		p.recovered = now
	}
	p.latest = max(p.latest, answered)
}

// readsPlatform reports whether this host is to watch the platform. The hosts of a zone are ordered by rendezvous hash;
// one of the first maxZoneReaders reads while the platform answers fewer than zoneReaders of those before it. A host
// without a configuration or a host list always reads, and so do all hosts while none of the listed entry hosts is live.
// If the list names no entry hosts, readsAmongReachable decides.
func (n *Node) readsPlatform() bool {
	if n.hosts == nil || n.config.Document() == nil {
		return true
	}
	if !n.peers.Listed() {
		return n.readsAmongReachable()
	}
	if !n.peers.AnyLive() {
		return true
	}
	rank := n.peers.Rank()
	if rank < 0 || rank >= maxZoneReaders {
		return false
	}
	delay := takeoverDelay + takeoverStep*time.Duration(max(rank/zoneReaders-1, 0))
	answered := 0
	for _, at := range n.observed.platform.byRank[:rank] {
		if n.now-max(at, 0) < delay {
			answered++
		}
	}
	return answered < zoneReaders
}

const (
	// retryPause is the mean pause of a host after a failed read, for up to retryHosts live hosts. It grows in proportion
	// to their number above that, so that the rate of all retries to a store that is down stays constant. The first
	// host that it answers informs the others. Hosts with the duty to read keep the short pause.
	retryPause = 200 * time.Millisecond
	retryHosts = 4
)

// readRetryPause returns the mean pause after a failed read of the platform.
func (n *Node) readRetryPause() time.Duration {
	live := n.liveHosts()
	if rank := n.positionForDuty(dutyRead, live); rank < fleetReaders {
		return retryPause
	}
	return retryPause * time.Duration(max(len(live), retryHosts)) / retryHosts
}

const (
	// outageGap is the time without an answer of the platform after which target entries may have expired there.
	outageGap = 1500 * time.Millisecond
	// relistTime is how long after the recovery the entries of healthy targets may still be missing.
	relistTime = 2200 * time.Millisecond
)

// relistDeadline returns when the target entries that expired in the platform's last outage must be listed again; 0
// without an outage.
func (p *platformContact) relistDeadline() core.Time {
	if p.recovered == never {
		return 0
	}
	return p.recovered + relistTime
}

func (n *Node) platformAnswered(in PlatformAnswered) {
	n.observed.platform.restored = in.Restores > 0
	n.observed.platform.recordAnswer(n.now, n.now)
	n.observed.platform.local = n.now
	if rank := n.peers.Rank(); rank >= 0 && rank < maxZoneReaders {
		n.observed.platform.byRank[rank] = n.now
	}
}

// platformAgesMs returns the times since the platform last answered the first hosts of this zone, in milliseconds; -1
// for never.
func (n *Node) platformAgesMs() []int64 {
	out := make([]int64, 0, maxZoneReaders)
	for _, at := range n.observed.platform.byRank {
		out = append(out, n.ageMs(at))
	}
	for len(out) > 0 && out[len(out)-1] == -1 {
		out = out[:len(out)-1]
	}
	return out
}

// mergePlatformAges merges a peer's report of when the platform last answered the hosts of this zone.
func (n *Node) mergePlatformAges(hb *member.Heartbeat) {
	if hb.Zone != n.opts.Zone {
		return
	}
	byRank := n.observed.platform.byRank[:]
	for i, age := range hb.PlatformAgesMs[:min(len(hb.PlatformAgesMs), maxZoneReaders)] {
		if age >= 0 {
			byRank[i] = max(byRank[i], n.now-time.Duration(age)*time.Millisecond)
			n.observed.platform.latest = max(n.observed.platform.latest, byRank[i])
		}
	}
}
