// Package quarantine finds prompts that end the targets that run them, and withholds them.
//
// Such prompts have a part in common, and whatever else they hold, the process of a target ends when it begins to write an
// answer. A host learns from its own dispatches, and hosts tell each other:
//   - A loss is a dispatch that was cut while nothing had shown yet that its prompt does no harm. Its parts are suspected.
//   - A proof is a whole answer, or a target that still runs ProvenTime after it has begun to write. It clears the parts of
//     the prompt, so parts that many prompts share are never suspected for long.
//
// A verdict withholds all prompts with a part that explains the losses of several processes at separate moments. Accidents
// cut prompts too, so each loss is weighed by the chance that a harmless prompt would have been lost in the same time, at
// the rate at which prompts without the part are lost: see suspect.evidence.
//
// Invariants:
//   - Nothing is withheld while no other prompts are proven harmless: then the targets fail for another reason.
//   - What was lost where a verdict explains the end of the process is no evidence against other parts.
//   - A verdict ends when a prompt that it covers is proven harmless. Until then one request at a time is let through at
//     growing intervals, see Verdict.
//   - The memory is bounded, whatever peers and callers send.
package quarantine

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
)

const (
	// ProvenTime is how long a target must live after a prompt's first event to show that the prompt does no harm. A target
	// sends events up to half a second apart while it reads a long prompt.
	ProvenTime = 400 * time.Millisecond
	// aliveMargin is how long after a loss a target may still seem alive, by events that were on their way.
	aliveMargin = 250 * time.Millisecond
)

// never is the time of an event that has not happened.
const never = core.Time(-1)

// Run is one dispatch of a prompt to a target.
type Run struct {
	Dispatch target.Dispatch
	Parts    []core.PartID
	Process  target.Process
	// Exposure is how long the prompt will probably run until it is proven harmless.
	Exposure time.Duration
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

// Table is what one host knows of harmful prompts. It is not safe for concurrent use.
type Table struct {
	self string
	runs map[target.Dispatch]*run
	// writing are the runs with a first event, in its order.
	writing []*run
	// alive is when processes with runs were last seen alive.
	alive    map[target.Process]core.Time
	proofs   proofs
	rates    rates
	peers    map[string]Rates
	suspects map[core.PartID]*suspect
	// lost is when processes were last reported lost.
	lost map[target.Process]core.Time
	// seen are the losses that are recorded, so that each counts once.
	seen map[lossID]core.Time
	// recent are the last losses, in the order in which they became known.
	recent   []*loss
	verdicts []*Verdict
	// released holds the verdicts that have ended, by the key of their parts.
	released map[string]release
	news     news
	changes  []Change
	// unjudged is set while there is evidence that no verdict has considered.
	unjudged bool
}

// New returns the empty table of a host with a peer address.
func New(self string) *Table {
	return &Table{
		self:     self,
		runs:     make(map[target.Dispatch]*run),
		alive:    make(map[target.Process]core.Time),
		proofs:   newProofs(),
		peers:    make(map[string]Rates),
		suspects: make(map[core.PartID]*suspect),
		lost:     make(map[target.Process]core.Time),
		seen:     make(map[lossID]core.Time),
		released: make(map[string]release),
	}
}

// Begin records that a dispatch begins. Prompts without parts can't be told apart and are not considered.
func (tb *Table) Begin(now core.Time, r Run) {
	if len(r.Parts) > 0 {
		tb.runs[r.Dispatch] = &run{Run: r, began: now, firstEvent: never}
	}
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
func (tb *Table) Done(now core.Time, d target.Dispatch, parts []core.PartID) {
	if r := tb.runs[d]; r != nil {
		tb.Alive(now, r.Process)
		tb.rates.proven(now, now-r.began)
	}
	delete(tb.runs, d)
	tb.prove(now, parts)
}

// Drop forgets a dispatch that ended in a way that shows nothing.
func (tb *Table) Drop(d target.Dispatch) { delete(tb.runs, d) }

// Lost records that a dispatch was cut, as by the end of its target's process. It shows nothing if the prompt was proven
// harmless before.
func (tb *Table) Lost(now core.Time, d target.Dispatch) {
	r := tb.runs[d]
	if r == nil {
		return
	}
	delete(tb.runs, d)
	tb.rates.exposed(now, now-r.began)
	tb.recordOwnLoss(now, r)
}

// Alive records that a target's process is seen alive. It has not ended, then, however many of its dispatches were cut.
func (tb *Table) Alive(now core.Time, process target.Process) {
	tb.alive[process] = now
	if at, ok := tb.lost[process]; ok && now > at+aliveMargin && identified(process) {
		tb.retract(process)
	}
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

// proveWriting proves the prompts harmless whose targets are alive ProvenTime after the first event.
func (tb *Table) proveWriting(now core.Time) {
	rest := tb.writing[:0]
	for _, r := range tb.writing {
		switch due := r.firstEvent + ProvenTime; {
		case tb.runs[r.Dispatch] != r: // it has ended
		case !r.suspended && tb.alive[r.Process] >= due:
			delete(tb.runs, r.Dispatch)
			tb.rates.proven(now, now-r.began)
			tb.prove(now, r.Parts)
		default:
			rest = append(rest, r)
		}
	}
	clear(tb.writing[len(rest):])
	tb.writing = rest
}

// prove clears the parts of a prompt that does no harm, and tells other hosts if any is suspected.
func (tb *Table) prove(now core.Time, parts []core.PartID) {
	for _, part := range parts {
		tb.proofs.add(now, part)
		if tb.suspects[part] != nil {
			tb.clearSuspect(part, now)
			tb.news.addProof(now, part)
		}
	}
	tb.releaseCovering(now, parts)
}

const (
	// aliveTTL is how long it is remembered that a process was seen alive.
	aliveTTL = 10 * time.Second
	// lossTTL is how long a loss is evidence. Prompts with a harmful part may be minutes apart.
	lossTTL = 15 * time.Minute
	// seenTTL is how long the identifier of a loss is remembered. It is told for a few seconds.
	seenTTL = time.Minute
	// maxRemembered is the number of identifiers of losses, and of ended processes, that are remembered.
	maxRemembered = 16_384
	// recentTime is how long losses count in rates; by then their weight is small. maxRecent bounds their number.
	recentTime = 3 * rateTime
	maxRecent  = 4096
)

// expire forgets what is old.
func (tb *Table) expire(now core.Time) {
	tb.news.expire(now)
	for len(tb.recent) > 0 && (now-tb.recent[0].at >= recentTime || len(tb.recent) > maxRecent) {
		tb.recent = tb.recent[1:]
	}
	if !tb.proofs.rotate(now) {
		return
	}
	for process, at := range tb.alive {
		if now-at >= aliveTTL {
			delete(tb.alive, process)
		}
	}
	for process, at := range tb.lost {
		if now-at >= lossTTL {
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
	for _, s := range tb.suspects {
		tb.keepLosses(s, func(l *loss) bool { return now-l.at < lossTTL })
	}
}
