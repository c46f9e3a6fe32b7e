package node

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/member"
)

// This file decides which hosts watch the platform if the host list names no entry hosts. Hosts report to each other how
// long ago the platform answered them, and the first fleetReaders hosts by rankForDuty read. A host leaves out of this
// order those that it can't reach, that have not reported an answer within maxReaderAge, or whose newer versions it failed
// to fetch. So hosts that are cut off from the readers, or whose readers are, read by themselves, whatever the zone.

const (
	// maxReaderAge is how long ago the platform may have answered a peer that counts as a reader.
	maxReaderAge = 1100 * time.Millisecond
	// fleetReaders is how many hosts watch the platform.
	fleetReaders = 3
	// takeoverHosts hosts of each zone read at once when readers are gone, and as many more each takeoverInterval later, up to
	// maxTakeoverDelay: the first ones tell the others that the platform answers them.
	takeoverHosts    = 4
	takeoverInterval = 200 * time.Millisecond
	maxTakeoverDelay = 800 * time.Millisecond
	// dutyRead is the duty to read.
	dutyRead = "read"
)

// peerFreshness is the last reported loadshare.Freshness of a peer.
type peerFreshness struct {
	// answered is when the platform last answered the peer, on this host's clock.
	answered core.Time
	config   conf.Version
	hosts    conf.Version
}

// freshness returns this host's loadshare.Freshness.
func (n *Node) freshness() loadshare.Freshness {
	out := loadshare.Freshness{Age: -1, Config: n.config.Version(), Hosts: n.hostsVersion()}
	if local := n.observed.platform.local; local != never {
		out.Age = n.now - local
	}
	return out
}

// answeredMs returns when the platform last answered this host, in milliseconds of its clock, for heartbeats. It is 0 for
// never, and if the host list names entry hosts.
func (n *Node) answeredMs() int64 {
	if n.peers.Listed() {
		return 0
	}
	return max(n.observed.platform.local, 0).Milliseconds()
}

// heartbeatFreshness returns the loadshare.Freshness of a heartbeat's sender. The age is unknown unless the heartbeat is prompt: it
// may have been delayed while this process was suspended.
func heartbeatFreshness(hb *member.Heartbeat, prompt bool) loadshare.Freshness {
	out := loadshare.Freshness{Age: -1, Config: hb.Config(), Hosts: hb.Hosts()}
	if prompt && hb.AnsweredMs > 0 {
		out.Age = time.Duration(hb.ClockMs-hb.AnsweredMs) * time.Millisecond
	}
	return out
}

// freshnessReceived records a peer's loadshare.Freshness if its Age is known, and fetches the peer's newer versions.
func (n *Node) freshnessReceived(peer string, f loadshare.Freshness) {
	if f.Age >= 0 {
		answered := n.now - f.Age
		n.observed.platform.recordAnswer(n.now, answered)
		n.observed.platform.peers[peer] = peerFreshness{answered: answered, config: f.Config, hosts: f.Hosts}
	}
	n.fetchNewer(peer, f.Config, f.Hosts)
}

// readsAmongReachable reports whether this host is to read the platform if the host list names no entry hosts.
func (n *Node) readsAmongReachable() bool {
	if !n.ready {
		return true
	}
	if n.readersKnown(0) {
		return false
	}
	delay := n.takeoverDelay()
	return delay == 0 || !n.readersKnown(delay)
}

// readersKnown reports whether fleetReaders peers that precede this host in the order of readers have read for it until at least delay ago.
func (n *Node) readersKnown(delay time.Duration) bool {
	candidates := []string{n.opts.Peer}
	for _, address := range n.peers.Addresses() {
		if n.readsFor(address, delay) {
			candidates = append(candidates, address)
		}
	}
	return n.positionForDuty(dutyRead, candidates) >= fleetReaders
}

// takeoverDelay returns how long this host leaves it to others of its zone to read in place of readers that are gone. Otherwise all hosts
// would read at once, as they all learn from the same digests how old the readers' last answers are.
func (n *Node) takeoverDelay() time.Duration {
	var zone []string
	for _, address := range n.liveHosts() {
		if address == n.opts.Peer || n.zoneOf(address) == n.opts.Zone {
			zone = append(zone, address)
		}
	}
	steps := n.positionForDuty(dutyRead, zone) / takeoverHosts
	return min(time.Duration(steps)*takeoverInterval, maxTakeoverDelay)
}

// readsFor reports whether a peer can read the platform for this host, or could until delay ago: it is alive, the platform answers it,
// and this host has its versions or can expect to get them. Being late with them is no reason to read: a host that is short of
// processor time would only become later.
func (n *Node) readsFor(peer string, delay time.Duration) bool {
	fresh, ok := n.observed.platform.peers[peer]
	if !ok || n.now-fresh.answered >= maxReaderAge+delay {
		return false
	}
	if !n.peers.Get(peer).Alive(n.now) {
		return false
	}
	return !n.fetchFails(fresh.config, fresh.hosts, delay)
}
