package node

import (
	"fmt"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
)

// CheckTarget asks a target for its health, which needs no request. The answer comes back as TargetChecked.
type CheckTarget struct {
	// Process is the process that the host list has at the address.
	Process target.Process
	// Path is where the target answers for its health.
	Path string
	// SentAt is this host's clock when the action was made; the answer returns it.
	SentAt core.Time
}

// TargetChecked is the result of a CheckTarget.
type TargetChecked struct {
	Process target.Process
	SentAt  core.Time
	Result  target.CheckResult
	// ColdFor is how much longer the target is cold by its own word; 0 if it does not say so.
	ColdFor time.Duration
	// Detail says more of a check that failed, for the log.
	Detail string
}

func (CheckTarget) action()  {}
func (TargetChecked) input() {}

// checkTargets checks the health of the targets that said that they leave, where the host list now has another start: only a
// new process is to get requests. A target whose service has no path for that gets none under the same identity.
func (n *Node) checkTargets() {
	for _, t := range n.targets.All() {
		if !t.CheckDue(n.now) {
			continue
		}
		if path := n.healthPath(t); path != "" {
			n.do(CheckTarget{Process: t.Process(), Path: path, SentAt: n.now})
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
	n.do(StateChange{Event: EventTargetChecked, Text: fmt.Sprintf("%v: %v %s", in.Process, in.Result, in.Detail)})
	n.targets.ObserveCold(n.now, in.Process, in.ColdFor)
	change, changed := n.targets.ApplyCheck(n.now, in.SentAt, in.Process, in.Result)
	if !changed {
		return
	}
	n.reportStanding(change, "a check of its health")
	n.requestPlacement()
}
