package daemon

import (
	"context"
	"time"

	"carobshunt/internal/wait"
)

const (
	// startPatience is how long callers of a process that has just started wait for its first configuration and host
	// list before they are told that it has none. That a caller gave up meanwhile shows only when its request is read,
	// so it is kept short.
	startPatience = 450 * time.Millisecond
	// startPoll is the time between two looks at whether they are there.
	startPoll = 2 * time.Millisecond
)

// awaitReady returns when the host is ready, when its callers have waited for long enough, or when the context ends.
// Until then their connections wait in the listener, which costs them less than a refusal: most come back from one only
// once.
func awaitReady(ctx context.Context, ready func() bool) {
	ctx, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	for ctx.Err() == nil && !ready() {
		wait.For(ctx, startPoll)
	}
}
