// Package ctl implements carobctl, the command-line tool of operators and callers. Commands that change state and
// read-only queries have a file each. It writes nothing to the platform.
package ctl

import (
	"fmt"
	"io"

	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// Exit statuses, which scripts rely on.
const (
	ExitOK = 0
	// ExitFailed reports that the command could not be carried out, or that the request failed.
	ExitFailed = 1
	// ExitInvalid reports that settings, a document or the command line is invalid.
	ExitInvalid = 2
	// ExitNotRun reports that the request did not run.
	ExitNotRun = 3
	// ExitUnknown reports that it can't be determined whether the request ran.
	ExitUnknown = 4
	// ExitDiffers reports that hosts disagree, that one does not answer, or that two documents differ.
	ExitDiffers = 5
	// ExitTimeout reports that the awaited condition did not occur in time.
	ExitTimeout = 6
	// ExitWarnings reports that a configuration has warnings but no errors.
	ExitWarnings = 7
)

// exitStatuses is the part of the help text that lists the exit statuses.
const exitStatuses = `Exit statuses:
  0  as it should be
  1  could not be carried out, or the request failed
  2  settings, a document or the command line is invalid
  3  the request did not run
  4  it can't be told whether the request ran
  5  hosts disagree or one does not answer, or two documents differ
  6  what was waited for did not happen in time
  7  a configuration has warnings, but no errors`

// StatusError is an error that ends a command with a given exit status.
type StatusError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *StatusError) Error() string { return e.Reason }

// UsageError reports an invalid command line.
type UsageError struct{ Cause error }

// Error implements error.
func (e *UsageError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// app is one invocation of the tool.
type app struct {
	out io.Writer
	// argsValid is set once the command line has been parsed; errors before that are usage errors.
	argsValid bool

	output         string
	deploymentFile string
	// override holds the values given by flags; deployment is the result of applying them to the file.
	override   Deployment
	deployment Deployment
}

// Main runs the tool and returns its exit status.
func Main(args []string, out, errOut io.Writer) int {
	a := &app{out: out}
	cmd := a.root()
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(errOut)
	err := cmd.Execute()
	if err == nil {
		return ExitOK
	}
	if !a.argsValid {
		err = &UsageError{Cause: err}
	}
	_, _ = fmt.Fprintln(errOut, "carobctl:", err)
	return exitStatus(err)
}

// exitStatus maps an error to the exit status.
func exitStatus(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status
	}
	var faults *strictjson.Faults
	var usage *UsageError
	if errors.As(err, &faults) || errors.As(err, &usage) {
		return ExitInvalid
	}
	return ExitFailed
}

// NewRoot returns the root command.
func NewRoot(out io.Writer) *cobra.Command { return (&app{out: out}).root() }

func (a *app) root() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "carobctl",
		Short: "Operate carobshunt entry hosts",
		Long: "Operate carobshunt entry hosts. Nothing is written to the platform: operators publish there themselves.\n\n" +
			exitStatuses,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.AddGroup(&cobra.Group{ID: groupQueries, Title: "Queries:"}, &cobra.Group{ID: groupCommands, Title: "Commands:"})
	cmd.PersistentFlags().StringVarP(&a.output, "output", "o", outputTable, "form of the output: table or json")
	a.deploymentFlags(cmd)
	a.add(cmd, groupQueries, a.newStatus(), a.newOutcome(), a.newDiff(), a.newCheck(), a.newSettings(), a.newWatch(), a.newLookup(),
		a.wrapAll(newReplay(a.out)), a.wrapAll(newTrace(a.out)))
	a.add(cmd, groupCommands, a.newSubmit(), a.newCancel(), a.newRelease(), a.newDrain())
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	return cmd
}

// Groups of subcommands in the help text.
const (
	groupQueries  = "queries"
	groupCommands = "commands"
)

func (a *app) add(parent *cobra.Command, group string, children ...*cobra.Command) {
	for _, child := range children {
		child.GroupID = group
		parent.AddCommand(child)
	}
}

// wrapAll wraps the functions of a command and of all its subcommands with run.
func (a *app) wrapAll(cmd *cobra.Command) *cobra.Command {
	if cmd.RunE != nil {
		cmd.RunE = a.run(cmd.RunE)
	}
	for _, child := range cmd.Commands() {
		a.wrapAll(child)
	}
	return cmd
}

// run wraps a command's function: it marks the command line as valid and loads the deployment before calling f.
func (a *app) run(f func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if a.output != outputTable && a.output != outputJSON {
			return &StatusError{Status: ExitInvalid, Reason: "--output: must be table or json"}
		}
		a.argsValid = true
		if err := a.loadDeployment(); err != nil {
			return errors.Trace(err)
		}
		return f(cmd, args)
	}
}
