// Command carobfake runs one of the stand-ins for the outside systems: a model engine, a plain service or the
// platform.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"carobshunt/internal/fake"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"github.com/spf13/cobra"
)

func main() {
	if err := root().Execute(); err != nil {
		os.Exit(1)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{Use: "carobfake", Short: "Run a stand-in for an outside system", SilenceUsage: true}
	cmd.AddCommand(engineCommand(), serviceCommand(), platformCommand())
	return cmd
}

func engineCommand() *cobra.Command {
	var listen string
	var speed float64
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			e := newEcho()
			fake.NewEngine(speed).Register(e)
			return serve(listen, e)
		},
	}
	listenFlag(cmd, &listen)
	cmd.Flags().Float64Var(&speed, "speed", 1, "how many times as fast as the reference engine")
	return cmd
}

func serviceCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a plain service that counts arrivals",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			e := newEcho()
			fake.NewService().Register(e)
			return serve(listen, e)
		},
	}
	listenFlag(cmd, &listen)
	return cmd
}

func platformCommand() *cobra.Command {
	var listen, config, hosts string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run the configuration service and the host list",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p := fake.NewPlatform()
			if err := publishFile(config, p.PublishConfig); err != nil {
				return errors.Trace(err)
			}
			if err := publishFile(hosts, p.PublishHosts); err != nil {
				return errors.Trace(err)
			}
			e := newEcho()
			p.Register(e)
			return serve(listen, e)
		},
	}
	listenFlag(cmd, &listen)
	cmd.Flags().StringVar(&config, "config", "", "file with the document to publish at the start")
	cmd.Flags().StringVar(&hosts, "hosts", "", "file with the host list to publish at the start")
	return cmd
}

func listenFlag(cmd *cobra.Command, listen *string) {
	cmd.Flags().StringVar(listen, "listen", "", "IP address and port to serve on")
	_ = cmd.MarkFlagRequired("listen")
}

func publishFile(path string, publish func([]byte)) error {
	if path == "" {
		return nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Trace(err)
	}
	publish(raw)
	return nil
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = time.Second
)

func serve(listen string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Addr: listen, Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() {
		stopping, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(stopping)
		_ = server.Close()
	})
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}
