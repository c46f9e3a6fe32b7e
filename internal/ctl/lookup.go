package ctl

import (
	"fmt"
	"io"

	"carobshunt/client"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

func newLookup(out io.Writer) *cobra.Command {
	var entries []string
	var zone string
	cmd := &cobra.Command{
		Use:   "lookup",
		Short: "Ask which entry hosts to use",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c := client.New(client.Options{Entries: entries, Zone: zone})
			lookup, err := c.Lookup(cmd.Context())
			if err != nil {
				return errors.Trace(err)
			}
			for _, h := range lookup.Hosts {
				_, _ = fmt.Fprintf(out, "%s zone %s clock %d ms revision %d\n", h.Home(), h.Zone, h.ClockMs, lookup.Revision)
			}
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&entries, "entry", nil, "callers' address of an entry host; may be given more than once")
	cmd.Flags().StringVar(&zone, "zone", "", "availability zone whose hosts come first")
	_ = cmd.MarkFlagRequired("entry")
	return cmd
}
