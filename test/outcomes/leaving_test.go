package outcomes

import (
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// drainTime is how long a request that a caller sends may still reach a target after the host's process has passed on an
// answer in which the target says that it leaves.
const drainTime = 2 * time.Second

// Times of schedules whose targets leave: callers start until leavingStartWithin, after which there is time for every budget.
const (
	leavingCallerCount = 90
	leavingStartWithin = 8 * time.Second
	leavesWithin       = 4 * time.Second
)

// planLeaving lets targets say that they leave, and the host list show other starts of them, or none for a moment.
func (s *schedule) planLeaving() {
	for _, t := range s.targets {
		if s.chance(0.6) {
			s.world.At(s.upTo(leavesWithin), func() { t.leaving = true })
		}
	}
	for at := time.Second; at < leavingStartWithin; at += 500 * time.Millisecond {
		s.world.At(at+s.upTo(400*time.Millisecond), s.relist)
	}
}

// relist publishes the host list with other starts of some targets, without some, or as it is.
func (s *schedule) relist() {
	list := &hostlist.List{Version: s.list.Version + 1}
	for _, host := range s.list.Hosts {
		if host.Role != hostlist.RoleEntry {
			if s.chance(0.1) {
				s.world.After(300*time.Millisecond, s.relistWhole)
				continue
			}
			host.Start = int64(s.rng.IntN(3))
		}
		list.Hosts = append(list.Hosts, host)
	}
	s.publish(list)
}

// relistWhole publishes the host list with all targets.
func (s *schedule) relistWhole() {
	s.publish(&hostlist.List{Version: s.list.Version + 1, Hosts: s.list.Hosts})
}

// publish informs the hosts of a list. Later ones are made from the entries of the first.
func (s *schedule) publish(list *hostlist.List) {
	s.list.Version = list.Version
	for _, h := range s.hosts {
		h.Post(node.HostsReceived{List: list, Source: "platform"})
	}
}

// takeNotice returns what the target says in an answer that the host's process passes on now.
func (d *dispatch) takeNotice() *target.Notice {
	t := d.target
	if !t.s.kind.leaves {
		return nil
	}
	if _, told := t.toldLeaving[d.process]; t.leaving && !told {
		t.toldLeaving[d.process] = t.s.world.Now()
	}
	return &target.Notice{From: d.start.Process(), Leaving: t.leaving}
}

// checkLeaving checks that a request which arrives was not sent too late. One that continues a stream that runs at the target
// is no new work.
func (d *dispatch) checkLeaving() {
	s := d.target.s
	told, leaving := d.target.toldLeaving[d.process]
	admitted := s.world.Now() - (d.from.Clock() - (d.start.Deadline - d.start.Stream.Budget))
	if leaving && d.from.Self() == d.process && d.start.Adopt == "" && admitted > told+drainTime {
		s.oracle.faultf("%v was admitted at %v and sent to %s, which had said by %v that it leaves",
			d.start.Key, admitted, d.target.address, told)
	}
}

// forgetLeaving records that a process was suspended: it may not know what it had passed on.
func (s *schedule) forgetLeaving(process core.Home) {
	for _, t := range s.targets {
		delete(t.toldLeaving, process)
	}
}

// TestTargetsThatLeaveKeepEveryGuarantee guards against requests to targets that have said that they leave, and against
// outcomes that are not true meanwhile, alone and with each other kind of fault.
func TestTargetsThatLeaveKeepEveryGuarantee(t *testing.T) {
	const plays = 40
	var faults []string
	done := 0
	for _, k := range kinds {
		if k.long {
			continue // its requests outlast the time in which targets leave
		}
		k.leaves = true
		for number := range plays {
			s := newScheduleOf(k, seed, number, none)
			faults = append(faults, s.run()...)
			for _, f := range s.oracle.finals {
				if f.outcome == api.OutcomeDone {
					done++
				}
			}
		}
	}
	t.Logf("%d requests done", done)
	logFaults(t, faults)
	assert.Equal(t, len(faults), 0)
	assert.Assert(t, done > 0)
}
