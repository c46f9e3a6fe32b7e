package node

import (
	"cmp"
	"fmt"
	"slices"

	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
	"carobshunt/internal/core/target"
)

// rescue takes requests that may be repeated off engines that have just fallen silent, as far as the retry budget
// goes; those with the earliest deadline first. The others wait for their connection to tell.
func (n *Node) rescue() {
	if !n.predicts() {
		return
	}
	silent := make(map[string]bool)
	for _, t := range route.Silent(n.now, n.targets.All()) {
		silent[t.Address] = true
		if !n.silent[t.Address] {
			n.rescueFrom(t)
		}
	}
	n.silent = silent
}

// rescueHung takes requests that may be repeated off targets that owe a sign of life for too long, and sends them
// nothing new for a while. Where engines report their load, their reports tell instead: see rescue.
func (n *Node) rescueHung() {
	if n.opts.Policy != PolicyPacked {
		return
	}
	for _, t := range n.targets.All() {
		if t.InFlight() == 0 || !t.Eligible(n.now) || !t.Hung(n.now) {
			continue
		}
		t.Failed(n.now)
		n.do(Note{Event: EventHung, Text: fmt.Sprintf("%s with %d requests of this host", t.Address, t.InFlight())})
		n.rescueFrom(t)
	}
}

func (n *Node) rescueFrom(t *target.Target) {
	var stuck []*ledger.Record
	for _, rec := range n.active {
		waits := rec.State == ledger.Dispatched && rec.Target == t.Address && !rec.Work.Group
		if waits && rec.Request.Idempotent && !n.executedOften(rec) {
			stuck = append(stuck, rec)
		}
	}
	slices.SortFunc(stuck, func(a, b *ledger.Record) int {
		return cmp.Or(cmp.Compare(a.Request.Deadline, b.Request.Deadline), a.Request.Compare(b.Request.Key))
	})
	for _, rec := range stuck {
		if !n.retries.Spend() {
			return
		}
		n.abort(rec)
		n.endHelp(rec)
		n.ledger.Requeue(rec)
		rec.Tried = append(rec.Tried, rec.Target)
		rec.Timing.FirstToken = 0
		n.enqueue(rec)
	}
}
