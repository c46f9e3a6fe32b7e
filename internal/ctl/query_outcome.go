package ctl

import (
	"context"
	"net/http"

	"carobshunt/api"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// OutcomeReport is what "outcome" and "cancel" print.
type OutcomeReport struct {
	Request string `json:"request"`
	Team    string `json:"team"`
	// Records holds the request's record from each host that has one.
	Records []api.RecordState `json:"records"`
	// Unresponsive lists the hosts that did not answer, or answered with an error other than that they have no record.
	Unresponsive []HostError `json:"silent,omitempty"`
}

// HostError is a host that could not be queried, with the error.
type HostError struct {
	Operator string `json:"operator"`
	Error    string `json:"error"`
}

func (a *app) newOutcome() *cobra.Command {
	return &cobra.Command{
		Use:   "outcome REQUEST",
		Short: "Show what became of a request, from the records of all hosts",
		Long: "Show what became of a request, from the records of all hosts. The question closes nothing: a request that no " +
			"host has a record of may still be submitted. Records are kept for a minute after the request's deadline.",
		Args: cobra.ExactArgs(1),
		RunE: a.run(func(cmd *cobra.Command, args []string) error {
			return a.queryRecords(cmd.Context(), http.MethodGet, args[0])
		}),
	}
}

// queryRecords fetches the request's record from all hosts, or cancels the request on them, and prints the records.
func (a *app) queryRecords(ctx context.Context, method, id string) error {
	o, err := a.deployment.operatorsClient()
	if err != nil {
		return errors.Trace(err)
	}
	if err := a.deployment.requireTeam(); err != nil {
		return err
	}
	r := o.records(ctx, method, a.deployment.Operators, a.deployment.Team, id)
	if err := a.print(r); err != nil {
		return errors.Trace(err)
	}
	return r.exitError()
}

func (o *hostClient) records(ctx context.Context, method string, addresses []string, team, id string) *OutcomeReport {
	states := make([]*api.RecordState, len(addresses))
	errs := make([]error, len(addresses))
	forEachConcurrently(addresses, func(i int, address string) {
		states[i], errs[i] = o.record(ctx, method, address, team, id)
	})
	r := &OutcomeReport{Request: id, Team: team, Records: []api.RecordState{}}
	for i, address := range addresses {
		var apiErr *api.Error
		switch {
		case errs[i] == nil:
			r.Records = append(r.Records, *states[i])
		case errors.As(errs[i], &apiErr) && apiErr.Code == api.CodeNotFound:
		default:
			r.Unresponsive = append(r.Unresponsive, HostError{Operator: address, Error: errs[i].Error()})
		}
	}
	return r
}

func (r *OutcomeReport) table(w *tableWriter) {
	w.row("REQUEST", "OUTCOME", "CODE", "HOST", "TARGET")
	for _, s := range r.Records {
		w.row(s.Request, s.Outcome, orDash(string(s.Code)), s.Host, orDash(s.Target))
	}
	if len(r.Records) == 0 {
		w.line("no host that answered has a record of %s", r.Request)
	}
	for _, h := range r.Unresponsive {
		w.line("%s: %s", h.Operator, h.Error)
	}
}

// outcome returns the outcome with the highest precedence among the records: a request that one host ran has run,
// whatever the others say. Without records it returns "".
func (r *OutcomeReport) outcome() api.Outcome {
	precedence := []api.Outcome{api.OutcomeDone, api.OutcomePending, api.OutcomeUnknown, api.OutcomeFailed, api.OutcomeNotRun}
	for _, outcome := range precedence {
		for _, s := range r.Records {
			if s.Outcome == outcome {
				return outcome
			}
		}
	}
	return ""
}

// exitError returns the error of the outcome. The outcome is unknown without a record, or if the records say "not run"
// but a host did not answer.
func (r *OutcomeReport) exitError() error {
	outcome := r.outcome()
	if outcome == "" || (outcome == api.OutcomeNotRun && len(r.Unresponsive) > 0) {
		return &StatusError{Status: ExitUnknown, Reason: "the records that were reached don't tell what became of the request"}
	}
	return outcomeError(outcome)
}

// outcomeError returns the error for an outcome, nil if the request is done or pending.
func outcomeError(outcome api.Outcome) error {
	switch outcome {
	case api.OutcomeDone, api.OutcomePending:
		return nil
	case api.OutcomeNotRun:
		return &StatusError{Status: ExitNotRun, Reason: "the request did not run"}
	case api.OutcomeUnknown:
		return &StatusError{Status: ExitUnknown, Reason: "it can't be told whether the request ran"}
	}
	return &StatusError{Status: ExitFailed, Reason: "the request failed"}
}
