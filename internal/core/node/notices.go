package node

import (
	"fmt"
	"slices"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/target"
	"carobshunt/internal/core/throttle"
)

// noticeReceived records what a target says of itself in the answer to a dispatch, and tells the other hosts what has
// changed. A nil notice has no effect.
func (n *Node) noticeReceived(address string, d target.Dispatch, notice *target.Notice) {
	t := n.targets.Get(address)
	if notice == nil || t == nil {
		return
	}
	for _, fault := range notice.Faults {
		n.do(StateChange{Event: EventNoticeInvalid, Text: address + ": " + fault})
	}
	if notice.RetryAfter > 0 {
		n.holdOff(t, notice.RetryAfter)
	}
	if change, changed := n.targets.ApplyNotice(n.now, t, d, notice); changed {
		n.reportStanding(change, "its answer")
		n.announce(func(p *member.Peer) bool { return n.sameCell(p.Last.Peer) })
	}
}

// holdJitter is the inverse of the part by which a hold is longer than the target asked for, at most. The hosts that it
// refused at the same moment then do not all return at once.
const holdJitter = 4

// holdOff sends a target nothing for at least the time that it asked for.
func (n *Node) holdOff(t *target.Target, d time.Duration) {
	t.HoldOff(n.now, d+time.Duration(n.rng.Int64N(int64(d/holdJitter)+1)))
	n.do(StateChange{Event: EventTargetHeldOff, Text: fmt.Sprintf("%s wants nothing for %v, held for %v", t.Address, d, t.HeldFor(n.now))})
}

// noticesPublished records what a peer's heartbeat tells of targets.
func (n *Node) noticesPublished(hb *member.Heartbeat) {
	for i := range hb.Notices {
		age := time.Duration(hb.ClockMs-hb.Notices[i].HeardMs) * time.Millisecond
		if change, changed := n.targets.ApplyPublished(n.now, age, &hb.Notices[i]); changed {
			n.reportStanding(change, fmt.Sprintf("%s, %d ms old", hb.Peer, age.Milliseconds()))
		}
	}
}

// reportStanding reports a change of what holds of a target, and where it was learned.
func (n *Node) reportStanding(c target.StandingChange, source string) {
	if c.Limit != c.WasLimit {
		n.do(StateChange{
			Event: EventTargetLimit,
			Text:  fmt.Sprintf("%s takes %g requests a second, before %g (0: no limit), by %s", c.Address, c.Limit, c.WasLimit, source),
		})
	}
	if c.NowLeaving {
		n.do(StateChange{Event: EventTargetLeaving, Text: fmt.Sprintf("%s, by %s", c.Address, source)})
	}
}

// senderState is what a host knows of the hosts that may send to limited targets.
type senderState struct {
	// hosts are the peer addresses of the hosts that take part, this one included if it does. They have been the same since
	// hostsSince.
	hosts      []string
	hostsSince core.Time
}

const (
	// senderTimeout is how long a host that is no longer heard from counts as a sender. It may only be cut off.
	senderTimeout = 15 * time.Second
	// senderSettleTime is how long the hosts must have been the same for all to agree on the senders.
	senderSettleTime = 3 * time.Second
)

// updateSenders updates the hosts that may send to limited targets.
func (n *Node) updateSenders() {
	var hosts []string
	if !n.drain.active {
		hosts = append(hosts, n.opts.Peer)
	}
	for _, address := range n.peers.Addresses() {
		if p := n.peers.Get(address); n.mayBeSender(p) {
			hosts = append(hosts, address)
		}
	}
	slices.Sort(hosts)
	if !slices.Equal(hosts, n.senders.hosts) {
		n.senders.hosts, n.senders.hostsSince = hosts, n.now
	}
	n.targets.UpdateSenders(n.now)
}

// mayBeSender reports whether a peer may be sending to limited targets.
func (n *Node) mayBeSender(p *member.Peer) bool {
	recent := p.Alive(n.now) || p.Known && n.now-p.LastSeen < senderTimeout
	return recent && !p.Last.Draining && !p.Leaving
}

// Self implements target.Fleet.
func (n *Node) Self() string { return n.opts.Peer }

// Senders implements target.Fleet.
func (n *Node) Senders(address string, limit float64) []string {
	return throttle.Senders(address, limit, n.inCellOf(address, n.senders.hosts))
}

// Settled implements target.Fleet.
func (n *Node) Settled() bool { return n.now-n.senders.hostsSince >= senderSettleTime }

// refuseRestricted ends the waiting requests that only targets could serve that name a limit or want no requests for a while,
// if none will take them within the time that they may wait. It refuses them at once, with the time until one will.
func (n *Node) refuseRestricted() {
	type refusal struct {
		rec   *ledger.Record
		after time.Duration
	}
	var refused []refusal
	ahead := make(map[string]int) // waiting requests by service
	n.queue.Each(n.now, func(rec *ledger.Record) bool {
		if rec.Request.Routed == nil {
			return false
		}
		wait, restricted := n.restrictedWait(rec, ahead[rec.Request.Model])
		if restricted && n.now+wait > rec.WaitingSince+n.waitLimit(rec) {
			refused = append(refused, refusal{rec, wait})
			return false
		}
		ahead[rec.Request.Model]++
		return false
	})
	for _, r := range refused {
		n.finish(r.rec, n.restrictedResult(r.rec, r.after))
	}
}

// restrictedResult returns the result of a request whose targets take no more requests for a time.
func (n *Node) restrictedResult(rec *ledger.Record, after time.Duration) core.Result {
	return core.Result{
		Outcome:    outcomeWithoutAnswer(rec),
		Code:       api.CodeTargetLimit,
		Message:    "the targets take no more requests now",
		RetryAfter: after + n.retryAfter(overloadRetryAfter),
	}
}

// restrictedWait returns how long a request has to wait for a target behind the given number of others, if all the targets
// that could serve it name a limit or want no requests for a while. It reports false if there is another reason why it
// waits.
func (n *Node) restrictedWait(rec *ledger.Record, ahead int) (time.Duration, bool) {
	soonest := time.Duration(-1)
	for _, t := range n.targets.All() {
		if !t.Serves(rec.Request.Model) || t.Leaves() {
			continue
		}
		wait := t.HeldFor(n.now)
		switch {
		case wait > 0:
		case !t.Limited() || !t.Eligible(n.now):
			return 0, false
		default:
			wait = n.limitWait(t, ahead)
		}
		if soonest < 0 || wait < soonest {
			soonest = wait
		}
	}
	return soonest, soonest >= 0
}

// limitElsewhere is the time after which a caller may return if only other hosts send to the targets: it may reach one of
// them.
const limitElsewhere = time.Second

// limitWait returns how long a request has to wait for a limited target behind the given number of others.
func (n *Node) limitWait(t *target.Target, ahead int) time.Duration {
	if wait, sender := t.LimitWait(n.now, ahead); sender {
		return wait
	}
	return limitElsewhere
}
