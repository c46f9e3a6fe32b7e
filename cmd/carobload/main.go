// Command carobload measures an entry host that runs as a separate process.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"carobshunt/client"
	"carobshunt/internal/load"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

func main() {
	if err := newRoot(os.Stdout).Execute(); err != nil {
		os.Exit(1)
	}
}

// options holds the flags that all commands share.
type options struct {
	entry    string
	team     string
	pid      int
	requests int
	shape    load.Shape
}

func newRoot(out io.Writer) *cobra.Command {
	o := &options{}
	cmd := &cobra.Command{Use: "carobload", Short: "Measure an entry host", SilenceUsage: true}
	flags := cmd.PersistentFlags()
	flags.StringVar(&o.entry, "entry", "", "callers' address of the entry host")
	flags.StringVar(&o.team, "team", "", "team")
	flags.IntVar(&o.pid, "pid", 0, "process of the entry host, whose usage is reported")
	flags.IntVar(&o.requests, "requests", 100, "number of requests")
	flags.StringVar(&o.shape.Model, "model", "", "model")
	flags.Int64Var(&o.shape.PromptTokens, "prompt-tokens", 1000, "length of each prompt in tokens")
	flags.Int64Var(&o.shape.AnswerTokens, "answer-tokens", 16, "length of each answer in tokens")
	for _, name := range []string{"entry", "team", "pid", "model"} {
		_ = cmd.MarkPersistentFlagRequired(name)
	}
	cmd.AddCommand(newOverhead(out, o), newFlight(out, o))
	return cmd
}

func (o *options) client() *client.Client {
	return client.New(client.Options{Entries: []string{o.entry}, Team: o.team, MaxAttempts: 1})
}

func newOverhead(out io.Writer, o *options) *cobra.Command {
	var engine string
	cmd := &cobra.Command{
		Use:   "overhead",
		Short: "Compare first tokens through the host with first tokens of the engine itself",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			result, err := load.MeasureOverhead(cmd.Context(), o.client(), o.entry, engine, o.shape, o.requests)
			if err != nil {
				return errors.Trace(err)
			}
			return o.report(out, result, load.Usage{})
		},
	}
	cmd.Flags().StringVar(&engine, "engine", "", "address of the engine that serves the model")
	_ = cmd.MarkFlagRequired("engine")
	return cmd
}

func newFlight(out io.Writer, o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "flight",
		Short: "Send all requests at one time and report outcomes, processor time and peak memory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			before, err := load.ReadUsage(o.pid)
			if err != nil {
				return errors.Trace(err)
			}
			result := load.SendBurst(cmd.Context(), o.client(), o.entry, o.shape, o.requests)
			return o.report(out, result, before)
		},
	}
}

// report is a command's result, with the host's resource usage before and after the run. Before is zero for "overhead".
type report struct {
	Result any        `json:"result"`
	Before load.Usage `json:"before"`
	After  load.Usage `json:"after"`
}

func (o *options) report(out io.Writer, result any, before load.Usage) error {
	after, err := load.ReadUsage(o.pid)
	if err != nil {
		return errors.Trace(err)
	}
	text, err := json.MarshalIndent(report{Result: result, Before: before, After: after}, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintln(out, string(text))
	return errors.Trace(err)
}
