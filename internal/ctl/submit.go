package ctl

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"time"

	"carobshunt/api"
	"carobshunt/client"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// submitFlags are the flags of "submit".
type submitFlags struct {
	entries      []string
	zone         string
	team         string
	id           string
	model        string
	promptFile   string
	promptTokens int64
	answerTokens int64
	idempotent   bool
	budget       time.Duration
	home         string
	deadline     time.Duration
	via          string
	expect       string
	showText     bool
}

func newSubmit(out io.Writer) *cobra.Command {
	f := &submitFlags{}
	cmd := &cobra.Command{
		Use:   "submit",
		Short: "Submit one request and print what became of it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.run(cmd, out)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.entries, "entry", nil, "callers' address of an entry host; may be given more than once")
	flags.StringVar(&f.zone, "zone", "", "availability zone whose hosts come first")
	flags.StringVar(&f.team, "team", "", "team")
	flags.StringVar(&f.id, "id", "", "request identifier, 8 to 64 characters")
	flags.StringVar(&f.model, "model", "", "model or plain service")
	flags.StringVar(&f.promptFile, "prompt-file", "", "file with the prompt; without it a prompt of --prompt-tokens is made up")
	flags.Int64Var(&f.promptTokens, "prompt-tokens", 0, "length of the prompt in tokens")
	flags.Int64Var(&f.answerTokens, "answer-tokens", 16, "longest answer in tokens")
	flags.BoolVar(&f.idempotent, "idempotent", true, "whether the request may be executed more than once")
	flags.DurationVar(&f.budget, "budget", 10*time.Second, "time budget")
	flags.StringVar(&f.home, "home", "", "home that an earlier submit of this identifier chose, with --deadline")
	flags.DurationVar(&f.deadline, "deadline", 0, "deadline on the home's clock, with --home")
	flags.StringVar(&f.via, "via", "", "callers' address of the host to ask; by default the home")
	flags.StringVar(&f.expect, "expect", "", "outcome or code that is expected; another one is a failure")
	flags.BoolVar(&f.showText, "text", false, "print the answer too")
	for _, name := range []string{"entry", "team", "id", "model", "prompt-tokens"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

// bytesPerToken is the length of a made-up prompt's tokens.
const bytesPerToken = 4

func (f *submitFlags) prompt() ([]byte, error) {
	if f.promptFile == "" {
		return bytes.Repeat([]byte("word"), int(f.promptTokens*bytesPerToken/4)), nil
	}
	raw, err := os.ReadFile(f.promptFile)
	return raw, errors.Trace(err)
}

func (f *submitFlags) run(cmd *cobra.Command, out io.Writer) error {
	prompt, err := f.prompt()
	if err != nil {
		return errors.Trace(err)
	}
	c := client.New(client.Options{Entries: f.entries, Zone: f.zone, Team: f.team})
	result, err := c.Do(cmd.Context(), client.Request{
		ID:           f.id,
		Model:        f.model,
		Prompt:       prompt,
		PromptTokens: f.promptTokens,
		AnswerTokens: f.answerTokens,
		Idempotent:   f.idempotent,
		Budget:       f.budget,
		Home:         f.home,
		Deadline:     f.deadline,
		Via:          f.via,
	})
	if err != nil {
		return errors.Trace(err)
	}
	f.print(out, result)
	return f.judge(result)
}

func (f *submitFlags) print(out io.Writer, r client.Result) {
	reason := ""
	if r.Code != "" {
		reason = fmt.Sprintf(" (%s: %s)", r.Code, r.Message)
	}
	_, _ = fmt.Fprintf(out, "%s %s%s host=%s target=%s attempts=%d first_token_ms=%d total_ms=%d retry_after_ms=%d home=%s deadline_ms=%d\n",
		f.id, r.Outcome, reason, r.Host, r.Target, r.Attempts,
		r.FirstToken.Milliseconds(), r.Total.Milliseconds(), r.RetryAfter.Milliseconds(), r.Home, r.Deadline.Milliseconds())
	if f.showText {
		_, _ = fmt.Fprintln(out, r.Text)
	}
}

// judge turns the outcome into the exit status: what was expected, where something was, else the outcome itself.
func (f *submitFlags) judge(r client.Result) error {
	if f.expect != "" {
		if f.expect == string(r.Outcome) || f.expect == string(r.Code) {
			return nil
		}
		return &StatusError{Status: ExitFailed, Reason: fmt.Sprintf("expected %s, got %s %s", f.expect, r.Outcome, r.Code)}
	}
	switch r.Outcome {
	case api.OutcomeDone:
		return nil
	case api.OutcomeNotRun:
		return &StatusError{Status: ExitNotRun, Reason: "the request did not run"}
	case api.OutcomeUnknown:
		return &StatusError{Status: ExitUnknown, Reason: "it can't be told whether the request ran"}
	}
	return &StatusError{Status: ExitFailed, Reason: "the request failed"}
}
