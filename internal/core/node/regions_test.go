package node_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/group"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/routes"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// Zones of the tests: a is in region north, b and c are in south, x is in no region.

// setRegions publishes a document with regions of all routes and of the team; nil for none.
func (e *routedHost) setRegions(route, team []string) {
	doc := routedDocument(e.node.Snapshot().Document.Revision + 1)
	for i := range doc.Routes {
		doc.Routes[i].Regions = route
	}
	doc.Teams[0].Regions = team
	e.publishDocument(doc)
}

// placeIn publishes a list of targets by zone.
func (e *routedHost) placeIn(version uint64, zones map[string][]string) {
	list := &hostlist.List{Version: version}
	for _, zone := range []string{"a", "b", "c", "x"} {
		hosts := targetList(version, zones[zone]...).Hosts
		for i := range hosts {
			hosts[i].Zone = zone
		}
		list.Hosts = append(list.Hosts, hosts...)
	}
	e.step(node.HostsReceived{List: list, Source: conf.SourcePlatform})
}

// TestRequestRunsOnlyInAllowedRegions sends requests of plain services under the regions of a route, of a team and of both.
func TestRequestRunsOnlyInAllowedRegions(t *testing.T) {
	north, south, both := []string{"north"}, []string{"south"}, []string{"south", "north"}
	for _, c := range []struct {
		name        string
		route, team []string
		want        []string // the targets that get requests; none if they are refused
	}{
		{"no regions", nil, nil, []string{"s1", "s2", "s3", "s4"}},
		{"route, own region", north, nil, []string{"s1"}},
		{"route, another region", south, nil, []string{"s2", "s3"}},
		{"team, another region", nil, south, []string{"s2", "s3"}},
		{"both regions", both, nil, []string{"s1", "s2", "s3"}},
		{"route and team", both, north, []string{"s1"}},
		{"nothing in common", south, north, nil},
		{"a region without a zone", []string{"east"}, nil, nil},
		{"a region without a zone, and one with", []string{"east", "north"}, nil, []string{"s1"}},
		{"no region at all", []string{}, nil, nil},
		{"team, no region at all", both, []string{}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newRoutedHost(t)
			e.placeIn(2, map[string][]string{"a": {"s1"}, "b": {"s2"}, "c": {"s3"}, "x": {"s4"}})
			e.setRegions(c.route, c.team)
			if c.want == nil {
				e.assertRefusedOutsideRegions("/read/1")
				return
			}
			used := make(map[string]bool)
			for range 40 {
				d := e.send("/read/1")
				used[d.Target] = true
				e.end(d, node.EndedDone)
			}
			for _, address := range []string{"s1", "s2", "s3", "s4"} {
				assert.Equal(t, used[address], slices.Contains(c.want, address), address)
			}
		})
	}
}

// assertRefusedOutsideRegions checks that a request is refused at once as not run, and that the refusal does not ask the
// caller to come back.
func (e *routedHost) assertRefusedOutsideRegions(path string) {
	e.t.Helper()
	d := e.submit(e.request(path))
	assert.Equal(e.t, d.Kind, node.Refuse)
	assert.Equal(e.t, d.Result.Code, api.CodeNoAllowedTarget)
	assert.Equal(e.t, d.Result.Outcome, api.OutcomeNotRun)
	assert.Equal(e.t, d.Result.RetryAfter, time.Duration(0))
	logged := slices.ContainsFunc(e.actions, func(a node.Action) bool {
		refused, ok := a.(node.Refused)
		return ok && refused.Result.Code == api.CodeNoAllowedTarget
	})
	assert.Assert(e.t, logged)
}

// TestUnknownRegionIsReported guards against a misspelled region that shows only as refusals of callers.
func TestUnknownRegionIsReported(t *testing.T) {
	e := newRoutedHost(t)
	assert.Assert(t, !slices.Contains(e.node.Snapshot().Status.Warnings, api.WarningUnknownRegion))
	e.setRegions([]string{"north", "sout"}, nil)
	reported := slices.ContainsFunc(e.actions, func(a node.Action) bool {
		change, ok := a.(node.StateChange)
		return ok && change.Event == node.EventUnknownRegions && change.Text == "sout"
	})
	assert.Assert(t, reported, "%v", e.actions)
	assert.Assert(t, slices.Contains(e.node.Snapshot().Status.Warnings, api.WarningUnknownRegion))
	e.setRegions([]string{"north"}, nil)
	assert.Assert(t, !slices.Contains(e.node.Snapshot().Status.Warnings, api.WarningUnknownRegion))
}

// TestHelpersAreInAllowedRegions: the prefill of a long prompt is shared only among engines of the allowed region.
func TestHelpersAreInAllowedRegions(t *testing.T) {
	for _, c := range []struct {
		regions []string
		spread  bool
	}{{nil, true}, {[]string{"south"}, false}} {
		e := newRoutedHost(t)
		e.placeIn(2, map[string][]string{"a": {"e1", "e2", "e3"}, "b": {"e4", "e5"}, "c": {"e6"}})
		e.setRegions(c.regions, nil)
		req := e.request("/ask/1")
		req.PromptTokens = 200_000
		assert.Equal(t, e.submit(req).Kind, node.Admit)
		e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
		d := e.dispatched()
		assert.Assert(t, len(d.Helpers) > 0)
		outside := slices.ContainsFunc(append(d.Helpers, d.Target), func(address string) bool { return address <= "e3" })
		assert.Equal(t, outside, c.spread, "%s with %v", d.Target, d.Helpers)
	}
}

// TestGroupIsInAllowedRegions: a prompt for several engines gets them from the allowed region, and is refused if it does not
// fit there, although it would fit elsewhere.
func TestGroupIsInAllowedRegions(t *testing.T) {
	e := newRoutedHost(t)
	e.placeIn(2, map[string][]string{"a": {"e1", "e2", "e3", "e4"}, "b": {"e5"}, "c": {"e6"}})
	e.setRegions([]string{"south"}, nil)
	start := e.startGroup(300_000)
	members := slices.Sorted(slices.Values(start.Group))
	assert.DeepEqual(t, members, []string{"e5", "e6"})
	assert.Equal(t, len(start.Helpers), 0)
	req := e.request("/ask/1")
	req.PromptTokens = 600_000
	assert.Equal(t, e.submit(req).Result.Code, api.CodeTooLarge)
}

// TestGroupWhoseMemberMovesOutOfTheRegionIsGivenUp guards against a prompt that reaches an engine which the list moved to
// another zone after the group was chosen.
func TestGroupWhoseMemberMovesOutOfTheRegionIsGivenUp(t *testing.T) {
	e := newRoutedHost(t)
	e.placeIn(2, map[string][]string{"a": {"e1"}, "b": {"e5", "e6"}})
	e.setRegions([]string{"south"}, nil)
	req := e.request("/ask/1")
	req.PromptTokens = 300_000
	assert.Equal(t, e.submit(req).Kind, node.Admit)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	pending := slices.Clone(e.actions)
	e.placeIn(3, map[string][]string{"a": {"e1", "e5"}, "b": {"e6"}})
	asked := 0
	for range 100 {
		if len(pending) == 0 {
			pending = e.after(node.TickInterval).step(node.Tick{})
			continue
		}
		next := pending[0]
		pending = pending[1:]
		switch a := next.(type) {
		case node.Reserve:
			asked++
			pending = append(pending, e.step(node.ReservationAnswered{
				Key: a.Key, Target: a.Target, Reservation: a.Reservation, SentAt: a.SentAt, Answer: group.Held,
			})...)
		case node.StartDispatch:
			t.Fatalf("dispatched to %v", a.Group)
		}
	}
	assert.Equal(t, asked, 2, "both members have granted their reservations")
}

// TestRedispatchStaysInAllowedRegions: a request whose only allowed target fails does not go to one elsewhere. If that target
// goes, the request ends at once.
func TestRedispatchStaysInAllowedRegions(t *testing.T) {
	for _, ending := range []node.Ending{node.EndedRefused, node.EndedNotWritten, node.EndedFailed, node.EndedLost} {
		t.Run(ending.String(), func(t *testing.T) {
			e := newRoutedHost(t)
			e.placeIn(2, map[string][]string{"a": {"s1", "s3"}, "b": {"s2"}})
			e.setRegions([]string{"south"}, nil)
			d := e.send("/read/1")
			assert.Equal(t, d.Target, "s2")
			e.end(d, ending)
			_, ended := e.finished()
			assert.Assert(t, !ended, "it waits for the target")
			for _, a := range e.actions {
				_, again := a.(node.StartDispatch)
				assert.Assert(t, !again, "%+v", a)
			}
			e.placeIn(3, map[string][]string{"a": {"s1", "s3"}})
			result := e.mustFinish()
			assert.Equal(t, result.Code, api.CodeNoAllowedTarget)
			ran := ending == node.EndedFailed || ending == node.EndedLost
			assert.Equal(t, result.Outcome == api.OutcomeNotRun, !ran)
		})
	}
}

// TestRequestWhoseRegionLosesItsTargetsBeforeItsBodyArrives: it ends with its body, and does not wait for its limit.
func TestRequestWhoseRegionLosesItsTargetsBeforeItsBodyArrives(t *testing.T) {
	e := newRoutedHost(t)
	e.placeIn(2, map[string][]string{"a": {"s1"}, "b": {"s2"}})
	e.setRegions([]string{"south"}, nil)
	req := e.request("/send/1")
	assert.Equal(t, e.submit(req).Kind, node.Admit)
	e.placeIn(3, map[string][]string{"a": {"s1"}})
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	result := e.mustFinish()
	assert.Equal(t, result.Code, api.CodeNoAllowedTarget)
	assert.Equal(t, result.Outcome, api.OutcomeNotRun)
}

// TestLeavingTargetsOfTheRegionAreWaitedFor: while the only targets of a region are replaced, callers are not told that
// repeating is of no use.
func TestLeavingTargetsOfTheRegionAreWaitedFor(t *testing.T) {
	e := newRoutedHost(t)
	list := targetList(2, "s1", "s2")
	list.Hosts[1].Zone, list.Hosts[1].State = "b", hostlist.StateLeaving
	e.step(node.HostsReceived{List: list, Source: conf.SourcePlatform})
	e.setRegions([]string{"south"}, nil)
	req := e.request("/read/1")
	assert.Equal(t, e.submit(req).Kind, node.Admit)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	for range 10 {
		if result, ended := e.finished(); ended {
			assert.Equal(t, result.Code, api.CodeNoRoom)
			assert.Assert(t, result.RetryAfter > 0)
			return
		}
		e.after(node.TickInterval).step(node.Tick{})
	}
	t.Fatal("the request still waits")
}

// TestNativeRequestsKeepToTheRegionsOfTheirTeam: those have no route. A stream that another host left is adopted only at an
// engine in an allowed region.
func TestNativeRequestsKeepToTheRegionsOfTheirTeam(t *testing.T) {
	for _, c := range []struct {
		regions []string
		target  string
		adopted bool
	}{{nil, "10.0.3.1:1", true}, {[]string{"north"}, "10.0.3.1:1", true}, {[]string{"south"}, "10.0.3.2:1", false}} {
		t.Run(fmt.Sprint(c.regions), func(t *testing.T) {
			n := node.New(node.Options{
				Self: loneSelf, Peer: "10.0.0.1:2", Zone: "a", Records: loneRecords, BodyBytes: 1 << 20, Seed: 1,
				Regions: routes.Regions{"a": "north", "b": "south"},
			})
			l := &lone{t: t, node: n, now: loneStart}
			raw, err := json.Marshal(document.Document{
				Revision: 1, Active: "p",
				Presets: map[string]document.Preset{"p": {
					Budgets:            document.Budgets{ShortMs: 10_000, MiddleMs: 10_000, LongMs: 10_000},
					FirstTokenTargetMs: 750, ShortPromptTokens: 4_000, MiddlePromptTokens: 100_000, RetryPercent: 100,
				}},
				Teams: []document.Team{{Name: "desk", Weight: 1, TokensPerSecond: 1_000_000, Regions: c.regions}},
			})
			assert.NilError(t, err)
			l.step(node.DocumentReceived{Raw: raw, Source: "platform"})
			list := &hostlist.List{Version: 1, Hosts: []hostlist.Host{
				{Address: loneSelf.Address, Peer: "10.0.0.1:2", Zone: "a", Role: hostlist.RoleEntry, State: hostlist.StateLive},
			}}
			for i, zone := range []string{"a", "b"} {
				list.Hosts = append(list.Hosts, hostlist.Host{
					Address: fmt.Sprintf("10.0.3.%d:1", i+1), Zone: zone, Role: hostlist.RoleEngine, State: hostlist.StateLive,
					Models: []string{"chat"}, MemoryTokens: 450_000,
				})
			}
			l.step(node.HostsReceived{List: list, Source: "platform"})
			l.run(time.Second)
			key := core.Key{Team: "desk", ID: "r"}
			left := core.Stream{Home: core.Home{Address: "10.0.0.9:1", Incarnation: "i1"}, Budget: time.Minute, Key: key, Dispatch: 1}
			req := core.Request{
				Key: key, Attempt: 2, Model: "chat", PromptTokens: 1000, AnswerTokens: 50, Idempotent: true, Budget: 5 * time.Second,
				Home: loneSelf, Deadline: l.now + 5*time.Second, Adopt: core.Adoption{Target: "10.0.3.1:1", Stream: left.Name()},
			}
			assert.Equal(t, l.submit(req).Kind, node.Admit)
			l.step(node.BodyEnded{Key: key, Attempt: 2})
			e := &routedHost{lone: l}
			d := e.dispatched()
			assert.Equal(t, d.Target, c.target)
			assert.Equal(t, d.Adopt != "", c.adopted)
		})
	}
}

// TestLookupNamesHostsOfAllowedRegionsAndOfTheCallersOwn checks whom an answer to a lookup may name.
func TestLookupNamesHostsOfAllowedRegionsAndOfTheCallersOwn(t *testing.T) {
	e := newRoutedHost(t) // this host is in zone a, region north
	for i, zone := range []string{"a", "b", "c", "x"} {
		hb := node.HeartbeatReceived{}
		hb.Heartbeat.Peer, hb.Heartbeat.Address = fmt.Sprintf("10.0.1.%d:2", i), "host-"+zone
		hb.Heartbeat.Zone, hb.Heartbeat.Incarnation, hb.Heartbeat.ClockMs = zone, "j", 1
		hb.Heartbeat.IntervalMs, hb.Heartbeat.Ready = 450, true
		e.step(hb)
	}
	self := loneSelf.Address
	everybody := []string{self, "host-a", "host-b", "host-c", "host-x"}
	for _, c := range []struct {
		name    string
		routes  [][]string // regions of the routes of a.example
		region  string
		zone    string
		want    []string
		another string // authority, if another one
	}{
		{name: "no regions", region: "south", want: everybody},
		{name: "regions of another authority", routes: [][]string{{"south"}}, region: "south", another: "b.example", want: everybody},
		{name: "caller in the allowed region", routes: [][]string{{"south"}}, region: "south", want: []string{"host-b", "host-c"}},
		{name: "caller elsewhere", routes: [][]string{{"south"}}, region: "north", want: []string{self, "host-a", "host-b", "host-c"}},
		{name: "caller of unknown place", routes: [][]string{{"south"}}, want: []string{"host-b", "host-c"}},
		{name: "caller that names its zone only", routes: [][]string{{"south"}}, zone: "a", want: []string{self, "host-a", "host-b", "host-c"}},
		{name: "an open route beside", routes: [][]string{{"south"}, nil}, region: "south", want: []string{"host-b", "host-c"}},
		{name: "routes in common", routes: [][]string{{"south", "north"}, {"north"}}, region: "north", want: []string{self, "host-a"}},
		{name: "routes with nothing in common", routes: [][]string{{"south"}, {"north"}}, region: "south", want: []string{"host-b", "host-c"}},
		{name: "a region without hosts", routes: [][]string{{"east"}}, region: "north", want: []string{self, "host-a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			doc := routedDocument(e.node.Snapshot().Document.Revision + 1)
			for i, regions := range c.routes {
				doc.Routes[i].Regions = regions
			}
			e.publishDocument(doc)
			caller := routes.Caller{Authority: "A.Example", Region: c.region, Zone: c.zone}
			if c.another != "" {
				caller.Authority = c.another
			}
			var got []string
			for _, h := range e.node.Snapshot().HostsAllowed(caller) {
				got = append(got, h.Address)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// BenchmarkLookupWithRegions measures an answer to a lookup of an authority whose routes have regions, with 2,000 hosts.
func BenchmarkLookupWithRegions(b *testing.B) {
	n := node.New(node.Options{
		Self: loneSelf, Peer: "10.0.0.1:2", Zone: "a", Records: 100, BodyBytes: 1 << 20, Policy: node.PolicyPacked,
		Regions: routes.Regions{"a": "north", "b": "south", "c": "south"},
	})
	doc := routedDocument(1)
	doc.Routes[0].Regions = []string{"south"}
	raw, err := json.Marshal(doc)
	assert.NilError(b, err)
	n.Step(0, node.DocumentReceived{Raw: raw, Source: conf.SourcePlatform})
	n.Step(0, node.PlatformAnswered{})
	n.Step(0, node.HostsReceived{List: targetList(1, "s1"), Source: conf.SourcePlatform})
	for i := range 2000 {
		hb := node.HeartbeatReceived{}
		hb.Heartbeat.Peer, hb.Heartbeat.Address = fmt.Sprintf("10.0.%d.%d:2", i/200+1, i%200), fmt.Sprintf("10.0.%d.%d:1", i/200+1, i%200)
		hb.Heartbeat.Zone, hb.Heartbeat.Incarnation = string(rune('a'+i%3)), "j"
		hb.Heartbeat.ClockMs, hb.Heartbeat.IntervalMs, hb.Heartbeat.Ready = 1, 450, true
		n.Step(0, hb)
	}
	snap := n.Snapshot()
	named := 0
	for b.Loop() {
		named = len(snap.HostsAllowed(routes.Caller{Authority: "a.example", Region: "north", Zone: "a"}))
	}
	b.ReportMetric(float64(len(snap.Hosts)), "hosts")
	b.ReportMetric(float64(named), "named")
}

// TestHeldTargetOfTheRegionRefusesAtOnce guards against a request that waits in vain since a target elsewhere is free: the only
// one where it may run wants no requests for a while.
func TestHeldTargetOfTheRegionRefusesAtOnce(t *testing.T) {
	e := newRoutedHost(t)
	e.placeIn(2, map[string][]string{"a": {"s1"}, "b": {"s2"}})
	e.setRegions([]string{"south"}, nil)
	d := e.send("/read/1")
	e.step(node.DispatchEnded{
		Key: d.Key, Dispatch: d.Dispatch, Target: d.Target, Ending: node.EndedRefused,
		Notice: &target.Notice{From: d.Process(), RetryAfter: 10 * time.Second},
	})
	req := e.request("/read/1")
	assert.Equal(t, e.submit(req).Kind, node.Admit)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	result := e.mustFinish()
	assert.Equal(t, result.Code, api.CodeTargetLimit)
	assert.Assert(t, result.RetryAfter >= 9*time.Second)
}
