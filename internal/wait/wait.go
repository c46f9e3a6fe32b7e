// Package wait waits for a while, or until a context ends.
package wait

import (
	"context"
	"time"
)

// For returns after the duration, or as soon as the context ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
