package ctl

import (
	"carobshunt/api"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// lookupReport is what "lookup" prints.
type lookupReport struct{ api.Lookup }

func (a *app) newLookup() *cobra.Command {
	return &cobra.Command{
		Use:   "lookup",
		Short: "Ask as a caller which entry hosts to use",
		Args:  cobra.NoArgs,
		RunE: a.run(func(cmd *cobra.Command, _ []string) error {
			c, err := a.deployment.callersClient(false)
			if err != nil {
				return errors.Trace(err)
			}
			lookup, err := c.Lookup(cmd.Context())
			if err != nil {
				return errors.Trace(err)
			}
			return a.print(lookupReport{lookup})
		}),
	}
}

func (r lookupReport) table(w *tableWriter) {
	w.row("HOST", "ZONE", "INCARNATION", "CLOCK MS", "REVISION")
	for _, h := range r.Hosts {
		w.row(h.Address, h.Zone, h.Incarnation, h.ClockMs, r.Revision)
	}
	for _, address := range r.AskInstead {
		w.line("ask %s instead", address)
	}
}
