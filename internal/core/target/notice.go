package target

import (
	"time"

	"carobshunt/internal/core"
)

// Notice is what a target says of itself in the head of one answer.
type Notice struct {
	// From is the process that was asked, with the start that the host list had when the dispatch began.
	From Process
	// Limit is the number of requests a second that the target takes from all hosts together. It is valid if Limited is
	// set.
	Limit   float64
	Limited bool
	// Leaving is set when the target is about to stop.
	Leaving bool
	// RetryAfter is how long a target that refused a request wants no other from this host; 0 if it does not say.
	RetryAfter time.Duration
	// Faults describe the parts that could not be decoded and are left out. That no limit is named means nothing then.
	Faults []string
}

// ApplyNotice records what a target said in the answer to one of this host's dispatches, whatever the host list has at its
// address now. It returns the change and whether there is one.
//
// An answer without a limit ends an earlier limit only if its dispatch began after the limit was last named: answers of
// different connections may overtake each other.
func (tb *Table) ApplyNotice(now core.Time, d Dispatch, notice *Notice) (StandingChange, bool) {
	s := tb.standingFor(notice.From.Identity())
	if s == nil {
		return StandingChange{}, false
	}
	next := standingChange(s)
	switch {
	case notice.Limited:
		next.Limit = clampLimit(notice.Limit)
		s.confirmed = now
	case len(notice.Faults) == 0 && s.Limit > 0 && tb.beganAfter(s, d, s.confirmed):
		next.Limit = 0
		s.confirmed = now
	}
	if notice.Leaving {
		next.NowLeaving = s.departure.said(now, notice.From.Start)
	}
	return tb.change(now, now, s, next)
}

// beganAfter reports whether a dispatch to a target that has not ended began after an instant.
func (tb *Table) beganAfter(s *Standing, d Dispatch, at core.Time) bool {
	t := tb.listedAs(s)
	return t != nil && t.Carries(d) && t.inFlight[d].began > at
}

// ReportsFaults reports whether the invalid parts of a notice are to be reported now, and records that they are.
func (tb *Table) ReportsFaults(now core.Time, notice *Notice) bool {
	if len(notice.Faults) == 0 {
		return false
	}
	s := tb.standingFor(notice.From.Identity())
	if s == nil || s.faultsReported != never && now-s.faultsReported < faultReportInterval {
		return false
	}
	s.faultsReported = now
	return true
}

// faultReportInterval is the time between two reports of invalid notices of one target.
const faultReportInterval = 10 * time.Second
