package fetch_test

import (
	"testing"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/fetch"

	"gotest.tools/v3/assert"
)

func version(revision uint64) conf.Version { return conf.Version{Revision: revision} }

func text(revision uint64) *fetch.Text { return &fetch.Text{Version: version(revision), Source: "a"} }

func near() bool { return true }

// TestOneFetchAtATime guards against a host that asks each peer that offers a version, and gets it several times.
func TestOneFetchAtATime(t *testing.T) {
	s := &fetch.State{}
	assert.Assert(t, s.Offer(0, "a", version(2), version(1), near))
	assert.Assert(t, !s.Offer(10*time.Millisecond, "b", version(2), version(1), near))
	assert.Assert(t, !s.Offer(20*time.Millisecond, "b", version(3), version(1), near))
	check, dropped := s.Received(30*time.Millisecond, text(2), version(1))
	assert.Assert(t, check.Version == version(2) && dropped == nil)
	assert.Assert(t, !s.Offer(time.Second, "c", version(4), version(1), near), "a text is being checked")
	check, dropped = s.Checked(version(2))
	assert.Assert(t, check == nil && dropped == nil)
	peer, ok := s.Next(time.Second, version(2))
	assert.Assert(t, ok && peer == "c", "the newest version, from a peer that has it")
	_, ok = s.Next(time.Second, version(2))
	assert.Assert(t, !ok)
}

// TestPeerThatDoesNotAnswerIsNotAskedAgain guards against a host that asks the one peer that it can't reach, while others have the
// version too.
func TestPeerThatDoesNotAnswerIsNotAskedAgain(t *testing.T) {
	s := &fetch.State{}
	assert.Assert(t, s.Offer(0, "a", version(2), version(1), near))
	assert.Assert(t, !s.Offer(0, "b", version(2), version(1), near))
	assert.Assert(t, !s.Offer(time.Second, "a", version(2), version(1), near))
	peer, ok := s.Next(time.Second, version(1))
	assert.Assert(t, ok && peer == "b")
	_, ok = s.Next(time.Minute, version(1))
	assert.Assert(t, ok, "all were asked, so they are asked again")
}

// TestVersionFromElsewhereEndsAFetch guards against a host that counts a peer as silent, since it got the version from the platform before
// the peer could answer.
func TestVersionFromElsewhereEndsAFetch(t *testing.T) {
	s := &fetch.State{}
	assert.Assert(t, s.Offer(0, "a", version(2), version(1), near))
	s.Applied(time.Millisecond, version(2))
	assert.Assert(t, s.Offer(2*time.Millisecond, "a", version(3), version(2), near))
	s.Applied(3*time.Millisecond, version(2))
	assert.Assert(t, !s.Offer(4*time.Millisecond, "b", version(3), version(2), near), "version 3 is still awaited")
}

// TestSupersededTextsAreNotChecked guards against a host that checks, one after the other, what it got while it was checking.
func TestSupersededTextsAreNotChecked(t *testing.T) {
	s := &fetch.State{}
	check, _ := s.Received(0, text(2), version(1))
	assert.Assert(t, check != nil)
	for _, c := range []struct{ received, dropped uint64 }{{3, 0}, {5, 3}, {4, 4}, {2, 2}, {1, 1}} {
		check, dropped := s.Received(0, text(c.received), version(1))
		assert.Assert(t, check == nil)
		assert.Equal(t, dropped != nil, c.dropped != 0)
		assert.Assert(t, dropped == nil || dropped.Version == version(c.dropped))
	}
	check, _ = s.Checked(version(2))
	assert.Equal(t, check.Version, version(5))
	_, dropped := s.Received(0, text(6), version(2))
	assert.Assert(t, dropped == nil)
	check, dropped = s.Checked(version(9)) // from another source
	assert.Assert(t, check == nil && dropped.Version == version(6))
}

// TestPausesBetweenFetchesWithoutAnAnswerGrow guards against a host that asks ever more peers, since it is itself too slow to read their
// answers.
func TestPausesBetweenFetchesWithoutAnAnswerGrow(t *testing.T) {
	s := &fetch.State{}
	var asked []time.Duration
	for now := time.Duration(0); now < 12*time.Second; now += 100 * time.Millisecond {
		s.Offer(now, "a", version(2), version(1), near)
		if _, ok := s.Retry(now, version(1)); ok {
			asked = append(asked, now)
		}
	}
	const ms = time.Millisecond
	assert.DeepEqual(t, asked, []time.Duration{300 * ms, 800 * ms, 1800 * ms, 3800 * ms, 5800 * ms, 7800 * ms, 9800 * ms, 11800 * ms})
	s.Answered(12 * time.Second)
	assert.Assert(t, s.Offer(12*time.Second, "a", version(3), version(2), near))
	_, ok := s.Next(12300*ms, version(2))
	assert.Assert(t, ok)
}

// TestFetchFailsOnlyInTimeThatTheHostHad guards against hosts that read the platform because they are short of processor time.
func TestFetchFailsOnlyInTimeThatTheHostHad(t *testing.T) {
	const ticks = 10
	s := &fetch.State{}
	assert.Assert(t, s.Offer(0, "a", version(2), version(1), near))
	for range ticks - 1 {
		s.Tick()
	}
	s.Offer(time.Minute, "b", version(2), version(1), near)
	assert.Assert(t, !s.Failing(version(1), ticks))
	s.Tick()
	assert.Assert(t, s.Failing(version(1), ticks), "also after another request")
	assert.Assert(t, !s.Failing(version(2), ticks), "it came from elsewhere")
	s.Received(time.Minute, text(2), version(1))
	for range 2 * ticks {
		s.Tick()
	}
	assert.Assert(t, !s.Failing(version(1), ticks), "the answer waits for its check")
}

// TestHostIsBehindForABoundedTime guards against callers that are sent away again and again because of a version that can't be had.
func TestHostIsBehindForABoundedTime(t *testing.T) {
	const within = time.Second
	s := &fetch.State{}
	s.Offer(0, "a", version(2), version(1), near)
	assert.Assert(t, s.Behind(within-1, version(1), within))
	assert.Assert(t, !s.Behind(within-1, version(2), within))
	s.Offer(within/2, "a", version(3), version(1), near)
	assert.Assert(t, !s.Behind(within, version(1), within), "no progress")
	s.Applied(within, version(2))
	assert.Assert(t, s.Behind(within, version(2), within), "it catches up")
	s = &fetch.State{}
	s.Offer(0, "a", version(2), version(1), near)
	s.Refused(0)
	assert.Assert(t, !s.Behind(0, version(1), within))
	assert.Assert(t, !s.Offer(time.Second, "a", version(2), version(1), near))
	assert.Assert(t, s.Offer(time.Second, "a", version(3), version(1), near))
}
