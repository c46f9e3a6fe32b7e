package route

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// reportTimeout is the time without a load report after which an engine that has reported before counts as
// non-reporting. Reports arrive every 500 ms, so several are missing by then.
const reportTimeout = 2 * time.Second

// minReportingDivisor sets the least fraction of the engines that have ever reported that must still report,
// 1/minReportingDivisor. With fewer the fault is taken to be this host's, which then relies on its own dispatches
// alone.
const minReportingDivisor = 10

func reportedRecently(now core.Time, t *target.Target) bool { return now-t.ReportedAt < reportTimeout }

// NonReporting returns the non-reporting engines: those that have stopped sending load reports while others still send
// them.
func NonReporting(now core.Time, targets []*target.Target) []*target.Target {
	var nonReporting []*target.Target
	reporting := 0
	for _, t := range targets {
		switch {
		case !isEngine(t) || t.ReportedAt == 0:
		case reportedRecently(now, t):
			reporting++
		default:
			nonReporting = append(nonReporting, t)
		}
	}
	if reporting*minReportingDivisor < reporting+len(nonReporting) {
		return nil
	}
	return nonReporting
}

// reportingFilter excludes non-reporting engines: a dead one would seem idle and attract all work.
type reportingFilter struct{ nonReporting map[*target.Target]bool }

// Prepare implements preparer.
func (f *reportingFilter) Prepare(now core.Time, _ *ledger.Record, targets []*target.Target) {
	clear(f.nonReporting)
	for _, t := range NonReporting(now, targets) {
		f.nonReporting[t] = true
	}
}

// Keep implements Filter.
func (f *reportingFilter) Keep(_ core.Time, _ *ledger.Record, t *target.Target) bool {
	return !f.nonReporting[t]
}
