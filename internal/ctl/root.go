// Package ctl is the operators' tool: commands that change something and queries that only read, each in a file of
// its own.
package ctl

import (
	"fmt"
	"io"

	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// Exit statuses that scripts can rely on.
const (
	ExitOK = 0
	// ExitFailed: the command could not be carried out.
	ExitFailed = 1
	// ExitInvalid: settings, a document or the command line is invalid.
	ExitInvalid = 2
	// ExitNotRun: the request did not run.
	ExitNotRun = 3
	// ExitUnknown: it can't be told whether the request ran.
	ExitUnknown = 4
)

// StatusError carries the exit status with which a command ends.
type StatusError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *StatusError) Error() string { return e.Reason }

// Main runs the tool and returns its exit status.
func Main(args []string, out, errOut io.Writer) int {
	cmd := NewRoot(out)
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(errOut)
	err := cmd.Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(errOut, "carobctl:", err)
	return exitStatus(err)
}

func exitStatus(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status
	}
	var faults *strictjson.Faults
	if errors.As(err, &faults) {
		return ExitInvalid
	}
	return ExitFailed
}

// NewRoot returns the root command.
func NewRoot(out io.Writer) *cobra.Command {
	cmd := &cobra.Command{
		Use:           "carobctl",
		Short:         "Operate carobshunt entry hosts",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.AddCommand(newSubmit(out), newLookup(out), newReplay(out), newTrace(out))
	return cmd
}
