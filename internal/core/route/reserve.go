package route

import (
	"cmp"
	"slices"

	"carobshunt/internal/core/ledger"
)

// A prompt of the largest sizes keeps each engine that prefills a part of it busy for seconds, and as many engines as it can get.
// Short prompts that arrive meanwhile find no engine that would answer in time. A part of the engines is therefore closed to
// such prompts, whatever runs there now: demand may turn from the longest prompts to many short ones within a second.

const (
	// busyMs is the pending prefill, in milliseconds, from which an engine is of no use to a new short prompt: callers of short
	// prompts expect their first token sooner.
	busyMs = 1_000
	// reservedDivisor sets the engines that are closed to them, 1/reservedDivisor of those of a service.
	reservedDivisor = 3
)

// withoutReserved leaves out the engines that are closed to a prompt that would keep engines busy: of those that are not busy, the
// ones with the most streams, whose events the prompt would hold up. It returns all states for a prompt whose prefill takes less
// than busyMs at each of as many engines as can share it.
func withoutReserved(rec *ledger.Record, states []engineState) []engineState {
	if len(states) == 0 || prefillMs(rec, states[0].target)/(maxListed+1) < busyMs {
		return states
	}
	var busy, free []engineState
	for _, s := range states {
		if s.prefill >= busyMs {
			busy = append(busy, s)
		} else {
			free = append(free, s)
		}
	}
	slices.SortStableFunc(free, func(a, b engineState) int { return cmp.Compare(a.load.Streams, b.load.Streams) })
	reserved := min((len(states)+reservedDivisor-1)/reservedDivisor, len(free))
	return append(busy, free[:len(free)-reserved]...)
}
