package node

import (
	"fmt"
	"slices"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/fetch"
	"carobshunt/internal/core/member"
)

// New documents and host lists spread from the hosts that read them from the platform. In a large fleet whose host list
// names no entry hosts, a few hosts of each availability zone fetch them from other zones, and the others fetch from hosts
// of their own zone. So no host serves the whole fleet, and a text crosses into a zone only a few times.

const (
	// fetchFailureTime is the time without an answer to a fetch after which this host doesn't rely on its peers, counted in ticks.
	fetchFailureTime = 500 * time.Millisecond
	// zoneFetchers is the number of hosts of each zone that fetch from other zones at once.
	zoneFetchers = 2
	// maxDirectFetchPeers is the number of peers up to which each host fetches from any other at once.
	maxDirectFetchPeers = 8
	// dutyFetch is the duty of the zoneFetchers.
	dutyFetch = "fetch"
)

// fetchNewer fetches from a peer the document and the host list that are newer than this host's, as far as fetch.State allows.
func (n *Node) fetchNewer(peer string, config, hosts conf.Version) {
	if config.NewerThan(n.observed.config) {
		n.observed.config = config
	}
	if hosts.NewerThan(n.observed.hosts) {
		n.observed.hosts = hosts
	}
	newerConfig, newerHosts := config.NewerThan(n.config.Version()), hosts.NewerThan(n.hostsVersion())
	if !newerConfig && !newerHosts {
		return
	}
	near := func() bool { return n.fetchesAtOnce(peer) }
	if newerConfig && n.observed.documentFetch.Offer(n.now, peer, config, n.config.Version(), near) {
		n.do(FetchDocument{Peer: peer})
	}
	if newerHosts && n.observed.hostsFetch.Offer(n.now, peer, hosts, n.hostsVersion(), near) {
		n.do(FetchHosts{Peer: peer})
	}
}

// documentFetched lets a document that a peer has sent be checked, unless that is in vain.
func (n *Node) documentFetched(in DocumentFetched) {
	if in.Version.Revision == 0 {
		n.observed.documentFetch.Refused(n.now)
		n.do(StateChange{Event: EventRejected, Text: fmt.Sprintf("from %s: it is no canonical document", in.Source)})
		return
	}
	text := &fetch.Text{Version: in.Version, Raw: in.Raw, Source: in.Source}
	n.checkNext(n.observed.documentFetch.Received(n.now, text, n.config.Version()))
}

// documentChecked applies a document of a peer that was checked. Then it lets the newest one be checked, or fetched, that this host has
// learned of meanwhile.
func (n *Node) documentChecked(in DocumentChecked) {
	n.documentReceived(DocumentReceived{Checked: in.Checked, Cost: in.Cost, Source: in.Source})
	f := &n.observed.documentFetch
	n.checkNext(f.Checked(n.config.Version()))
	if peer, ok := f.Next(n.now, n.config.Version()); ok {
		n.do(FetchDocument{Peer: peer})
	}
}

// fetchTick counts a tick, and asks other peers in place of those that have not answered in time.
func (n *Node) fetchTick() {
	documents, hosts := &n.observed.documentFetch, &n.observed.hostsFetch
	documents.Tick()
	hosts.Tick()
	if peer, ok := documents.Retry(n.now, n.config.Version()); ok {
		n.do(StateChange{Event: EventFetchRetried, Text: "configuration, now from " + peer})
		n.do(FetchDocument{Peer: peer})
	}
	if peer, ok := hosts.Retry(n.now, n.hostsVersion()); ok {
		n.do(StateChange{Event: EventFetchRetried, Text: "host list, now from " + peer})
		n.do(FetchHosts{Peer: peer})
	}
}

// checkNext lets a text be checked, and reports one that won't be; nil for none.
func (n *Node) checkNext(check, dropped *fetch.Text) {
	if dropped != nil {
		text := fmt.Sprintf("revision %d from %s, in force %d", dropped.Version.Revision, dropped.Source, n.config.Revision())
		n.do(StateChange{Event: EventDocumentSuperseded, Text: text})
	}
	if check != nil {
		n.do(CheckDocument{Raw: check.Raw, Source: check.Source})
	}
}

// fetchFails reports whether this host can't expect to get from its peers the newer versions that one of them has, and couldn't delay ago.
func (n *Node) fetchFails(config, hosts conf.Version, delay time.Duration) bool {
	haveConfig, haveHosts := n.config.Version(), n.hostsVersion()
	ticks := int((fetchFailureTime + delay) / TickInterval)
	return config.NewerThan(haveConfig) && n.observed.documentFetch.Failing(haveConfig, ticks) ||
		hosts.NewerThan(haveHosts) && n.observed.hostsFetch.Failing(haveHosts, ticks)
}

// fetchesAtOnce reports whether this host fetches from a peer without waiting for the hosts of its own zone.
func (n *Node) fetchesAtOnce(peer string) bool {
	if n.fetchesFromAll() || n.zoneOf(peer) == n.opts.Zone {
		return true
	}
	return slices.Contains(n.fetchersOf(n.opts.Zone), n.opts.Peer)
}

// fetchesFromAll reports whether hosts fetch from all their peers alike: where a host list names entry hosts, these are
// neighbours in an overlay of bounded degree.
func (n *Node) fetchesFromAll() bool {
	return n.peers.Listed() || len(n.peers.Addresses()) <= maxDirectFetchPeers
}

func (n *Node) zoneOf(peer string) string {
	if p := n.peers.Get(peer); p != nil {
		return p.Last.Zone
	}
	return ""
}

// fetchersOf returns the reachable hosts of a zone that fetch from other zones, this host among them if it is one.
func (n *Node) fetchersOf(zone string) []string {
	var hosts []string
	for _, address := range n.liveHosts() {
		if address == n.opts.Peer && zone == n.opts.Zone || address != n.opts.Peer && n.zoneOf(address) == zone {
			hosts = append(hosts, address)
		}
	}
	ranked := n.rankForDuty(dutyFetch, hosts)
	return ranked[:min(len(ranked), zoneFetchers)]
}

// announceVersions sends this host's state to the peers whose known configuration or host list is older, and that may fetch
// from it at once. The others learn of it by the next load digest.
func (n *Node) announceVersions() {
	config, hosts := n.config.Version(), n.hostsVersion()
	fetchers := make(map[string][]string) // by zone
	n.announce(func(p *member.Peer) bool {
		if !config.NewerThan(p.Last.Config()) && !hosts.NewerThan(p.Last.Hosts()) {
			return false
		}
		zone := p.Last.Zone
		if n.fetchesFromAll() || zone == n.opts.Zone || !p.Known {
			return true
		}
		if _, ok := fetchers[zone]; !ok {
			fetchers[zone] = n.fetchersOf(zone)
		}
		return slices.Contains(fetchers[zone], p.Last.Peer)
	})
	n.loads.Resend()
}
