package target

import (
	"slices"

	"carobshunt/internal/core"
)

// SetEvacuated sets the evacuated availability zones, sorted. The targets of those zones whose evacuation has just ended may have
// started anew meanwhile, before their entries in the host list show it.
func (tb *Table) SetEvacuated(now core.Time, zones, ended []string) {
	tb.evacuated = slices.Clone(zones)
	for _, t := range tb.ordered {
		t.evacuated = tb.isEvacuated(t.Zone)
		if slices.Contains(ended, t.Zone) {
			t.cold.presume(now)
		}
	}
	tb.UpdateCold(now)
}

func (tb *Table) isEvacuated(zone string) bool {
	_, found := slices.BinarySearch(tb.evacuated, zone)
	return found
}

// Evacuated reports whether the target's availability zone is evacuated.
func (t *Target) Evacuated() bool { return t.evacuated }
