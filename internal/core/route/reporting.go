package route

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// reportTimeout is the time without a load report after which an engine that has reported before counts as not
// reporting. Reports arrive every 500 ms, so several are missing by then.
const reportTimeout = 2 * time.Second

// minReportingDivisor sets the least fraction of engines that must report, 1/minReportingDivisor. With fewer the fault
// is taken to be this host's, which then relies on its own dispatches alone.
const minReportingDivisor = 10

func reportedRecently(now core.Time, t *target.Target) bool { return now-t.ReportedAt < reportTimeout }

// Silent returns the engines that have stopped sending load reports while others still send them.
func Silent(now core.Time, targets []*target.Target) []*target.Target {
	var notReporting []*target.Target
	reporting := 0
	for _, t := range targets {
		switch {
		case !isEngine(t) || t.ReportedAt == 0:
		case reportedRecently(now, t):
			reporting++
		default:
			notReporting = append(notReporting, t)
		}
	}
	if reporting*minReportingDivisor < reporting+len(notReporting) {
		return nil
	}
	return notReporting
}

// reportingFilter excludes engines that stopped reporting: a dead one would seem idle and attract all work.
type reportingFilter struct{ notReporting map[*target.Target]bool }

// Prepare implements preparer.
func (f *reportingFilter) Prepare(now core.Time, _ *ledger.Record, targets []*target.Target) {
	clear(f.notReporting)
	for _, t := range Silent(now, targets) {
		f.notReporting[t] = true
	}
}

// Keep implements Filter.
func (f *reportingFilter) Keep(_ core.Time, _ *ledger.Record, t *target.Target) bool {
	return !f.notReporting[t]
}
