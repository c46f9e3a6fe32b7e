package ctl

import (
	"net/http"

	"github.com/spf13/cobra"
)

func (a *app) newCancel() *cobra.Command {
	return &cobra.Command{
		Use:   "cancel REQUEST",
		Short: "End a request early, on whichever host has it",
		Long: "End a request early, on whichever host has it, and show what became of it. A request that is finished stays " +
			"as it is. The exit status is that of the outcome.",
		Args: cobra.ExactArgs(1),
		RunE: a.run(func(cmd *cobra.Command, args []string) error {
			return a.queryRecords(cmd.Context(), http.MethodDelete, args[0])
		}),
	}
}
