package node

import (
	"fmt"
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/fetch"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/rendezvous"
	"carobshunt/internal/core/target"
)

// observations is what this host has learned about the state of peers, targets, callers and the platform.
type observations struct {
	// config and hosts are the highest versions that any peer reported in force.
	config conf.Version
	hosts  conf.Version
	// fence is the highest revision among the fencing numbers that targets store.
	fence uint64
	// callersRevision is the highest revision that a caller echoed. Callers can forge it, so it is only displayed and
	// decides nothing.
	callersRevision uint64
	// configuredAt is when this host first had both a configuration and a host list.
	configuredAt core.Time
	// platform records when the platform last answered.
	platform platformContact
	// documentFetch and hostsFetch are the last fetches from a peer.
	documentFetch fetch.State
	hostsFetch    fetch.State
	// hostsRefused is the last host list that was refused.
	hostsRefused HostsRefused
	suspects     target.Suspects
	// reads is the last value of readsPlatform that was reported, false at first.
	reads bool
}

func newObservations() observations {
	return observations{configuredAt: never, platform: newPlatformContact()}
}

// settleTime is how long a starting host that has a configuration and a host list waits for further answers: the first
// answer may be an outdated one.
const settleTime = 500 * time.Millisecond

// updateReadiness reports when the host is first ready to serve. From then on it stays ready: it keeps serving with the
// configuration that it has, even if peers or the platform become unreachable.
func (n *Node) updateReadiness() {
	if n.ready {
		return
	}
	if n.observed.configuredAt == never && n.config.Document() != nil && n.hosts != nil {
		n.observed.configuredAt = n.now
		n.readFences()
	}
	if n.notReady() == "" {
		n.ready = true
		n.pacing.ready = n.now
		n.do(StateChange{Event: EventReady})
		n.announce(func(*member.Peer) bool { return true })
	}
}

// notReady returns the reason why the host can't serve yet, or an empty string.
func (n *Node) notReady() string {
	switch {
	case n.ready:
		return ""
	case n.config.Document() == nil:
		return "no configuration heard yet"
	case n.hosts == nil:
		return "no host list heard yet"
	case n.config.Revision() < n.floor():
		return fmt.Sprintf("configuration revision %d is behind revision %d, which was in force", n.config.Revision(), n.floor())
	case !n.settled():
		return "waiting for the answers of other hosts and targets"
	}
	return ""
}

// floor returns the highest revision that peers or engines have shown to have been in force on a host.
func (n *Node) floor() uint64 { return max(n.observed.config.Revision, n.observed.fence) }

// settled reports whether everyone who may know a newer configuration has answered, or settleTime has passed. Answers of
// all peers suffice only if one of them is ready, since hosts that all start at once know no more than the platform. A
// configuration from the platform suffices if platformSuffices. Neither does while a peer is known to have a newer version.
func (n *Node) settled() bool {
	if n.observed.configuredAt != never && n.now >= n.observed.configuredAt+settleTime {
		return true
	}
	if n.platformSuffices() && !n.behind() && n.peersAsked() {
		return true
	}
	all, ready := n.peers.AllAlive(n.now)
	return all && ready && !n.behind()
}

// platformSuffices reports whether the configuration in force is the newest one because the platform has told this host.
func (n *Node) platformSuffices() bool {
	p := &n.observed.platform
	return n.opts.PlatformCurrent && p.local != never && !p.restored && n.config.Source() == conf.SourcePlatform
}

// peerAnswerTime is how long a starting host waits for a ready peer to tell it what targets have said of themselves.
const peerAnswerTime = 150 * time.Millisecond

// peersAsked reports whether a ready peer has answered since this host started, or none will: the platform does not know
// which targets have said that they leave.
func (n *Node) peersAsked() bool {
	addresses := n.peers.Addresses()
	if len(addresses) == 0 || n.observed.configuredAt != never && n.now >= n.observed.configuredAt+peerAnswerTime {
		return true
	}
	return slices.ContainsFunc(addresses, func(address string) bool {
		p := n.peers.Get(address)
		return p.Alive(n.now) && p.Last.Ready
	})
}

// behind reports whether a peer has had a newer configuration or host list in force.
func (n *Node) behind() bool {
	return n.observed.config.NewerThan(n.config.Version()) || n.observed.hosts.NewerThan(n.hostsVersion())
}

// maxFenceReads is the number of engines from which a starting host reads the stored fencing number.
const maxFenceReads = 8

// readFences reads the fencing numbers of some engines. Each host ranks them differently, so that hosts that all start
// at once, while the platform serves an outdated configuration, together cover many engines.
func (n *Node) readFences() {
	if n.opts.EnginesExpire {
		return
	}
	engines := rendezvous.Rank("fence "+n.opts.Peer, n.targetAddresses())
	for _, address := range engines[:min(len(engines), maxFenceReads)] {
		n.do(ReadOrders{Target: address})
	}
}

// recordFence records the fencing number that an engine stores: its revision has been in force on some host.
func (n *Node) recordFence(in OrdersRead) {
	n.observed.fence = max(n.observed.fence, in.State.Highest.Revision)
}

// resumeState is the progress of catching up after the process was suspended.
type resumeState struct {
	active bool
	since  core.Time
	// fresh is set once a heartbeat has arrived that took at most 0.5 s longer than the fastest one of its sender: it was
	// not buffered for long during the suspension.
	fresh bool
}

const (
	// pauseGap is the time between two inputs, several ticks, from which the process had no processor time. What targets have sent
	// meanwhile is read only afterwards.
	pauseGap = 6 * TickInterval
	// suspensionGap is the time between two inputs from which the process counts as having been suspended.
	suspensionGap = time.Second
	// catchUpTime bounds how long a resumed process waits for updates before it dispatches requests again.
	catchUpTime = time.Second
)

// detectSuspension starts to catch up if the time since the last input shows that the process was suspended.
func (n *Node) detectSuspension(now core.Time) {
	if now-n.now >= pauseGap && n.now > 0 {
		n.runningSince = now
	}
	if now-n.now >= suspensionGap && n.now > 0 {
		n.resume = resumeState{active: true, since: now}
		n.quarantine.Resumed()
	}
}

// catchingUp reports whether the process was suspended and has not yet learned what changed meanwhile: a target may have
// left. Nothing is dispatched until then.
func (n *Node) catchingUp() bool { return n.resume.active }

func (n *Node) endCatchUp() {
	caughtUp := n.resume.fresh && !n.behind()
	if !n.resume.active || (!caughtUp && n.now < n.resume.since+catchUpTime) {
		return
	}
	n.do(StateChange{Event: EventResumed, Text: fmt.Sprintf("caught up after %v", n.now-n.resume.since)})
	n.resume = resumeState{}
}

// reportSuspects reports changes of whether this host reads the platform, and of the suspicion that its own link or a
// zone has failed rather than single targets.
func (n *Node) reportSuspects() {
	if reads := n.readsPlatform(); reads != n.observed.reads {
		n.observed.reads = reads
		n.do(StateChange{Event: EventReadsPlatform, Text: fmt.Sprint(reads)})
	}
	suspects := n.targets.Suspects(n.now)
	if suspects.Link == n.observed.suspects.Link && slices.Equal(suspects.Zones, n.observed.suspects.Zones) {
		return
	}
	n.observed.suspects = suspects
	n.do(StateChange{Event: EventSuspects, Text: fmt.Sprintf("own link %t, zones %v", suspects.Link, suspects.Zones)})
}
