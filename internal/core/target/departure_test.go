package target

import (
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// listed returns a table that has one target, whose entry shows a start.
func listed(t *testing.T, start int64) (*Table, *Target) {
	t.Helper()
	tb := NewTable()
	relist(t, tb, start)
	return tb, tb.Get("a:1")
}

func relist(t *testing.T, tb *Table, start int64) {
	t.Helper()
	host := hostlist.Host{Address: "a:1", Instance: "x", Start: start, State: hostlist.StateLive, Role: hostlist.RoleService}
	assert.Assert(t, tb.Apply(&hostlist.List{Version: tb.Version() + 1, Hosts: []hostlist.Host{host}}))
}

// TestCheckOfHealthIsDueOnlyForAnotherStart guards against checks of each target that leaves, and against none of the process
// that takes its place.
func TestCheckOfHealthIsDueOnlyForAnotherStart(t *testing.T) {
	tb, x := listed(t, 5)
	assert.Assert(t, !x.CheckDue(time.Second))
	tb.ApplyNotice(time.Second, Dispatch{}, &Notice{From: x.Process(), Leaving: true})
	assert.Assert(t, !x.CheckDue(2*time.Second))
	relist(t, tb, 6)
	x = tb.Get("a:1")
	assert.Assert(t, !x.Eligible(2*time.Second))
	assert.Assert(t, x.CheckDue(2*time.Second))
	assert.Assert(t, !x.CheckDue(2*time.Second+checkInterval/2))
	_, changed := tb.ApplyCheck(2100*time.Millisecond, 2*time.Second, x.Process(), CheckLeaves)
	assert.Assert(t, changed, "other hosts are told of the other start")
	assert.Assert(t, !x.CheckDue(time.Minute), "that process has said it too")
}

// TestCheckThatBeganBeforeTheWordProvesNothing guards against a check that overtakes the word of a target that begins to leave.
func TestCheckThatBeganBeforeTheWordProvesNothing(t *testing.T) {
	tb, x := listed(t, 5)
	tb.ApplyNotice(time.Second, Dispatch{}, &Notice{From: x.Process(), Leaving: true})
	for _, c := range []struct {
		began  core.Time
		result CheckResult
		serves bool
	}{
		{900 * time.Millisecond, CheckServes, false},
		{1100 * time.Millisecond, CheckFailed, false},
		{1200 * time.Millisecond, CheckServes, true},
	} {
		change, _ := tb.ApplyCheck(2*time.Second, c.began, x.Process(), c.result)
		assert.Equal(t, change.NowServing, c.serves)
		assert.Equal(t, x.Eligible(2*time.Second), c.serves)
	}
}

// TestPeersWordFromBeforeACheckIsNotBelieved guards against a target that is taken for leaving again, by hosts that have not
// heard of its new process, and against hosts that do not believe later word.
func TestPeersWordFromBeforeACheckIsNotBelieved(t *testing.T) {
	tb, x := listed(t, 5)
	word := &PublishedNotice{Process: Process{Address: "a:1", Instance: "x", Start: 4}, Leaving: true}
	_, changed := tb.ApplyPublished(time.Second, 200*time.Millisecond, word)
	assert.Assert(t, changed && x.SaysLeaving())
	assert.Assert(t, x.CheckDue(time.Second), "a peer heard it of another start")
	tb.ApplyCheck(1100*time.Millisecond, time.Second, x.Process(), CheckServes)
	assert.Assert(t, !x.SaysLeaving())
	tb.ApplyPublished(2*time.Second, 1200*time.Millisecond, word)
	assert.Assert(t, !x.SaysLeaving())
	tb.ApplyPublished(2*time.Second, 900*time.Millisecond, word)
	assert.Assert(t, x.SaysLeaving())
}

// TestLateWordOfAnEarlierProcessIsCheckedAgain guards against a target that gets nothing for good because the last answer of
// an earlier process arrives after the check of the one that has taken its place.
func TestLateWordOfAnEarlierProcessIsCheckedAgain(t *testing.T) {
	tb, x := listed(t, 5)
	before := x.Process()
	tb.ApplyNotice(time.Second, Dispatch{}, &Notice{From: before, Leaving: true})
	relist(t, tb, 6)
	x = tb.Get("a:1")
	assert.Assert(t, x.CheckDue(2*time.Second))
	tb.ApplyCheck(2*time.Second+time.Millisecond, 2*time.Second, x.Process(), CheckServes)
	assert.Assert(t, x.Eligible(3*time.Second))
	tb.ApplyNotice(3*time.Second, Dispatch{}, &Notice{From: before, Leaving: true})
	assert.Assert(t, !x.Eligible(3*time.Second), "the list may be late again")
	assert.Assert(t, x.CheckDue(3*time.Second))
	tb.ApplyCheck(3*time.Second+time.Millisecond, 3*time.Second+time.Microsecond, x.Process(), CheckServes)
	assert.Assert(t, x.Eligible(4*time.Second))
}

// TestWordOfATargetThatIsNotListedIsKept guards against word of leaving that is lost while the entry of the target is missing
// or another target's entry stands at its address.
func TestWordOfATargetThatIsNotListedIsKept(t *testing.T) {
	tb, x := listed(t, 5)
	from := x.Process()
	assert.Assert(t, tb.Apply(&hostlist.List{Version: tb.Version() + 1}))
	assert.Assert(t, tb.Get("a:1") == nil)
	tb.ApplyNotice(time.Second, Dispatch{}, &Notice{From: from, Leaving: true})
	relist(t, tb, 5)
	assert.Assert(t, !tb.Get("a:1").Eligible(time.Minute))
}

// TestTargetThatIsListedAsLeavingForLongStaysLeft guards against an older copy of the platform that brings back a target which
// the list has had as leaving for longer than what is known of targets that are gone is kept.
func TestTargetThatIsListedAsLeavingForLongStaysLeft(t *testing.T) {
	tb := NewTable()
	host := hostlist.Host{Address: "a:1", Instance: "x", Start: 5, State: hostlist.StateLeaving, Role: hostlist.RoleService}
	apply := func(now core.Time, version uint64) {
		assert.Assert(t, tb.ApplyWithGrace(now, &hostlist.List{Version: version, Hosts: []hostlist.Host{host}}, 0))
	}
	apply(0, hostlist.VersionOf(0, 60))
	now := 2 * standingTTL
	tb.ExpireStandings(now)
	host.State = hostlist.StateLive
	apply(now, hostlist.VersionOf(1, 50))
	assert.Assert(t, !tb.Get("a:1").Eligible(now))
}
