package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"

	"carobshunt/internal/settings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

func (a *app) newSettings() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Show what the daemon's settings can say; always JSON"}
	cmd.AddCommand(
		&cobra.Command{
			Use:   "reference",
			Short: "Print the JSON schema of the settings, with descriptions, units and defaults",
			Args:  cobra.NoArgs,
			RunE: a.run(func(*cobra.Command, []string) error {
				var text bytes.Buffer
				if err := json.Indent(&text, settings.Reference(), "", "  "); err != nil {
					return errors.Trace(err)
				}
				_, err := fmt.Fprintln(a.out, text.String())
				return errors.Trace(err)
			}),
		},
		&cobra.Command{
			Use:   "defaults",
			Short: "Print settings with every default filled in",
			Args:  cobra.NoArgs,
			RunE: a.run(func(*cobra.Command, []string) error {
				encoder := json.NewEncoder(a.out)
				encoder.SetIndent("", "  ")
				return errors.Trace(encoder.Encode(settings.Example()))
			}),
		},
	)
	return cmd
}
