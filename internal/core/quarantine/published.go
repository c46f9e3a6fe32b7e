package quarantine

import (
	"maps"
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
)

const (
	// newsTTL is how long a loss or a proof is told to other hosts.
	newsTTL = 4 * time.Second
	// maxToldParts is the number of parts of a loss that other hosts are told.
	maxToldParts = 16
	// maxNews is the number of losses, and of proofs, that are told at a time.
	maxNews = 64
)

// PublishedLoss is a loss, as hosts tell it each other. Times are on the sender's clock.
type PublishedLoss struct {
	// Number identifies the loss at its sender.
	Number     uint64         `json:"n"`
	Process    target.Process `json:"p"`
	AtMs       int64          `json:"t"`
	ExposureMs int64          `json:"e"`
	RanMs      int64          `json:"r"`
	Parts      []core.PartID  `json:"s"`
}

// PublishedProof tells that a prompt with a part was proven harmless.
type PublishedProof struct {
	Part core.PartID `json:"s"`
	AtMs int64       `json:"t"`
}

// PublishedVerdict is a verdict in force, or one that has ended. Times are on the sender's clock, and may be before its start.
type PublishedVerdict struct {
	Parts []core.PartID `json:"s"`
	// SinceMs is when the verdict was given, or when it ended if Ended is set.
	SinceMs int64 `json:"t"`
	Ended   bool  `json:"x,omitempty"`
	// FirstMs, Ends, Hosts and By are those of the Verdict.
	FirstMs int64    `json:"f,omitempty"`
	Ends    int      `json:"e,omitempty"`
	Hosts   []string `json:"h,omitempty"`
	By      string   `json:"b,omitempty"`
	// Probes is the number of requests that were let through, the last at ProbedMs.
	Probes   int   `json:"n,omitempty"`
	ProbedMs int64 `json:"l,omitempty"`
}

// Published is what a host tells the others of harmful prompts.
type Published struct {
	Losses   []PublishedLoss    `json:"l,omitempty"`
	Proofs   []PublishedProof   `json:"p,omitempty"`
	Verdicts []PublishedVerdict `json:"v,omitempty"`
}

// ownLoss is a loss of this host that others are told.
type ownLoss struct {
	*loss
	number uint64
}

// news is what other hosts are to be told.
type news struct {
	losses []ownLoss
	proofs []PublishedProof
	number uint64
	// fresh is set while there is something that was not told yet, urgent if it is a change of a verdict.
	fresh, urgent bool
}

func (n *news) addLoss(l *loss) {
	n.number++
	n.losses = append(n.losses, ownLoss{loss: l, number: n.number})
	if len(n.losses) > maxNews {
		n.losses = n.losses[1:]
	}
	n.fresh = true
}

func (n *news) addProof(now core.Time, part core.PartID) {
	n.proofs = slices.DeleteFunc(n.proofs, func(p PublishedProof) bool { return p.Part == part })
	n.proofs = append(n.proofs, PublishedProof{Part: part, AtMs: now.Milliseconds()})
	if len(n.proofs) > maxNews {
		n.proofs = n.proofs[1:]
	}
	n.fresh = true
}

func (n *news) retract(process target.Process) {
	n.losses = slices.DeleteFunc(n.losses, func(l ownLoss) bool { return l.process == process })
}

func (n *news) expire(now core.Time) {
	for len(n.losses) > 0 && now-n.losses[0].at >= newsTTL {
		n.losses = n.losses[1:]
	}
	for len(n.proofs) > 0 && now.Milliseconds()-n.proofs[0].AtMs >= newsTTL.Milliseconds() {
		n.proofs = n.proofs[1:]
	}
}

// News reports whether there is something to tell other hosts that they have not been told, and whether it is urgent.
func (tb *Table) News() (fresh, urgent bool) { return tb.news.fresh || tb.news.urgent, tb.news.urgent }

// Told records that the other hosts have been told all there is.
func (tb *Table) Told() { tb.news.fresh, tb.news.urgent = false, false }

// Rates returns the rates of this host's own runs.
func (tb *Table) Rates(now core.Time) Rates {
	tb.rates.decay(now)
	return tb.rates.rounded()
}

// Published returns what this host tells the others.
func (tb *Table) Published() Published {
	out := Published{Proofs: slices.Clone(tb.news.proofs)}
	for _, l := range tb.news.losses {
		out.Losses = append(out.Losses, PublishedLoss{
			Number: l.number, Process: l.process, AtMs: l.at.Milliseconds(), ExposureMs: l.exposure.Milliseconds(),
			RanMs: l.ran.Milliseconds(), Parts: l.parts[:min(len(l.parts), maxToldParts)],
		})
	}
	for _, v := range tb.verdicts {
		p := PublishedVerdict{
			Parts: v.Parts, SinceMs: v.Since.Milliseconds(), FirstMs: v.First.Milliseconds(), Ends: v.Ends, Hosts: v.Hosts, By: v.By,
			Probes: v.Probes,
		}
		if v.Probes > 0 {
			p.ProbedMs = v.ProbedAt.Milliseconds()
		}
		out.Verdicts = append(out.Verdicts, p)
	}
	for _, k := range slices.Sorted(maps.Keys(tb.released)) {
		r := tb.released[k]
		out.Verdicts = append(out.Verdicts, PublishedVerdict{Parts: r.parts, SinceMs: r.at.Milliseconds(), Ended: true})
	}
	return out
}

// Sender is a host whose heartbeat has arrived.
type Sender struct {
	Peer, Incarnation string
	// Clock is the sender's clock in the heartbeat.
	Clock core.Time
}

// Receive records what another host tells. The message must have been on its way for a short time only.
func (tb *Table) Receive(now core.Time, from Sender, rates Rates, p *Published) {
	if rates.valid() {
		tb.peers[from.Peer] = rates
	}
	tb.receiveProofs(now, from, p.Proofs[:min(len(p.Proofs), maxNews)])
	for i := range p.Losses[:min(len(p.Losses), maxNews)] {
		tb.receiveLoss(now, from, &p.Losses[i])
	}
	for i := range p.Verdicts[:min(len(p.Verdicts), 2*maxVerdicts)] {
		tb.receiveVerdict(now, from, &p.Verdicts[i])
	}
}

// receiveProofs clears what another host has proven harmless, and ends the verdicts on it.
func (tb *Table) receiveProofs(now core.Time, from Sender, received []PublishedProof) {
	provenAt := make(map[core.PartID]core.Time, len(received))
	for _, p := range received {
		at := from.local(now, p.AtMs)
		provenAt[p.Part] = at
		tb.clearSuspect(p.Part, at)
	}
	for _, v := range slices.Clone(tb.verdicts) {
		open := slices.ContainsFunc(v.Parts, func(part core.PartID) bool {
			at, ok := provenAt[part]
			return !ok || at < v.First
		})
		if !open {
			tb.release(now, v, "its parts did no harm, by word of "+from.Peer)
		}
	}
}

// local returns the instant on this host's clock of one on the sender's, which has passed.
func (s *Sender) local(now core.Time, atMs int64) core.Time {
	age := max(s.Clock-core.Time(atMs)*time.Millisecond, 0)
	return now - min(age, maxAge)
}

// maxAge bounds ages that a peer tells.
const maxAge = 30 * 24 * time.Hour

// Forget drops the rates of a host that is no longer heard from.
func (tb *Table) Forget(peer string) { delete(tb.peers, peer) }

// maxExposure bounds the exposure of a loss.
const maxExposure = 10 * time.Minute

// receiveLoss records a loss of another host, unless this one has proven its prompt harmless, which the sender is told.
func (tb *Table) receiveLoss(now core.Time, from Sender, p *PublishedLoss) {
	id := lossID{host: from.Peer, incarnation: from.Incarnation, number: p.Number}
	if _, ok := tb.seen[id]; ok || len(p.Parts) > maxLossParts || len(tb.seen) >= maxRemembered {
		return
	}
	tb.seen[id] = now
	l := &loss{
		host: from.Peer, process: p.Process, at: from.local(now, p.AtMs),
		exposure: clampExposure(p.ExposureMs), ran: clampExposure(p.RanMs),
	}
	if at, ok := tb.alive[l.process]; ok && at > l.at+aliveMargin && identified(l.process) {
		return
	}
	for _, part := range p.Parts {
		if !tb.proofs.clears(part, l.at) {
			l.parts = append(l.parts, part)
		} else {
			tb.news.addProof(tb.proofs.at(part), part)
		}
	}
	if len(l.parts) > 0 {
		tb.addLoss(l)
	}
}

func clampExposure(milliseconds int64) time.Duration {
	return time.Duration(min(max(milliseconds, 1), maxExposure.Milliseconds())) * time.Millisecond
}

// receiveVerdict records a verdict of another host, or its end. The later word on the same parts holds.
func (tb *Table) receiveVerdict(now core.Time, from Sender, p *PublishedVerdict) {
	parts := slices.Compact(slices.Sorted(slices.Values(p.Parts)))
	if len(parts) == 0 || len(parts) > maxLossParts {
		return
	}
	at := from.local(now, p.SinceMs)
	known := tb.sameVerdict(parts)
	first := from.local(now, p.FirstMs)
	switch ended, released := tb.released[key(parts)]; {
	case p.Ended && known != nil && known.Since <= at:
		tb.release(at, known, "by word of "+from.Peer)
	case p.Ended:
	case known != nil:
		known.merge(p, from, now)
	case released && ended.at >= at, tb.Withholds(parts) != nil, tb.provenSince(parts, first):
	default:
		v := &Verdict{Parts: parts, Since: at, First: first, ProbedAt: never, By: p.By, Hosts: p.Hosts[:min(len(p.Hosts), maxNews)], Ends: p.Ends}
		v.merge(p, from, now)
		tb.give(v, "by word of "+from.Peer)
	}
}

// merge takes over what another host knows of requests that were let through.
func (v *Verdict) merge(p *PublishedVerdict, from Sender, now core.Time) {
	if p.Probes > v.Probes {
		v.Probes = p.Probes
		v.ProbedAt = from.local(now, p.ProbedMs)
	}
}

// sameVerdict returns the verdict in force on exactly these sorted parts, or nil.
func (tb *Table) sameVerdict(parts []core.PartID) *Verdict {
	for _, v := range tb.verdicts {
		if slices.Equal(v.Parts, parts) {
			return v
		}
	}
	return nil
}

// provenSince reports whether this host has proven each of the parts harmless since an instant, so that it takes over no
// verdict on them. The other hosts are told.
func (tb *Table) provenSince(parts []core.PartID, since core.Time) bool {
	for _, part := range parts {
		if at := tb.proofs.at(part); at == never || at < since {
			return false
		}
	}
	for _, part := range parts {
		tb.news.addProof(tb.proofs.at(part), part)
	}
	return true
}
