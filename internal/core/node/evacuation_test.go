package node_test

import (
	"slices"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/evacuation"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// zonedList returns targets in the zones a (e1, e2, s1) and b (e3, s2).
func zonedList(version uint64) *hostlist.List {
	list := targetList(version, "e1", "e2", "e3", "s1", "s2")
	for i := range list.Hosts {
		if slices.Contains([]string{"e3", "s2"}, list.Hosts[i].Address) {
			list.Hosts[i].Zone = "b"
		}
	}
	return list
}

func newZonedHost(t *testing.T) *routedHost {
	t.Helper()
	e := newRoutedHost(t)
	e.list(zonedList(2))
	return e
}

// evacuate makes the platform say at a revision which zones are evacuated.
func (e *routedHost) evacuate(revision uint64, zones ...string) {
	e.step(node.EvacuationsRead{Published: evacuation.Published{Version: hostlist.VersionOf(0, revision), Zones: zones}})
}

// started returns the targets of the dispatches that the last step began.
func (e *routedHost) started() []string {
	var out []string
	for _, a := range e.actions {
		if d, ok := a.(node.StartDispatch); ok {
			out = append(append(out, d.Target), append(d.Group, d.Helpers...)...)
		}
	}
	return out
}

// TestEvacuatedZoneGetsNothingNew guards against requests to an evacuated zone on the first dispatch, and against a zone that
// gets none after the end of its evacuation.
func TestEvacuatedZoneGetsNothingNew(t *testing.T) {
	e := newZonedHost(t)
	e.evacuate(10, "a")
	assert.Equal(t, e.changes(node.EventZoneEvacuated), 1)
	for range 20 {
		for path, target := range map[string]string{"/ask/1": "e3", "/read/1": "s2"} {
			d := e.send(path)
			assert.Equal(t, d.Target, target)
			e.end(d, node.EndedDone)
		}
	}
	e.evacuate(20)
	assert.Equal(t, e.changes(node.EventEvacuationEnded), 1)
	seen := make(map[string]bool)
	for range 20 {
		d := e.send("/ask/1")
		seen[d.Target] = true
		e.end(d, node.EndedDone)
	}
	assert.Assert(t, seen["e1"] || seen["e2"])
}

// TestRedispatchAvoidsAnEvacuatedZone guards against the second dispatch of a request that goes to an evacuated zone, and of one
// whose first target is lost there.
func TestRedispatchAvoidsAnEvacuatedZone(t *testing.T) {
	e := newZonedHost(t)
	e.evacuate(10, "b")
	d := e.send("/read/1")
	assert.Equal(t, d.Target, "s1")
	e.end(d, node.EndedRefused)
	assert.Equal(t, len(e.started()), 0, "the only other target is in the evacuated zone")
	e.evacuate(20, "a")
	e.wait(time.Second)
	for _, address := range e.started() {
		assert.Equal(t, address, "s2")
	}
}

// TestWorkInAnEvacuatedZoneEndsInPeace guards against an evacuation that breaks off what runs in its zone.
func TestWorkInAnEvacuatedZoneEndsInPeace(t *testing.T) {
	e := newZonedHost(t)
	d := e.send("/read/1")
	e.evacuate(10, "a", "b")
	for _, a := range e.actions {
		_, aborted := a.(node.AbortDispatch)
		assert.Assert(t, !aborted)
	}
	e.end(d, node.EndedDone)
	assert.Equal(t, e.result().Outcome, api.OutcomeDone)
}

// TestAllZonesEvacuatedRefusesAtOnce guards against requests that wait for targets that get nothing until an evacuation ends.
func TestAllZonesEvacuatedRefusesAtOnce(t *testing.T) {
	e := newZonedHost(t)
	waiting := e.request("/ask/1")
	assert.Equal(t, e.submit(waiting).Kind, node.Admit)
	e.evacuate(10, "a", "b")
	refused := e.submit(e.request("/read/1"))
	assert.Equal(t, refused.Result.Code, api.CodeEvacuated)
	assert.Equal(t, refused.Result.Outcome, api.OutcomeNotRun)
	assert.Assert(t, refused.Result.RetryAfter > time.Second)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: waiting.ID}, Attempt: 1})
	assert.Equal(t, e.result().Code, api.CodeEvacuated)
	assert.Equal(t, e.result().Outcome, api.OutcomeNotRun)
}

// TestWaitingRequestIsRefusedWhenTheLastZoneIsEvacuated guards against a request that already waits for room when its last zone
// is evacuated.
func TestWaitingRequestIsRefusedWhenTheLastZoneIsEvacuated(t *testing.T) {
	e := newZonedHost(t)
	e.evacuate(10, "b")
	d := e.send("/read/1")
	e.end(d, node.EndedRefused) // it waits for s1 to take it again
	e.evacuate(20, "a", "b")
	assert.Equal(t, e.result().Code, api.CodeEvacuated)
}

// TestGroupsAndHelpersAvoidAnEvacuatedZone guards against a prompt for several engines that reserves or uses engines of an
// evacuated zone.
func TestGroupsAndHelpersAvoidAnEvacuatedZone(t *testing.T) {
	e := newZonedHost(t)
	e.evacuate(10, "b")
	req := e.request("/ask/1")
	req.PromptTokens = 400_000 // more than the memory of one engine
	assert.Equal(t, e.submit(req).Kind, node.Admit)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	reserved := 0
	for range 40 {
		for _, a := range e.actions {
			if r, ok := a.(node.Reserve); ok {
				reserved++
				assert.Assert(t, r.Target != "e3")
			}
		}
		for _, address := range e.started() {
			assert.Assert(t, address != "e3")
		}
		e.after(50 * time.Millisecond).step(node.Tick{})
	}
	assert.Assert(t, reserved > 0)
}

// TestAdoptedStreamOfAnEvacuatedZoneStartsElsewhere guards against the adoption of a stream that sends a request to an evacuated
// zone.
func TestAdoptedStreamOfAnEvacuatedZoneStartsElsewhere(t *testing.T) {
	for zone, want := range map[string]bool{"a": false, "b": true} {
		e := newZonedHost(t)
		e.evacuate(10, zone)
		req := e.request("/ask/1")
		stream := core.Stream{Home: core.Home{Address: "10.9.9.9:1", Incarnation: "x"}, Key: core.Key{Team: "press", ID: req.ID}, Dispatch: 1}
		req.Adopt = core.Adoption{Target: "e1", Stream: stream.Name()}
		assert.Equal(t, e.submit(req).Kind, node.Admit)
		e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
		assert.Equal(t, e.dispatched().Adopt != "", want, zone)
	}
}

// TestEvacuationIsLearnedFromAPeer guards against a host that the platform turns away, or that was cut off from it, and goes on
// sending to an evacuated zone.
func TestEvacuationIsLearnedFromAPeer(t *testing.T) {
	e := newZonedHost(t)
	hb := member.Heartbeat{
		Address: "10.0.0.2:1", Peer: "10.0.0.2:2", Zone: "b", Incarnation: "p", ClockMs: 5000, Ready: true,
		Evacuations: evacuation.Published{Version: hostlist.VersionOf(0, 10), Zones: []string{"a"}},
	}
	e.step(node.HeartbeatReceived{Heartbeat: hb})
	assert.Equal(t, e.changes(node.EventZoneEvacuated), 1)
	assert.Equal(t, e.send("/ask/1").Target, "e3")
	assert.DeepEqual(t, e.node.Snapshot().Heartbeat.Evacuations, hb.Evacuations)
	e.evacuate(5) // the platform's answer is older than what the peer knows
	assert.Equal(t, e.send("/ask/1").Target, "e3")
}

// result returns the result of the request that the last step has ended.
func (e *routedHost) result() core.Result {
	e.t.Helper()
	result, ended := e.finished()
	assert.Assert(e.t, ended, "%v", e.actions)
	return result
}

// coldHost returns a host whose engines take few requests a second while they are cold.
func coldHost(t *testing.T) *routedHost {
	t.Helper()
	e := newZonedHost(t)
	doc := routedDocument(2)
	doc.Services[1].ColdPerSecond, doc.Services[1].ColdMs = 14, 3000
	e.publishDocument(doc)
	e.wait(4 * time.Second)
	return e
}

// limits returns the targets that have a limit.
func (e *routedHost) limits() []string {
	var out []string
	for _, s := range e.node.Snapshot().Status.Targets {
		if s.Limit > 0 {
			out = append(out, s.Address)
		}
	}
	return out
}

// TestTargetsOfAZoneThatReturnsCountAsCold guards against a zone's engines that came back empty during an evacuation, before
// their entries say so, and get the load of warm ones.
func TestTargetsOfAZoneThatReturnsCountAsCold(t *testing.T) {
	e := coldHost(t)
	e.evacuate(10, "a")
	assert.Equal(t, len(e.limits()), 0)
	e.evacuate(20)
	assert.DeepEqual(t, e.limits(), []string{"e1", "e2"})
	e.wait(4 * time.Second)
	assert.Equal(t, len(e.limits()), 0)
}

// TestColdTargetIsLimitedByItsEntryOrItsHealth guards against targets that start under load and are sent more than they take.
func TestColdTargetIsLimitedByItsEntryOrItsHealth(t *testing.T) {
	e := coldHost(t)
	list := zonedList(5)
	list.Hosts[0].Cold = true
	e.list(list)
	assert.DeepEqual(t, e.limits(), []string{"e1"})
	list = zonedList(6)
	e.list(list)
	assert.Equal(t, len(e.limits()), 0)
	process := target.Process{Address: "e2", Instance: "ie2"}
	e.step(node.TargetChecked{Process: process, Result: target.CheckServes, ColdFor: 2 * time.Second})
	e.after(50 * time.Millisecond).step(node.Tick{})
	assert.DeepEqual(t, e.limits(), []string{"e2"})
	e.wait(3 * time.Second)
	assert.Equal(t, len(e.limits()), 0)
}

// TestColdTargetsWithoutALimitAreNotLimited guards against a change for services that name no limit for cold targets.
func TestColdTargetsWithoutALimitAreNotLimited(t *testing.T) {
	e := newZonedHost(t)
	list := zonedList(5)
	list.Hosts[0].Cold = true
	e.list(list)
	e.evacuate(10, "a")
	e.evacuate(20)
	assert.Equal(t, len(e.limits()), 0)
}
