package ctl

import (
	"context"
	"net/http"
	"time"

	"carobshunt/api"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// DrainReport is what "drain" prints.
type DrainReport struct {
	Operator string `json:"operator"`
	// Ended reports whether a status query failed, as when the process has ended; always false without --wait.
	Ended  bool  `json:"ended"`
	TookMs int64 `json:"took_ms"`
}

func (a *app) newDrain() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "drain HOST",
		Short: "Start a planned stop of the host with this operators' address",
		Long: "Start a planned stop of the host with this operators' address: it leaves the look-up answers, refuses new " +
			"requests with another address, finishes what it has and ends.",
		Args: cobra.ExactArgs(1),
		RunE: a.run(func(cmd *cobra.Command, args []string) error {
			return a.drain(cmd.Context(), args[0], wait)
		}),
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "how long to wait for the end of the process; 0 does not wait")
	return cmd
}

// drain starts a planned stop and polls the host until a status query fails or wait has passed.
func (a *app) drain(ctx context.Context, address string, wait time.Duration) error {
	if len(a.deployment.Operators) == 0 {
		a.deployment.Operators = []string{address}
	}
	o, err := a.deployment.operatorsClient()
	if err != nil {
		return errors.Trace(err)
	}
	start := time.Now()
	if _, err := o.call(ctx, http.MethodPost, address, api.PathDrain, nil); err != nil {
		return errors.Trace(err)
	}
	r := &DrainReport{Operator: address}
	for wait > 0 && !r.Ended && time.Since(start) < wait {
		time.Sleep(pollInterval)
		_, err := o.status(ctx, address)
		r.Ended = err != nil
	}
	r.TookMs = time.Since(start).Milliseconds()
	if err := a.print(r); err != nil {
		return errors.Trace(err)
	}
	if wait > 0 && !r.Ended {
		return &StatusError{Status: ExitTimeout, Reason: address + " still has requests"}
	}
	return nil
}

func (r *DrainReport) table(w *tableWriter) {
	if r.Ended {
		w.line("%s has ended after %s", r.Operator, formatMs(r.TookMs))
		return
	}
	w.line("%s is draining", r.Operator)
}
