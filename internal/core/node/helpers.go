package node

import (
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// beginWithHelpers begins a dispatch whose prompt is split: the lead engine prefills one part and answers, and
// prefill helpers prefill one part each.
func (n *Node) beginWithHelpers(rec *ledger.Record, lead *target.Target, helpers []*target.Target) StartDispatch {
	job := n.jobOf(rec, lead)
	job.Work /= int64(len(helpers) + 1)
	start := n.begin(rec, lead, job)
	n.addHelperLoad(rec, helpers, job)
	start.Helpers = rec.Helpers
	return start
}

// addHelperLoad adds a part of the prefill, with the work of the job, to the load of each helper and records the
// helpers.
func (n *Node) addHelperLoad(rec *ledger.Record, helpers []*target.Target, job target.Job) {
	rec.Helpers = nil
	for i, t := range helpers {
		t.Begin(n.now, helperDispatch(rec, i), target.Job{Priority: job.Priority, Work: job.Work, LongContext: true, PrefillOnly: true})
		rec.Helpers = append(rec.Helpers, t.Address)
	}
}

// helperDispatch identifies a helper's part in the load of its engine; no dispatch of a request has a number that
// high.
func helperDispatch(rec *ledger.Record, helper int) target.Dispatch {
	return target.Dispatch{Key: rec.Request.Key, Number: firstHelperNumber + uint32(helper)}
}

// firstHelperNumber is the dispatch number of the part of helper 0.
const firstHelperNumber = 1 << 20

// removeHelperLoad removes the helpers' parts from the load of their engines: the first token has arrived, or none will.
func (n *Node) removeHelperLoad(rec *ledger.Record) {
	for i, address := range rec.Helpers {
		if t := n.targets.Get(address); t != nil {
			t.End(helperDispatch(rec, i))
		}
	}
	rec.Helpers = nil
}
