package target

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/hostlist"
)

// distrustTime is how long after the platform was restored from an older copy a target that had left is not taken back
// because the list has it as live. What wrote the entry ends the entry by then, if it is gone.
const distrustTime = 10 * time.Second

// trackRetirement records whether a target that has just been listed has left. One that had left is kept as leaving while the
// platform may only show an older copy of its entry.
func (tb *Table) trackRetirement(now core.Time, t *Target) {
	s := t.standing
	t.trustedAt = 0
	switch {
	case t.State == hostlist.StateLeaving:
		s.retired = true
	case s.retired && now < tb.distrustUntil:
		t.State = hostlist.StateLeaving
		t.trustedAt = tb.distrustUntil
	default:
		s.retired = false
	}
}

// regainTrust makes a target live again that is still listed as live when the time of trackRetirement has passed. It reports
// whether it did.
func (t *Target) regainTrust(now core.Time) bool {
	if t.trustedAt == 0 || now < t.trustedAt {
		return false
	}
	t.trustedAt = 0
	t.standing.retired = false
	t.State = hostlist.StateLive
	return true
}
