// Package fetch decides when a host fetches a published text, the document or the host list, from its peers, and which of the texts
// that it gets are checked.
//
// At any time a host has at most one fetch that may still be answered, and at most one text in its check. What peers offer
// meanwhile is remembered, and the newest of it is fetched afterwards. So a host that is slow handles fewer versions than others
// and does no work twice. A text that was fetched is checked to its end, also if a newer one is known by then: otherwise a host would put
// none in force as long as new ones keep coming.
package fetch

import (
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
)

const (
	// answerTimeout is how long a fetch may take before another peer is asked, and maxDoublings how often that time is doubled
	// while none answers.
	answerTimeout = 250 * time.Millisecond
	maxDoublings  = 3
	// refusalPause is how long a version that was refused is not fetched again.
	refusalPause = 10 * time.Second
	// farDelay is how long a host waits for one that is near to have a version before it fetches it from another one.
	farDelay = 300 * time.Millisecond
	// maxHolders is the number of peers that are remembered as holders of a newer version.
	maxHolders = 4
)

// Text is a text that a peer has sent and that is not checked yet.
type Text struct {
	Version conf.Version
	Raw     []byte
	// Source is the peer address of the sender.
	Source string
}

// holder is a peer that offered a version.
type holder struct {
	peer    string
	version conf.Version
}

// State is what one host knows of the versions of one text that its peers have. The zero value knows of none. It is not safe for
// concurrent use.
type State struct {
	// newest is the highest version that a peer offered, newestAt when one first did.
	newest   conf.Version
	newestAt core.Time
	// holders are the last peers that may be asked for a version that they offered, the latest last.
	holders []holder
	// behind is set while this host knows of a newer version than its own, behindSince is since when it has, without any progress.
	behindSince core.Time
	behind      bool

	// requested is the version of the last request, pending is set until it is answered. Before until, nothing else is requested.
	requested conf.Version
	pending   bool
	until     core.Time
	// asked are the peers that were asked since the last answer, doublings is how often the pause was doubled, and ticks counts the
	// ticks, since the first of them was.
	asked     []string
	doublings int
	ticks     int
	// refused is the last version that was refused. It is not fetched before refusedUntil.
	refused      conf.Version
	refusedUntil core.Time

	// checking is the text that is checked now, waiting the newest one that was fetched meanwhile; nil for none.
	checking *Text
	waiting  *Text
}

// Offer records that a peer has a version, and reports whether this host, which has another one, is to request it now. A peer that is not
// near is only asked once the version is known for farDelay; near is called only before.
func (s *State) Offer(now core.Time, peer string, offered, have conf.Version, near func() bool) bool {
	if offered.NewerThan(s.newest) {
		s.newest, s.newestAt = offered, now
	}
	s.updateBehind(now, have)
	if !offered.NewerThan(have) {
		return false
	}
	if now < s.newestAt+farDelay && !near() {
		return false
	}
	s.recordHolder(holder{peer: peer, version: offered})
	if slices.Contains(s.asked, peer) {
		return false // see Next
	}
	return s.request(now, peer, offered)
}

func (s *State) recordHolder(h holder) {
	s.holders = slices.DeleteFunc(s.holders, func(other holder) bool { return other.peer == h.peer })
	s.holders = append(s.holders[max(len(s.holders)-maxHolders+1, 0):], h)
}

// request records a request, unless another one may still be answered, a text is being checked or the version was refused.
func (s *State) request(now core.Time, peer string, version conf.Version) bool {
	if now < s.until || s.checking != nil {
		return false
	}
	if now < s.refusedUntil && !version.NewerThan(s.refused) {
		return false
	}
	if !s.pending {
		s.ticks = 0
	}
	s.requested, s.pending = version, true
	s.until = now + answerTimeout<<s.doublings
	s.doublings = min(s.doublings+1, maxDoublings)
	if !slices.Contains(s.asked, peer) {
		s.asked = append(s.asked, peer)
	}
	return true
}

// Next returns a peer to request its version from, if this host, which has another one, is to request a newer one now. It prefers peers
// that were not asked since the last answer, and then the one with the newest version.
func (s *State) Next(now core.Time, have conf.Version) (peer string, ok bool) {
	var best *holder
	for i := range s.holders {
		h := &s.holders[i]
		if h.version.NewerThan(have) && (best == nil || s.compare(h, best) >= 0) {
			best = h
		}
	}
	if best == nil {
		return "", false
	}
	return best.peer, s.request(now, best.peer, best.version)
}

// Retry is Next for a request that was not answered in time.
func (s *State) Retry(now core.Time, have conf.Version) (peer string, ok bool) {
	if !s.pending {
		return "", false
	}
	return s.Next(now, have)
}

// compare returns a positive number if holder a is preferred to b, and a negative one if b is preferred.
func (s *State) compare(a, b *holder) int {
	askedA, askedB := slices.Contains(s.asked, a.peer), slices.Contains(s.asked, b.peer)
	switch {
	case askedA && !askedB:
		return -1
	case askedB && !askedA:
		return 1
	}
	return a.version.Compare(b.version)
}

// Answered records that a peer has sent another version than this host's.
func (s *State) Answered(now core.Time) {
	s.pending, s.asked, s.doublings, s.ticks = false, nil, 0, 0
	s.until = now
}

// Received records a text that a peer has sent, and returns the text to be checked now and the one that won't be checked; nil for none.
func (s *State) Received(now core.Time, text *Text, have conf.Version) (check, dropped *Text) {
	if !text.Version.NewerThan(have) {
		return nil, text
	}
	s.Answered(now)
	switch {
	case s.checking == nil:
		s.checking = text
		return text, nil
	case !text.Version.NewerThan(s.checking.Version):
		return nil, text
	case s.waiting != nil && !text.Version.NewerThan(s.waiting.Version):
		return nil, text
	}
	dropped, s.waiting = s.waiting, text
	return nil, dropped
}

// Checked records that the check of a text has ended, after which this host has a version. It returns the text to be checked now and the
// one that won't be checked; nil for none.
func (s *State) Checked(have conf.Version) (check, dropped *Text) {
	next := s.waiting
	s.checking, s.waiting = nil, nil
	if next == nil || !next.Version.NewerThan(have) {
		return nil, next
	}
	s.checking = next
	return next, nil
}

// Refused records that the version that was requested last was refused.
func (s *State) Refused(now core.Time) {
	s.Answered(now)
	s.refused, s.refusedUntil = s.requested, now+refusalPause
}

// Applied records that another version has come into force on this host, from any source.
func (s *State) Applied(now core.Time, have conf.Version) {
	if s.pending && !s.requested.NewerThan(have) {
		s.Answered(now) // nothing depends on the answer any more
	}
	s.behind = false
	s.updateBehind(now, have)
}

func (s *State) updateBehind(now core.Time, have conf.Version) {
	behind := s.newest.NewerThan(have)
	if behind && !s.behind {
		s.behindSince = now
	}
	s.behind = behind
}

// Behind reports whether this host, which has a version, knows of a newer one that it can expect to have soon: it has been behind, without
// progress, for less than a time, and has not refused that version.
func (s *State) Behind(now core.Time, have conf.Version, within time.Duration) bool {
	if !s.newest.NewerThan(have) || now-s.behindSince >= within {
		return false
	}
	return now >= s.refusedUntil || s.newest.NewerThan(s.refused)
}

// Tick counts a tick of the host.
func (s *State) Tick() { s.ticks++ }

// Failing reports whether no peer has answered for a number of ticks although this host, which has a version, has requested a newer one.
// Ticks are counted since a host that gets no processor time can't tell.
func (s *State) Failing(have conf.Version, ticks int) bool {
	return s.pending && s.requested.NewerThan(have) && s.ticks >= ticks
}
