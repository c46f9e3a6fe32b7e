// Package fakecmd is the command line of carobfake, which runs stand-ins for the external systems: a model engine, a
// plain service or the platform.
package fakecmd

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"carobshunt/internal/fake"
	"carobshunt/internal/published"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"github.com/spf13/cobra"
)

// NewRoot returns the root command.
func NewRoot() *cobra.Command {
	cmd := &cobra.Command{Use: "carobfake", Short: "Run a stand-in for an outside system", SilenceUsage: true}
	cmd.AddCommand(engineCommand(), serviceCommand(), platformCommand(), publishCommand())
	return cmd
}

func engineCommand() *cobra.Command {
	var listen, weights string
	var opts fake.EngineOptions
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			e := newEcho()
			if weights != "" {
				opts.Weights = fake.RemoteWeights(weights)
			}
			fake.NewEngineWith(opts).Register(e)
			return serve(listen, e)
		},
	}
	listenFlag(cmd, &listen)
	cmd.Flags().Float64Var(&opts.Speed, "speed", 1, "how many times as fast as the reference engine")
	cmd.Flags().Int64Var(&opts.MemoryTokens, "memory-tokens", fake.DefaultMemoryTokens, "KV memory in tokens")
	cmd.Flags().BoolVar(&opts.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing number")
	cmd.Flags().StringVar(&weights, "weights", "", "IP address and port of the weight store; empty for one without limit")
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
	var weights int
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
			fake.NewWeights(weights).Register(e)
			return serve(listen, e)
		},
	}
	listenFlag(cmd, &listen)
	cmd.Flags().StringVar(&config, "config", "", "file with the document to publish at the start")
	cmd.Flags().IntVar(&weights, "weight-loads-per-minute", 0, "the weight store's rate; 0 for none")
	cmd.Flags().StringVar(&hosts, "hosts", "", "file with the host list to publish at the start")
	return cmd
}

// publishTimeout limits the request that publishes a file.
const publishTimeout = 5 * time.Second

func publishCommand() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "publish {config|hosts} FILE",
		Short: "Publish a document or a host list at a running platform stand-in, as operators do at their platform",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[1])
			if err != nil {
				return errors.Trace(err)
			}
			path, ok := map[string]string{"config": published.PathConfig, "hosts": published.PathHosts}[args[0]]
			if !ok {
				return &kindError{kind: args[0]}
			}
			return publishAt("http://"+address+path, raw)
		},
	}
	cmd.Flags().StringVar(&address, "platform", "", "IP address and port of the platform")
	_ = cmd.MarkFlagRequired("platform")
	return cmd
}

// kindError reports an argument that names no kind of published file.
type kindError struct{ kind string }

// Error implements error.
func (e *kindError) Error() string { return fmt.Sprintf("%q: must be config or hosts", e.kind) }

// statusError reports that the platform answered a published file with a status other than 204.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("the platform answered with status %d", e.status)
}

// publishAt puts contents at a URL of the platform. Any answer other than status 204 is an error.
func publishAt(url string, contents []byte) error {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(contents))
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := (&http.Client{Timeout: publishTimeout}).Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return &statusError{status: resp.StatusCode}
	}
	return nil
}

func listenFlag(cmd *cobra.Command, listen *string) {
	cmd.Flags().StringVar(listen, "listen", "", "IP address and port to serve on")
	_ = cmd.MarkFlagRequired("listen")
}

// publishFile reads a file and hands it to publish; an empty path is skipped.
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
	headerTimeout = 5 * time.Second
	// shutdownTimeout limits the graceful shutdown after a signal.
	shutdownTimeout = time.Second
)

// serve runs an HTTP server until SIGTERM or SIGINT.
func serve(listen string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Addr: listen, Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
		_ = server.Close()
	})
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}
