package evacuation

import (
	"testing"
	"time"

	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

func at(restores, revision uint64, zones ...string) Published {
	return Published{Version: hostlist.VersionOf(restores, revision), Zones: zones}
}

// TestSetsThatArriveInAnyOrderEndAlike guards against an evacuation that an older set, heard late, ends or brings back.
func TestSetsThatArriveInAnyOrderEndAlike(t *testing.T) {
	sets := []Published{at(0, 10), at(0, 20, "a"), at(0, 30, "a", "b"), at(0, 40, "b")}
	for _, order := range [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {1, 3, 0, 2}, {2, 0, 3, 1}} {
		s := &Set{}
		for _, i := range order {
			s.Offer(time.Second, sets[i])
			s.Update(time.Second)
		}
		assert.DeepEqual(t, s.Zones(), []string{"b"})
		assert.Assert(t, !s.Evacuated("a") && s.Evacuated("b"))
	}
}

// TestChangesAreReportedOnce guards against a log line for each heartbeat during an evacuation.
func TestChangesAreReportedOnce(t *testing.T) {
	s := &Set{}
	assert.Assert(t, s.Offer(0, at(0, 5, "b", "a", "b")))
	assert.DeepEqual(t, s.Update(0), Change{Evacuated: []string{"a", "b"}})
	assert.Assert(t, !s.Offer(0, at(0, 5, "a")), "the same revision says nothing new")
	assert.Assert(t, s.Offer(0, at(0, 9, "a", "b")))
	change := s.Update(time.Second)
	assert.Assert(t, change.Empty())
	s.Offer(0, at(0, 12, "b"))
	assert.DeepEqual(t, s.Update(time.Second), Change{Ended: []string{"a"}})
}

// TestZoneStaysEvacuatedUntilARestoredStoreHasItAgain guards against requests to an evacuated zone while the store, back from
// a copy that is older than the evacuation, does not have its key yet.
func TestZoneStaysEvacuatedUntilARestoredStoreHasItAgain(t *testing.T) {
	for name, rewritten := range map[string]bool{"rewritten": true, "ended-meanwhile": false} {
		t.Run(name, func(t *testing.T) {
			s := &Set{}
			s.Offer(0, at(0, 50, "a"))
			s.Update(0)
			s.Offer(time.Second, at(1, 30))
			change := s.Update(time.Second)
			assert.Assert(t, change.Empty() && s.Evacuated("a"))
			if rewritten {
				s.Offer(2*time.Second, at(1, 40, "a"))
			}
			s.Update(time.Second + rewriteTime)
			assert.Equal(t, s.Evacuated("a"), rewritten)
		})
	}
}

// TestSetOfAbsurdSizeIsIgnored guards against a malformed message that fills the memory.
func TestSetOfAbsurdSizeIsIgnored(t *testing.T) {
	s := &Set{}
	assert.Assert(t, !s.Offer(0, Published{Version: 9, Zones: make([]string, MaxZones+1)}))
	assert.Equal(t, s.Published().Version, uint64(0))
}
