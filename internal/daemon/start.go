package daemon

import (
	"context"
	"time"

	"carobshunt/internal/wait"
)

const (
	// maxStartupWait is how long callers of a newly started process wait until it is ready; after that, it refuses
	// their requests. It is short because a caller that gives up while waiting is noticed only when its request is read.
	maxStartupWait = 450 * time.Millisecond
	// readyPollInterval is the interval between checks for readiness.
	readyPollInterval = 2 * time.Millisecond
)

// awaitReady returns when ready reports true, after maxStartupWait, or when ctx is done. Until then callers' connections
// wait in the listener. Waiting costs callers less than a refusal, after which most resubmit their request only once.
func awaitReady(ctx context.Context, ready func() bool) {
	ctx, cancel := context.WithTimeout(ctx, maxStartupWait)
	defer cancel()
	for ctx.Err() == nil && !ready() {
		wait.For(ctx, readyPollInterval)
	}
}
