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
	"carobshunt/internal/hostlist"
)

// quarantineBegin records a dispatch that begins at a target. One that a verdict covers is let through to see whether the
// targets have been mended.
func (n *Node) quarantineBegin(rec *ledger.Record, t *target.Target, d target.Dispatch) {
	req := &rec.Request
	if v := n.quarantine.Withholds(req.Parts, req.Works); v != nil {
		n.quarantine.Probe(n.now, v)
		rec.Probe = true
		text := fmt.Sprintf("%s with %s at %s, number %d", req.ID, v.Subject(), t.Address, v.Probes)
		n.do(StateChange{Event: EventWorkProbed, Text: text})
	}
	run := quarantine.Run{Dispatch: d, Parts: req.Parts, Works: req.Works, Process: t.Process(), Plain: t.Role == hostlist.RoleService}
	if !run.Plain {
		run.Exposure = t.ExpectedPrefill(d) + quarantine.ProvenTime
	}
	n.quarantine.Begin(n.now, run)
}

// quarantineEnded records what the end of a dispatch shows of its prompt. blameless is set if no answer came for a reason
// other than the target.
func (n *Node) quarantineEnded(in DispatchEnded, blameless bool) {
	d := in.ID()
	rec := n.active[in.Key]
	switch {
	case in.Ending == EndedDone && rec != nil:
		n.quarantine.Done(n.now, d, rec.Request.Parts, rec.Request.Works)
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
		n.do(StateChange{Event: EventWorkReleased, Text: c.Verdict.Subject() + ": " + c.Reason})
		return
	}
	n.do(StateChange{Event: EventWorkWithheld, Text: withheldText(c)})
}

// withheldText tells which prompts are withheld, and on which evidence.
func withheldText(c *quarantine.Change) string {
	v := &c.Verdict
	return fmt.Sprintf("%s, by %s: targets ended at %d moments in %v, seen by %s; %s",
		v.Subject(), v.By, v.Ends, v.Since-v.First, strings.Join(v.Hosts, ", "), c.Reason)
}

// endCovered ends the requests that are withheld and whose answer has not begun: each may end a target. One that was let
// through goes on, and so does one that was sent before its work had to wait.
func (n *Node) endCovered() {
	var covered []*ledger.Record
	for _, rec := range n.active {
		if rec.Timing.FirstToken != 0 || rec.Probe {
			continue
		}
		if r := n.withholds(&rec.Request); r != nil && (r.Verdict != nil || rec.State != ledger.Dispatched) {
			covered = append(covered, rec)
		}
	}
	slices.SortFunc(covered, func(a, b *ledger.Record) int { return a.Request.Compare(b.Request.Key) })
	for _, rec := range covered {
		if r := n.withholds(&rec.Request); r != nil {
			n.abort(rec)
			n.finishWithheld(rec, r)
		}
	}
}

// withholds returns the restraint on a request, unless this host may send one on now; nil for none.
func (n *Node) withholds(req *core.Request) *quarantine.Restraint {
	if r := n.quarantine.Restrains(req.Parts, req.Works); r != nil && !n.mayTry(r) {
		return r
	}
	return nil
}

// checkQuarantine refuses a request whose prompt is withheld. Its work is not known yet.
func (n *Node) checkQuarantine(req *core.Request) core.Result {
	if r := n.withholds(req); r != nil {
		n.withheldRequests++
		return n.withheldResult(r)
	}
	return core.Result{}
}

func (n *Node) finishWithheld(rec *ledger.Record, r *quarantine.Restraint) {
	n.withheldRequests++
	result := n.withheldResult(r)
	result.Outcome = outcomeWithoutAnswer(rec)
	n.finish(rec, result)
}

// maxWithheldRetryAfter is the longest time after which the caller of a withheld request may come back.
const maxWithheldRetryAfter = time.Hour

// withheldResult returns the result of a request that is not sent on. It may come back when the next one is let through.
func (n *Node) withheldResult(r *quarantine.Restraint) core.Result {
	wait := min(max(r.Next-n.now, 0), maxWithheldRetryAfter)
	result := core.Result{RetryAfter: wait + n.retryAfter(overloadRetryAfter)}
	switch {
	case r.Verdict == nil:
		result.Code = api.CodeSuspectRequest
		result.Message = r.Subject + " may have ended the targets that ran it, and is tried again later"
	case r.Verdict.Work != 0:
		result.Code = api.CodeHarmfulRequest
		result.Message = r.Subject + " has ended the targets that ran it"
	default:
		result.Code = api.CodeHarmfulPrompt
		result.Message = fmt.Sprintf("prompts with %s have ended the targets that ran them", r.Subject)
	}
	return result
}

// Times for which a host may send on a request that others may not, as it may get none: one that a verdict covers, and one
// whose work may have ended targets. After maxTrialTurns any host may try such a work.
const (
	probeTurn     = 30 * time.Second
	trialTurn     = time.Second
	maxTrialTurns = 8
)

// mayTry reports whether this host may send on a request that is restrained. The hosts take turns, so that few do so at a
// time.
func (n *Node) mayTry(r *quarantine.Restraint) bool {
	if n.now < r.Next || r.Running {
		return false
	}
	hosts := []string{n.opts.Peer}
	for _, address := range n.peers.Addresses() {
		if n.takesRequests(n.peers.Get(address)) {
			hosts = append(hosts, address)
		}
	}
	position := time.Duration(rendezvous.Position("probe "+r.Subject, n.opts.Peer, hosts))
	if r.Verdict == nil {
		return n.now >= r.Next+min(position, maxTrialTurns)*trialTurn
	}
	return n.now >= r.Next+position*probeTurn
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
	n.quarantine.Receive(n.now, from, hb.WorkRates, &hb.Prompts)
	n.applyVerdicts()
}

// withheldStatus returns the verdicts in force for operators.
func (n *Node) withheldStatus() []api.WithheldWork {
	var out []api.WithheldWork
	for _, v := range n.quarantine.Verdicts() {
		out = append(out, n.verdictStatus(v))
	}
	return out
}

func (n *Node) verdictStatus(v *quarantine.Verdict) api.WithheldWork {
	w := api.WithheldWork{
		SinceMs: (n.now - v.Since).Milliseconds(), By: v.By, Ends: v.Ends, Hosts: v.Hosts, Probes: v.Probes,
		NextProbeMs: max(v.NextProbe()-n.now, 0).Milliseconds(),
	}
	if v.NextProbe() == quarantine.NotAgain {
		w.NextProbeMs = api.NoProbe
	}
	if v.Work != 0 {
		w.Work = v.Work.String()
	}
	for _, part := range v.Parts {
		w.Parts = append(w.Parts, part.String())
	}
	return w
}

// releaseWithheld ends the verdict that an operator names, here and at all other hosts.
func (n *Node) releaseWithheld(in ReleaseWithheld) {
	for _, v := range slices.Clone(n.quarantine.Verdicts()) {
		if w := n.verdictStatus(v); w.Name() == in.Name {
			n.quarantine.Release(n.now, v)
		}
	}
	n.quarantineTick()
}
