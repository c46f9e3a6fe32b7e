package daemon

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"carobshunt/internal/settings"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// Exit statuses of the daemon.
const (
	ExitFailed      = 1
	ExitBadSettings = 2
)

// SettingsError reports settings that are not used.
type SettingsError struct{ Cause error }

// Error implements error.
func (e *SettingsError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Cause }

// Main runs the daemon's command line and returns its exit status.
func Main(args []string, errOut io.Writer) int {
	cmd := NewCommand()
	cmd.SetArgs(args)
	err := cmd.Execute()
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(errOut, "carobshuntd:", err)
	var bad *SettingsError
	if errors.As(err, &bad) {
		return ExitBadSettings
	}
	return ExitFailed
}

// NewCommand returns the daemon's command.
func NewCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:           "carobshuntd",
		Short:         "Serve callers on an entry host",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return &SettingsError{Cause: err}
			}
			return serve(s)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file, JSON")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func serve(s *settings.Settings) error {
	log := hclog.New(&hclog.LoggerOptions{Name: "carobshuntd", Level: hclog.LevelFromString(s.LogLevel)})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return New(s, log).Run(ctx)
}
