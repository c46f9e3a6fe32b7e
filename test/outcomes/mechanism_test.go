package outcomes

import (
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
)

// weaken returns the request as a host that lacks the mechanism would treat it.
func (s *schedule) weaken(req core.Request, at *virtual.Host) core.Request {
	switch s.without {
	case withoutHome:
		req.Home = at.Self()
	case withoutIncarnation:
		if req.Home.Address == at.Self().Address {
			req.Home = at.Self()
		}
	case withoutAttempts:
		s.submitCount++
		req.Attempt += s.submitCount * callerAttempts
	case withoutDeadline:
		req.Deadline = at.Clock() + 2*time.Second
	}
	return req
}

// mechanismSchedules is the number of schedules that run without each mechanism.
const mechanismSchedules = 400

// Without a mechanism the oracle must find faults. Otherwise the checks on random schedules would prove nothing about it.
func TestOracleDetectsEachMissingMechanism(t *testing.T) {
	for _, c := range []struct {
		name        string
		without     mechanism
		first, step int
	}{
		{"home binding", withoutHome, 0, 1},
		{"incarnation", withoutIncarnation, 0, 1},
		{"closing of attempts", withoutAttempts, 0, 1},
		{"mark of written dispatches", withoutWrittenMark, 0, 1},
		// Only schedules that outlast the retention of records show this one.
		{"deadline fixed for good", withoutDeadline, 8, 2 * len(kinds)},
	} {
		t.Run(c.name, func(t *testing.T) {
			faults, _ := runAll(mechanismSchedules, c.first, c.step, c.without)
			t.Logf("%d faults in %d schedules", len(faults), mechanismSchedules)
			logFaults(t, faults[:min(1, len(faults))])
			assert.Assert(t, len(faults) > 0)
		})
	}
}
