package outcomes

import (
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
)

// spoilt is the request as a host would take it that lacks a mechanism.
func (s *schedule) spoilt(req core.Request, at *virtual.Host) core.Request {
	switch s.without {
	case withoutHome:
		req.Home = at.Self()
	case withoutIncarnation:
		if req.Home.Address == at.Self().Address {
			req.Home = at.Self()
		}
	case withoutAttempts:
		s.submits++
		req.Attempt += s.submits * callerAttempts
	case withoutDeadline:
		req.Deadline = at.Clock() + 2*time.Second
	}
	return req
}

// mechanismSchedules is the number of schedules that show a missing mechanism.
const mechanismSchedules = 400

func TestChecksSeeEachMissingMechanism(t *testing.T) {
	for name, without := range map[string]mechanism{
		"home binding":               withoutHome,
		"incarnation":                withoutIncarnation,
		"closing of attempts":        withoutAttempts,
		"deadline fixed for good":    withoutDeadline,
		"mark of written dispatches": withoutWrittenMark,
	} {
		t.Run(name, func(t *testing.T) {
			faults, _ := runAll(mechanismSchedules, without)
			t.Logf("%d faults in %d schedules", len(faults), mechanismSchedules)
			show(t, faults[:min(1, len(faults))])
			assert.Assert(t, len(faults) > 0)
		})
	}
}
