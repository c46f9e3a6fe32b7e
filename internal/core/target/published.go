package target

import (
	"cmp"
	"slices"
	"time"

	"carobshunt/internal/core"
)

const (
	// endedNoticeTTL is how long the end of a limit is told to other hosts.
	endedNoticeTTL = time.Minute
	// unlistedNoticeTTL is how long notices of a target that is not listed are told to other hosts. An older copy of the
	// platform's list may have it for some seconds.
	unlistedNoticeTTL = time.Minute
	// departedTTL is how long other hosts are told that the host list had a process as leaving.
	departedTTL = 2 * time.Minute
	// maxPublished is the number of notices that a heartbeat carries at most, and of processes that have left.
	maxPublished = 64
)

// PublishedNotice is what a target has said of itself, as hosts tell it each other in heartbeats. The start is the one that
// the sender knows from the host list.
type PublishedNotice struct {
	Process
	// Limit is in requests a second; 0 for no limit.
	Limit   float64 `json:"l,omitempty"`
	Leaving bool    `json:"v,omitempty"`
	// HeardMs is the sender's clock when a host learned of it, in milliseconds.
	HeardMs int64 `json:"h"`
}

// Notices returns what targets have said of themselves, for the heartbeats to peers, the newest maxPublished in order of
// address.
func (tb *Table) Notices(now core.Time) []PublishedNotice {
	var out []PublishedNotice
	for _, s := range tb.standings {
		leaving := s.departure.leaving
		ended := s.Limit == 0 && !leaving
		gone := s.unlistedSince != never && now-s.unlistedSince >= unlistedNoticeTTL
		if s.heard == never || gone || ended && now-s.heard >= endedNoticeTTL {
			continue
		}
		out = append(out, PublishedNotice{Process: s.process(), Limit: s.Limit, Leaving: leaving, HeardMs: s.heard.Milliseconds()})
	}
	slices.SortFunc(out, func(a, b PublishedNotice) int {
		return cmp.Or(cmp.Compare(b.HeardMs, a.HeardMs), compareProcesses(a.Process, b.Process))
	})
	out = out[:min(len(out), maxPublished)]
	slices.SortFunc(out, func(a, b PublishedNotice) int { return compareProcesses(a.Process, b.Process) })
	return out
}

// Departed returns the processes that the host list has had as leaving, for a host that has just started and can't tell that its list shows
// older entries of them: the newest maxPublished of the last departedTTL.
func (tb *Table) Departed(now core.Time) []Process {
	var recent []*Standing
	for _, s := range tb.standings {
		if s.departure.departed != 0 && now-s.departure.departedSince < departedTTL {
			recent = append(recent, s)
		}
	}
	slices.SortFunc(recent, func(a, b *Standing) int {
		return cmp.Or(cmp.Compare(b.departure.departedSince, a.departure.departedSince), cmp.Compare(a.identity.Address, b.identity.Address),
			cmp.Compare(a.identity.Instance, b.identity.Instance))
	})
	out := make([]Process, 0, min(len(recent), maxPublished))
	for _, s := range recent[:cap(out)] {
		out = append(out, Process{Address: s.identity.Address, Instance: s.identity.Instance, Start: s.departure.departed})
	}
	return out
}

// ApplyDeparted records that a peer's host list has had a process as leaving. It reports whether that is news.
func (tb *Table) ApplyDeparted(now core.Time, p Process) bool {
	s := tb.standingOf(p.Identity())
	if s == nil || p.Start <= s.departure.departed {
		return false
	}
	s.departure.entryLeaves(now, p.Start)
	return true
}

func compareProcesses(a, b Process) int {
	return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Start, b.Start))
}

// ApplyPublished records what a peer tells of a target, which a host learned that long ago. The later of two words on a
// limit holds. That a target leaves holds unless a later check has shown the contrary.
func (tb *Table) ApplyPublished(now core.Time, age time.Duration, p *PublishedNotice) (StandingChange, bool) {
	s := tb.standingOf(p.Identity())
	if s == nil {
		return StandingChange{}, false
	}
	heard := max(now-max(age, 0), 0)
	next := standingChange(s)
	limit := 0.0
	if p.Limit > 0 {
		limit = clampLimit(p.Limit)
	}
	switch {
	case limit == s.Limit:
	case heard > max(s.heard, s.confirmed):
		next.Limit = limit
	default:
		s.heard = max(s.heard, s.confirmed) // the peer has older word, so tell it how recent this host's is
	}
	if p.Leaving && !s.departure.leaving && heard > s.departure.disproved {
		next.NowLeaving = s.departure.said(heard, p.Start)
	}
	return tb.change(now, heard, s, next)
}
