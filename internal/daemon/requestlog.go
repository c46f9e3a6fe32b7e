package daemon

import (
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/document"

	"github.com/hashicorp/go-hclog"
)

// requestLog logs each dispatch, withdrawal of one, run of a stream, final result, refusal and ending without a whole answer in one
// line. The line of a dispatch has the inputs of the decision and their age. Refusals for want of the right home are not logged.
type requestLog struct{ log hclog.Logger }

// record logs the action if it is one of these.
func (l *requestLog) record(action node.Action) {
	if !l.log.IsInfo() {
		return
	}
	switch a := action.(type) {
	case node.StartDispatch:
		l.dispatched(&a)
	case node.Finish:
		l.finished(&a)
	case node.Refused:
		l.refused(&a)
	case node.Unanswered:
		l.unanswered(&a)
	case node.Withdrawn:
		l.withdrawn(&a)
	case node.StreamRunEnded:
		l.streamRun(&a)
	}
}

func (l *requestLog) dispatched(a *node.StartDispatch) {
	l.log.Info("dispatched", "id", a.Key.ID, "team", document.ShownName(a.Key.Team), "dispatch", a.Dispatch, "target", a.Target,
		"instance", a.Instance, "start", a.Start, "work", core.WorksText(a.Request.Works), "helpers", len(a.Helpers)+len(a.Group),
		"streams", a.Basis.Streams, "pending", a.Basis.Pending, "limit", a.Basis.Limit,
		"peers_age_ms", a.Basis.PeersAge.Milliseconds(), "revision", a.Basis.Revision, "hosts_version", a.Basis.HostsVersion)
}

func (l *requestLog) finished(a *node.Finish) {
	l.log.Info("finished", "id", a.Key.ID, "team", document.ShownName(a.Key.Team),
		"outcome", string(a.Result.Outcome), "code", string(a.Result.Code),
		"why", a.Result.Message, "target", a.Target, "queued_ms", msSinceAdmission(*a, a.Timing.Dispatched),
		"first_ms", msSinceAdmission(*a, a.Timing.FirstToken), "total_ms", msSinceAdmission(*a, a.Timing.Finished),
		"longest_gap_ms", a.Timing.LongestGap.Milliseconds(), "prompt", a.Work.PrefillTokens)
}

func (l *requestLog) refused(a *node.Refused) {
	l.log.Info("refused", "id", a.Key.ID, "team", document.ShownName(a.Key.Team),
		"outcome", string(a.Result.Outcome), "code", string(a.Result.Code),
		"why", a.Result.Message, "retry_after_ms", a.Result.RetryAfter.Milliseconds(), "prompt", a.PromptTokens,
		"revision", a.Config.Revision, "revision_age_ms", a.Config.InForce.Milliseconds(), "known_revision", a.Config.Known)
}

func (l *requestLog) unanswered(a *node.Unanswered) {
	l.log.Info("no whole answer", "id", a.Key.ID, "team", document.ShownName(a.Key.Team), "dispatch", a.Dispatch, "target", a.Target,
		"ending", a.Ending.String(), "why", a.Message, "again", a.Requeued, "retry_budget", a.RetryBudget,
		"began", a.Began, "work", core.WorksText(a.Works), "parts", partsText(a.Parts))
}

func (l *requestLog) withdrawn(a *node.Withdrawn) {
	l.log.Info("dispatch withdrawn", "id", a.Key.ID, "team", document.ShownName(a.Key.Team), "dispatch", a.Dispatch, "target", a.Target,
		"why", a.Message, "again", a.Requeued, "began", a.Began)
}

func (l *requestLog) streamRun(a *node.StreamRunEnded) {
	l.log.Info("run of a stream", "id", a.Key.ID, "dispatch", a.Dispatch, "target", a.Target, "ending", a.Ending.String(),
		"why", a.Message, "status", a.Run.Status, "framing", string(a.Run.Framing), "resumed", a.Run.Resumed, "after", a.Run.After,
		"events", a.Run.Events, "numbered", a.Run.Numbered, "first", a.Run.First, "last", a.Run.Last)
}

// maxLoggedParts is the number of parts of a prompt that a log line names at most.
const maxLoggedParts = 16

// partsText returns the first parts of a prompt for a log line.
func partsText(parts []core.PartID) string {
	return core.PartsText(parts[:min(len(parts), maxLoggedParts)])
}
