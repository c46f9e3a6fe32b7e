package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/quarantine"
	"carobshunt/internal/core/rendezvous"
	"carobshunt/internal/core/target"
)

// quarantineBegin records a dispatch that begins at a target. One that a verdict covers is let through to see whether the
// targets have been mended.
func (n *Node) quarantineBegin(rec *ledger.Record, t *target.Target, d target.Dispatch) {
	parts := rec.Request.Parts
	if v := n.quarantine.Withholds(parts); v != nil {
		n.quarantine.Probe(n.now, v)
		rec.Probe = true
		text := fmt.Sprintf("%s with %s at %s, number %d", rec.Request.ID, verdictParts(v), t.Address, v.Probes)
		n.do(StateChange{Event: EventPromptProbed, Text: text})
	}
	n.quarantine.Begin(n.now, quarantine.Run{
		Dispatch: d, Parts: parts, Process: t.Process(), Exposure: t.ExpectedPrefill(d) + quarantine.ProvenTime,
	})
}

// quarantineEnded records what the end of a dispatch shows of its prompt. blameless is set if no answer came for a reason
// other than the target.
func (n *Node) quarantineEnded(in DispatchEnded, blameless bool) {
	d := in.ID()
	rec := n.active[in.Key]
	switch {
	case in.Ending == EndedDone && rec != nil:
		n.quarantine.Done(n.now, d, rec.Request.Parts)
	case in.Ending == EndedLost && !blameless:
		n.quarantine.Lost(n.now, d)
	default:
		n.quarantine.Drop(d)
	}
}

// targetAlive records that a target was seen alive.
func (n *Node) targetAlive(t *target.Target) {
	t.MarkSeen(n.now)
	n.quarantine.Alive(n.now, t.Process())
}

// quarantineTick applies what has changed, and tells the other hosts.
func (n *Node) quarantineTick() {
	n.applyVerdicts()
	n.tellQuarantine()
}

// applyVerdicts reports which prompts are withheld, or no longer, and ends the requests that are covered.
func (n *Node) applyVerdicts() {
	changes := n.quarantine.Tick(n.now)
	for i := range changes {
		n.reportVerdict(&changes[i])
	}
	if len(changes) > 0 || n.coveredWaits {
		n.coveredWaits = false
		n.endCovered()
	}
}

func (n *Node) reportVerdict(c *quarantine.Change) {
	if c.Ended {
		n.do(StateChange{Event: EventPromptReleased, Text: verdictParts(&c.Verdict) + ": " + c.Reason})
		return
	}
	n.do(StateChange{Event: EventPromptWithheld, Text: withheldText(c)})
}

// withheldText tells which prompts are withheld, and on which evidence.
func withheldText(c *quarantine.Change) string {
	v := &c.Verdict
	return fmt.Sprintf("%s, by %s: targets ended at %d moments in %v, seen by %s; %s",
		verdictParts(v), v.By, v.Ends, v.Since-v.First, strings.Join(v.Hosts, ", "), c.Reason)
}

// endCovered ends the requests that a verdict covers and whose answer has not begun: each may end a target. The one that was
// let through goes on.
func (n *Node) endCovered() {
	var covered []*ledger.Record
	for _, rec := range n.active {
		if rec.Timing.FirstToken == 0 && !rec.Probe && n.withholds(&rec.Request) != nil {
			covered = append(covered, rec)
		}
	}
	slices.SortFunc(covered, func(a, b *ledger.Record) int { return a.Request.Compare(b.Request.Key) })
	for _, rec := range covered {
		n.abort(rec)
		n.finishWithheld(rec, n.withholds(&rec.Request))
	}
}

// withholds returns the verdict that covers a request, unless this host may let one through now; nil for none.
func (n *Node) withholds(req *core.Request) *quarantine.Verdict {
	if v := n.quarantine.Withholds(req.Parts); v != nil && !n.mayProbe(v) {
		return v
	}
	return nil
}

// checkQuarantine refuses a request whose prompt is withheld.
func (n *Node) checkQuarantine(req *core.Request) core.Result {
	if v := n.withholds(req); v != nil {
		n.withheldRequests++
		return n.withheldResult(v)
	}
	return core.Result{}
}

func (n *Node) finishWithheld(rec *ledger.Record, v *quarantine.Verdict) {
	n.withheldRequests++
	result := n.withheldResult(v)
	result.Outcome = outcomeWithoutAnswer(rec)
	n.finish(rec, result)
}

// withheldResult returns the result of a request that a verdict covers. It may come back when the next one is let through.
func (n *Node) withheldResult(v *quarantine.Verdict) core.Result {
	return core.Result{
		Code:       api.CodeHarmfulPrompt,
		Message:    fmt.Sprintf("prompts with %s have ended the targets that ran them", verdictParts(v)),
		RetryAfter: max(v.NextProbe()-n.now, 0) + n.retryAfter(overloadRetryAfter),
	}
}

// verdictParts names the parts of a verdict.
func verdictParts(v *quarantine.Verdict) string {
	return "parts " + core.PartsText(v.Parts)
}

// probeTurn is how long a host may let a withheld request through before another one may: it may get none.
const probeTurn = 30 * time.Second

// mayProbe reports whether this host may let a request through that a verdict covers. The hosts take turns, so that few do
// so at a time.
func (n *Node) mayProbe(v *quarantine.Verdict) bool {
	if n.now < v.NextProbe() {
		return false
	}
	hosts := []string{n.opts.Peer}
	for _, address := range n.peers.Addresses() {
		if n.takesRequests(n.peers.Get(address)) {
			hosts = append(hosts, address)
		}
	}
	turn := rendezvous.Position("probe "+verdictParts(v), n.opts.Peer, hosts)
	return n.now >= v.NextProbe()+time.Duration(turn)*probeTurn
}

// tellQuarantine tells the other hosts what is new: of a verdict at once, of evidence a few times within the interval of
// heartbeats.
func (n *Node) tellQuarantine() {
	fresh, urgent := n.quarantine.News()
	pause := member.IntervalFor(len(n.peers.Addresses())) / 2
	if !fresh || !urgent && n.now-n.quarantineTold < pause {
		return
	}
	n.quarantineTold = n.now
	n.quarantine.Told()
	n.announce(func(p *member.Peer) bool { return urgent || n.sameCell(p.Last.Peer) })
}

// quarantineReceived records what a peer's heartbeat tells of harmful prompts.
func (n *Node) quarantineReceived(hb *member.Heartbeat) {
	from := quarantine.Sender{Peer: hb.Peer, Incarnation: hb.Incarnation, Clock: core.Time(hb.ClockMs) * time.Millisecond}
	n.quarantine.Receive(n.now, from, hb.PromptRates, &hb.Prompts)
	n.applyVerdicts()
}

// withheldStatus returns the verdicts in force for operators.
func (n *Node) withheldStatus() []api.WithheldPrompts {
	var out []api.WithheldPrompts
	for _, v := range n.quarantine.Verdicts() {
		w := api.WithheldPrompts{
			SinceMs: (n.now - v.Since).Milliseconds(), By: v.By, Ends: v.Ends, Hosts: v.Hosts, Probes: v.Probes,
			NextProbeMs: max(v.NextProbe()-n.now, 0).Milliseconds(),
		}
		for _, part := range v.Parts {
			w.Parts = append(w.Parts, part.String())
		}
		out = append(out, w)
	}
	return out
}
