package target

import (
	"fmt"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// TestWordOfTargetsThatAreLongGoneLeavesRoomForOthers guards against a host that starts and uses a target that leaves, because
// its peers tell it of as many that are gone.
func TestWordOfTargetsThatAreLongGoneLeavesRoomForOthers(t *testing.T) {
	tb := NewTable()
	list := func(name string) {
		hosts := make([]hostlist.Host, maxPublished)
		for i := range hosts {
			hosts[i] = hostlist.Host{Address: fmt.Sprint("t:", i+1), Instance: name, State: hostlist.StateLive, Role: hostlist.RoleService}
		}
		assert.Assert(t, tb.Apply(&hostlist.List{Version: tb.Version() + 1, Hosts: hosts}))
	}
	say := func(at core.Time) {
		for _, x := range tb.All() {
			tb.ApplyNotice(at, Dispatch{}, &Notice{From: x.Process(), Leaving: true})
		}
	}
	list("one")
	say(2 * time.Second)
	list("two")
	say(time.Second)
	tb.ExpireStandings(3 * time.Second)
	tb.ExpireStandings(3*time.Second + unlistedNoticeTTL)
	told := tb.Notices(3*time.Second + unlistedNoticeTTL)
	assert.Equal(t, len(told), maxPublished)
	for _, p := range told {
		assert.Equal(t, p.Instance, "two")
	}
}
