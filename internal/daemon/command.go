package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"carobshunt/internal/core/node"
	"carobshunt/internal/hangup"
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

// SettingsError reports invalid settings, or a file named in them that can't be used. The daemon does not start.
type SettingsError struct{ Cause error }

// Error implements error.
func (e *SettingsError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Cause }

// Main runs the daemon's command line, writes an error to stderr and returns the exit status.
func Main(args []string, stderr io.Writer) int {
	cmd := NewCommand()
	cmd.SetArgs(args)
	err := cmd.Execute()
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(stderr, "carobshuntd:", err)
	var settingsErr *SettingsError
	if errors.As(err, &settingsErr) {
		return ExitBadSettings
	}
	return ExitFailed
}

// NewCommand returns the command carobshuntd.
func NewCommand() *cobra.Command {
	var path, envVar string
	cmd := &cobra.Command{
		Use:           "carobshuntd",
		Short:         "Serve callers on an entry host",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			if envVar != "" {
				path = os.Getenv(envVar)
			}
			s, err := settings.Load(path)
			if err != nil {
				return &SettingsError{Cause: err}
			}
			return serve(s, path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file, JSON")
	cmd.Flags().StringVar(&envVar, "settings-from", "", "environment variable that names the settings file")
	cmd.MarkFlagsOneRequired("settings", "settings-from")
	cmd.MarkFlagsMutuallyExclusive("settings", "settings-from")
	return cmd
}

// serve runs a daemon until it has drained. SIGTERM and SIGINT start a drain, SIGHUP reloads the settings file.
func serve(s *settings.Settings, path string) error {
	out := newLogWriter(os.Stdout)
	defer out.flush()
	log := newLogger(s.LogLevel, out)
	d := New(s, log)
	go d.reloadOn(hangup.Signals, path)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := d.Run(ctx)
	log.Info("stopped", "error", err)
	return err
}

// reloadOn reloads the settings file at each signal until the channel is closed. It applies the settings that can change
// in a running process: the log level, the preset (if there is one), the time that a stop may take and the peers. Invalid
// settings are logged and ignored.
func (d *Daemon) reloadOn(signals <-chan os.Signal, path string) {
	for range signals {
		s, err := settings.Load(path)
		if err != nil {
			d.log.Warn("settings not reloaded", "error", err.Error())
			continue
		}
		d.log.SetLevel(hclog.LevelFromString(s.LogLevel))
		if s.Platform.Preset != nil {
			d.preset.Store(s.Platform.Preset)
		}
		d.stopGrace.Store(int64(s.StopGrace()))
		d.loop.Post(node.GraceReloaded{Grace: s.StopGrace()})
		d.loop.Post(node.SeedsReloaded{Peers: s.Peers})
		d.log.Info("settings reloaded", "path", path, "seeds", len(s.Peers))
	}
}
