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
	Parts      []core.PartID  `json:"s,omitempty"`
	Works      []core.WorkID  `json:"w,omitempty"`
	Beside     int            `json:"b,omitempty"`
	Plain      bool           `json:"d,omitempty"`
}

// PublishedProof tells that a request of a work, or a prompt with a part, was proven harmless.
type PublishedProof struct {
	Part core.PartID `json:"s,omitempty"`
	Work core.WorkID `json:"w,omitempty"`
	AtMs int64       `json:"t"`
}

// PublishedVerdict is a verdict in force, or one that has ended. Times are on the sender's clock, and may be before its start.
type PublishedVerdict struct {
	Work  core.WorkID   `json:"w,omitempty"`
	Parts []core.PartID `json:"s,omitempty"`
	// SinceMs is when the verdict was given, or when it ended if Ended is set.
	SinceMs int64 `json:"t"`
	Ended   bool  `json:"x,omitempty"`
	// FirstMs, Ends, Hosts and By are those of the Verdict.
	FirstMs int64    `json:"f,omitempty"`
	Ends    int      `json:"e,omitempty"`
	Hosts   []string `json:"h,omitempty"`
	By      string   `json:"b,omitempty"`
	// Retries is that of the Verdict.
	Retries int `json:"r,omitempty"`
	// Probes is the number of requests that were let through, the last at ProbedMs.
	Probes   int   `json:"n,omitempty"`
	ProbedMs int64 `json:"l,omitempty"`
}

// PublishedAlive tells that a process that another host has reported lost was seen alive.
type PublishedAlive struct {
	Process target.Process `json:"p"`
	AtMs    int64          `json:"t"`
}

// Published is what a host tells the others of harmful requests.
type Published struct {
	Losses   []PublishedLoss    `json:"l,omitempty"`
	Proofs   []PublishedProof   `json:"p,omitempty"`
	Alive    []PublishedAlive   `json:"a,omitempty"`
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
	alive  []PublishedAlive
	number uint64
	// fresh is set while there is something that was not told yet, urgent if it is a change of a verdict.
	fresh, urgent bool
}

// appendNews appends news, and forgets the oldest if there are more than maxNews.
func appendNews[T any](news []T, one T) []T {
	news = append(news, one)
	return news[max(len(news)-maxNews, 0):]
}

func (n *news) addLoss(l *loss) {
	n.number++
	n.losses = appendNews(n.losses, ownLoss{loss: l, number: n.number})
	n.fresh = true
}

// addProof tells of a proof at an instant.
func (n *news) addProof(at core.Time, proof PublishedProof) {
	n.proofs = slices.DeleteFunc(n.proofs, func(p PublishedProof) bool { return p.Part == proof.Part && p.Work == proof.Work })
	proof.AtMs = at.Milliseconds()
	n.proofs = appendNews(n.proofs, proof)
	n.fresh = true
}

// addAlive tells of a process that was seen alive since it was reported lost.
func (n *news) addAlive(now core.Time, process target.Process) {
	n.alive = appendNews(n.alive, PublishedAlive{Process: process, AtMs: now.Milliseconds()})
	n.fresh = true
}

func (n *news) retract(process target.Process) {
	n.losses = slices.DeleteFunc(n.losses, func(l ownLoss) bool { return l.process == process })
}

func (n *news) expire(now core.Time) {
	for len(n.losses) > 0 && now-n.losses[0].at >= newsTTL {
		n.losses = n.losses[1:]
	}
	for len(n.alive) > 0 && now.Milliseconds()-n.alive[0].AtMs >= newsTTL.Milliseconds() {
		n.alive = n.alive[1:]
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
func (tb *Table) Rates(now core.Time) HostRates {
	return HostRates{Prompts: tb.prompts.published(now), Plain: tb.plain.published(now)}
}

// Published returns what this host tells the others.
func (tb *Table) Published() Published {
	out := Published{Proofs: slices.Clone(tb.news.proofs), Alive: slices.Clone(tb.news.alive)}
	for _, l := range tb.news.losses {
		out.Losses = append(out.Losses, PublishedLoss{
			Number: l.number, Process: l.process, AtMs: l.at.Milliseconds(), ExposureMs: l.exposure.Milliseconds(),
			RanMs: l.ran.Milliseconds(), Parts: l.parts[:min(len(l.parts), maxToldParts)], Works: l.works, Beside: l.beside, Plain: l.plain,
		})
	}
	for _, v := range tb.verdicts {
		p := PublishedVerdict{
			Work: v.Work, Parts: v.Parts, SinceMs: v.Since.Milliseconds(), FirstMs: v.First.Milliseconds(), Ends: v.Ends, Hosts: v.Hosts, By: v.By,
			Retries: v.Retries, Probes: v.Probes,
		}
		if v.Probes > 0 {
			p.ProbedMs = v.ProbedAt.Milliseconds()
		}
		out.Verdicts = append(out.Verdicts, p)
	}
	for _, k := range slices.Sorted(maps.Keys(tb.released)) {
		r := tb.released[k]
		out.Verdicts = append(out.Verdicts, PublishedVerdict{Work: r.work, Parts: r.parts, SinceMs: r.at.Milliseconds(), Ended: true})
	}
	return out
}

// OfOtherCells returns what hosts with other targets are told: the verdicts, and the evidence on works, which may come to any
// host.
func (p Published) OfOtherCells() Published {
	var losses []PublishedLoss
	for _, l := range p.Losses {
		if l.Parts = nil; len(l.Works) > 0 {
			losses = append(losses, l)
		}
	}
	p.Losses = losses
	p.Proofs = slices.DeleteFunc(slices.Clone(p.Proofs), func(proof PublishedProof) bool { return proof.Work == 0 })
	return p
}

// Sender is a host whose heartbeat has arrived.
type Sender struct {
	Peer, Incarnation string
	// Clock is the sender's clock in the heartbeat.
	Clock core.Time
}

// Receive records what another host tells. The message must have been on its way for a short time only.
func (tb *Table) Receive(now core.Time, from Sender, rates HostRates, p *Published) {
	tb.prompts.receive(from.Peer, rates.Prompts)
	tb.plain.receive(from.Peer, rates.Plain)
	tb.receiveProofs(now, from, p.Proofs[:min(len(p.Proofs), maxNews)])
	for i := range p.Losses[:min(len(p.Losses), maxNews)] {
		tb.receiveLoss(now, from, &p.Losses[i])
	}
	for _, a := range p.Alive[:min(len(p.Alive), maxNews)] {
		tb.receiveAlive(from.local(now, a.AtMs), a.Process)
	}
	for i := range p.Verdicts[:min(len(p.Verdicts), 2*maxVerdicts)] {
		tb.receiveVerdict(now, from, &p.Verdicts[i])
	}
}

// receiveProofs clears what another host has proven harmless, and ends the verdicts on it.
func (tb *Table) receiveProofs(now core.Time, from Sender, received []PublishedProof) {
	parts := make(map[core.PartID]core.Time, len(received))
	works := make(map[core.WorkID]core.Time)
	for _, p := range received {
		at := from.local(now, p.AtMs)
		if p.Work != 0 {
			works[p.Work] = at
			tb.works.clear(p.Work, at)
		} else {
			parts[p.Part] = at
			tb.parts.clear(p.Part, at)
		}
	}
	for _, v := range slices.Clone(tb.verdicts) {
		if v.provenBy(parts, works) {
			tb.release(now, v, "it did no harm, by word of "+from.Peer)
		}
	}
}

// provenBy reports whether proofs at the given instants show that what the verdict is on does no harm.
func (v *Verdict) provenBy(parts map[core.PartID]core.Time, works map[core.WorkID]core.Time) bool {
	if v.Work != 0 {
		at, ok := works[v.Work]
		return ok && at >= v.First
	}
	return !slices.ContainsFunc(v.Parts, func(part core.PartID) bool {
		at, ok := parts[part]
		return !ok || at < v.First
	})
}

// local returns the instant on this host's clock of one on the sender's, which has passed.
func (s *Sender) local(now core.Time, atMs int64) core.Time {
	age := max(s.Clock-core.Time(atMs)*time.Millisecond, 0)
	return now - min(age, maxAge)
}

// maxAge bounds ages that a peer tells.
const maxAge = 30 * 24 * time.Hour

// Forget drops the rates of a host that is no longer heard from.
func (tb *Table) Forget(peer string) {
	delete(tb.prompts.peers, peer)
	delete(tb.plain.peers, peer)
}

// maxExposure bounds the exposure of a loss.
const maxExposure = 10 * time.Minute

// maxToldWorks is the number of works of a loss, maxBeside that of runs beside it.
const (
	maxToldWorks = 2
	maxBeside    = 1000
)

// receiveLoss records a loss of another host, unless this one has proven its request harmless, which the sender is told.
func (tb *Table) receiveLoss(now core.Time, from Sender, p *PublishedLoss) {
	id := lossID{host: from.Peer, incarnation: from.Incarnation, number: p.Number}
	if _, ok := tb.seen[id]; ok || len(p.Parts) > maxLossParts || len(p.Works) > maxToldWorks || len(tb.seen) >= maxRemembered {
		return
	}
	tb.seen[id] = now
	l := &loss{
		host: from.Peer, process: p.Process, at: from.local(now, p.AtMs), beside: min(max(p.Beside, 0), maxBeside), plain: p.Plain,
		exposure: clampExposure(p.ExposureMs), ran: clampExposure(p.RanMs),
	}
	if at, ok := tb.alive[l.process]; ok && at > l.at+aliveMargin && identified(l.process) {
		return
	}
	l.parts, l.works = tb.parts.unproven(l.at, p.Parts), tb.works.unproven(l.at, p.Works)
	tb.tellProofs(p.Parts, p.Works, l)
	if len(l.parts) > 0 || len(l.works) > 0 {
		tb.addLoss(now, l)
	}
}

// receiveAlive records that another host saw a process alive at an instant.
func (tb *Table) receiveAlive(at core.Time, process target.Process) {
	if tb.outlivesLoss(at, process) {
		tb.alive[process] = max(tb.alive[process], at)
		tb.retract(process)
	}
}

// tellProofs tells the other hosts what this one has proven harmless of a loss.
func (tb *Table) tellProofs(parts []core.PartID, works []core.WorkID, l *loss) {
	for _, part := range parts {
		if !slices.Contains(l.parts, part) {
			tb.news.addProof(tb.parts.proofs.at(part), PublishedProof{Part: part})
		}
	}
	for _, work := range works {
		if !slices.Contains(l.works, work) {
			tb.news.addProof(tb.works.proofs.at(work), PublishedProof{Work: work})
		}
	}
}

func clampExposure(milliseconds int64) time.Duration {
	return time.Duration(min(max(milliseconds, 1), maxExposure.Milliseconds())) * time.Millisecond
}

// decode returns the verdict as of this host's clock, without its probes.
func (p *PublishedVerdict) decode(from Sender, now core.Time) *Verdict {
	v := &Verdict{
		Work: p.Work, Since: from.local(now, p.SinceMs), First: from.local(now, p.FirstMs), ProbedAt: never,
		By: p.By, Hosts: p.Hosts[:min(len(p.Hosts), maxNews)], Ends: p.Ends, Retries: max(p.Retries, 0),
	}
	if p.Work == 0 {
		v.Parts = slices.Compact(slices.Sorted(slices.Values(p.Parts)))
	}
	return v
}

// receiveVerdict records a verdict of another host, or its end. The later word on the same subject holds.
func (tb *Table) receiveVerdict(now core.Time, from Sender, p *PublishedVerdict) {
	v := p.decode(from, now)
	if v.Work == 0 && len(v.Parts) == 0 || len(v.Parts) > maxLossParts {
		return
	}
	known := tb.sameVerdict(v)
	switch ended, released := tb.released[v.Subject()]; {
	case p.Ended && known != nil && known.Since <= v.Since:
		tb.release(v.Since, known, "by word of "+from.Peer)
	case p.Ended:
	case known != nil:
		known.merge(p, from, now)
	case released && ended.at >= v.Since, tb.coversAll(v), tb.provenSince(v):
	default:
		v.merge(p, from, now)
		tb.give(v, "by word of "+from.Peer)
	}
}

// coversAll reports whether a verdict in force covers all that another one covers.
func (tb *Table) coversAll(v *Verdict) bool {
	return v.Work == 0 && tb.Withholds(v.Parts, nil) != nil
}

// merge takes over what another host knows of requests that were let through.
func (v *Verdict) merge(p *PublishedVerdict, from Sender, now core.Time) {
	if p.Probes > v.Probes {
		v.Probes = p.Probes
		v.ProbedAt = from.local(now, p.ProbedMs)
	}
}

// sameVerdict returns the verdict in force on the same subject, or nil.
func (tb *Table) sameVerdict(v *Verdict) *Verdict {
	for _, o := range tb.verdicts {
		if o.Work == v.Work && slices.Equal(o.Parts, v.Parts) {
			return o
		}
	}
	return nil
}

// provenSince reports whether this host has proven harmless what a verdict is on, since its first end, so that it does not take
// the verdict over. The other hosts are told.
func (tb *Table) provenSince(v *Verdict) bool {
	if v.Work != 0 {
		at := tb.works.proofs.at(v.Work)
		if at == never || at < v.First {
			return false
		}
		tb.news.addProof(at, PublishedProof{Work: v.Work})
		return true
	}
	for _, part := range v.Parts {
		if at := tb.parts.proofs.at(part); at == never || at < v.First {
			return false
		}
	}
	for _, part := range v.Parts {
		tb.news.addProof(tb.parts.proofs.at(part), PublishedProof{Part: part})
	}
	return true
}
