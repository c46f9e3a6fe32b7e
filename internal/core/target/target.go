// Package target is the table of targets as one host knows it: what the host list says, what this host has
// dispatched, and what the targets report.
package target

import (
	"slices"
	"sort"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
)

// Report is a target's published load.
type Report struct {
	// QueuedTokens is the prefill work that waits or runs at the engine, in tokens.
	QueuedTokens int64 `json:"queued_tokens"`
	// Streams is the number of running streams.
	Streams int `json:"streams"`
	// UsedTokens is the KV memory in use, in tokens.
	UsedTokens int64 `json:"used_tokens"`
	// CacheEvents are the changes of the prefix cache since the last report, as far as the engine tells.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// Target is one target.
type Target struct {
	hostlist.Host
	// inFlight are this host's dispatches and reservations that have not ended.
	inFlight map[Dispatch]*placed
	// own is their sum, others the sum of what peers have told, by peer in peers.
	own    Load
	others Load
	peers  map[string]Load
	// Lane is the work that the target is kept for.
	Lane Lane
	// Block numbers the engines of the long lane by threes, from 1; a request for several engines takes them from one
	// block. 0 stands for none.
	Block    int
	measured measured
	prefixes prefixes
	// Report is the last load report, heard at Reported; Reported is 0 before the first.
	Report   Report
	Reported core.Time
	// suspectUntil keeps the target out of routing after a failure; failedAt is its last failure, and failures
	// counts those since its last answer.
	suspectUntil core.Time
	failedAt     core.Time
	failures     int
	// refusedUntil keeps the target out of routing after it did not accept a request; refusals counts those since its
	// last answer.
	refusedUntil core.Time
	refusals     int
	evidence     *evidence
	// heard is when the target last gave a sign of life to this host.
	heard core.Time
	// lapses is when a target that is missing from the list counts as gone; 0 for one that is listed.
	lapses core.Time
	// Engine is the published speed of the target; nil where none is published.
	Engine *document.Engine
	// StrictPause is the tightest aim for pauses of the streams that come here.
	StrictPause time.Duration
	// moved counts the changes of the own loads of all targets of the table.
	moved *uint64
}

// Dispatch identifies one dispatch of one request.
type Dispatch struct {
	Key    core.Key
	Number uint32
}

// Job is what one dispatch brings to a target.
type Job struct {
	Priority int
	// Work is prefill work in tokens of weight 1, Memory the KV memory, in tokens.
	Work   int64
	Memory int64
	// Deep is set when the prefill reaches positions at which it slows the other streams.
	Deep bool
	// Strict is set for a stream with the tightest aim for pauses.
	Strict bool
	// Helps is set for a part of a prompt that another engine answers: it brings no stream.
	Helps bool
}

// placed is a dispatch that has not ended.
type placed struct {
	load      Load
	begun     core.Time
	ahead     int64
	prefilled bool
	// written is set once the first token has come.
	written bool
	// due is when the engine must have read its part, by its published speed; 0 where none is published.
	due core.Time
}

// InFlight counts this host's dispatches that have not ended.
func (t *Target) InFlight() int { return len(t.inFlight) }

// PendingTokens is this host's prefill work there that has no first token yet, in tokens of weight 1.
func (t *Target) PendingTokens() int64 { return t.own.Ahead(0) }

// Begin accounts for a new dispatch.
func (t *Target) Begin(now core.Time, d Dispatch, job Job) {
	p := &placed{load: Load{Held: job.Memory, Streams: 1}, begun: now}
	if job.Strict {
		p.load.Strict = 1
	}
	if job.Helps {
		p.load.Streams, p.load.Strict = 0, 0
	}
	p.load.Pending[job.Priority] = job.Work
	*t.moved++
	if job.Deep {
		p.load.Deep = 1
	}
	total := t.Total()
	p.ahead = total.Ahead(job.Priority) + job.Work
	if t.Engine != nil {
		p.due = now + t.readBy(p.ahead)
	}
	t.inFlight[d] = p
	t.own.add(p.load)
}

// Times by which a part must have been read: what was ahead of it with a margin, and a few passes.
const (
	readMargin = 1.4
	readPasses = 300 * time.Millisecond
)

func (t *Target) readBy(work int64) time.Duration {
	ms := float64(work) / t.Engine.ReadTokensPerMs * readMargin
	return time.Duration(ms*float64(time.Millisecond)) + readPasses
}

// Lapse takes off the pending work what must have been read by now: the first token of a prompt that several engines
// read comes when the last of them is done, and the others are idle until then.
func (tb *Table) Lapse(now core.Time) {
	for _, t := range tb.ordered {
		for _, p := range t.inFlight {
			if p.due > 0 && !p.prefilled && now >= p.due {
				tb.moved++
				t.clearPending(p)
			}
		}
	}
}

// Prefilled accounts for a dispatch's first token.
func (t *Target) Prefilled(now core.Time, d Dispatch) {
	p := t.inFlight[d]
	if p == nil {
		return
	}
	p.written = true
	t.heard = now
	if p.prefilled {
		return
	}
	*t.moved++
	t.sampleRate(p.ahead, now-p.begun)
	t.clearPending(p)
}

func (t *Target) clearPending(p *placed) {
	p.prefilled = true
	done := Load{Pending: p.load.Pending, Deep: p.load.Deep}
	t.own.subtract(done)
	p.load.subtract(done)
}

// End accounts for the end of a dispatch.
func (t *Target) End(d Dispatch) {
	p := t.inFlight[d]
	if p == nil {
		return
	}
	*t.moved++
	t.own.subtract(p.load)
	delete(t.inFlight, d)
}

// Serves tells whether the target answers for a model or service.
func (t *Target) Serves(model string) bool { return slices.Contains(t.Models, model) }

// Eligible tells whether new work may go to the target.
func (t *Target) Eligible(now core.Time) bool {
	return t.State == hostlist.StateLive && now >= max(t.evidence.until(t), t.refusedUntil)
}

// Failed records a failed dispatch.
func (t *Target) Failed(now core.Time) { t.evidence.failed(now, t) }

// Answered records that the target is well.
func (t *Target) Answered() {
	t.evidence.answered(t)
	t.refusals = 0
	t.refusedUntil = 0
}

// Refused records that the target did not accept a request. It is well and can be reached, so this is no evidence of a
// failure, but it is not asked again for a while that grows with each refusal.
func (t *Target) Refused(now core.Time) {
	t.evidence.answered(t)
	t.refusedUntil = now + min(firstPause<<min(t.refusals, 8), lastRefusedPause)
	t.refusals++
}

// lastRefusedPause is the longest time for which a target that refuses is not asked again.
const lastRefusedPause = 4 * time.Second

// Table holds the targets by address.
type Table struct {
	version   uint64
	byAddress map[string]*Target
	ordered   []*Target
	// byDigest holds the targets by their identifier in digests.
	byDigest map[uint64]*Target
	evidence *evidence
	moved    uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byAddress: make(map[string]*Target), evidence: newEvidence()}
}

// Apply takes a host list; one with a lower version than the last changes nothing. A target that left the list is
// kept, as leaving, until its dispatches have ended.
func (tb *Table) Apply(list *hostlist.List) bool {
	if !tb.Relist(list, 0) {
		return false
	}
	tb.DropGone(everGone)
	return true
}

// everGone is the instant from which a target that is missing counts as gone where nothing speaks for it.
const everGone = core.Time(1)

// Relist takes a host list as Apply does, but a target that left it counts as gone only from an instant on: when the
// platform has just come back, entries that lapsed meanwhile are still to be written again. DropGone must follow.
func (tb *Table) Relist(list *hostlist.List, goneFrom core.Time) bool {
	if list.Version < tb.version {
		return false
	}
	tb.version = list.Version
	listed := make(map[string]bool)
	for _, host := range list.Hosts {
		if host.Role == hostlist.RoleEntry {
			continue
		}
		listed[host.Address] = true
		tb.put(host)
	}
	for address, t := range tb.byAddress {
		if !listed[address] && t.lapses == 0 {
			t.lapses = max(goneFrom, everGone)
		}
	}
	tb.reorder()
	return true
}

// DropGone lets the targets go that are missing from the list and whose time has come.
func (tb *Table) DropGone(now core.Time) {
	changed := false
	for address, t := range tb.byAddress {
		if t.lapses == 0 || now < t.lapses {
			continue
		}
		changed = changed || t.State != hostlist.StateLeaving
		t.State = hostlist.StateLeaving
		if t.InFlight() == 0 {
			t.evidence.forget(t)
			delete(tb.byAddress, address)
			changed = true
		}
	}
	if changed {
		tb.reorder()
	}
}

// Version is the version of the host list in force.
func (tb *Table) Version() uint64 { return tb.version }

func (tb *Table) put(host hostlist.Host) {
	if t := tb.byAddress[host.Address]; t != nil && t.Instance == host.Instance && t.Start == host.Start {
		t.Host = host
		t.lapses = 0
		return
	} else if t != nil {
		t.evidence.forget(t) // another target has the address now
	}
	tb.byAddress[host.Address] = &Target{
		Host:     host,
		inFlight: make(map[Dispatch]*placed),
		peers:    make(map[string]Load),
		evidence: tb.evidence,
		moved:    &tb.moved,
	}
}

// Moved counts the changes of the load that this host has placed.
func (tb *Table) Moved() uint64 { return tb.moved }

func (tb *Table) reorder() {
	tb.ordered = tb.ordered[:0]
	tb.byDigest = make(map[uint64]*Target, len(tb.byAddress))
	for _, t := range tb.byAddress {
		tb.ordered = append(tb.ordered, t)
		tb.byDigest[uint64(digestID(t.Address))] = t
	}
	sort.Slice(tb.ordered, func(i, j int) bool { return tb.ordered[i].Address < tb.ordered[j].Address })
	tb.evidence.count(tb.ordered)
}

// Get returns the target at an address, or nil.
func (tb *Table) Get(address string) *Target { return tb.byAddress[address] }

// All returns the targets in order of address; the slice must not be changed.
func (tb *Table) All() []*Target { return tb.ordered }

// Suspects returns what this host suspects of the targets' failures, besides the targets themselves.
func (tb *Table) Suspects(now core.Time) Suspects { return tb.evidence.suspects(now) }

// AnyServes tells whether some target answers for the model, eligible or not.
func (tb *Table) AnyServes(model string) bool {
	return slices.ContainsFunc(tb.ordered, func(t *Target) bool { return t.Serves(model) })
}
