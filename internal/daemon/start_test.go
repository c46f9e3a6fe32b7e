package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestCallersWaitForReadinessAtStartup(t *testing.T) {
	for name, c := range map[string]struct {
		readyAfter, endsAfter, want time.Duration
	}{
		"ready soon":   {100 * time.Millisecond, time.Hour, 100 * time.Millisecond},
		"ready late":   {time.Minute, time.Hour, maxStartupWait},
		"told to stop": {time.Minute, 20 * time.Millisecond, 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), c.endsAfter)
				defer cancel()
				awaitReady(ctx, func() bool { return time.Since(begun) >= c.readyAfter })
				assert.Equal(t, time.Since(begun), c.want)
			})
		})
	}
}
