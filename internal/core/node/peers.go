package node

import (
	"fmt"
	"reflect"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/cell"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/routes"
	"carobshunt/internal/delta"
)

// heartbeat sends this host's state to its peers once an interval.
func (n *Node) heartbeat() {
	interval := member.IntervalFor(len(n.peers.Addresses()))
	if n.now-n.lastHeartbeat < interval {
		return
	}
	n.lastHeartbeat = n.now
	n.settleLimits()
	n.announce(func(p *member.Peer) bool { return p.Due(n.now, interval) })
}

// announce sends this host's state at once to the peers that need it.
func (n *Node) announce(needs func(*member.Peer) bool) {
	hb := n.fullHeartbeat()
	for _, address := range n.peers.Addresses() {
		if p := n.peers.Get(address); needs(p) {
			n.do(SendHeartbeat{Peer: address, Heartbeat: p.Next(n.now, n.addressed(hb, address))})
		}
	}
}

// addressed leaves out of a heartbeat what concerns the hosts of this host's cell only, for a peer of another one.
func (n *Node) addressed(hb member.Heartbeat, peer string) member.Heartbeat {
	if !n.sameCell(peer) {
		hb.Loads, hb.Work = nil, member.Work{}
	}
	return hb
}

// sameCell tells whether a peer is in this host's cell, and so has the same targets.
func (n *Node) sameCell(peer string) bool {
	return n.cells != nil && n.cells.Of(peer) == n.cells.Of(n.opts.Peer)
}

// fullHeartbeat is this host's state with what it asks and lends of the teams' limits.
func (n *Node) fullHeartbeat() member.Heartbeat {
	hb := n.ownHeartbeat()
	hb.Demands = n.limits.Demands(n.now)
	hb.Grants = n.limits.Lend(n.now, n.borrowers())
	hb.Loads = n.targets.Digest()
	hb.Work = n.ownWork()
	if content := hb.Content(); !reflect.DeepEqual(content, n.sent.content) {
		n.sent.content = content
		n.sent.state++
	}
	hb.State = n.sent.state
	return hb
}

// sentState is the state that this host last put into heartbeats, and the number of its changes.
type sentState struct {
	content member.Heartbeat
	state   uint64
}

func (n *Node) ownHeartbeat() member.Heartbeat {
	config, hosts := n.config.Version(), n.hostsVersion()
	return member.Heartbeat{
		Address:        n.opts.Self.Address,
		Peer:           n.opts.Peer,
		Zone:           n.opts.Zone,
		Incarnation:    n.opts.Self.Incarnation,
		ClockMs:        n.now.Milliseconds(),
		Revision:       config.Revision,
		Digest:         config.Digest,
		HostsVersion:   hosts.Revision,
		HostsDigest:    hosts.Digest,
		Draining:       n.drain.active,
		Ready:          n.ready,
		LoadsAddress:   n.opts.Loads,
		Introduces:     n.peers.Introductions(n.now),
		IntervalMs:     member.IntervalFor(len(n.peers.Addresses())).Milliseconds(),
		PlatformAgesMs: n.platformAgesMs(),
		AnsweredMs:     n.answeredMs(),
	}
}

func (n *Node) hostsVersion() conf.Version {
	return conf.Version{Revision: n.targets.Version(), Digest: n.hostsHistory.Newest().Digest}
}

// heartbeatHeard takes a peer's state and pulls from it what is newer there. A peer that has just started is answered
// at once, since it waits for its peers before it gets ready.
func (n *Node) heartbeatHeard(in HeartbeatHeard) {
	hb, complete := n.peers.Complete(in.Heartbeat)
	if !complete {
		ask := n.fullHeartbeat()
		ask.Ask = true
		n.do(SendHeartbeat{Peer: hb.Peer, Heartbeat: ask})
		return
	}
	hearing := n.peers.Hear(n.now, hb)
	n.limits.Borrow(n.now, hb.Peer, n.opts.Self.Incarnation, hb.Grants)
	n.hearLoads(&hb)
	n.peers.Introduce(n.now, hb.Introduces)
	n.wake.fresh = n.wake.fresh || hearing.Fresh
	n.noteZonePlatform(&hb)
	if (hearing.Started || hb.Ask) && n.peers.Get(hb.Peer) != nil {
		n.do(SendHeartbeat{Peer: hb.Peer, Heartbeat: n.fullHeartbeat()})
	}
	n.freshnessHeard(hb.Peer, heartbeatFreshness(&hb, hearing.Fresh))
}

// pullNewer asks a peer for what is newer there.
func (n *Node) pullNewer(peer string, config, hosts conf.Version) {
	if config.Above(n.knowledge.config) {
		n.knowledge.config = config
	}
	if hosts.Above(n.knowledge.hosts) {
		n.knowledge.hosts = hosts
	}
	if n.knowledge.documentPull.due(n.now, config, n.config.Version()) {
		n.do(PullDocument{Peer: peer})
	}
	if n.knowledge.hostsPull.due(n.now, hosts, n.hostsVersion()) {
		n.do(PullHosts{Peer: peer})
	}
}

// pull is the last order to pull a text from a peer.
type pull struct {
	version conf.Version
	until   core.Time
}

const (
	// pullPatience is how long a pull may take before another peer is asked for the same version.
	pullPatience = 500 * time.Millisecond
	// refusedPause is how long a peer's version that was refused is not asked for again.
	refusedPause = 10 * time.Second
)

// due tells whether an offered version is to be pulled now, and if so notes that it is.
func (p *pull) due(now core.Time, offered, have conf.Version) bool {
	if !offered.Above(have) || (now < p.until && !offered.Above(p.version)) {
		return false
	}
	*p = pull{version: offered, until: now + pullPatience}
	return true
}

func (n *Node) documentHeard(in DocumentHeard) {
	conflicts, _ := n.config.Conflicts()
	switch n.config.Offer(n.now, in.Raw, in.Source) {
	case conf.Applied:
		doc := n.config.Document()
		n.table = routes.New(doc)
		n.usual.forget(n.table.Has)
		n.describeEngines()
		n.limitRates()
		n.renewDirectory()
		n.do(Note{Event: EventRevision, Text: fmt.Sprintf("revision %d preset %s from %s", doc.Revision, doc.Active, in.Source)})
		n.announceNews()
		n.pump()
	case conf.Invalid:
		_, why := n.config.Rejected()
		n.do(Note{Event: EventRejected, Text: why})
		n.knowledge.documentPull.until = n.now + refusedPause
	case conf.Repeated:
		n.knowledge.documentPull.until = n.now + refusedPause
	case conf.Old:
	}
	if after, _ := n.config.Conflicts(); after > conflicts {
		n.do(Note{Event: EventConflict, Text: n.config.Version().String()})
	}
}

// announceNews tells the peers that are not known to have what this host has.
func (n *Node) announceNews() {
	config, hosts := n.config.Version(), n.hostsVersion()
	n.announce(func(p *member.Peer) bool {
		return config.Above(p.Last.Config()) || hosts.Above(p.Last.Hosts())
	})
}

func (n *Node) hostsHeard(in HostsHeard) {
	text, err := delta.Encode(in.List)
	version := conf.Version{Revision: in.List.Version, Digest: text.Digest}
	if err != nil || !version.Above(n.hostsVersion()) {
		return
	}
	cells := cell.New(in.List)
	if !n.targets.Relist(cells.Scope(in.List, n.opts.Peer), n.knowledge.platform.relisted()) {
		return
	}
	n.targets.DropGone(n.now)
	n.hosts = in.List
	n.cells = cells
	n.describeEngines()
	n.hostsHistory = n.hostsHistory.Add(text)
	n.hostsSince = n.now
	n.peers.Apply(n.now, in.List, cells)
	n.renewDirectory()
	n.do(Note{Event: EventHosts, Text: fmt.Sprintf("version %d from %s", in.List.Version, in.Source)})
	n.announceNews()
	n.pump()
}

func (n *Node) loadHeard(in LoadHeard) {
	if t := n.targets.Get(in.Target); t != nil {
		t.Report = in.Report
		t.Reported = n.now
		for _, event := range in.Report.CacheEvents {
			t.HearCache(event)
		}
	}
}

func (n *Node) cacheHeard(in CacheHeard) {
	if t := n.targets.Get(in.Target); t != nil {
		t.HearCache(in.Event)
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
		if !alive {
			n.targets.ForgetPeer(address)
			delete(n.loads.heard, address)
			delete(n.knowledge.platform.peers, address)
		}
		if alive {
			event = EventPeerAlive
		}
		n.do(Note{Event: event, Text: address})
	}
	if len(n.alive) > 2*len(n.peers.Addresses()) {
		n.forgetPeers()
	}
}

// forgetPeers drops what was noted of hosts that are no longer peers.
func (n *Node) forgetPeers() {
	for address := range n.alive {
		if n.peers.Get(address) == nil {
			delete(n.alive, address)
		}
	}
}

// takesRequests tells whether callers may be sent to a peer.
func (n *Node) takesRequests(p *member.Peer) bool {
	return p.Alive(n.now) && !p.Last.Draining && !p.Leaving && p.Last.Ready
}

// alternatives are the callers' addresses of other hosts that take requests.
func (n *Node) alternatives() []string {
	var out []string
	for _, address := range n.peers.Addresses() {
		p := n.peers.Get(address)
		if n.takesRequests(p) {
			out = append(out, p.Last.Address)
		}
	}
	return out
}
