package node

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/rendezvous"
)

// Reading the platform where the host list names no entry hosts. Hosts tell each other how long ago the platform
// answered them. In each availability zone the first ones by rendezvous hash read; any host reads in the place of one
// that it can't hear, that the platform does not answer, or whose news it could not get.

const (
	// readerPatience is how long ago the platform may have answered a host that reads in this one's place.
	readerPatience = 1100 * time.Millisecond
	// dutyRead names the duty in the hash that ranks hosts for it.
	dutyRead = "read"
)

// Freshness is what a host has from the platform and how old that is.
type Freshness struct {
	// Age is the time since the platform answered the host; negative for never.
	Age    time.Duration
	Config conf.Version
	Hosts  conf.Version
}

// freshHost is what a peer last told of its Freshness.
type freshHost struct {
	// answered is when the platform answered it, on this host's clock.
	answered core.Time
	config   conf.Version
	hosts    conf.Version
	// ahead is since when it has had something that this host has not; never if it has nothing of that kind.
	ahead core.Time
}

// freshness is this host's own.
func (n *Node) freshness() Freshness {
	out := Freshness{Age: -1, Config: n.config.Version(), Hosts: n.hostsVersion()}
	if here := n.knowledge.platform.here; here != never {
		out.Age = n.now - here
	}
	return out
}

// answeredMs is when the platform last answered this host, for heartbeats.
func (n *Node) answeredMs() int64 {
	if n.peers.Listed() {
		return 0
	}
	return max(n.knowledge.platform.here, 0).Milliseconds()
}

// heartbeatFreshness is what a heartbeat tells of its sender's. One that waited while this process slept tells no age.
func heartbeatFreshness(hb *member.Heartbeat, prompt bool) Freshness {
	out := Freshness{Age: -1, Config: hb.Config(), Hosts: hb.Hosts()}
	if prompt && hb.AnsweredMs > 0 {
		out.Age = time.Duration(hb.ClockMs-hb.AnsweredMs) * time.Millisecond
	}
	return out
}

// freshnessHeard takes a peer's word and pulls from it what is newer there.
func (n *Node) freshnessHeard(peer string, f Freshness) {
	if f.Age >= 0 {
		answered := n.now - f.Age
		n.knowledge.platform.note(n.now, answered)
		fresh := freshHost{answered: answered, config: f.Config, hosts: f.Hosts, ahead: never}
		if n.lacks(&fresh) {
			fresh.ahead = n.now
			if before, ok := n.knowledge.platform.peers[peer]; ok && before.ahead != never {
				fresh.ahead = before.ahead
			}
		}
		n.knowledge.platform.peers[peer] = fresh
	}
	n.pullNewer(peer, f.Config, f.Hosts)
}

// readsAmongHeard tells whether this host is to read where the host list names no entry hosts.
func (n *Node) readsAmongHeard() bool {
	if !n.ready {
		return true
	}
	able := []string{n.opts.Peer}
	for _, address := range n.peers.Addresses() {
		if n.readsFor(address) {
			able = append(able, address)
		}
	}
	return rendezvous.Position(dutyRead, n.opts.Peer, able) < zoneReaders
}

// lacks tells whether a peer had something newer than this host has now.
func (n *Node) lacks(fresh *freshHost) bool {
	return fresh.config.Above(n.config.Version()) || fresh.hosts.Above(n.hostsVersion())
}

// readsFor tells whether a peer can stand for this host: it is heard, the platform answers it, and this host has all
// that it had then, or had the time to get it.
func (n *Node) readsFor(peer string) bool {
	fresh, ok := n.knowledge.platform.peers[peer]
	if !ok || n.now-fresh.answered >= readerPatience {
		return false
	}
	p := n.peers.Get(peer)
	if p.Last.Zone != n.opts.Zone || !p.Alive(n.now) {
		return false
	}
	return !n.lacks(&fresh) || n.now-fresh.ahead < pullPatience
}
