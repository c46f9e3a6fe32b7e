package node

import (
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/rendezvous"
)

// New documents and host lists spread from the hosts that read them from the platform. In a large fleet whose host list
// names no entry hosts, a few hosts of each availability zone fetch them from other zones, and the others fetch from hosts
// of their own zone. So no host serves the whole fleet, and a text crosses into a zone only a few times.

const (
	// fetchTimeout is how long a fetch may take before the same version is requested again.
	fetchTimeout = 500 * time.Millisecond
	// refusedFetchPause is how long a version of the document or the host list that was refused is not fetched again.
	refusedFetchPause = 10 * time.Second
	// farFetchDelay is how long a host waits for one of its zone to have a version before it fetches it from another zone.
	farFetchDelay = 300 * time.Millisecond
	// zoneFetchers is the number of hosts of each zone that fetch from other zones at once.
	zoneFetchers = 2
	// maxDirectFetchPeers is the number of peers up to which each host fetches from any other at once.
	maxDirectFetchPeers = 8
	// dutyFetch is the key of the rendezvous hash that chooses the zoneFetchers.
	dutyFetch = "fetch"
)

// fetch is the state of fetching the document or the host list from peers.
type fetch struct {
	// version is that of the last request. After until, it may be requested again.
	version conf.Version
	until   core.Time
	// newest is the highest version that a peer offered, newestAt when one first did.
	newest   conf.Version
	newestAt core.Time
}

// due reports whether an offered version is to be fetched now, and if so records the fetch. An offer that is not near is
// only taken up after farFetchDelay.
func (f *fetch) due(now core.Time, offered, have conf.Version, near func() bool) bool {
	if !offered.NewerThan(have) || (now < f.until && !offered.NewerThan(f.version)) {
		return false
	}
	if offered.NewerThan(f.newest) {
		f.newest, f.newestAt = offered, now
	}
	if now < f.newestAt+farFetchDelay && !near() {
		return false
	}
	f.version, f.until = offered, now+fetchTimeout
	return true
}

// fetchNewer fetches from a peer the document and the host list that are newer than this host's, unless a fetch of the same
// or a newer version may still be answered, the document of that version was refused within refusedFetchPause, or a host
// of this zone is expected to have them soon.
func (n *Node) fetchNewer(peer string, config, hosts conf.Version) {
	if config.NewerThan(n.observed.config) {
		n.observed.config = config
	}
	if hosts.NewerThan(n.observed.hosts) {
		n.observed.hosts = hosts
	}
	near := func() bool { return n.fetchesAtOnce(peer) }
	if n.observed.documentFetch.due(n.now, config, n.config.Version(), near) {
		n.do(FetchDocument{Peer: peer})
	}
	if n.observed.hostsFetch.due(n.now, hosts, n.hostsVersion(), near) {
		n.do(FetchHosts{Peer: peer})
	}
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
	ranked := rendezvous.Rank(dutyFetch, hosts)
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
