package ctl

import (
	"context"
	"net/http"

	"carobshunt/api"
	"carobshunt/internal/document"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// DiffReport is what "diff" prints.
type DiffReport struct {
	From string `json:"from"`
	To   string `json:"to"`
	// RevisionRises reports whether To has a higher revision than From. Otherwise hosts that have From in force do not
	// put To in force.
	RevisionRises bool              `json:"revision_rises"`
	Changes       []document.Change `json:"changes"`
}

func (a *app) newDiff() *cobra.Command {
	return &cobra.Command{
		Use:   "diff [FROM] TO",
		Short: "Show what a document would change, against another one or the one in force",
		Long: "Show what publishing the document TO would change, against the document FROM or, without it, against the one " +
			"in force on the first host that answers. Changes of the preset in force come first. Ends with status 5 when " +
			"something would change.",
		Args: cobra.RangeArgs(1, 2),
		RunE: a.run(func(cmd *cobra.Command, args []string) error {
			return a.diff(cmd.Context(), args)
		}),
	}
}

func (a *app) diff(ctx context.Context, args []string) error {
	to, err := readDocument(args[len(args)-1])
	if err != nil {
		return errors.Trace(err)
	}
	from, name, err := a.diffBase(ctx, args)
	if err != nil {
		return errors.Trace(err)
	}
	r := &DiffReport{
		From:          name,
		To:            args[len(args)-1],
		RevisionRises: to.Revision > from.Revision,
		Changes:       document.Diff(from, to),
	}
	if err := a.print(r); err != nil {
		return errors.Trace(err)
	}
	if len(r.Changes) > 0 {
		return &StatusError{Status: ExitDiffers, Reason: "the documents differ"}
	}
	return nil
}

// diffBase returns the document to compare against, and its name: the first of two arguments, or else the document in
// force at the first operators' address of the deployment from which it can be fetched. Without any address,
// operatorsClient returns an error.
func (a *app) diffBase(ctx context.Context, args []string) (*document.Document, string, error) {
	if len(args) > 1 {
		doc, err := readDocument(args[0])
		return doc, args[0], errors.Trace(err)
	}
	raw, address, err := a.documentInForce(ctx)
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	doc, err := document.Parse(raw)
	return doc, "in force at " + address, errors.Trace(err)
}

// documentInForce returns the document in force at the first operators' address from which it can be fetched, and the
// address.
func (a *app) documentInForce(ctx context.Context) ([]byte, string, error) {
	o, err := a.deployment.operatorsClient()
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	var lastErr error
	for _, address := range a.deployment.Operators {
		raw, err := o.call(ctx, http.MethodGet, address, api.PathDocument, nil)
		if err == nil {
			return raw, address, nil
		}
		lastErr = err
	}
	return nil, "", errors.Trace(lastErr)
}

func (r *DiffReport) table(w *tableWriter) {
	w.line("from %s to %s", r.From, r.To)
	w.row("WHAT", "FROM", "TO")
	for _, c := range r.Changes {
		w.row(c.Path, orDash(c.From), orDash(c.To))
	}
	if !r.RevisionRises {
		w.line("the revision does not rise: hosts would not take this document")
	}
}
