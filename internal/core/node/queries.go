package node

import (
	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
)

// cancel ends a request early. Before an answer "not run", it closes the identifier, also of a request that has not
// arrived yet, so that it can't run later.
func (n *Node) cancel(in Cancel) {
	if decision, decided := n.decideQueryHome(&in.Request); decided {
		n.do(Decide{Ticket: in.Ticket, Decision: decision})
		return
	}
	rec := n.ledger.Get(in.Request.Key)
	if rec == nil {
		n.reportResult(in.Ticket, n.resultWithoutRecord(in.Request, api.CodeCanceled))
		return
	}
	if rec.State != ledger.Finished {
		n.giveUp(rec, api.CodeCanceled, "canceled by the caller")
	}
	n.ledger.CloseAll(rec)
	n.report(in.Ticket, rec)
}

func (n *Node) report(ticket Ticket, rec *ledger.Record) {
	n.do(Decide{Ticket: ticket, Decision: Decision{Kind: Report, Result: rec.Result, Target: rec.Target}})
}

func (n *Node) reportResult(ticket Ticket, result core.Result) {
	n.do(Decide{Ticket: ticket, Decision: Decision{Kind: Report, Result: result}})
}

// query reports a request's outcome. Before an answer "not run", it closes the identifier, so that the answer stays
// true.
func (n *Node) query(in Query) {
	if decision, decided := n.decideQueryHome(&in.Request); decided {
		n.do(Decide{Ticket: in.Ticket, Decision: decision})
		return
	}
	rec := n.ledger.Get(in.Request.Key)
	if rec == nil {
		n.reportResult(in.Ticket, n.resultWithoutRecord(in.Request, api.CodeClosed))
		return
	}
	n.ledger.CloseAll(rec)
	n.report(in.Ticket, rec)
}

// resultWithoutRecord returns the result for a request without a record. The identifier of a request that is not
// idempotent is closed with the code, unless its record may have existed and expired.
func (n *Node) resultWithoutRecord(req core.Request, code api.Code) core.Result {
	if req.Idempotent {
		return core.Result{Outcome: api.OutcomeFailed, Code: api.CodeNotFound, Message: "no record of this request"}
	}
	if req.Deadline <= 0 || n.now >= req.Deadline+ledger.Retention {
		return ledger.Expired(false)
	}
	result := core.Result{Outcome: api.OutcomeNotRun, Code: code, Message: "never admitted here, and closed now"}
	req.Attempt = ledger.AllAttempts
	if !n.ledger.Close(n.now, req, result) {
		return core.Result{Outcome: api.OutcomeUnknown, Code: api.CodeRecordsFull, Message: "no room to close the identifier"}
	}
	return result
}
