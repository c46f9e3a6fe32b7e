// Package bootclock reads the steady clock that goes on while the machine is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since it was started, suspensions included. The zero value is not valid.
type Clock struct {
	read  func() time.Duration
	start time.Duration
}

// Start returns a clock that starts now.
func Start() *Clock {
	c := &Clock{read: bootTime}
	if _, ok := readBootTime(); !ok {
		began := time.Now()
		c.read = func() time.Duration { return time.Since(began) }
	}
	c.start = c.read()
	return c
}

// Now is the time since the start.
func (c *Clock) Now() time.Duration { return c.read() - c.start }

func bootTime() time.Duration {
	now, _ := readBootTime() // it could be read at the start
	return now
}

func readBootTime() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
