package daemon

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"carobshunt/internal/control"
	"carobshunt/internal/core/node"
	"carobshunt/internal/settings"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// pausedClock is a clock that also runs while the process is suspended.
type pausedClock struct {
	start     time.Time
	suspended atomic.Int64
}

// Now implements control.Clock.
func (c *pausedClock) Now() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load())
}

// ignore is an executor that does nothing.
type ignore struct{}

func (ignore) Execute(node.Action)  {}
func (ignore) Lagged(time.Duration) {}

// startLoop replaces the daemon's control loop by one that runs on a clock and has processed some ticks.
func startLoop(t *testing.T, d *Daemon) *pausedClock {
	t.Helper()
	clock := &pausedClock{start: time.Now()}
	d.loop = control.NewLoop(node.New(node.Options{Peer: "10.0.0.1:2", Records: 10}), clock)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go d.loop.Run(ctx, ignore{})
	time.Sleep(time.Second)
	synctest.Wait()
	return clock
}

// TestOpenConnectionsAreCutBeforeTheKill guards against a process that is killed while it waits for callers that read slowly, with
// its last log lines unwritten.
func TestOpenConnectionsAreCutBeforeTheKill(t *testing.T) {
	for grace, want := range map[time.Duration]struct{ atFirst, atTheKill time.Duration }{
		time.Second: {time.Second - exitTime, minCloseTime},
		time.Hour:   {shutdownTimeout, minCloseTime},
		0:           {shutdownTimeout, shutdownTimeout},
	} {
		synctest.Test(t, func(t *testing.T) {
			d := New(settings.Example(), hclog.NewNullLogger())
			clock := startLoop(t, d)
			assert.Equal(t, d.closeTime(), shutdownTimeout, "nobody kills it")
			d.stopGrace.Store(int64(grace))
			d.drain()
			synctest.Wait()
			assert.Assert(t, d.closeTime() <= want.atFirst && d.closeTime() > want.atFirst/2, "%v", d.closeTime())
			clock.suspended.Store(int64(grace))
			assert.Equal(t, d.closeTime(), want.atTheKill)
		})
	}
}

// TestSuspensionLeavesLessTimeToClose guards against open connections that are waited for beyond the kill, as the process was suspended
// when the signal came.
func TestSuspensionLeavesLessTimeToClose(t *testing.T) {
	const grace, suspended = 8 * time.Second, 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		d := New(settings.Example(), hclog.NewNullLogger())
		clock := startLoop(t, d)
		d.stopGrace.Store(int64(grace))
		clock.suspended.Store(int64(suspended))
		d.drain()
		synctest.Wait()
		left := d.closeTime()
		assert.Assert(t, left <= grace-suspended-exitTime, "%v", left)
		assert.Assert(t, left >= grace-suspended-time.Second, "%v", left)
	})
}

// TestReloadDuringAStopShortensIt guards against a shorter grace time in the settings that a stop which has begun never learns of.
func TestReloadDuringAStopShortensIt(t *testing.T) {
	raw, err := os.ReadFile("../settings/testdata/good/store.json")
	assert.NilError(t, err)
	text := strings.Replace(string(raw), "{", `{"stop_grace_s": 3,`, 1)
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	synctest.Test(t, func(t *testing.T) {
		d := New(settings.Example(), hclog.NewNullLogger())
		startLoop(t, d)
		d.stopGrace.Store(int64(time.Hour))
		d.drain()
		synctest.Wait()
		assert.Equal(t, d.closeTime(), shutdownTimeout)
		hangup := make(chan os.Signal, 1)
		hangup <- os.Interrupt
		close(hangup)
		d.reloadOn(hangup, path)
		time.Sleep(node.TickInterval)
		synctest.Wait()
		assert.Assert(t, d.closeTime() <= 3*time.Second-exitTime, "%v", d.closeTime())
	})
}
