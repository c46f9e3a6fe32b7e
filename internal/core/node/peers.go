package node

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"carobshunt/internal/core/cell"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/quarantine"
	"carobshunt/internal/core/routes"
	"carobshunt/internal/delta"
	"carobshunt/internal/hostlist"
)

// heartbeat sends this host's state to the peers that are due for it, to each once an interval. It also settles the teams' limits,
// once an interval.
func (n *Node) heartbeat() {
	peers := len(n.peers.Addresses())
	interval := member.IntervalFor(peers)
	rounds := member.Rounds(peers)
	if n.now-n.lastHeartbeat < interval/time.Duration(rounds) {
		return
	}
	n.lastHeartbeat = n.now
	if n.heartbeatRound%rounds == 0 {
		n.settleLimits()
	}
	n.heartbeatRound++
	due := n.peers.LongestDue(n.now, interval, (peers+rounds-1)/rounds)
	n.announce(func(p *member.Peer) bool { return slices.Contains(due, p) })
}

// announce immediately sends this host's state to the peers that the function needs selects.
func (n *Node) announce(needs func(*member.Peer) bool) {
	hb := n.fullHeartbeat()
	for _, address := range n.peers.Addresses() {
		if p := n.peers.Get(address); needs(p) {
			n.do(SendHeartbeat{Peer: address, Heartbeat: p.Next(n.now, n.heartbeatFor(hb, address))})
		}
	}
}

// heartbeatFor removes from a heartbeat to a peer of another cell what only hosts of this host's cell use: its loads, its
// work, what targets have said of themselves, and the evidence against parts of prompts. Verdicts hold for all cells.
func (n *Node) heartbeatFor(hb member.Heartbeat, peer string) member.Heartbeat {
	if !n.sameCell(peer) {
		hb.Loads, hb.Work, hb.Notices = nil, member.Work{}, nil
		hb.WorkRates, hb.Prompts = quarantine.HostRates{}, hb.Prompts.OfOtherCells()
	}
	return hb
}

// sameCell reports whether a peer is in this host's cell, and so has the same targets.
func (n *Node) sameCell(peer string) bool {
	return n.cells != nil && n.cells.Of(peer) == n.cells.Of(n.opts.Peer)
}

// fullHeartbeat returns this host's state with its loads, its work, and its demands and grants for the teams' limits. It
// lends: the grants are recorded as loans, see limit.Limiter.Lend, whether or not the heartbeat is sent.
func (n *Node) fullHeartbeat() member.Heartbeat {
	hb := n.ownHeartbeat()
	hb.Demands = n.limits.Demands(n.now)
	hb.Grants = n.limits.Lend(n.now, n.borrowers())
	hb.Loads = n.targets.Digest()
	hb.Work = n.ownWork()
	hb.Notices = n.targets.Notices(n.now)
	hb.WorkRates = n.quarantine.Rates(n.now)
	hb.Prompts = n.quarantine.Published()
	if content := hb.Content(); !reflect.DeepEqual(content, n.sent.content) {
		n.sent.content = content
		n.sent.changes++
	}
	hb.State = n.sent.changes
	return hb
}

// introduction returns this host's state for a host that has just started, or that asks: with what it can't learn otherwise.
func (n *Node) introduction() member.Heartbeat {
	hb := n.fullHeartbeat()
	hb.Departed = n.targets.Departed(n.now)
	return hb
}

// sentState is the content of the last full heartbeat that this host made, and how often the content has changed.
type sentState struct {
	content member.Heartbeat
	changes uint64
}

// ownHeartbeat returns this host's state without Demands, Grants, Loads, Work and State.
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
		LoadsAddress:   n.opts.LoadsAddress,
		CompactLoads:   n.opts.LoadsAddress != "",
		Capacity:       n.opts.Capacity,
		Introduces:     n.peers.Introductions(n.now),
		Evacuations:    n.evacuations.Published(),
		IntervalMs:     member.IntervalFor(len(n.peers.Addresses())).Milliseconds(),
		PlatformAgesMs: n.platformAgesMs(),
		AnsweredMs:     n.answeredMs(),
	}
}

func (n *Node) hostsVersion() conf.Version {
	return conf.Version{Revision: n.targets.Version(), Digest: n.hostsHistory.Newest().Digest}
}

// heartbeatReceived applies a peer's state and fetches its newer versions. A brief heartbeat that this host can't complete
// is not applied, but answered by an Ask. A peer that asks gets an immediate answer, and so does one that has just started,
// since it waits for its peers before it becomes ready.
func (n *Node) heartbeatReceived(in HeartbeatReceived) {
	hb, complete := n.peers.Complete(in.Heartbeat)
	if !complete {
		ask := n.fullHeartbeat()
		ask.Ask = true
		n.do(SendHeartbeat{Peer: hb.Peer, Heartbeat: ask})
		return
	}
	received := n.peers.Receive(n.now, hb)
	n.evacuationsPublished(&hb)
	n.limits.Borrow(n.now, hb.Peer, n.opts.Self.Incarnation, hb.Grants)
	if received.Fresh {
		n.noticesPublished(&hb)
		n.departedPublished(&hb)
		n.quarantineReceived(&hb)
	}
	n.applyHeartbeatLoads(&hb)
	n.peers.Introduce(n.now, hb.Introduces)
	n.resume.fresh = n.resume.fresh || received.Fresh
	n.mergePlatformAges(&hb)
	if (received.Started || hb.Ask) && n.peers.Get(hb.Peer) != nil {
		n.do(SendHeartbeat{Peer: hb.Peer, Heartbeat: n.introduction()})
	}
	n.freshnessReceived(hb.Peer, heartbeatFreshness(&hb, received.Fresh))
}

func (n *Node) documentReceived(in DocumentReceived) {
	conflicts, _ := n.config.Conflicts()
	switch n.offer(in) {
	case conf.Applied:
		doc := n.config.Document()
		n.observed.documentFetch.Applied(n.now, n.config.Version())
		n.table = routes.New(doc, n.opts.Regions)
		n.budgets.forget(n.table.Has)
		n.durations.KeepRoutes(n.table.Has)
		n.setEngineSpeeds()
		n.targets.UpdateCold(n.now)
		n.setLimitRates()
		n.rebuildDirectory()
		text := fmt.Sprintf("revision %d preset %s from %s, %v", doc.Revision, doc.Active, in.Source, in.Cost)
		n.do(StateChange{Event: EventRevision, Text: text})
		n.reportUnknownRegions()
		if doc.LeftOut > 0 {
			n.do(StateChange{Event: EventEntriesLeftOut, Text: fmt.Sprintf("%d entries, revision %d", doc.LeftOut, doc.Revision)})
		}
		n.announceVersions()
		n.requestPlacement()
	case conf.Invalid:
		_, why := n.config.Rejected()
		n.do(StateChange{Event: EventRejected, Text: why})
		n.observed.documentFetch.Refused(n.now)
	case conf.Repeated:
		n.observed.documentFetch.Refused(n.now)
	case conf.Old:
		if in.Checked != nil && in.Source != conf.SourcePlatform {
			text := fmt.Sprintf("revision %d from %s, %v", in.Checked.Revision(), in.Source, in.Cost)
			n.do(StateChange{Event: EventDocumentUnused, Text: text})
		}
	}
	if after, _ := n.config.Conflicts(); after > conflicts {
		n.do(StateChange{Event: EventConflict, Text: n.config.Version().String()})
	}
}

// offer offers a document to the configuration, as checked if it was.
func (n *Node) offer(in DocumentReceived) conf.OfferResult {
	if in.Checked != nil {
		return n.config.OfferChecked(n.now, in.Checked, in.Source)
	}
	return n.config.Offer(n.now, in.Raw, in.Source)
}

func (n *Node) hostsReceived(in HostsReceived) {
	text := in.Text
	if text.Digest == 0 {
		var err error
		if text, err = delta.Encode(in.List); err != nil {
			return
		}
	}
	version := conf.Version{Revision: in.List.Version, Digest: text.Digest}
	if !version.NewerThan(n.hostsVersion()) {
		return
	}
	if n.hosts != nil && hostlist.RestoresOf(in.List.Version) > hostlist.RestoresOf(n.hosts.Version) {
		n.observed.platform.recovered = n.now // entries that were written since the copy are yet to be written again
		n.do(StateChange{Event: EventRestored, Text: fmt.Sprintf("%d times, version %d", hostlist.RestoresOf(in.List.Version), in.List.Version)})
	}
	cells := cell.New(in.List)
	if !n.targets.ApplyWithGrace(n.now, cells.Scope(in.List, n.opts.Peer), n.observed.platform.relistDeadline()) {
		return
	}
	n.targets.DropGone(n.now)
	n.reportReplaced(in.Source)
	n.reportEntryChanges()
	n.hosts = in.List
	n.cells = cells
	n.setEngineSpeeds()
	n.hostsHistory = n.hostsHistory.Add(text)
	n.observed.hostsFetch.Applied(n.now, version)
	if in.Source != conf.SourcePlatform {
		n.observed.hostsFetch.Answered(n.now)
	}
	n.hostsSince = n.now
	n.targets.UpdateCold(n.now)
	n.peers.Apply(n.now, in.List, cells)
	n.rebuildDirectory()
	n.do(StateChange{Event: EventHosts, Text: fmt.Sprintf("version %d from %s", in.List.Version, in.Source)})
	n.announceVersions()
	n.finishWaitingOutsideRegions()
	n.requestPlacement()
}

func (n *Node) hostsRefused(in HostsRefused) {
	n.observed.hostsFetch.Refused(n.now)
	if in != n.observed.hostsRefused {
		n.observed.hostsRefused = in
		n.do(StateChange{Event: EventHostsRefused, Text: fmt.Sprintf("from %s: %s", in.Source, in.Why)})
	}
}

func (n *Node) loadReceived(in LoadReceived) {
	if t := n.targets.Get(in.Target); t != nil {
		t.Report = in.Report
		t.ReportedAt = n.now
		for _, event := range in.Report.CacheEvents {
			t.ApplyCacheEvent(event)
		}
	}
}

func (n *Node) cacheEventReceived(in CacheEventReceived) {
	if t := n.targets.Get(in.Target); t != nil {
		t.ApplyCacheEvent(in.Event)
	}
}

// trackPeers reports peers that became unreachable or reachable again. A host that is no longer a peer counts as
// unreachable.
func (n *Node) trackPeers() {
	for _, address := range n.peers.Addresses() {
		alive := n.peers.Get(address).Alive(n.now)
		switch {
		case alive == n.alive[address]:
		case alive:
			n.alive[address] = true
			n.do(StateChange{Event: EventPeerAlive, Text: address})
		default:
			n.peerSilent(address)
		}
	}
	var removed []string
	for address := range n.alive {
		if n.peers.Get(address) == nil {
			removed = append(removed, address)
		}
	}
	slices.Sort(removed)
	for _, address := range removed {
		n.peerSilent(address)
	}
}

// peerSilent reports a peer as unreachable and discards its load and its freshness.
func (n *Node) peerSilent(address string) {
	delete(n.alive, address)
	n.targets.ForgetPeer(address)
	n.loads.Forget(address)
	n.quarantine.Forget(address)
	delete(n.observed.platform.peers, address)
	n.do(StateChange{Event: EventPeerSilent, Text: address})
}

// takesRequests reports whether callers may be sent to a peer.
func (n *Node) takesRequests(p *member.Peer) bool {
	return p.Alive(n.now) && !p.Last.Draining && !p.Leaving && p.Last.Ready
}

// alternatives returns the caller addresses of the other hosts that take requests.
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
