// Package bootclock reads the monotonic clock that keeps running while the machine is suspended (CLOCK_BOOTTIME).
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since Start, including time that the machine was suspended. The zero value is not valid.
type Clock struct {
	read  func() time.Duration
	start time.Duration
}

// Start returns a clock that starts now. If CLOCK_BOOTTIME can't be read, the clock stops while the machine is suspended.
func Start() *Clock {
	c := &Clock{read: bootTime}
	if _, ok := readBootTime(); !ok {
		began := time.Now()
		c.read = func() time.Duration { return time.Since(began) }
	}
	c.start = c.read()
	return c
}

// Now returns the time since Start.
func (c *Clock) Now() time.Duration { return c.read() - c.start }

func bootTime() time.Duration {
	now, _ := readBootTime() // Start has checked that it can be read
	return now
}

// readBootTime reads CLOCK_BOOTTIME and reports whether it could be read.
func readBootTime() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
