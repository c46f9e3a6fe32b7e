package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/group"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// replacements are the processes that may have the address of an engine after it has ended.
var replacements = map[string]func(*hostlist.Host){
	"other service": func(h *hostlist.Host) {
		h.Instance, h.Start, h.Role, h.Models = "new", 7, hostlist.RoleService, []string{"desk"}
	},
	"other engine": func(h *hostlist.Host) { h.Instance, h.Start = "new", 7 },
	"other start":  func(h *hostlist.Host) { h.Start = 7 },
	"other model":  func(h *hostlist.Host) { h.Models = []string{"other"} },
}

// replace applies a host list in which the host at an address is changed, and returns the actions.
func (e *routedHost) replace(list *hostlist.List, address string, change func(*hostlist.Host)) []node.Action {
	e.t.Helper()
	i := slices.IndexFunc(list.Hosts, func(h hostlist.Host) bool { return h.Address == address })
	assert.Assert(e.t, i >= 0)
	change(&list.Hosts[i])
	return e.step(node.HostsReceived{List: list, Source: conf.SourcePlatform})
}

// firstReserve returns the first reservation order among some actions.
func firstReserve(t *testing.T, actions []node.Action) node.Reserve {
	t.Helper()
	for _, a := range actions {
		if r, ok := a.(node.Reserve); ok {
			return r
		}
	}
	t.Fatalf("no reservation in %v", actions)
	return node.Reserve{}
}

// TestGroupWhoseMemberIsReplacedIsClaimedAnew guards against a prompt for several engines that is sent to a process that was
// never asked for memory, or that serves another model, since it has the address of one that was.
func TestGroupWhoseMemberIsReplacedIsClaimedAnew(t *testing.T) {
	for name, change := range replacements {
		t.Run(name, func(t *testing.T) {
			e := newRoutedHost(t)
			engines := []string{"s1", "e1", "e2", "e3", "e4", "e5", "e6"}
			e.step(node.HostsReceived{List: targetList(2, engines...), Source: conf.SourcePlatform})
			req := e.request("/ask/1")
			req.PromptTokens = 300_000
			assert.Equal(t, e.submit(req).Kind, node.Admit)
			e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
			pending := slices.Clone(e.actions)
			first := firstReserve(t, pending)
			assert.Equal(t, first.Instance, "i"+first.Target, "another process must refuse the order")
			pending = append(pending, e.replace(targetList(3, engines...), first.Target, change)...)
			start := e.grant(pending)
			assert.Assert(t, start.Reservation != first.Reservation, "the memory was promised by the process of before")
			if name == "other service" || name == "other model" {
				assert.Assert(t, !slices.Contains(start.Group, first.Target), "%v", start.Group)
			}
		})
	}
}

// TestReleasesNameTheProcessThatHoldsTheMemory guards against the release of a reservation at another process at the address, also
// where the grant arrives after the claim has ended.
func TestReleasesNameTheProcessThatHoldsTheMemory(t *testing.T) {
	e := newRoutedHost(t)
	d := e.startGroup(300_000)
	e.end(d, node.EndedDone)
	released := 0
	for _, a := range e.actions {
		if r, ok := a.(node.Release); ok {
			released++
			assert.Equal(t, r.Instance, "i"+r.Target)
		}
	}
	assert.Equal(t, released, len(d.Group))
	e.step(node.ReservationAnswered{
		Key: d.Key, Target: d.Target, Instance: "old", Reservation: d.Reservation, SentAt: e.now, Answer: group.Held,
	})
	assert.DeepEqual(t, e.actions, []node.Action{
		node.Release{Key: d.Key, Target: d.Target, Instance: "old", Reservation: d.Reservation},
	})
}

// startWithHelpers submits a prompt that several engines prefill together, and returns its dispatch.
func (e *routedHost) startWithHelpers() node.StartDispatch {
	e.t.Helper()
	req := e.request("/ask/1")
	req.PromptTokens, req.AnswerTokens = 190_000, 100
	assert.Equal(e.t, e.submit(req).Kind, node.Admit)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	d := e.dispatched()
	assert.Assert(e.t, len(d.Helpers) > 0)
	return d
}

// TestFaultOfAHelperIsNotThatOfItsSuccessor guards against a sound process that gets no requests for a while since an engine named
// its address as the cause of a refusal, which was that of a helper that has ended.
func TestFaultOfAHelperIsNotThatOfItsSuccessor(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprint("replaced ", replaced), func(t *testing.T) {
			e := newRoutedHost(t)
			d := e.startWithHelpers()
			helper := d.Helpers[0]
			if replaced {
				e.replace(targetList(2, "e1", "e2", "e3", "s1", "s2"), helper, replacements["other service"])
			}
			e.step(node.DispatchEnded{Key: d.Key, Dispatch: d.Dispatch, Target: d.Target, Ending: node.EndedRefused, Blame: helper})
			assert.Equal(t, slices.Contains(e.eligible(), helper), replaced)
		})
	}
}

// TestFaultOfAMemberIsNotThatOfItsSuccessor guards against the same for the members of a group.
func TestFaultOfAMemberIsNotThatOfItsSuccessor(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprint("replaced ", replaced), func(t *testing.T) {
			e := newRoutedHost(t)
			d := e.startGroup(300_000)
			member := d.Group[len(d.Group)-1]
			if replaced {
				e.replace(targetList(2, "e1", "e2", "e3", "s1", "s2"), member, replacements["other engine"])
			}
			e.step(node.DispatchEnded{Key: d.Key, Dispatch: d.Dispatch, Target: d.Target, Ending: node.EndedRefused, Blame: member})
			assert.Equal(t, slices.Contains(e.eligible(), member), replaced)
		})
	}
}

// TestRequestMayGoToTheSuccessorOfATargetThatRefusedIt guards against a request that waits until its deadline, since the only target
// left has the address of one that refused the request and has ended.
func TestRequestMayGoToTheSuccessorOfATargetThatRefusedIt(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprint("replaced ", replaced), func(t *testing.T) {
			e := newRoutedHost(t)
			e.list(targetList(2, "s1"))
			d := e.send("/read/1")
			e.end(d, node.EndedRefused)
			if replaced {
				e.replace(targetList(3, "s1"), "s1", replacements["other engine"])
			}
			began := e.started()
			for range 20 {
				e.after(50 * time.Millisecond).step(node.Tick{})
				began = append(began, e.started()...)
			}
			assert.Equal(t, slices.Contains(began, "s1"), replaced)
		})
	}
}

// TestFirstTokenShowsNothingOfASuccessorsCache guards against prompts that are sent to an engine for a prefix that the process at
// its address before has prefilled.
func TestFirstTokenShowsNothingOfASuccessorsCache(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprint("replaced ", replaced), func(t *testing.T) {
			l := newLone(t)
			entry := hostlist.Host{
				Address: loneSelf.Address, Peer: "10.0.0.1:2", Zone: "a", Role: hostlist.RoleEntry, State: hostlist.StateLive,
			}
			host := hostlist.Host{
				Address: loneTarget, Zone: "a", Role: hostlist.RoleEngine, State: hostlist.StateLive, Models: []string{"orders"},
			}
			list := func(version uint64) {
				list := &hostlist.List{Version: version, Hosts: []hostlist.Host{entry, host}}
				l.step(node.HostsReceived{List: list, Source: conf.SourcePlatform})
			}
			list(2)
			l.step(node.LoadReceived{Target: loneTarget, Report: target.Report{}})
			send := func(id string) node.StartDispatch {
				req := idempotent(1)
				req.ID, req.Prefix, req.PromptTokens, req.PrefixTokens = id, "p", 1000, 900
				return l.dispatched(req)
			}
			first := send("first")
			if replaced {
				host.Start = 7
				list(3)
				l.step(node.LoadReceived{Target: loneTarget, Report: target.Report{}})
			}
			l.step(node.DispatchFirstToken{Key: first.Key, Dispatch: first.Dispatch})
			send("second")
			for _, s := range l.node.Snapshot().Status.Targets {
				if s.Address == loneTarget {
					assert.Equal(t, s.PendingTokens < 1000, !replaced, "%d", s.PendingTokens)
				}
			}
		})
	}
}
