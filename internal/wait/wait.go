// Package wait sleeps in a way that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// For returns after d, or as soon as ctx is done.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
