// Command carobshuntd is the daemon that runs on each entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"carobshunt/internal/daemon"
	"carobshunt/internal/settings"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	status := 0
	var path string
	cmd := &cobra.Command{
		Use:           "carobshuntd --settings FILE",
		Short:         "Serve callers on an entry host",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.Load(path)
			if err != nil {
				status = exitBadSettings
				return err
			}
			return serve(s)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file, JSON")
	_ = cmd.MarkFlagRequired("settings")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "carobshuntd:", err)
		return max(status, exitFailed)
	}
	return status
}

func serve(s *settings.Settings) error {
	log := hclog.New(&hclog.LoggerOptions{Name: "carobshuntd", Level: hclog.LevelFromString(s.LogLevel)})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return daemon.New(s, log).Run(ctx)
}
