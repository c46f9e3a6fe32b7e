package ctl

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"carobshunt/api"
	"carobshunt/client"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// SubmitReport is what "submit" prints.
type SubmitReport struct {
	Request string      `json:"request"`
	Outcome api.Outcome `json:"outcome"`
	Code    api.Code    `json:"code,omitempty"`
	Message string      `json:"message,omitempty"`
	// Host is the entry host that decided the outcome, Target the last target that it sent the request to.
	Host     string `json:"host"`
	Target   string `json:"target,omitempty"`
	Attempts int    `json:"attempts"`
	// FirstTokenMs and TotalMs are the times from submission to the first token and to the outcome, in milliseconds.
	FirstTokenMs int64 `json:"first_token_ms"`
	TotalMs      int64 `json:"total_ms"`
	RetryAfterMs int64 `json:"retry_after_ms"`
	// Home and DeadlineMs are needed to submit a request that is not idempotent again under the same binding.
	// DeadlineMs is on the home's clock.
	Home       string `json:"home"`
	DeadlineMs int64  `json:"deadline_ms"`
	Answer     string `json:"answer,omitempty"`

	details bool
}

// submitFlags are the flags of "submit".
type submitFlags struct {
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
	details      bool
	retryRefused bool
}

func (a *app) newSubmit() *cobra.Command {
	f := &submitFlags{}
	cmd := &cobra.Command{
		Use:   "submit",
		Short: "Submit one request and print what became of it",
		Args:  cobra.NoArgs,
		RunE: a.run(func(cmd *cobra.Command, _ []string) error {
			return a.submit(cmd.Context(), f)
		}),
	}
	flags := cmd.Flags()
	flags.StringVar(&f.id, "id", "", "request identifier, 8 to 64 characters of A-Z a-z 0-9 _ -")
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
	flags.BoolVar(&f.details, "details", false, "print the home and the deadline too, with which the request can be submitted again")
	flags.BoolVar(&f.retryRefused, "retry-refused", false, "come back after a refusal, at the time that it names, within the budget")
	cmd.MarkFlagsRequiredTogether("home", "deadline")
	for _, name := range []string{"id", "model", "prompt-tokens"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

// bytesPerToken is the size of a token of a generated prompt.
const bytesPerToken = 4

// prompt returns the content of the prompt file, or without one a generated prompt.
func (f *submitFlags) prompt() ([]byte, error) {
	if f.promptFile == "" {
		return bytes.Repeat([]byte("word"), int(f.promptTokens*bytesPerToken/4)), nil
	}
	raw, err := os.ReadFile(f.promptFile)
	return raw, errors.Trace(err)
}

func (a *app) submit(ctx context.Context, f *submitFlags) error {
	prompt, err := f.prompt()
	if err != nil {
		return errors.Trace(err)
	}
	if err := a.deployment.requireTeam(); err != nil {
		return err
	}
	c, err := a.deployment.callersClient(f.retryRefused)
	if err != nil {
		return errors.Trace(err)
	}
	result, err := c.Do(ctx, client.Request{
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
	if err := a.print(f.report(result)); err != nil {
		return errors.Trace(err)
	}
	return f.exitError(result)
}

func (f *submitFlags) report(r client.Result) *SubmitReport {
	report := &SubmitReport{
		Request:      f.id,
		Outcome:      r.Outcome,
		Code:         r.Code,
		Message:      r.Message,
		Host:         r.Host,
		Target:       r.Target,
		Attempts:     r.Attempts,
		FirstTokenMs: r.FirstToken.Milliseconds(),
		TotalMs:      r.Total.Milliseconds(),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		Home:         r.Home,
		DeadlineMs:   r.Deadline.Milliseconds(),
		details:      f.details,
	}
	if f.showText {
		report.Answer = r.Text
	}
	return report
}

func (r *SubmitReport) table(w *tableWriter) {
	line := fmt.Sprintf("%s: %s, host %s", r.Request, r.Outcome, orDash(hostAddress(r.Host)))
	if r.Target != "" {
		line += ", target " + r.Target
	}
	if r.Code != "" {
		line += fmt.Sprintf(", %s: %s", r.Code, r.Message)
	}
	if r.FirstTokenMs > 0 {
		line += fmt.Sprintf(", first token %d ms", r.FirstTokenMs)
	}
	line += fmt.Sprintf(", total %d ms", r.TotalMs)
	if r.Attempts > 1 {
		line += fmt.Sprintf(", %d attempts", r.Attempts)
	}
	if r.RetryAfterMs > 0 {
		line += fmt.Sprintf(", come back after %d ms", r.RetryAfterMs)
	}
	w.line("%s", line)
	if r.details {
		w.line("home %s deadline %dms", r.Home, r.DeadlineMs)
	}
	if r.Answer != "" {
		w.line("%s", r.Answer)
	}
}

// hostAddress returns the address part of "address/incarnation".
func hostAddress(home string) string {
	address, _, _ := strings.Cut(home, "/")
	return address
}

// exitError returns nil if the result is the one given by --expect. Without --expect it returns the outcome's error.
func (f *submitFlags) exitError(r client.Result) error {
	if f.expect == "" {
		return outcomeError(r.Outcome)
	}
	if f.expect == string(r.Outcome) || f.expect == string(r.Code) {
		return nil
	}
	return &StatusError{Status: ExitFailed, Reason: fmt.Sprintf("expected %s, got %s %s", f.expect, r.Outcome, r.Code)}
}
