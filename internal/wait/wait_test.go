package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"carobshunt/internal/wait"

	"gotest.tools/v3/assert"
)

func TestForReturnsAfterDurationOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		wait.For(context.Background(), time.Minute)
		assert.Equal(t, time.Since(began), time.Minute)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		wait.For(ctx, time.Hour)
		assert.Equal(t, time.Since(began), time.Minute+time.Second)
	})
}
