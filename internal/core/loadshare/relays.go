package loadshare

import (
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/rendezvous"
)

// dutyRelay is the key of the rendezvous hash that ranks the hosts of a zone as relays.
const dutyRelay = "loads"

// relaysOf returns the relays of a zone, this host among them if it is one.
func (s *Sharer) relaysOf(now core.Time, zone string, members []Member) []Member {
	ranked := s.rank(now, zone, members)
	chosen := ranked[:min(len(ranked), relays)]
	for _, m := range chosen {
		s.expect(now, m.Peer)
	}
	return chosen
}

// counterparts returns one relay of each other zone, in order of zone. Each relay of a zone sends to another one there, so
// that no single loss cuts two zones off from each other.
func (s *Sharer) counterparts(now core.Time, members []Member) []Member {
	own := s.rank(now, s.self.Zone, members)
	position := max(slices.IndexFunc(own, func(m Member) bool { return m.Peer == s.self.Peer }), 0)
	var out []Member
	for _, zone := range otherZones(s.self.Zone, members) {
		ranked := s.rank(now, zone, members)
		if len(ranked) == 0 {
			continue
		}
		m := ranked[position%min(len(ranked), relays)]
		s.expect(now, m.Peer)
		out = append(out, m)
	}
	return out
}

// otherZones returns the zones of the members other than own, sorted.
func otherZones(own string, members []Member) []string {
	var zones []string
	for _, m := range members {
		if m.Zone != own {
			zones = append(zones, m.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// rank returns the hosts of a zone in order of preference as relays, this host among them if it is its own zone: first those
// with a wide link, then the others, each by rendezvous hash. It leaves out hosts that are leaving, and those that have not
// sent anything for relayTimeout although they were sent digests, unless no other is left.
func (s *Sharer) rank(now core.Time, zone string, members []Member) []Member {
	byPeer := make(map[string]Member)
	for _, m := range append(slices.Clone(members), s.self) {
		if m.Zone == zone && !m.Leaving {
			byPeer[m.Peer] = m
		}
	}
	var peers, silent []string
	for peer := range byPeer {
		if since, ok := s.unheard[peer]; ok && now-since >= relayTimeout {
			silent = append(silent, peer)
			continue
		}
		peers = append(peers, peer)
	}
	if len(peers) == 0 {
		peers = silent
	}
	var wide, narrow []Member
	widest := widestLink(peers, byPeer)
	for _, peer := range rendezvous.Rank(dutyRelay, peers) {
		if m := byPeer[peer]; m.hasWideLink(widest) {
			wide = append(wide, m)
		} else {
			narrow = append(narrow, m)
		}
	}
	return append(wide, narrow...)
}

// widestLink returns the largest known bandwidth of the peers, in megabits a second; 0 if none is known.
func widestLink(peers []string, byPeer map[string]Member) float64 {
	widest := 0.0
	for _, peer := range peers {
		widest = max(widest, byPeer[peer].LinkMbps)
	}
	return widest
}

// hasWideLink reports whether the bandwidth is unknown or at least half of the widest of the zone, in megabits a second.
func (m *Member) hasWideLink(widest float64) bool { return m.LinkMbps <= 0 || 2*m.LinkMbps >= widest }

// expect notes that a relay is sent digests, so that it should send bundles itself.
func (s *Sharer) expect(now core.Time, peer string) {
	if _, ok := s.unheard[peer]; !ok && peer != s.self.Peer {
		s.unheard[peer] = now
	}
}
