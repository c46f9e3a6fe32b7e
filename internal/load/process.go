package load

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Usage is the resource usage of a process since it started.
type Usage struct {
	CPU time.Duration `json:"cpu_ns"`
	// PeakBytes is the peak resident set size.
	PeakBytes int64 `json:"peak_bytes"`
}

// UsageError reports a process whose usage could not be parsed.
type UsageError struct {
	PID    int
	Reason string
}

// Error implements error.
func (e *UsageError) Error() string { return fmt.Sprintf("usage of process %d: %s", e.PID, e.Reason) }

// clockTick is the unit of CPU time in /proc/PID/stat: 100 ticks a second on Linux.
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, counted from the field after the command's name.
const (
	fieldUserTicks   = 11
	fieldSystemTicks = 12
)

// ReadUsage reads a process's usage from /proc.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Trace(err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldSystemTicks {
		return Usage{}, &UsageError{PID: pid, Reason: "too few fields"}
	}
	user, err1 := strconv.ParseInt(fields[fieldUserTicks], 10, 64)
	system, err2 := strconv.ParseInt(fields[fieldSystemTicks], 10, 64)
	if err1 != nil || err2 != nil {
		return Usage{}, &UsageError{PID: pid, Reason: "not a number"}
	}
	peak, err := peakBytes(pid)
	return Usage{CPU: time.Duration(user+system) * clockTick, PeakBytes: peak}, errors.Trace(err)
}

const kibibyte = 1024

// peakBytes returns the peak resident set size of a process (VmHWM).
func peakBytes(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	for line := range strings.Lines(string(status)) {
		value, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		return kib * kibibyte, errors.Trace(err)
	}
	return 0, &UsageError{PID: pid, Reason: "no peak memory"}
}
