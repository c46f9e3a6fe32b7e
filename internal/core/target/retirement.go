package target

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/hostlist"
)

// distrustTime is how long after the platform was restored from an older copy a target that had left is not taken back
// because the list has it as live. What wrote the entry ends the entry by then, if it is gone.
const distrustTime = 10 * time.Second

// retirements are the processes that the host list had as leaving or no longer had, with the time when it last did.
type retirements map[Process]core.Time

func (r retirements) add(now core.Time, p Process) {
	if _, ok := r[p]; ok || len(r) < maxStandings {
		r[p] = now
	}
}

// expireRetired drops the processes that left standingTTL ago. One that is listed as leaving has not left yet.
func (tb *Table) expireRetired(now core.Time) {
	for p, at := range tb.retired {
		t := tb.byAddress[p.Address]
		listed := t != nil && t.Process() == p
		if !listed && now-at >= standingTTL {
			delete(tb.retired, p)
		}
	}
}

// trackRetirement records whether a target that has just been listed has left. One that had left is kept as leaving while the
// platform may only show an older copy of its entry.
func (tb *Table) trackRetirement(now core.Time, t *Target) {
	t.trustedAt = 0
	_, retired := tb.retired[t.Process()]
	switch {
	case t.State == hostlist.StateLeaving:
		tb.retired.add(now, t.Process())
	case retired && now < tb.distrustUntil:
		t.State = hostlist.StateLeaving
		t.trustedAt = tb.distrustUntil
	default:
		delete(tb.retired, t.Process())
	}
}

// regainTrust makes a target live again that is still listed as live when the time of trackRetirement has passed. It reports
// whether it did.
func (tb *Table) regainTrust(now core.Time, t *Target) bool {
	if t.trustedAt == 0 || now < t.trustedAt {
		return false
	}
	t.trustedAt = 0
	delete(tb.retired, t.Process())
	t.State = hostlist.StateLive
	return true
}
