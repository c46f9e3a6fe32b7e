package target

import (
	"time"

	"carobshunt/internal/core"
)

// coldState is what a host knows of whether a target is cold: it has just started, is slow, and takes few requests a second from
// all hosts together. Only targets of services with a limit for that can be cold.
type coldState struct {
	// limit is the number of requests a second that the target takes while it is cold; 0 if its service has no such limit.
	limit float64
	// duration is how long the target is cold after its start; 0 if unknown.
	duration time.Duration
	// until is the time before which the target counts as cold whatever its entry in the host list says; 0 for none.
	until core.Time
	// inForce is whether the target counted as cold at the last Table.UpdateCold.
	inForce bool
}

// minPresumedCold is how long a target that may have started anew counts as cold at least. By then its entry in the host list says
// whether it is: targets write their entries about once a second, and readers read them twice a second.
const minPresumedCold = 3 * time.Second

// presume makes the target count as cold for its duration from now, since it may have restarted.
func (c *coldState) presume(now core.Time) {
	c.until = max(c.until, now+max(c.duration, minPresumedCold))
}

// Cold reports whether the target counted as cold at the last tick.
func (t *Target) Cold() bool { return t.cold.inForce }

// SetColdLimit sets the number of requests a second that all hosts together may send to the target while it is cold, 0 for no
// limit, and how long it is cold after its start. Table.UpdateCold must be called next.
func (t *Target) SetColdLimit(limit float64, d time.Duration) {
	t.cold.limit, t.cold.duration = limit, d
}

// ObserveCold records that a target has said how much longer it is cold, of a process that was asked.
func (tb *Table) ObserveCold(now core.Time, p Process, left time.Duration) {
	if t := tb.Current(p); t != nil {
		t.cold.until = max(t.cold.until, now+min(left, maxColdTime))
	}
}

// maxColdTime bounds how long a target is cold by its own word; its entry in the host list may say so for longer.
const maxColdTime = time.Minute

// UpdateCold brings up to date which targets are cold, and limits the requests of all hosts to those that are.
func (tb *Table) UpdateCold(now core.Time) {
	for _, t := range tb.ordered {
		cold := t.cold.limit > 0 && (t.Host.Cold || now < t.cold.until)
		limit := 0.0
		if cold {
			limit = t.cold.limit
		}
		t.cold.inForce = cold
		if t.standing.coldLimit != limit {
			t.standing.coldLimit = limit
			tb.applyLimit(now, t.standing)
		}
	}
}
