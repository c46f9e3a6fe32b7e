package daemon

import (
	"carobshunt/internal/core/node"

	"github.com/hashicorp/go-hclog"
)

// journal logs each decision about a request in one line, with the inputs of the decision and their age.
type journal struct{ log hclog.Logger }

// note logs the action if it is a decision about a request.
func (j *journal) note(action node.Action) {
	if !j.log.IsInfo() {
		return
	}
	switch a := action.(type) {
	case node.StartDispatch:
		j.dispatched(&a)
	case node.Finish:
		j.finished(&a)
	case node.Refused:
		j.refused(&a)
	case node.Unanswered:
		j.unanswered(&a)
	}
}

func (j *journal) dispatched(a *node.StartDispatch) {
	j.log.Info("dispatched", "id", a.Key.ID, "team", a.Key.Team, "dispatch", a.Dispatch, "target", a.Target,
		"helpers", len(a.Helpers)+len(a.Group), "streams", a.Basis.Streams, "pending", a.Basis.Pending,
		"peers_age_ms", a.Basis.PeersAge.Milliseconds(), "revision", a.Basis.Revision, "hosts_version", a.Basis.HostsVersion)
}

func (j *journal) finished(a *node.Finish) {
	j.log.Info("finished", "id", a.Key.ID, "team", a.Key.Team, "outcome", string(a.Result.Outcome), "code", string(a.Result.Code),
		"why", a.Result.Message, "target", a.Target, "queued_ms", sinceAdmission(*a, a.Timing.Dispatched),
		"first_ms", sinceAdmission(*a, a.Timing.FirstToken), "total_ms", sinceAdmission(*a, a.Timing.Finished),
		"prompt", a.Work.PrefillTokens)
}

func (j *journal) refused(a *node.Refused) {
	j.log.Info("refused", "id", a.Key.ID, "team", a.Key.Team, "outcome", string(a.Result.Outcome), "code", string(a.Result.Code),
		"why", a.Result.Message, "retry_after_ms", a.Result.RetryAfter.Milliseconds(), "prompt", a.PromptTokens)
}

func (j *journal) unanswered(a *node.Unanswered) {
	j.log.Info("no whole answer", "id", a.Key.ID, "team", a.Key.Team, "dispatch", a.Dispatch, "target", a.Target,
		"ending", a.Ending.String(), "why", a.Message, "again", a.Again, "retry_budget", a.Budget)
}
