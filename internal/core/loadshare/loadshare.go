// Package loadshare decides which hosts send load digests to which others by datagram, so that each host knows soon what
// all others have placed at the targets.
//
// A few hosts send their digests to each other directly. With more, a host sends its digest to the relays of its
// availability zone. A relay passes what it has collected on to the hosts of its zone and to one relay of each other zone,
// which passes it on in its own zone. So a digest crosses into a zone once for each relay, and what a host sends does not
// grow with the number of hosts.
//
// A relay sends each digest to every host of its zone, which takes more than the link of a small host. The hosts of a zone
// whose link has at least half the bandwidth of the widest are relays before the others. A host whose bandwidth is unknown
// counts as one of them.
//
// A host is a relay because others send to it, not because it believes to be one: hosts that disagree on the relays lose
// no digest. Digests carry sequence numbers, so it does no harm that several relays pass on the same one.
package loadshare

import (
	"maps"
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
)

// Freshness is the versions that a host has in force, and how long ago the platform answered it.
type Freshness struct {
	// Age is the time since the platform last answered the host; negative for never or unknown.
	Age    time.Duration
	Config conf.Version
	Hosts  conf.Version
}

// Digest is the load that one host has placed at targets, with its Freshness.
type Digest struct {
	// Peer is the host's peer address, Incarnation that of its process.
	Peer        string
	Incarnation string
	// Sequence increases with each digest of an incarnation.
	Sequence uint64
	// Loads is the encoded load, see target.Table.Digest.
	Loads     []byte
	Freshness Freshness
}

// Hop says who passes a bundle on.
type Hop int

const (
	// HopFinal is for bundles that nobody passes on.
	HopFinal Hop = iota
	// HopToRelay is for bundles that the receiver passes on to the hosts of its zone and to a relay of each other zone.
	HopToRelay
	// HopToZone is for bundles that the receiver passes on to the hosts of its own zone.
	HopToZone
)

// Bundle is the content of one datagram.
type Bundle struct {
	Hop     Hop
	Digests []Digest
}

// Message is a bundle to send to the load addresses of hosts. Compact is set if all of them read the compact form.
type Message struct {
	To      []string
	Bundle  Bundle
	Compact bool
}

// Member is a host that exchanges digests.
type Member struct {
	Peer string
	Zone string
	// LoadsAddress receives its datagrams.
	LoadsAddress string
	// Leaving is set for a host that is about to stop. It is no relay.
	Leaving bool
	// LinkMbps is the bandwidth of its link in megabits a second; 0 if it is unknown.
	LinkMbps float64
	// ReadsCompact is set for a host that reads bundles in the compact form, which hosts of older versions don't.
	ReadsCompact bool
}

const (
	// relays is the number of relays of each zone. All of them are used at the same time, so that the loss of one delays
	// nothing.
	relays = 2
	// maxDirectMembers is the number of other hosts up to which each sends its digest to all others itself.
	maxDirectMembers = 8
	// minInterval is the minimum time between two messages to up to minIntervalMembers hosts. To more hosts it grows in
	// proportion, so that a host sends at most 750 datagrams a second.
	minInterval        = 4 * time.Millisecond
	minIntervalMembers = 3
	// resendInterval is the time after which an unchanged digest is sent again, since a datagram may be lost.
	resendInterval = 500 * time.Millisecond
	// relayTimeout is how long a relay may be sent digests without sending anything before another takes its place.
	relayTimeout = 600 * time.Millisecond
)

// Sharer holds what one host has sent and received. It is not safe for concurrent use.
type Sharer struct {
	self        Member
	incarnation string
	sequence    uint64
	// sent is when this host's own digest was last due, and changes the count of load changes then. Both advance even if
	// there was no host to send it to.
	sent    core.Time
	changes uint64
	// received holds the last digest of each peer, by peer address.
	received map[string]received
	// pending are the digests to pass on, by peer address. This was last done at relayed, to as many hosts as relayInterval
	// is for.
	pending       map[string]pendingDigest
	relayed       core.Time
	relayInterval time.Duration
	// unheard holds, for each relay that has sent nothing since this host sent to it, when this host first did.
	unheard map[string]core.Time
}

// received identifies the last digest of a peer.
type received struct {
	incarnation string
	sequence    uint64
	at          core.Time
}

// pendingDigest is a digest to pass on to this host's zone, and also to the other zones if acrossZones is set.
type pendingDigest struct {
	digest      Digest
	at          core.Time
	acrossZones bool
}

// New returns the Sharer of a process that has sent nothing yet.
func New(self Member, incarnation string) *Sharer {
	return &Sharer{
		self:          self,
		incarnation:   incarnation,
		received:      make(map[string]received),
		pending:       make(map[string]pendingDigest),
		relayInterval: minInterval,
		unheard:       make(map[string]core.Time),
	}
}

// Receive records a bundle from a peer and returns the digests to apply: those that are later than the last of their
// peer. It ignores digests of processes for which current reports false.
func (s *Sharer) Receive(now core.Time, from string, b Bundle, current func(peer, incarnation string) bool) []Digest {
	delete(s.unheard, from)
	var later []Digest
	for _, d := range b.Digests {
		if d.Peer == s.self.Peer || !current(d.Peer, d.Incarnation) {
			continue
		}
		isLater := s.recordReceived(now, &d)
		if b.Hop == HopToRelay || b.Hop == HopToZone && isLater {
			s.addPending(now, d, b.Hop == HopToRelay)
		}
		if isLater {
			later = append(later, d)
		}
	}
	return later
}

// recordReceived reports whether a digest is later than the last one of its peer, and records it then.
func (s *Sharer) recordReceived(now core.Time, d *Digest) bool {
	last, ok := s.received[d.Peer]
	if ok && last.incarnation == d.Incarnation && d.Sequence <= last.sequence {
		return false
	}
	s.received[d.Peer] = received{incarnation: d.Incarnation, sequence: d.Sequence, at: now}
	return true
}

// addPending adds a digest to those to pass on, unless a later one of the same process is there already.
func (s *Sharer) addPending(now core.Time, d Digest, acrossZones bool) {
	old, ok := s.pending[d.Peer]
	if ok && old.digest.Incarnation == d.Incarnation && old.digest.Sequence > d.Sequence {
		return
	}
	s.pending[d.Peer] = pendingDigest{digest: d, at: now, acrossZones: acrossZones || old.acrossZones}
}

// Resend makes this host's own digest due.
func (s *Sharer) Resend() { s.sent = min(s.sent, -resendInterval) }

// LastReceived returns the incarnation of a peer's last digest and when it was received. It reports false if there is none.
func (s *Sharer) LastReceived(peer string) (incarnation string, at core.Time, ok bool) {
	last, ok := s.received[peer]
	return last.incarnation, last.at, ok
}

// OldestAge returns the age of the oldest of the peers' last digests; 0 without any.
func (s *Sharer) OldestAge(now core.Time) time.Duration {
	age := time.Duration(0)
	for _, last := range s.received {
		age = max(age, now-last.at)
	}
	return age
}

// Heard records that a peer was heard from by other means than a bundle.
func (s *Sharer) Heard(peer string) { delete(s.unheard, peer) }

// Forget drops what is known of a peer that is no longer reachable.
func (s *Sharer) Forget(peer string) {
	delete(s.received, peer)
	delete(s.pending, peer)
	delete(s.unheard, peer)
}

// Send returns the messages that are due: this host's own digest if the load has changed or resendInterval has passed, and
// the digests to pass on. The members are the reachable other hosts, in any order that is the same at the same input; they
// are only asked for, and so is the digest, if something may be due. The caller calls Send after each of its inputs.
func (s *Sharer) Send(now core.Time, changes uint64, members func() []Member, own func() ([]byte, Freshness)) []Message {
	ownDue := now-s.sent >= s.ownInterval(changes)
	relayDue := len(s.pending) > 0 && now-s.relayed >= s.relayInterval
	if !ownDue && !relayDue {
		return nil
	}
	known := members()
	var out []Message
	if ownDue && now-s.sent >= s.directInterval(known) {
		s.sent, s.changes = now, changes
		out = s.sendOwn(now, known, own)
	}
	if relayDue {
		out = append(out, s.passOn(now, known)...)
	}
	return out
}

// ownInterval returns the least time between two own digests, whoever they are sent to.
func (s *Sharer) ownInterval(changes uint64) time.Duration {
	if changes == s.changes {
		return resendInterval
	}
	return minInterval
}

// directInterval returns the least time between two own digests to the members, or to the relays if there are more members.
func (s *Sharer) directInterval(members []Member) time.Duration {
	if len(members) > maxDirectMembers {
		return minInterval
	}
	return intervalFor(len(members))
}

// intervalFor returns the least time between two messages to that many hosts.
func intervalFor(hosts int) time.Duration {
	return minInterval * time.Duration(max(hosts, minIntervalMembers)) / minIntervalMembers
}

// DeliveryTime returns the mean time that a digest takes to reach the hosts of its zone: half an interval until it is sent, and half
// an interval until a relay passes it on. The numbers are those of other hosts, in the zone and in all.
func (s *Sharer) DeliveryTime(zoneHosts, hosts int) time.Duration {
	if hosts <= maxDirectMembers {
		return intervalFor(hosts) / 2
	}
	return (minInterval + intervalFor(zoneHosts)) / 2
}

// sendOwn returns the messages with this host's own digest. Where this host is a relay itself, the digest is passed on with
// the others.
func (s *Sharer) sendOwn(now core.Time, members []Member, own func() ([]byte, Freshness)) []Message {
	if len(members) == 0 {
		return nil
	}
	s.sequence++
	digest := Digest{Peer: s.self.Peer, Incarnation: s.incarnation, Sequence: s.sequence}
	digest.Loads, digest.Freshness = own()
	if len(members) <= maxDirectMembers {
		return messageTo(members, Bundle{Hop: HopFinal, Digests: []Digest{digest}})
	}
	var to []Member
	for _, m := range s.relaysOf(now, s.self.Zone, members) {
		if m.Peer == s.self.Peer {
			s.addPending(now, digest, true)
			continue
		}
		to = append(to, m)
	}
	return messageTo(to, Bundle{Hop: HopToRelay, Digests: []Digest{digest}})
}

// passOn returns the messages with the pending digests.
func (s *Sharer) passOn(now core.Time, members []Member) []Message {
	zone := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Zone != s.self.Zone })
	across := s.counterparts(now, members)
	s.relayed, s.relayInterval = now, intervalFor(len(zone)+len(across))
	inZone, acrossZones := s.takePending(now)
	out := messageTo(zone, Bundle{Hop: HopFinal, Digests: inZone})
	if len(acrossZones) > 0 {
		out = append(out, messageTo(across, Bundle{Hop: HopToZone, Digests: acrossZones})...)
	}
	return out
}

// takePending removes the pending digests. It returns all of them and those that also go to other zones, in order of peer
// address, with their age as of now.
func (s *Sharer) takePending(now core.Time) (inZone, acrossZones []Digest) {
	for _, peer := range slices.Sorted(maps.Keys(s.pending)) {
		p := s.pending[peer]
		if p.digest.Freshness.Age >= 0 {
			p.digest.Freshness.Age += now - p.at
		}
		inZone = append(inZone, p.digest)
		if p.acrossZones {
			acrossZones = append(acrossZones, p.digest)
		}
	}
	clear(s.pending)
	return inZone, acrossZones
}

// messageTo returns the message to the members in each form that some of them read, or none without any.
func messageTo(members []Member, b Bundle) []Message {
	compact, plain := Message{Bundle: b, Compact: true}, Message{Bundle: b}
	for _, to := range members {
		if to.ReadsCompact {
			compact.To = append(compact.To, to.LoadsAddress)
		} else {
			plain.To = append(plain.To, to.LoadsAddress)
		}
	}
	return slices.DeleteFunc([]Message{compact, plain}, func(m Message) bool { return len(m.To) == 0 })
}
