package ctl

import (
	"context"
	"net/http"
	"net/url"

	"carobshunt/api"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// ReleaseReport is what "release" prints.
type ReleaseReport struct {
	Operator string `json:"operator"`
	Name     string `json:"name"`
}

func (a *app) newRelease() *cobra.Command {
	return &cobra.Command{
		Use:   "release NAME",
		Short: "Let all hosts send on again what they withhold",
		Long: "Let all hosts send on again a request, or prompts with some parts, that they withhold since it has ended the targets " +
			"that ran it. NAME is the request that status shows, or the parts, joined by \"+\". Do so once the targets are mended.",
		Args: cobra.ExactArgs(1),
		RunE: a.run(func(cmd *cobra.Command, args []string) error { return a.release(cmd.Context(), args[0]) }),
	}
}

// release asks the first host that answers; it tells the others.
func (a *app) release(ctx context.Context, name string) error {
	o, err := a.deployment.operatorsClient()
	if err != nil {
		return errors.Trace(err)
	}
	var last error
	for _, address := range a.deployment.Operators {
		_, last = o.call(ctx, http.MethodDelete, address, api.PathWithheld+"/"+url.PathEscape(name), nil)
		if last == nil {
			return errors.Trace(a.print(&ReleaseReport{Operator: address, Name: name}))
		}
	}
	return errors.Trace(last)
}

func (r *ReleaseReport) table(w *tableWriter) { w.line("%s has released %s", r.Operator, r.Name) }
