package published

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"carobshunt/internal/core/node"
	"carobshunt/internal/core/target"
	"carobshunt/internal/dispatch"
	"carobshunt/internal/netdial"
	"carobshunt/internal/wait"
)

// Timing of the load reports.
const (
	loadInterval = 500 * time.Millisecond
	loadTimeout  = time.Second
)

// maxReportBytes is the maximum size of one load report, in bytes.
const maxReportBytes = 64 << 10

// WatchLoad polls the load reports of all engines and posts them until the context ends. An engine that does not answer
// is skipped until the next poll.
func WatchLoad(ctx context.Context, poster Poster, dialer netdial.Dialer) {
	client := newClient(dialer, loadTimeout)
	for ctx.Err() == nil {
		for _, address := range poster.Snapshot().TargetAddresses {
			go readLoad(ctx, client, poster, address)
		}
		wait.For(ctx, loadInterval)
	}
}

func readLoad(ctx context.Context, client *http.Client, poster Poster, address string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+dispatch.PathLoad, nil)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var report target.Report
	body := http.MaxBytesReader(nil, resp.Body, maxReportBytes)
	if resp.StatusCode != http.StatusOK || json.NewDecoder(body).Decode(&report) != nil {
		return
	}
	poster.Post(node.LoadReceived{Target: address, Report: report})
}
