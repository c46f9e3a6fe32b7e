// Package quarantine finds requests that end the targets that run them, and withholds them.
//
// Such requests are the same work that comes again, or prompts that have a part in common, and whatever else they hold, the
// process of a target ends when it runs them. A host learns from its own dispatches, and hosts tell each other:
//   - A loss is a dispatch that was cut while nothing had shown yet that its request does no harm. Its work and the parts of
//     its prompt are suspected.
//   - A proof is a whole answer, or a target that still runs ProvenTime after it has begun to write. It clears the work and
//     the parts, so parts that many prompts share are never suspected for long.
//
// A verdict withholds all requests of a work, or all prompts with a part, that explains the losses of several processes at
// separate moments. Accidents cut requests too, so each loss is weighed by the chance that a harmless request would have been
// lost in the same time, at the rate at which other requests are lost: see Table.evidence. Before there is a verdict on a
// work, the hosts take turns with it, see Restraint.
//
// Invariants:
//   - No part is withheld while no other prompts are proven harmless: then the targets fail for another reason.
//   - What was lost where a verdict explains the end of the process is no evidence against other parts and works.
//   - A verdict ends when a request that it covers is proven harmless. Until then one request at a time is let through at
//     growing intervals, see Verdict; of a work only a few for good.
//   - The memory is bounded, whatever peers and callers send.
package quarantine

import (
	"maps"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
)

const (
	// ProvenTime is how long a target must live after a prompt's first event to show that it does no harm. A target
	// sends events up to half a second apart while it reads a long prompt.
	ProvenTime = 400 * time.Millisecond
	// aliveMargin is how long after a loss a target may still seem alive, by events that were on their way.
	aliveMargin = 250 * time.Millisecond
)

// never is the time of an event that has not happened.
const never = core.Time(-1)

// Run is one dispatch of a request to a target.
type Run struct {
	Dispatch target.Dispatch
	Parts    []core.PartID
	Works    []core.WorkID
	Process  target.Process
	// Exposure is how long the request will probably run until it is proven harmless; 0 if that is not known.
	Exposure time.Duration
	// Plain is set for a request to a plain service, which has no prompt.
	Plain bool
}

// run is a Run that has neither ended nor been proven harmless.
type run struct {
	Run
	began core.Time
	// firstEvent is when the first event of the answer arrived; never before.
	firstEvent core.Time
	// suspended is set if this process was suspended during the run. What arrives then may have been sent long before.
	suspended bool
}

// Table is what one host knows of harmful requests. It is not safe for concurrent use.
type Table struct {
	self string
	runs map[target.Dispatch]*run
	// running is the number of runs of each work.
	running map[core.WorkID]int
	// writing are the runs with a first event, in its order.
	writing []*run
	// alive is when processes with runs were last seen alive.
	alive          map[target.Process]core.Time
	prompts, plain *fleetRates
	parts          *suspects[core.PartID]
	works          *suspects[core.WorkID]
	// trials is when the next host may try a work that may have ended targets.
	trials map[core.WorkID]core.Time
	// lost is when processes were last reported lost.
	lost map[target.Process]core.Time
	// seen are the losses that are recorded, so that each counts once.
	seen map[lossID]core.Time
	// recent are the last losses, in the order in which they became known.
	recent   []*loss
	verdicts []*Verdict
	// released holds the verdicts that have ended, by their subject.
	released map[string]release
	news     news
	changes  []Change
	// unjudged is set while there is evidence against parts that no verdict has considered. lastLoss is when the last loss became
	// known: works are judged for a while from then on.
	unjudged bool
	lastLoss core.Time
	rotated  core.Time
}

// New returns the empty table of a host with a peer address.
func New(self string) *Table {
	return &Table{
		self:     self,
		runs:     make(map[target.Dispatch]*run),
		running:  make(map[core.WorkID]int),
		alive:    make(map[target.Process]core.Time),
		prompts:  newFleetRates(),
		plain:    newFleetRates(),
		parts:    newSuspects(func(core.PartID) time.Duration { return sharedProofTTL }, partLossTTL),
		works:    newSuspects(workProofTTL, workLossTTL),
		lost:     make(map[target.Process]core.Time),
		seen:     make(map[lossID]core.Time),
		trials:   make(map[core.WorkID]core.Time),
		released: make(map[string]release),
	}
}

// ratesOf returns the rates of plain requests or of prompts.
func (tb *Table) ratesOf(plain bool) *fleetRates {
	if plain {
		return tb.plain
	}
	return tb.prompts
}

// Begin records that a dispatch begins. Requests without a part or a known work can't be told apart and are not considered.
func (tb *Table) Begin(now core.Time, r Run) {
	if len(r.Parts) == 0 && len(r.Works) == 0 {
		return
	}
	tb.runs[r.Dispatch] = &run{Run: r, began: now, firstEvent: never}
	for _, work := range r.Works {
		tb.running[work]++
	}
}

// end forgets a run and returns it; nil if there is none.
func (tb *Table) end(d target.Dispatch) *run {
	r := tb.runs[d]
	if r == nil {
		return nil
	}
	delete(tb.runs, d)
	for _, work := range r.Works {
		if tb.running[work]--; tb.running[work] == 0 {
			delete(tb.running, work)
		}
	}
	return r
}

// FirstEvent records the first event of an answer.
func (tb *Table) FirstEvent(now core.Time, d target.Dispatch) {
	r := tb.runs[d]
	if r == nil || r.firstEvent != never {
		return
	}
	r.firstEvent = now
	tb.writing = append(tb.writing, r)
	tb.Alive(now, r.Process)
}

// Done records a whole answer.
func (tb *Table) Done(now core.Time, d target.Dispatch, parts []core.PartID, works []core.WorkID) {
	if r := tb.end(d); r != nil {
		tb.Alive(now, r.Process)
		tb.ratesOf(r.Plain).own.proven(now, now-r.began)
	}
	tb.prove(now, parts, works)
}

// Drop forgets a dispatch that ended in a way that shows nothing.
func (tb *Table) Drop(d target.Dispatch) { tb.end(d) }

// Lost records that a dispatch was cut, as by the end of its target's process. It shows nothing if the request was proven
// harmless before.
func (tb *Table) Lost(now core.Time, d target.Dispatch) {
	r := tb.end(d)
	if r == nil {
		return
	}
	tb.ratesOf(r.Plain).own.exposed(now, now-r.began)
	tb.recordOwnLoss(now, r)
}

// recordOwnLoss records the loss of a run of this host.
func (tb *Table) recordOwnLoss(now core.Time, r *run) {
	l := &loss{
		host: tb.self, process: r.Process, at: now, ran: now - r.began, exposure: max(r.Exposure, now-r.began), plain: r.Plain,
		parts: tb.parts.unproven(now, r.Parts),
	}
	if identified(r.Process) {
		l.works = tb.works.unproven(now, r.Works)
	}
	if len(r.Works) > 0 {
		l.beside = tb.running[r.Works[0]]
	}
	if len(l.parts) == 0 && len(l.works) == 0 {
		return
	}
	tb.addLoss(now, l)
	tb.news.addLoss(l)
}

// addLoss adds a loss to the suspects that it speaks against.
func (tb *Table) addLoss(now core.Time, l *loss) {
	if at, ok := tb.lost[l.process]; ok || len(tb.lost) < maxRemembered {
		tb.lost[l.process] = max(at, l.at)
	}
	tb.recent = append(tb.recent, l)
	tb.parts.add(l, l.parts)
	tb.works.add(l, l.works)
	for _, work := range l.works {
		tb.setTrial(now, work)
	}
	tb.unjudged = true
	tb.lastLoss = max(tb.lastLoss, l.at)
}

// retract drops the losses at a process that has not ended.
func (tb *Table) retract(process target.Process) {
	delete(tb.lost, process)
	tb.parts.retract(process)
	tb.works.retract(process)
	tb.news.retract(process)
	tb.releaseUnfounded()
}

// Alive records that a target's process is seen alive. It has not ended, then, however many of its dispatches were cut.
func (tb *Table) Alive(now core.Time, process target.Process) {
	tb.alive[process] = now
	if tb.outlivesLoss(now, process) {
		tb.retract(process)
		tb.news.addAlive(now, process)
	}
}

// outlivesLoss reports whether a process that was reported lost has not ended, as it is seen alive at an instant.
func (tb *Table) outlivesLoss(seenAt core.Time, process target.Process) bool {
	lostAt, ok := tb.lost[process]
	return ok && seenAt > lostAt+aliveMargin && identified(process)
}

// identified reports whether a process can be told from the next one at its address.
func identified(p target.Process) bool { return p.Instance != "" || p.Start != 0 }

// Resumed records that this process was suspended.
func (tb *Table) Resumed() {
	for _, r := range tb.runs {
		r.suspended = true
	}
}

// Tick proves prompts harmless, forgets what is old and judges. It returns what has changed since the last call.
func (tb *Table) Tick(now core.Time) []Change {
	tb.proveWriting(now)
	tb.expire(now)
	tb.judge(now)
	changes := tb.changes
	tb.changes = nil
	return changes
}

// proveWriting proves the requests harmless whose targets are alive ProvenTime after the first event.
func (tb *Table) proveWriting(now core.Time) {
	rest := tb.writing[:0]
	for _, r := range tb.writing {
		switch due := r.firstEvent + ProvenTime; {
		case tb.runs[r.Dispatch] != r: // it has ended
		case !r.suspended && tb.alive[r.Process] >= due:
			tb.end(r.Dispatch)
			tb.ratesOf(r.Plain).own.proven(now, now-r.began)
			tb.prove(now, r.Parts, r.Works)
		default:
			rest = append(rest, r)
		}
	}
	clear(tb.writing[len(rest):])
	tb.writing = rest
}

// prove clears the parts and the work of a request that does no harm, and tells other hosts if any is suspected.
func (tb *Table) prove(now core.Time, parts []core.PartID, works []core.WorkID) {
	for _, part := range parts {
		if tb.parts.prove(now, part) {
			tb.news.addProof(now, PublishedProof{Part: part})
		}
	}
	for _, work := range works {
		if tb.works.prove(now, work) {
			tb.news.addProof(now, PublishedProof{Work: work})
		}
	}
	tb.releaseCovering(now, parts, works)
}

const (
	// expireInterval is the time between two looks for what is to be forgotten.
	expireInterval = 10 * time.Second
	// aliveTTL is how long it is remembered that a process was seen alive.
	aliveTTL = 10 * time.Second
	// sharedProofTTL is how long before a loss a proof still clears what different requests share: a part, or a general work.
	// Targets may have been replaced by others since.
	sharedProofTTL = 10 * time.Second
	// partLossTTL is how long a loss is evidence against a part. Prompts with a harmful part may be minutes apart.
	partLossTTL = 15 * time.Minute
	// workLossTTL is how long a loss is evidence against a work. A request may come again once an hour.
	workLossTTL = 24 * time.Hour
	// seenTTL is how long the identifier of a loss is remembered. It is told for a few seconds.
	seenTTL = time.Minute
	// maxRemembered is the number of identifiers of losses, and of ended processes, that are remembered.
	maxRemembered = 16_384
	// recentTime is how long losses count in rates; by then their weight is small. maxRecent bounds their number.
	recentTime = 3 * rateTime
	maxRecent  = 4096
)

// workProofTTL returns how long before a loss a proof still clears a work. The same request may have begun to do harm, so a
// proof clears only the losses before it.
func workProofTTL(work core.WorkID) time.Duration {
	if work.General() {
		return sharedProofTTL
	}
	return 0
}

// expire forgets what is old.
func (tb *Table) expire(now core.Time) {
	tb.news.expire(now)
	for len(tb.recent) > 0 && (now-tb.recent[0].at >= recentTime || len(tb.recent) > maxRecent) {
		tb.recent = tb.recent[1:]
	}
	tb.parts.proofs.rotate(now)
	tb.works.proofs.rotate(now)
	if now-tb.rotated < expireInterval {
		return
	}
	tb.rotated = now
	for process, at := range tb.alive {
		if now-at >= aliveTTL {
			delete(tb.alive, process)
		}
	}
	for process, at := range tb.lost {
		if now-at >= partLossTTL {
			delete(tb.lost, process)
		}
	}
	for id, at := range tb.seen {
		if now-at >= seenTTL {
			delete(tb.seen, id)
		}
	}
	for key, r := range tb.released {
		if now-r.at >= releaseTTL {
			delete(tb.released, key)
		}
	}
	tb.parts.expire(now)
	tb.works.expire(now)
	maps.DeleteFunc(tb.trials, func(work core.WorkID, _ core.Time) bool { return len(tb.works.losses(work)) < trialEnds })
}
