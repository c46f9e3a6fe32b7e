package target

import (
	"fmt"
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/hostlist"
)

// entryState is what the host list says of a target.
type entryState int

const (
	entryUnknown entryState = iota
	entryLive
	entryLeaving
	entryMissing
)

// String returns the state for logs.
func (s entryState) String() string {
	return [...]string{"unknown", "live", "leaving", "missing"}[s]
}

// entryStateOf returns the state that a listed host has.
func entryStateOf(state hostlist.State) entryState {
	if state == hostlist.StateLive {
		return entryLive
	}
	return entryLeaving
}

// entry is the last that the host list said of a target.
type entry struct {
	start int64
	state entryState
}

// EntryChange is that the host list shows a target as leaving or missing, or as live again after that.
type EntryChange struct {
	// Process is the process that the list has, or had.
	Process Process
	was     entry
	is      entryState
	// unused is set if the target is not used although it is listed as live.
	unused bool
}

// String returns the change for logs.
func (c EntryChange) String() string {
	text := fmt.Sprintf("%v: %v, was %v with start %d", c.Process, c.is, c.was.state, c.was.start)
	if c.unused {
		text += "; counts as leaving"
	}
	return text
}

// noteEntry records what the host list says of a target.
func (tb *Table) noteEntry(now core.Time, t *Target, state entryState) {
	switch state {
	case entryLeaving:
		t.standing.departure.entryLeaves(now, t.Start)
	case entryMissing:
		t.standing.departure.entryMissing(t.Start)
	case entryLive:
		t.standing.departure.distrustUntil = tb.distrustUntil
	case entryUnknown:
	}
	was := t.standing.entry
	t.standing.entry = entry{start: t.Start, state: state}
	if state == was.state || state == entryLive && was.state == entryUnknown {
		return
	}
	tb.entryChanges = append(tb.entryChanges, EntryChange{Process: t.Process(), was: was, is: state, unused: state == entryLive && t.Leaves()})
}

// TakeEntryChanges returns the changes since the last call, in order of process.
func (tb *Table) TakeEntryChanges() []EntryChange {
	out := tb.entryChanges
	tb.entryChanges = nil
	slices.SortStableFunc(out, func(a, b EntryChange) int { return compareProcesses(a.Process, b.Process) })
	return out
}
