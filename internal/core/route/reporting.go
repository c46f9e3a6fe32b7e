package route

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// reportSilence is the time without a load report after which an engine that used to report counts as silent. Reports
// come every 500 ms, so it is several that are missing.
const reportSilence = 2 * time.Second

// blindPart is the part of the engines, as a divisor, that must be heard for silence to mean anything. With fewer the
// fault is this host's, which then goes by its own dispatches alone.
const blindPart = 10

func reportedLately(now core.Time, t *target.Target) bool { return now-t.Reported < reportSilence }

// Silent returns the engines that have stopped to report while others go on.
func Silent(now core.Time, targets []*target.Target) []*target.Target {
	var silent []*target.Target
	heard := 0
	for _, t := range targets {
		switch {
		case !isEngine(t) || t.Reported == 0:
		case reportedLately(now, t):
			heard++
		default:
			silent = append(silent, t)
		}
	}
	if heard*blindPart < heard+len(silent) {
		return nil
	}
	return silent
}

// reportingFilter leaves out silent engines: one that died has no load and would draw all work.
type reportingFilter struct{ silent map[*target.Target]bool }

// Prepare implements preparer.
func (f *reportingFilter) Prepare(now core.Time, _ *ledger.Record, targets []*target.Target) {
	clear(f.silent)
	for _, t := range Silent(now, targets) {
		f.silent[t] = true
	}
}

// Keep implements Filter.
func (f *reportingFilter) Keep(_ core.Time, _ *ledger.Record, t *target.Target) bool {
	return !f.silent[t]
}
