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
	_, changed := tb.ApplyCheck(2100*time.Millisecond, Check{Process: x.Process(), Began: 2 * time.Second, Result: CheckLeaves})
	assert.Assert(t, changed, "other hosts are told of the other start")
	assert.Assert(t, !x.CheckDue(time.Minute), "that process has said it too")
}

// TestCheckThatBeganBeforeTheWordProvesNothing guards against a check that overtakes the word of a target that begins to leave.
func TestCheckThatBeganBeforeTheWordProvesNothing(t *testing.T) {
	tb, x := listed(t, 5)
	tb.ApplyNotice(time.Second, Dispatch{}, &Notice{From: x.Process(), Leaving: true})
	relist(t, tb, 6)
	x = tb.Get("a:1")
	for _, c := range []struct {
		began  core.Time
		result CheckResult
		serves bool
	}{
		{900 * time.Millisecond, CheckServes, false},
		{1100 * time.Millisecond, CheckFailed, false},
		{1200 * time.Millisecond, CheckServes, true},
	} {
		change, _ := tb.ApplyCheck(2*time.Second, Check{Process: x.Process(), Began: c.began, Result: c.result})
		assert.Equal(t, change.NowServing, c.serves)
		assert.Equal(t, x.Eligible(2*time.Second), c.serves)
	}
}

// TestOnlyAnotherProcessEndsWordOfLeaving guards against a check that is taken as proof of a new process although the answer names
// another start than the list, or the list shows the process that has said that it leaves, or one of before.
func TestOnlyAnotherProcessEndsWordOfLeaving(t *testing.T) {
	byEntry, byAnswer := "entry", "answer"
	for _, c := range []struct {
		word          string
		role          hostlist.Role
		listed        int64
		answeredStart int64
		after         time.Duration
		serves        bool
	}{
		{byAnswer, hostlist.RoleService, 6, 0, time.Second, true},
		{byAnswer, hostlist.RoleService, 6, 5, time.Second, false},
		{byAnswer, hostlist.RoleService, 5, 0, time.Hour, false},
		{byAnswer, hostlist.RoleService, 4, 0, staleEntryTime - 1, false},
		{byAnswer, hostlist.RoleService, 4, 0, staleEntryTime, true},
		{byAnswer, hostlist.RoleEngine, 6, 6, time.Second, true},
		{byAnswer, hostlist.RoleEngine, 6, 5, time.Second, false},
		{byAnswer, hostlist.RoleEngine, 5, 5, time.Hour, false},
		{byAnswer, hostlist.RoleEngine, 4, 5, time.Hour, false},
		{byAnswer, hostlist.RoleEngine, 4, 0, time.Second, false},
		{byAnswer, hostlist.RoleEngine, 4, 4, time.Second, true},
		{byEntry, hostlist.RoleService, 5, 0, time.Hour, false},
		{byEntry, hostlist.RoleService, 4, 0, time.Second, false},
		{byEntry, hostlist.RoleEngine, 5, 5, time.Hour, false},
		{byEntry, hostlist.RoleEngine, 4, 4, time.Second, true},
	} {
		tb := NewTable()
		entry := hostlist.Host{Address: "a:1", Instance: "x", Start: 5, State: hostlist.StateLive, Role: c.role}
		apply := func() {
			list := &hostlist.List{Version: tb.Version() + 1, Hosts: []hostlist.Host{entry}}
			assert.Assert(t, tb.ApplyWithGrace(time.Second, list, 0))
		}
		apply()
		if c.word == byAnswer {
			tb.ApplyNotice(time.Second, Dispatch{}, &Notice{From: tb.Get("a:1").Process(), Leaving: true})
		} else {
			entry.State = hostlist.StateLeaving
			apply()
		}
		entry.State, entry.Start = hostlist.StateLive, c.listed
		apply()
		x, at := tb.Get("a:1"), time.Second+c.after
		assert.Check(t, !x.Eligible(at), "%+v", c)
		change, _ := tb.ApplyCheck(at, Check{Process: x.Process(), Began: at, Result: CheckServes, Start: c.answeredStart})
		assert.Check(t, change.NowServing == c.serves && x.Eligible(at) == c.serves, "%+v", c)
	}
}

// TestEntryThatSaysALaterStartLivesNeedsNoCheck guards against checks of each target that starts again after its entry has said that it
// leaves: the list itself tells the two apart.
func TestEntryThatSaysALaterStartLivesNeedsNoCheck(t *testing.T) {
	tb, _ := listed(t, 5)
	leaving := hostlist.Host{Address: "a:1", Instance: "x", Start: 5, State: hostlist.StateLeaving, Role: hostlist.RoleService}
	assert.Assert(t, tb.Apply(&hostlist.List{Version: tb.Version() + 1, Hosts: []hostlist.Host{leaving}}))
	assert.Assert(t, tb.Apply(&hostlist.List{Version: tb.Version() + 1}))
	relist(t, tb, 6)
	assert.Assert(t, tb.Get("a:1").Eligible(time.Second) && !tb.Get("a:1").CheckDue(time.Second))
}

// TestEntryThatWasMissingIsBelievedAfterACheck guards against requests to a target that left unannounced, once the list shows an older
// entry of it, and against one that gets nothing for good because its entry was missing.
func TestEntryThatWasMissingIsBelievedAfterACheck(t *testing.T) {
	tb, _ := listed(t, 5)
	assert.Assert(t, tb.Apply(&hostlist.List{Version: tb.Version() + 1}))
	relist(t, tb, 5)
	x := tb.Get("a:1")
	assert.Assert(t, !x.Eligible(time.Second) && x.CheckDue(time.Second))
	tb.ApplyCheck(2*time.Second, Check{Process: x.Process(), Began: time.Second, Result: CheckServes})
	assert.Assert(t, x.Eligible(2*time.Second))
}

// TestEntryThatWasMissingIsNotBelievedSoonAfterARestore guards against requests to a target that left unannounced and still answers that it
// serves, once the platform is back from a copy that has its entry.
func TestEntryThatWasMissingIsNotBelievedSoonAfterARestore(t *testing.T) {
	tb, _ := listed(t, 5)
	assert.Assert(t, tb.Apply(&hostlist.List{Version: tb.Version() + 1}))
	host := hostlist.Host{Address: "a:1", Instance: "x", Start: 5, State: hostlist.StateLive, Role: hostlist.RoleService}
	restored := &hostlist.List{Version: hostlist.VersionOf(1, 1), Hosts: []hostlist.Host{host}}
	assert.Assert(t, tb.ApplyWithGrace(time.Second, restored, 0))
	x := tb.Get("a:1")
	assert.Assert(t, !x.CheckDue(distrustTime))
	tb.ApplyCheck(2*time.Second, Check{Process: x.Process(), Began: 2 * time.Second, Result: CheckServes})
	assert.Assert(t, !x.Eligible(distrustTime))
	assert.Assert(t, x.CheckDue(time.Second+distrustTime))
}

// TestTargetWithoutChecksIsBelievedByItsEntry guards against a target that gets nothing for good because nothing can be asked for its
// health, and against one that is believed while the platform shows an older copy.
func TestTargetWithoutChecksIsBelievedByItsEntry(t *testing.T) {
	tb, x := listed(t, 5)
	tb.ApplyNotice(time.Second, Dispatch{}, &Notice{From: x.Process(), Leaving: true})
	relist(t, tb, 6)
	x = tb.Get("a:1")
	assert.Assert(t, x.CheckDue(staleEntryTime-1) && !x.BelieveEntry(staleEntryTime-1, false))
	assert.Assert(t, !x.BelieveEntry(time.Hour, true))
	assert.Assert(t, x.BelieveEntry(staleEntryTime, false) && x.Eligible(staleEntryTime))

	tb, _ = listed(t, 5)
	assert.Assert(t, tb.Apply(&hostlist.List{Version: tb.Version() + 1}))
	restored := hostlist.VersionOf(1, 1)
	assert.Assert(t, tb.ApplyWithGrace(time.Second, &hostlist.List{Version: restored}, 0))
	relist(t, tb, 5)
	x = tb.Get("a:1")
	assert.Assert(t, !x.CheckDue(2*time.Second))
	assert.Assert(t, x.CheckDue(time.Second+distrustTime) && x.BelieveEntry(time.Second+distrustTime, false) && x.Eligible(time.Minute))

	tb = NewTable()
	engine := hostlist.Host{Address: "a:1", Instance: "x", Start: 5, State: hostlist.StateLeaving, Role: hostlist.RoleEngine}
	assert.Assert(t, tb.Apply(&hostlist.List{Version: 1, Hosts: []hostlist.Host{engine}}))
	engine.State, engine.Start = hostlist.StateLive, 4
	assert.Assert(t, tb.Apply(&hostlist.List{Version: 2, Hosts: []hostlist.Host{engine}}))
	x = tb.Get("a:1")
	assert.Assert(t, x.CheckDue(time.Second) && !x.BelieveEntry(time.Second, false), "an entry of before")
}

// TestEntryThatOutlastsOlderOnesIsBelievedDespiteItsHealth guards against a target that gets nothing for good because its entry was missing
// and its health answers are false.
func TestEntryThatOutlastsOlderOnesIsBelievedDespiteItsHealth(t *testing.T) {
	tb, _ := listed(t, 5)
	assert.Assert(t, tb.Apply(&hostlist.List{Version: tb.Version() + 1}))
	relist(t, tb, 5)
	x := tb.Get("a:1")
	assert.Assert(t, x.CheckDue(staleEntryTime-1) && !x.BelieveEntry(staleEntryTime-1, true))
	assert.Assert(t, x.BelieveEntry(staleEntryTime, true) && x.Eligible(staleEntryTime))
}

// TestListWithoutStartsIsBelieved guards against a target that gets nothing for good because an operator had listed it as leaving: a
// host list may name no starts, and then only the list tells.
func TestListWithoutStartsIsBelieved(t *testing.T) {
	tb, _ := listed(t, 0)
	leaving := hostlist.Host{Address: "a:1", Instance: "x", State: hostlist.StateLeaving, Role: hostlist.RoleService}
	assert.Assert(t, tb.Apply(&hostlist.List{Version: tb.Version() + 1, Hosts: []hostlist.Host{leaving}}))
	assert.Assert(t, !tb.Get("a:1").Eligible(time.Second))
	relist(t, tb, 0)
	assert.Assert(t, tb.Get("a:1").Eligible(time.Second))
}

// TestPeersWordFromBeforeACheckIsNotBelieved guards against a target that is taken for leaving again, by hosts that have not
// heard of its new process, and against hosts that do not believe later word.
func TestPeersWordFromBeforeACheckIsNotBelieved(t *testing.T) {
	tb, x := listed(t, 5)
	word := &PublishedNotice{Process: Process{Address: "a:1", Instance: "x", Start: 4}, Leaving: true}
	_, changed := tb.ApplyPublished(time.Second, 200*time.Millisecond, word)
	assert.Assert(t, changed && x.KnownToLeave())
	assert.Assert(t, x.CheckDue(time.Second), "a peer heard it of another start")
	tb.ApplyCheck(1100*time.Millisecond, Check{Process: x.Process(), Began: time.Second, Result: CheckServes})
	assert.Assert(t, !x.KnownToLeave())
	tb.ApplyPublished(2*time.Second, 1200*time.Millisecond, word)
	assert.Assert(t, !x.KnownToLeave())
	tb.ApplyPublished(2*time.Second, 900*time.Millisecond, word)
	assert.Assert(t, x.KnownToLeave())
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
	tb.ApplyCheck(2*time.Second+time.Millisecond, Check{Process: x.Process(), Began: 2 * time.Second, Result: CheckServes})
	assert.Assert(t, x.Eligible(3*time.Second))
	tb.ApplyNotice(3*time.Second, Dispatch{}, &Notice{From: before, Leaving: true})
	assert.Assert(t, !x.Eligible(3*time.Second), "the list may be late again")
	assert.Assert(t, x.CheckDue(3*time.Second))
	tb.ApplyCheck(3*time.Second+time.Millisecond, Check{Process: x.Process(), Began: 3*time.Second + time.Microsecond, Result: CheckServes})
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
