package ctl

import (
	"context"
	"fmt"
	"os"
	"time"

	"carobshunt/internal/document"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// pollInterval is the pause between two polls of the hosts.
const pollInterval = 100 * time.Millisecond

// WatchReport is what "watch" prints.
type WatchReport struct {
	Revision uint64      `json:"revision"`
	Hosts    []WatchHost `json:"hosts"`
	// Everywhere reports whether all hosts have the revision, or a later one, in force.
	Everywhere bool  `json:"everywhere"`
	TookMs     int64 `json:"took_ms"`

	// rejected holds the number of documents that each host had rejected at its first response, by operators' address.
	rejected map[string]uint64
}

// WatchHost is the last observed state of one host.
type WatchHost struct {
	Operator string `json:"operator"`
	Revision uint64 `json:"revision"`
	Preset   string `json:"preset"`
	InForce  bool   `json:"in_force"`
	// Refusal is the reason of the host's last rejection of a document since its first response to this watch.
	Refusal string `json:"refusal,omitempty"`
	// Error is the error of the last poll, if it failed.
	Error string `json:"error,omitempty"`
}

func (a *app) newWatch() *cobra.Command {
	var revision uint64
	var file string
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "watch",
		Short: "Wait until a revision is in force on all hosts",
		Long: "Wait until a revision, or a later one, is in force on all hosts. Start it before or after publishing. A " +
			"revision that is not in force everywhere in time ends it with status 6.",
		Args: cobra.NoArgs,
		RunE: a.run(func(cmd *cobra.Command, _ []string) error {
			want, err := wantedRevision(revision, file)
			if err != nil {
				return errors.Trace(err)
			}
			return a.watch(cmd.Context(), want, timeout)
		}),
	}
	cmd.Flags().Uint64Var(&revision, "revision", 0, "revision to wait for")
	cmd.Flags().StringVar(&file, "document", "", "document whose revision to wait for")
	cmd.Flags().DurationVar(&timeout, "timeout", defaultWatchTimeout, "how long to wait")
	cmd.MarkFlagsOneRequired("revision", "document")
	cmd.MarkFlagsMutuallyExclusive("revision", "document")
	return cmd
}

const defaultWatchTimeout = 30 * time.Second

// wantedRevision returns the revision to wait for: that of the document in file, if one is named.
func wantedRevision(revision uint64, file string) (uint64, error) {
	if file == "" {
		return revision, nil
	}
	doc, err := readDocument(file)
	if err != nil {
		return 0, errors.Trace(err)
	}
	return doc.Revision, nil
}

func readDocument(path string) (*document.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	doc, err := document.Parse(data)
	return doc, errors.Annotate(err, path)
}

func (a *app) watch(ctx context.Context, revision uint64, timeout time.Duration) error {
	o, err := a.deployment.operatorsClient()
	if err != nil {
		return errors.Trace(err)
	}
	start := time.Now()
	r := &WatchReport{Revision: revision, rejected: make(map[string]uint64)}
	for {
		r.update(o.statuses(ctx, a.deployment.Operators))
		r.TookMs = time.Since(start).Milliseconds()
		if r.Everywhere || time.Since(start) >= timeout {
			break
		}
		time.Sleep(pollInterval)
	}
	if err := a.print(r); err != nil {
		return errors.Trace(err)
	}
	if !r.Everywhere {
		return &StatusError{Status: ExitTimeout, Reason: fmt.Sprintf("revision %d is not in force everywhere", revision)}
	}
	return nil
}

func (r *WatchReport) update(hosts []HostStatus) {
	r.Hosts = nil
	r.Everywhere = true
	for _, h := range hosts {
		host := WatchHost{Operator: h.Operator, Error: h.Error}
		if h.Status != nil {
			host.Revision = h.Status.Config.Revision
			host.Preset = h.Status.Config.Preset
			host.InForce = host.Revision >= r.Revision
			host.Refusal = r.refusal(h)
		}
		r.Everywhere = r.Everywhere && host.InForce
		r.Hosts = append(r.Hosts, host)
	}
}

// refusal returns the reason of the host's last rejection of a document since its first response, "" if there was none.
func (r *WatchReport) refusal(h HostStatus) string {
	config := h.Status.Config
	baseline, known := r.rejected[h.Operator]
	if !known {
		r.rejected[h.Operator] = config.Rejected
		return ""
	}
	if config.Rejected == baseline {
		return ""
	}
	return config.LastRejection
}

func (r *WatchReport) table(w *tableWriter) {
	w.row("HOST", "REVISION", "PRESET", "IN FORCE")
	for _, h := range r.Hosts {
		if h.Error != "" {
			w.row(h.Operator, "-", "-", "no answer")
			continue
		}
		w.row(h.Operator, h.Revision, orDash(h.Preset), h.InForce)
	}
	for _, h := range r.Hosts {
		if h.Refusal != "" {
			w.line("%s refused a document: %s", h.Operator, h.Refusal)
		}
	}
	if r.Everywhere {
		w.line("revision %d is in force on all %d hosts after %s", r.Revision, len(r.Hosts), formatMs(r.TookMs))
		return
	}
	w.line("revision %d is not in force everywhere after %s", r.Revision, formatMs(r.TookMs))
}
