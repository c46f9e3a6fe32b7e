// Package target is one host's table of targets: their entries in the host list, the work that this host has dispatched
// to them, and the load that they and other hosts report.
package target

import (
	"slices"
	"sort"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
)

// Report is the load that a target publishes.
type Report struct {
	// QueuedTokens is the prefill work that is queued or running at the engine, in tokens.
	QueuedTokens int64 `json:"queued_tokens"`
	// Streams is the number of running streams.
	Streams int `json:"streams"`
	// UsedTokens is the KV memory in use, in tokens.
	UsedTokens int64 `json:"used_tokens"`
	// CacheEvents are the prefix cache changes since the last report. An engine may leave some out.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// Target is one target as this host knows it.
type Target struct {
	hostlist.Host
	// inFlight are this host's dispatches, the parts of prefill helpers and the claims of groups that have not ended.
	inFlight map[Dispatch]*activeDispatch
	// own is the sum of inFlight; others is the sum of peers, the loads that other hosts report, by peer address.
	own    Load
	others Load
	peers  map[string]Load
	// Lane is the kind of work that the target is reserved for.
	Lane Lane
	// Block numbers the engines of the long lane in groups of three, from 1; 0 means none. A request that needs several
	// engines takes them from one block.
	Block    int
	measured measured
	prefixes prefixes
	// Report is the last load report.
	Report Report
	// ReportedAt is when the last load report was received; 0 before the first one.
	ReportedAt core.Time
	// ejectedUntil keeps the target out of routing after a failure, unless its zone or the link is suspected; failedAt is
	// the time of the last failure, and failures counts those since the last answer or refusal, or since a suspicion that
	// they contributed to was cleared.
	ejectedUntil core.Time
	failedAt     core.Time
	failures     int
	// refusedUntil keeps the target out of routing after it refused a request; refusals counts the refusals since the
	// last answer.
	refusedUntil core.Time
	refusals     int
	evidence     *evidence
	// lastSeen is when this host last saw the target alive, see MarkSeen; the first token of a dispatch counts too.
	lastSeen core.Time
	// shownSince is since when the host list has the process without a gap.
	shownSince core.Time
	// goneAt is when a target that is missing from the host list counts as gone; 0 while it is listed.
	goneAt core.Time
	// Engine is the published speed of the target; nil if none is published.
	Engine *document.Engine
	// evacuated is set while the target's availability zone is evacuated.
	evacuated bool
	// cold is what is known of whether the target has just started.
	cold coldState
	// GapObjective is the smallest gap target of the routes that lead to the target's service; 0 if there is none.
	GapObjective time.Duration
	// loadChanges and loadFalls point to the table's counters.
	loadChanges, loadFalls *uint64
	standing               *Standing
}

// Dispatch identifies one dispatch of a request, a prefill helper's part or the claim of a group.
type Dispatch struct {
	Key    core.Key
	Number uint32
}

// Job is the work that one dispatch, a prefill helper's part or the claim of a group adds to a target.
type Job struct {
	Priority int
	// Work is the prefill work, in weighted tokens; Memory is the KV memory, in tokens.
	Work   int64
	Memory int64
	// LongContext is set for a long-context prefill, which slows the other streams of the engine.
	LongContext bool
	// GapSensitive is set for a stream with the tightest inter-token objective.
	GapSensitive bool
	// PrefillOnly is set for a job that adds no stream: the part of a prefill helper, and the claim of a routed request's
	// group. The engine that answers counts the stream with its dispatch.
	PrefillOnly bool
}

// activeDispatch is an entry of Target.inFlight.
type activeDispatch struct {
	// load is what the dispatch still adds to the target's load.
	load  Load
	began core.Time
	// queuedWork is the prefill work ahead of the dispatch when it began, plus its own, in weighted tokens.
	queuedWork int64
	// pendingCleared is set once the prefill work was removed from the load.
	pendingCleared bool
	// streaming is set once the first token has arrived.
	streaming bool
}

// InFlight returns the number of this host's dispatches, prefill helpers' parts and claims that have not ended.
func (t *Target) InFlight() int { return len(t.inFlight) }

// Carries reports whether a dispatch of this host to the target has not ended. One that began at an earlier process at the
// address is none of this target's.
func (t *Target) Carries(d Dispatch) bool { return t.inFlight[d] != nil }

// PendingTokens returns this host's pending prefill work at the target, see Load.Pending, in weighted tokens.
func (t *Target) PendingTokens() int64 { return t.own.Ahead(0) }

// Begin adds a new dispatch, helper's part or claim to the load.
func (t *Target) Begin(now core.Time, d Dispatch, job Job) {
	p := &activeDispatch{load: Load{Held: job.Memory, Streams: 1}, began: now}
	if job.GapSensitive {
		p.load.GapSensitive = 1
	}
	if job.PrefillOnly {
		p.load.Streams, p.load.GapSensitive = 0, 0
	} else {
		t.standing.hold.begin(d)
	}
	p.load.Pending[job.Priority] = job.Work
	*t.loadChanges++
	if job.LongContext {
		p.load.LongContext = 1
	}
	total := t.Total()
	p.queuedWork = total.Ahead(job.Priority) + job.Work
	t.inFlight[d] = p
	t.own.add(p.load)
}

// TakePermit counts a request of this host against the target's limit.
func (t *Target) TakePermit(now core.Time) {
	if t.Limited() {
		t.standing.bucket.Take(now)
	}
}

// ReturnPermit records that a request did not reach the target after all.
func (t *Target) ReturnPermit(now core.Time) {
	if t.Limited() {
		t.standing.bucket.Refund(now)
	}
}

// How much longer than at the published speed a prefill may take, with all work ahead of it.
const (
	// prefillMargin is a factor on the time at the published speed.
	prefillMargin = 1.4
	// prefillSlack is added for a few iterations of the engine.
	prefillSlack = 300 * time.Millisecond
)

// prefillDue returns the latest time by which the prefill of a dispatch should be done, by the engine's published speed.
// The target must have one.
func (t *Target) prefillDue(p *activeDispatch) core.Time {
	ms := t.publishedPrefillMs(p) * prefillMargin
	return p.began + document.Milliseconds(ms) + prefillSlack
}

// ExpectedPrefill returns how long the prefill of a dispatch probably takes from its begin, with all work ahead of it.
func (t *Target) ExpectedPrefill(d Dispatch) time.Duration {
	p := t.inFlight[d]
	if p == nil {
		return 0
	}
	if t.Engine != nil {
		return document.Milliseconds(t.publishedPrefillMs(p))
	}
	return time.Duration(float64(p.queuedWork) / t.PrefillRate() * float64(time.Second))
}

// publishedPrefillMs returns how long the prefill of a dispatch takes at the engine's published speed, with all work ahead of
// it, in milliseconds. The target must have one.
func (t *Target) publishedPrefillMs(p *activeDispatch) float64 {
	return float64(p.queuedWork) / t.Engine.PrefillTokensPerMs
}

// ExpirePending removes prefill work that should be done by now from the pending work. The first token of a prompt
// that several engines prefill arrives only when the slowest of them is done; the others are idle until then.
func (tb *Table) ExpirePending(now core.Time) {
	for _, t := range tb.ordered {
		if t.Engine == nil {
			continue
		}
		for _, p := range t.inFlight {
			if !p.pendingCleared && now >= t.prefillDue(p) {
				tb.loadChanges++
				t.clearPending(p)
			}
		}
	}
}

// Prefilled records the first token of a dispatch, or of the group that a claim is for: its prefill is done.
func (t *Target) Prefilled(now core.Time, d Dispatch) {
	p := t.inFlight[d]
	if p == nil {
		return
	}
	p.streaming = true
	t.lastSeen = now
	t.standing.hold.answered(d)
	if p.pendingCleared {
		return
	}
	*t.loadChanges++
	t.addRateSample(p.queuedWork, now-p.began)
	t.clearPending(p)
}

func (t *Target) clearPending(p *activeDispatch) {
	p.pendingCleared = true
	*t.loadFalls++
	done := Load{Pending: p.load.Pending, LongContext: p.load.LongContext}
	t.own.subtract(done)
	p.load.subtract(done)
}

// End removes a dispatch, helper's part or claim that has ended.
func (t *Target) End(d Dispatch) {
	p := t.inFlight[d]
	if p == nil {
		return
	}
	*t.loadChanges++
	*t.loadFalls++
	t.own.subtract(p.load)
	delete(t.inFlight, d)
}

// Serves reports whether the target serves a model or service.
func (t *Target) Serves(model string) bool { return slices.Contains(t.Models, model) }

// Eligible reports whether new work may be sent to the target, as far as its limit allows: see MaySend.
func (t *Target) Eligible(now core.Time) bool {
	return t.TakesNewWork() && !t.held(now) &&
		now >= max(t.evidence.eligibleAt(t), t.refusedUntil)
}

// TakesNewWork reports whether the target neither leaves nor is in an evacuated zone.
func (t *Target) TakesNewWork() bool { return !t.Leaves() && !t.evacuated }

// Failed records a failure that is the target's fault: of a dispatch, or that the target is unresponsive. It may have started
// anew since, so that it may be cold.
func (t *Target) Failed(now core.Time) {
	t.evidence.failed(now, t)
	t.cold.presume(now)
}

// Answered records the complete answer to a dispatch that has not ended, which clears earlier failures and refusals.
func (t *Target) Answered(d Dispatch) {
	t.standing.hold.answered(d)
	t.evidence.answered(t)
	t.refusals = 0
	t.refusedUntil = 0
}

// Refused records that the target refused a request. A refusal shows that the target works and is reachable, so it is
// no evidence of a failure, but the target gets no requests for a while, which doubles with each refusal.
func (t *Target) Refused(now core.Time) {
	t.evidence.answered(t)
	t.refusedUntil = now + min(initialBackoff<<min(t.refusals, 8), maxRefusalBackoff)
	t.refusals++
}

// maxRefusalBackoff is the longest time that a target gets no requests after a refusal.
const maxRefusalBackoff = 4 * time.Second

// Table holds the targets by address. It is not safe for concurrent use.
type Table struct {
	version   uint64
	byAddress map[string]*Target
	ordered   []*Target
	// byDigest holds the targets by their identifier in load digests.
	byDigest map[uint64]*Target
	// withPeer holds the targets at which each peer reports load, by peer address. Some may have left the table since.
	withPeer    map[string][]*Target
	evidence    *evidence
	loadChanges uint64
	loadFalls   uint64
	// remembered is the buffer of rememberLoad.
	remembered []peerLoad
	// standings hold what targets have said of themselves.
	standings map[Identity]*Standing
	// limited are the targets that name a limit, in order of address.
	limited []*Target
	fleet   Fleet
	// lastHold is the end of the last hold of any target.
	lastHold core.Time
	// evacuated are the evacuated availability zones, sorted.
	evacuated []string
	// replaced are the replacements of processes by Apply since the last TakeReplaced.
	replaced []Replacement
	// entryChanges are the changes of entries since the last TakeEntryChanges.
	entryChanges []EntryChange
	// distrustUntil is until when an entry that was missing and is back is not believed: the platform has been restored.
	distrustUntil core.Time
}

// NewTable returns an empty table, of a host without others until JoinFleet.
func NewTable() *Table {
	return &Table{
		byAddress: make(map[string]*Target),
		withPeer:  make(map[string][]*Target),
		evidence:  newEvidence(),
		standings: make(map[Identity]*Standing),
		fleet:     lone{},
	}
}

// Apply takes a host list. It reports false, and changes nothing, if the list's version is below the last one's. A
// target that is no longer listed is kept as leaving until its dispatches have ended.
func (tb *Table) Apply(list *hostlist.List) bool {
	if !tb.ApplyWithGrace(0, list, 0) {
		return false
	}
	tb.DropGone(goneImmediately)
	return true
}

// goneImmediately is a value of Target.goneAt that has always passed. It is above 0, which means listed.
const goneImmediately = core.Time(1)

// ApplyWithGrace takes a host list like Apply, but a target that is no longer listed counts as gone only from goneFrom
// on: after an outage of the platform, entries that expired meanwhile have yet to be written again. DropGone must be called
// next.
func (tb *Table) ApplyWithGrace(now core.Time, list *hostlist.List, goneFrom core.Time) bool {
	if list.Version < tb.version {
		return false
	}
	if tb.version > 0 && hostlist.RestoresOf(list.Version) > hostlist.RestoresOf(tb.version) {
		tb.distrustUntil = now + distrustTime
	}
	tb.version = list.Version
	listed := make(map[string]bool)
	for _, host := range list.Hosts {
		if host.Role == hostlist.RoleEntry {
			continue
		}
		listed[host.Address] = true
		tb.put(now, host)
	}
	for address, t := range tb.byAddress {
		if !listed[address] && t.goneAt == 0 {
			t.goneAt = max(goneFrom, goneImmediately)
		}
	}
	tb.reindex()
	return true
}

// DropGone marks the targets that count as gone as leaving, and removes those without dispatches.
func (tb *Table) DropGone(now core.Time) {
	changed := false
	for address, t := range tb.byAddress {
		if t.goneAt == 0 || now < t.goneAt {
			continue
		}
		changed = changed || t.State != hostlist.StateLeaving
		t.State = hostlist.StateLeaving
		tb.noteEntry(now, t, entryMissing)
		if t.InFlight() == 0 {
			t.evidence.forget(t)
			delete(tb.byAddress, address)
			changed = true
		}
	}
	if changed {
		tb.reindex()
	}
}

// Version returns the version of the host list in force.
func (tb *Table) Version() uint64 { return tb.version }

// put adds a listed host or updates its entry.
func (tb *Table) put(now core.Time, host hostlist.Host) {
	if t := tb.byAddress[host.Address]; t != nil && t.Instance == host.Instance && t.Start == host.Start {
		t.Host = host
		t.evacuated = tb.isEvacuated(t.Zone)
		if t.goneAt != 0 {
			t.goneAt, t.shownSince = 0, now
		}
		tb.noteEntry(now, t, entryStateOf(host.State))
		return
	} else if t != nil {
		tb.replaced = append(tb.replaced, Replacement{Old: t.Process(), New: Process{host.Address, host.Instance, host.Start}})
		t.evidence.forget(t) // another target has the address now, or this one has restarted
	}
	t := &Target{
		Host:        host,
		inFlight:    make(map[Dispatch]*activeDispatch),
		peers:       make(map[string]Load),
		evidence:    tb.evidence,
		shownSince:  now,
		loadChanges: &tb.loadChanges,
		loadFalls:   &tb.loadFalls,
	}
	tb.attach(t)
	t.evacuated = tb.isEvacuated(t.Zone)
	tb.byAddress[host.Address] = t
	tb.noteEntry(now, t, entryStateOf(host.State))
}

// Replacement is that the host list has another process at an address.
type Replacement struct{ Old, New Process }

// TakeReplaced returns the replacements since the last call.
func (tb *Table) TakeReplaced() []Replacement {
	out := tb.replaced
	tb.replaced = nil
	return out
}

// LoadChanges returns the number of changes to the load that this host has placed.
func (tb *Table) LoadChanges() uint64 { return tb.loadChanges }

// reindex rebuilds the order, the digest index and the failure counts after targets were added or removed.
func (tb *Table) reindex() {
	tb.ordered = tb.ordered[:0]
	tb.byDigest = make(map[uint64]*Target, len(tb.byAddress))
	for _, t := range tb.byAddress {
		tb.ordered = append(tb.ordered, t)
		tb.byDigest[uint64(digestID(t.Address))] = t
	}
	sort.Slice(tb.ordered, func(i, j int) bool { return tb.ordered[i].Address < tb.ordered[j].Address })
	tb.evidence.setTargets(tb.ordered)
	tb.indexLimited()
}

// Get returns the target at an address, or nil.
func (tb *Table) Get(address string) *Target { return tb.byAddress[address] }

// Current returns the target that a process is, or nil if it is not listed or another one has its address.
func (tb *Table) Current(p Process) *Target {
	if t := tb.byAddress[p.Address]; t != nil && t.Process() == p {
		return t
	}
	return nil
}

// All returns the targets in order of address. The caller must not change the slice.
func (tb *Table) All() []*Target { return tb.ordered }

// Suspects returns the link and zones that this host suspects as the cause of failures.
func (tb *Table) Suspects(now core.Time) Suspects { return tb.evidence.suspects(now) }

// AnyServes reports whether any target, eligible or not, serves the model.
func (tb *Table) AnyServes(model string) bool {
	return slices.ContainsFunc(tb.ordered, func(t *Target) bool { return t.Serves(model) })
}
