package node

import (
	"fmt"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"
)

// CheckTarget asks a target for its health, which needs no request. The answer comes back as TargetChecked.
type CheckTarget struct {
	// Process is the process that the host list has at the address.
	Process target.Process
	// Path is where the target answers for its health.
	Path string
	// Role tells whether it is an engine, which also reports its start.
	Role hostlist.Role
	// SentAt is this host's clock when the action was made; the answer returns it.
	SentAt core.Time
}

// TargetChecked is the result of a CheckTarget.
type TargetChecked struct {
	Process target.Process
	SentAt  core.Time
	Result  target.CheckResult
	// Start is the start of the process that answered, by its own word; 0 if it does not say.
	Start int64
	// ColdFor is how much longer the target is cold by its own word; 0 if it does not say so.
	ColdFor time.Duration
	// Detail says more of a check that failed, for the log.
	Detail string
}

func (CheckTarget) action()  {}
func (TargetChecked) input() {}

// checkTargets checks the health of the targets that the host list has as live although they, or others under their names, are known to
// leave. Those whose service has no path for that are believed after a while.
func (n *Node) checkTargets() {
	for _, t := range n.targets.All() {
		if !t.CheckDue(n.now) {
			continue
		}
		path := n.healthPath(t)
		switch {
		case t.BelieveEntry(n.now, path != ""):
			n.reportStanding(target.StandingChange{Process: t.Process(), NowServing: true}, "its entry alone")
			n.requestPlacement()
		case path != "":
			n.do(CheckTarget{Process: t.Process(), Path: path, Role: t.Role, SentAt: n.now})
		}
	}
}

// healthPath returns where a target answers for its health; empty if that is not known.
func (n *Node) healthPath(t *target.Target) string {
	doc := n.config.Document()
	if doc == nil {
		return ""
	}
	for _, name := range t.Models {
		if s, ok := doc.Service(name); ok && s.HealthPath != "" {
			return s.HealthPath
		}
	}
	return ""
}

// targetChecked records what a check has shown. Other hosts check for themselves.
func (n *Node) targetChecked(in TargetChecked) {
	n.do(StateChange{Event: EventTargetChecked, Text: fmt.Sprintf("%v: %v, start %d %s", in.Process, in.Result, in.Start, in.Detail)})
	n.targets.ObserveCold(n.now, in.Process, in.ColdFor)
	check := target.Check{Process: in.Process, Began: in.SentAt, Result: in.Result, Start: in.Start}
	change, changed := n.targets.ApplyCheck(n.now, check)
	if !changed {
		return
	}
	n.reportStanding(change, "a check of its health")
	n.requestPlacement()
}
