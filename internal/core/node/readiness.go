package node

import (
	"fmt"
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/rendezvous"
	"carobshunt/internal/core/target"
)

// knowledge is what this host has heard about the state of others, besides what it has in force.
type knowledge struct {
	// config and hosts are the highest versions that any peer had in force.
	config conf.Version
	hosts  conf.Version
	// fence is the highest fencing number that a target remembers.
	fence uint64
	// callers is the highest revision that a caller echoed. Callers can invent one, so it is shown and decides nothing.
	callers uint64
	// complete is when this host first had both a configuration and a host list.
	complete core.Time
	// platform is when the platform was last heard.
	platform platformHeard
	// documentPull and hostsPull are the last orders to pull from a peer.
	documentPull pull
	hostsPull    pull
	suspects     target.Suspects
	reads        bool
}

func newKnowledge() knowledge {
	return knowledge{complete: never, platform: newPlatformHeard()}
}

// settleTime is how long a starting host that has heard a configuration and a host list waits for the others: the
// first to answer may be the one that is behind.
const settleTime = 500 * time.Millisecond

// noteReadiness reports the moment at which the host first may serve. From then on it stays ready: it goes on with
// the configuration that it has, whoever falls silent.
func (n *Node) noteReadiness() {
	if n.ready {
		return
	}
	if n.knowledge.complete == never && n.config.Document() != nil && n.hosts != nil {
		n.knowledge.complete = n.now
		n.askFences()
	}
	if n.notReady() == "" {
		n.ready = true
		n.pacing.ready = n.now
		n.do(Note{Event: EventReady})
		n.announce(func(*member.Peer) bool { return true })
	}
}

// notReady returns why the host can't serve, or nothing.
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

// floor is the highest revision that is known to have been in force somewhere.
func (n *Node) floor() uint64 { return max(n.knowledge.config.Revision, n.knowledge.fence) }

// settled tells whether everybody who could know of a newer configuration has been heard, or had the time to answer.
// It ends early only when a peer is ready, since hosts that all start at once know no more than the platform.
func (n *Node) settled() bool {
	if n.knowledge.complete != never && n.now >= n.knowledge.complete+settleTime {
		return true
	}
	if n.opts.PlatformCurrent && n.knowledge.platform.here != never && n.config.HeardFrom() == conf.SourcePlatform && !n.behind() {
		return true
	}
	all, ready := n.peers.AllHeard(n.now)
	return all && ready && !n.behind()
}

// behind tells whether a peer had something newer in force.
func (n *Node) behind() bool {
	return n.knowledge.config.Above(n.config.Version()) || n.knowledge.hosts.Above(n.hostsVersion())
}

// fenceReads is how many engines a starting host asks for the fencing number that they remember.
const fenceReads = 8

// askFences asks some engines, others at each host, so that all hosts that start at once before a service that is
// behind ask many.
func (n *Node) askFences() {
	if n.opts.EnginesExpire {
		return
	}
	engines := rendezvous.Rank("fence "+n.opts.Peer, n.targetAddresses())
	for _, address := range engines[:min(len(engines), fenceReads)] {
		n.do(ReadOrders{Target: address})
	}
}

// fenceHeard takes the fencing number that an engine remembers: its revision was in force somewhere.
func (n *Node) fenceHeard(in OrdersRead) {
	n.knowledge.fence = max(n.knowledge.fence, in.State.Highest.Revision)
}

// wakeState is the course of waking up after the process slept.
type wakeState struct {
	active bool
	since  core.Time
	// fresh is true once a heartbeat that was sent after the sleep was heard.
	fresh bool
}

const (
	// sleepGap is the time between two inputs from which the process counts as having slept.
	sleepGap = time.Second
	// catchUpTime bounds how long a process that slept waits for news before it hands out work again.
	catchUpTime = time.Second
)

// noteSleep sees a gap between two inputs.
func (n *Node) noteSleep(now core.Time) {
	if now-n.now >= sleepGap && n.now > 0 {
		n.wake = wakeState{active: true, since: now}
	}
}

// catchingUp tells whether the process slept and has not heard since what changed meanwhile: a target may have left.
// New work waits for that long.
func (n *Node) catchingUp() bool { return n.wake.active }

func (n *Node) endCatchUp() {
	heard := n.wake.fresh && !n.behind()
	if !n.wake.active || (!heard && n.now < n.wake.since+catchUpTime) {
		return
	}
	n.do(Note{Event: EventSlept, Text: fmt.Sprintf("caught up after %v", n.now-n.wake.since)})
	n.wake = wakeState{}
}

// noteSuspects reports changes of what is suspected in the targets' place, and of who reads the platform.
func (n *Node) noteSuspects() {
	if reads := n.reads(); reads != n.knowledge.reads {
		n.knowledge.reads = reads
		n.do(Note{Event: EventReads, Text: fmt.Sprint(reads)})
	}
	suspects := n.targets.Suspects(n.now)
	if suspects.Link == n.knowledge.suspects.Link && slices.Equal(suspects.Zones, n.knowledge.suspects.Zones) {
		return
	}
	n.knowledge.suspects = suspects
	n.do(Note{Event: EventSuspects, Text: fmt.Sprintf("own link %t, zones %v", suspects.Link, suspects.Zones)})
}
