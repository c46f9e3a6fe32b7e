package node

import (
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// beginHelped begins a dispatch whose prompt several engines read.
func (n *Node) beginHelped(rec *ledger.Record, lead *target.Target, helpers []*target.Target) StartDispatch {
	job := n.jobOf(rec, lead)
	job.Work /= int64(len(helpers) + 1)
	order := n.begin(rec, lead, job)
	n.placeHelp(rec, helpers, job)
	order.Helpers = rec.Helpers
	return order
}

// placeHelp accounts for the parts that helpers read, each with the work of the job.
func (n *Node) placeHelp(rec *ledger.Record, helpers []*target.Target, job target.Job) {
	rec.Helpers = nil
	for i, t := range helpers {
		t.Begin(n.now, helpAt(rec, i), target.Job{Priority: job.Priority, Work: job.Work, Deep: true, Helps: true})
		rec.Helpers = append(rec.Helpers, t.Address)
	}
}

// helpAt identifies the part of a helper; no dispatch of a request has a number that high.
func helpAt(rec *ledger.Record, helper int) target.Dispatch {
	return target.Dispatch{Key: rec.Request.Key, Number: helpNumbers + uint32(helper)}
}

const helpNumbers = 1 << 20

// endHelp accounts for the end of the helpers' parts: the first token has come, or none will.
func (n *Node) endHelp(rec *ledger.Record) {
	for i, address := range rec.Helpers {
		if t := n.targets.Get(address); t != nil {
			t.End(helpAt(rec, i))
		}
	}
	rec.Helpers = nil
}
