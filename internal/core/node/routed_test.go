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
	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/routes"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// routedHost is a Node that serves routed requests: callers name a host name and a path.
type routedHost struct {
	*lone
	ids int
}

const routedKey = "0b5b3c2a"

func routedDocument(revision uint64) *document.Document {
	route := func(name string, kind document.Kind, service string) document.Route {
		return document.Route{
			Name: name, Authority: "a.example", Prefix: "/" + name + "/", Kind: kind, Resumable: kind == document.KindStream,
			Services: []document.WeightedService{{Name: service, Weight: 1}}, MaxExecutions: 2, TimeoutMs: 5_000, FirstTokenTargetMs: 300,
			GapTargetMs: 250,
		}
	}
	open := route("open", document.KindIdempotent, "desk")
	open.Public = true
	return &document.Document{
		Revision: revision, Active: "p",
		Presets: map[string]document.Preset{"p": {
			Budgets:            document.Budgets{ShortMs: 10_000, MiddleMs: 60_000, LongMs: 900_000},
			FirstTokenTargetMs: 300, ShortPromptTokens: 20_000, MiddlePromptTokens: 80_000, RetryPercent: 20,
		}},
		Teams: []document.Team{{Name: "press", Weight: 1, TokensPerSecond: 1, KeysSHA256: []string{routedKey}, Unmetered: true}},
		Routes: []document.Route{
			route("send", document.KindOnce, "desk"), route("read", document.KindIdempotent, "desk"),
			route("ask", document.KindStream, "llm"), open,
		},
		Services: []document.Service{
			{Name: "desk", MaxConnections: 10},
			{Name: "llm", MaxConnections: 10, Engine: &document.Engine{
				Slots: 16, MemoryTokens: 232_000, StepsPerIteration: 43, ChunkTokens: 2048, StepMs: 1, PrefillTokensPerMs: 206, AttentionPairsMs: 0.1,
			}},
		},
	}
}

func targetList(version uint64, addresses ...string) *hostlist.List {
	list := &hostlist.List{Version: version}
	for _, a := range addresses {
		host := hostlist.Host{
			Address: a, Zone: "a", Role: hostlist.RoleService, State: hostlist.StateLive, Models: []string{"desk"}, Instance: "i" + a, Slots: 6,
		}
		if a[0] == 'e' {
			host.Role, host.Models, host.Slots = hostlist.RoleEngine, []string{"llm"}, 16
		}
		list.Hosts = append(list.Hosts, host)
	}
	return list
}

func startRoutedHost(t *testing.T) *routedHost { return startRoutedHostOf(t, core.Capacity{}) }

// startRoutedHostOf returns a routedHost that can carry the capacity.
func startRoutedHostOf(t *testing.T, capacity core.Capacity) *routedHost {
	t.Helper()
	n := node.New(node.Options{
		Capacity: capacity, LookupsByCapacity: true,
		Self: loneSelf, Peer: "10.0.0.1:2", Zone: "a", Records: 100, BodyBytes: 1 << 20, Seed: 1, Policy: node.PolicyPacked,
		Regions:      routes.Regions{"a": "north", "b": "south", "c": "south"},
		LoadsAddress: "10.0.0.1:3", LookupTTL: 3 * time.Second, EnginesExpire: true, PlatformCurrent: true,
		ReservationTiming: group.Timing{Expiry: 4 * time.Second, MaxWait: time.Second, RenewInterval: time.Second, RefuseWhenFull: true},
	})
	return &routedHost{lone: &lone{t: t, node: n, now: time.Second}}
}

// newRoutedHost returns a ready routedHost that already places long prompts.
func newRoutedHost(t *testing.T) *routedHost {
	t.Helper()
	e := readyRoutedHost(t)
	e.after(200 * time.Millisecond).step(node.Tick{})
	return e
}

// readyRoutedHost returns a routedHost that has just become ready.
func readyRoutedHost(t *testing.T) *routedHost {
	t.Helper()
	e := startRoutedHost(t)
	e.makeReady()
	return e
}

func (e *routedHost) makeReady() {
	e.t.Helper()
	e.publish(1)
	e.step(node.PlatformAnswered{})
	e.step(node.HostsReceived{List: targetList(1, "e1", "e2", "e3", "s1", "s2"), Source: conf.SourcePlatform})
	assert.Assert(e.t, e.node.Snapshot().Ready, "the platform has answered and there are no peers to wait for")
}

func (e *routedHost) publish(revision uint64) { e.publishDocument(routedDocument(revision)) }

func (e *routedHost) publishDocument(doc *document.Document) {
	raw, err := json.Marshal(doc)
	assert.NilError(e.t, err)
	e.step(node.DocumentReceived{Raw: raw, Source: conf.SourcePlatform})
}

func (e *routedHost) request(path string) core.Request {
	e.ids++
	return core.Request{
		Key: core.Key{ID: fmt.Sprint("r", e.ids)}, Attempt: 1, PromptTokens: 5_000, AnswerTokens: 1_000, Budget: 4 * time.Second,
		Routed: &core.Routed{Authority: "a.example", Path: path, KeyDigest: routedKey},
	}
}

// send submits a request with its body and returns its first dispatch.
func (e *routedHost) send(path string) node.StartDispatch {
	e.t.Helper()
	req := e.request(path)
	assert.Equal(e.t, e.submit(req).Kind, node.Admit)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	return e.dispatched()
}

func (e *routedHost) dispatched() node.StartDispatch {
	e.t.Helper()
	for _, a := range e.actions {
		if d, ok := a.(node.StartDispatch); ok {
			return d
		}
	}
	e.t.Fatalf("no dispatch in %v", e.actions)
	return node.StartDispatch{}
}

func (e *routedHost) end(d node.StartDispatch, ending node.Ending) {
	e.step(node.DispatchEnded{Key: d.Key, Dispatch: d.Dispatch, Target: d.Target, Ending: ending})
}

// finished returns the result of the last step's Finish action; false if there is none.
func (e *routedHost) finished() (core.Result, bool) {
	for _, a := range e.actions {
		if f, ok := a.(node.Finish); ok {
			return f.Result, true
		}
	}
	return core.Result{}, false
}

func (e *routedHost) mustFinish() core.Result {
	e.t.Helper()
	result, ok := e.finished()
	assert.Assert(e.t, ok, "%v", e.actions)
	return result
}

func TestRoutedRequestsAreResolvedOrRefused(t *testing.T) {
	e := newRoutedHost(t)
	for _, c := range []struct {
		path, key string
		code      api.Code
	}{
		{"/read/1", routedKey, ""},
		{"/open/1", "", ""},
		{"/none/1", routedKey, api.CodeUnknownRoute},
		{"/read/1", "", api.CodeUnknownKey},
		{"/read/1", "other", api.CodeUnknownKey},
	} {
		req := e.request(c.path)
		req.Routed.KeyDigest = c.key
		d := e.submit(req)
		assert.Equal(t, d.Result.Code, c.code, "%+v", c)
		if c.code != "" {
			assert.Equal(t, d.Result.Outcome, api.OutcomeNotRun)
		}
	}
}

// TestRankOfTeamReachesTheQueue guards against a team's rank that is decoded and then not used for its requests.
func TestRankOfTeamReachesTheQueue(t *testing.T) {
	e := newRoutedHost(t)
	routed := e.send("/ask/1").Request.Routed
	assert.Assert(t, !routed.ByRank, "no team has a rank")
	doc := routedDocument(2)
	four := int64(4)
	doc.Teams[0].Rank = &four
	e.publishDocument(doc)
	routed = e.send("/ask/2").Request.Routed
	assert.Assert(t, routed.ByRank)
	assert.Equal(t, routed.Rank, four)
}

func TestHostWithoutConfigurationIsNotReadyForRoutes(t *testing.T) {
	e := startRoutedHost(t)
	d := e.submit(e.request("/none/1"))
	assert.Equal(t, d.Result.Code, api.CodeNotReady)
	assert.Equal(t, d.Result.Outcome, api.OutcomeNotRun)
	assert.Assert(t, d.Result.RetryAfter > 0)
}

func TestNonIdempotentRequestIsNotRetriedIfItMayHaveArrived(t *testing.T) {
	e := newRoutedHost(t)
	e.end(e.send("/send/1"), node.EndedLost)
	result := e.mustFinish()
	assert.Equal(t, result.Outcome, api.OutcomeUnknown)
}

func TestNonIdempotentRequestIsRetriedIfItDidNotRun(t *testing.T) {
	for _, ending := range []node.Ending{node.EndedNotWritten, node.EndedRefused} {
		e := newRoutedHost(t)
		first := e.send("/send/1")
		e.end(first, ending)
		second := e.dispatched()
		assert.Assert(t, second.Target != first.Target)
		e.end(second, node.EndedLost)
		assert.Equal(t, e.mustFinish().Outcome, api.OutcomeUnknown, "%v", ending)
	}
}

func TestRequestThatEveryTargetRefusedDidNotRun(t *testing.T) {
	e := newRoutedHost(t)
	e.end(e.send("/send/1"), node.EndedRefused)
	e.end(e.dispatched(), node.EndedRefused)
	e.run(time.Second)
	e.step(node.Tick{})
	var result core.Result
	for range 40 {
		if r, ok := e.finished(); ok {
			result = r
			break
		}
		e.after(node.TickInterval).step(node.Tick{})
	}
	assert.Assert(t, result.Code == "" || result.Outcome == api.OutcomeNotRun, "%+v", result)
	assert.Equal(t, e.node.Snapshot().Status.Requests.Running+e.node.Snapshot().Status.Requests.Queued, 0, "no request waits forever")
}

func TestRequestIsExecutedByNoMoreTargetsThanItsRouteAllows(t *testing.T) {
	e := newRoutedHost(t)
	e.end(e.send("/read/1"), node.EndedLost)
	e.end(e.dispatched(), node.EndedLost)
	assert.Equal(t, e.mustFinish().Outcome, api.OutcomeFailed)
}

func TestRetriesDrawOnTheBudget(t *testing.T) {
	e := newRoutedHost(t)
	again := 0
	for range 100 {
		first := e.send("/read/1")
		e.end(first, node.EndedFailed)
		if _, done := e.finished(); done {
			continue
		}
		again++
		e.end(e.dispatched(), node.EndedDone)
	}
	assert.Assert(t, again <= 100*20/100+10, "%d of 100 were sent again", again)
	assert.Assert(t, again >= 10)
}

func TestRecordsEndWithTheirRequests(t *testing.T) {
	e := newRoutedHost(t)
	for range 300 { // more than the 100 records that the node may keep
		e.end(e.send("/read/1"), node.EndedDone)
		assert.Equal(t, e.mustFinish().Outcome, api.OutcomeDone)
	}
	assert.Equal(t, e.node.Snapshot().Status.Requests.Records, 0)
}

func TestCallerThatLeavesEndsItsRequest(t *testing.T) {
	e := newRoutedHost(t)
	d := e.send("/ask/1")
	e.step(node.CallerLeft{Key: d.Key})
	assert.Equal(t, e.mustFinish().Code, api.CodeCanceled)
	aborted := false
	for _, a := range e.actions {
		_, is := a.(node.AbortDispatch)
		aborted = aborted || is
	}
	assert.Assert(t, aborted, "the dispatch is aborted")
	e.end(d, node.EndedLost)
	for _, s := range e.node.Snapshot().Status.Targets {
		assert.Assert(t, s.Eligible, "no target counts as failed")
	}
}

func TestRequestEndsAtItsRoutesTimeoutOrItsCallersBudget(t *testing.T) {
	e := newRoutedHost(t)
	req := e.request("/ask/1")
	req.Budget = time.Hour
	d := e.submit(req)
	assert.Equal(t, d.Deadline, e.now+5*time.Second, "the route's timeout")
	req = e.request("/ask/1")
	req.Budget = 700 * time.Millisecond
	assert.Equal(t, e.submit(req).Deadline, e.now+700*time.Millisecond, "the caller's budget")
}

func TestRequestWithoutATargetIsRefusedInTime(t *testing.T) {
	e := newRoutedHost(t)
	e.step(node.HostsReceived{List: targetList(2, "e1", "e2", "e3"), Source: conf.SourcePlatform})
	d := e.submit(e.request("/read/1"))
	assert.Equal(t, d.Result.Code, api.CodeNoTarget)
	assert.Assert(t, d.Result.RetryAfter > 0)
}

func TestWaitingRequestIsRefusedAfterItsFirstTokenTarget(t *testing.T) {
	e := newRoutedHost(t)
	for range 48 { // the slots of three engines
		e.send("/ask/1")
	}
	req := e.request("/ask/1")
	assert.Equal(t, e.submit(req).Kind, node.Admit)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	waited := time.Duration(0)
	for waited < time.Second {
		e.after(node.TickInterval).step(node.Tick{})
		waited += node.TickInterval
		if result, ok := e.finished(); ok {
			assert.Equal(t, result.Code, api.CodeNoRoom)
			assert.Equal(t, result.Outcome, api.OutcomeNotRun)
			assert.Assert(t, result.RetryAfter >= time.Second, "the overload needs time to end")
			assert.Assert(t, waited <= 400*time.Millisecond, "%v", waited)
			return
		}
	}
	t.Fatal("the request still waits")
}

func TestDrainingHostServesLateCallersAndThenStops(t *testing.T) {
	e := newRoutedHost(t)
	e.step(node.Drain{})
	assert.Equal(t, len(e.node.Snapshot().Hosts), 0, "lookups no longer name it")
	e.run(2 * time.Second)
	d := e.send("/send/1")
	e.run(1500 * time.Millisecond)
	late := e.submit(e.request("/read/1"))
	assert.Equal(t, late.Result.Code, api.CodeDraining)
	assert.Equal(t, late.Result.Outcome, api.OutcomeNotRun)
	for _, a := range e.step(node.Tick{}) {
		_, stops := a.(node.Stop)
		assert.Assert(t, !stops, "a request is still running")
	}
	e.end(d, node.EndedDone)
	stopped := false
	for _, a := range e.after(node.TickInterval).step(node.Tick{}) {
		_, stops := a.(node.Stop)
		stopped = stopped || stops
	}
	assert.Assert(t, stopped)
}

func TestRemovedKeyIsRefusedAtOnce(t *testing.T) {
	e := newRoutedHost(t)
	doc := routedDocument(2)
	doc.Teams[0].KeysSHA256 = []string{"new"}
	raw, err := json.Marshal(doc)
	assert.NilError(t, err)
	e.step(node.DocumentReceived{Raw: raw, Source: "peer"})
	assert.Equal(t, e.submit(e.request("/read/1")).Result.Code, api.CodeUnknownKey)
	e.publish(1)
	assert.Equal(t, e.submit(e.request("/read/1")).Result.Code, api.CodeUnknownKey, "an older document changes nothing")
}

// TestRouteThatCantBeUsedRefusesAtOnce guards against requests that wait for a target of such a route or go to another route, and
// against entries that are left out of a document without a word.
func TestRouteThatCantBeUsedRefusesAtOnce(t *testing.T) {
	e := newRoutedHost(t)
	doc := routedDocument(2)
	doc.Routes[1].Unusable, doc.Routes[1].Services[0].Name, doc.LeftOut = true, "gone", 1
	raw, err := json.Marshal(doc)
	assert.NilError(t, err)
	reported := false
	for _, a := range e.step(node.DocumentReceived{Raw: raw, Source: "peer"}) {
		change, ok := a.(node.StateChange)
		reported = reported || ok && change.Event == node.EventEntriesLeftOut
	}
	assert.Assert(t, reported)
	refused := e.submit(e.request("/read/1"))
	assert.Equal(t, refused.Result.Code, api.CodeNoTarget)
	assert.Equal(t, refused.Result.Outcome, api.OutcomeNotRun)
	e.end(e.send("/send/1"), node.EndedDone)
}

func TestLeavingTargetGetsNothingNew(t *testing.T) {
	e := newRoutedHost(t)
	list := targetList(2, "e1", "e2", "e3", "s1", "s2")
	list.Hosts[3].State = hostlist.StateLeaving
	e.step(node.HostsReceived{List: list, Source: "peer"})
	for range 20 {
		d := e.send("/read/1")
		assert.Equal(t, d.Target, "s2")
		e.end(d, node.EndedDone)
	}
}

func TestTargetsUnlistedAfterAPlatformOutageKeepServing(t *testing.T) {
	e := newRoutedHost(t)
	e.run(5 * time.Second)
	e.step(node.PlatformAnswered{})
	e.step(node.HostsReceived{List: targetList(2, "e1", "e2", "e3"), Source: conf.SourcePlatform})
	d := e.send("/read/1")
	e.end(d, node.EndedDone)
	e.run(3 * time.Second)
	assert.Equal(t, e.submit(e.request("/read/1")).Result.Code, api.CodeNoTarget, "targets that are still unlisted are dropped")
}

func TestLoadDigestIsSentAfterAChangeAndStaleOnesAreIgnored(t *testing.T) {
	e := newRoutedHost(t)
	beat := func(incarnation string) node.HeartbeatReceived {
		hb := node.HeartbeatReceived{}
		hb.Heartbeat.Peer, hb.Heartbeat.Incarnation, hb.Heartbeat.ClockMs = "10.0.0.2:2", incarnation, 1
		hb.Heartbeat.LoadsAddress, hb.Heartbeat.IntervalMs = "10.0.0.2:3", 450
		return hb
	}
	e.step(beat("j1"))
	d := e.send("/ask/1")
	e.after(10 * time.Millisecond).step(node.DispatchFirstToken{Key: d.Key, Dispatch: d.Dispatch})
	var sent node.SendLoads
	for _, a := range e.actions {
		if s, ok := a.(node.SendLoads); ok {
			sent = s
		}
	}
	assert.DeepEqual(t, sent.To, []string{"10.0.0.2:3"})
	streams := func() int64 {
		d := e.send("/ask/1")
		e.step(node.DispatchFirstToken{Key: d.Key, Dispatch: d.Dispatch})
		return d.Basis.Streams
	}
	e.end(d, node.EndedDone)
	receive := func(incarnation string, sequence uint64, loads []byte) {
		digest := loadshare.Digest{Peer: "10.0.0.2:2", Incarnation: incarnation, Sequence: sequence, Loads: loads}
		e.step(node.LoadsReceived{From: digest.Peer, Bundle: loadshare.Bundle{Digests: []loadshare.Digest{digest}}})
	}
	receive("j1", 7, sent.Bundle.Digests[0].Loads)
	assert.Equal(t, streams(), int64(1))
	receive("j1", 6, nil)
	assert.Equal(t, streams(), int64(2), "an out-of-order digest is ignored")
	receive("j0", 9, nil)
	assert.Equal(t, streams(), int64(3), "so is a digest of another process")
}

func TestOversizedPromptReservesAGroupAndReleasesIt(t *testing.T) {
	e := newRoutedHost(t)
	req := e.request("/ask/1")
	req.PromptTokens = 300_000
	assert.Equal(t, e.submit(req).Kind, node.Admit)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	reserved := make(map[string]bool)
	var start node.StartDispatch
	for range 20 {
		answers := e.actions
		for _, a := range answers {
			switch a := a.(type) {
			case node.Reserve:
				assert.Assert(t, !a.Wait, "an engine that queues a reservation accepts nothing else")
				reserved[a.Target] = true
				e.step(node.ReservationAnswered{
					Key: a.Key, Target: a.Target, Reservation: a.Reservation, SentAt: a.SentAt, Answer: group.Held,
				})
			case node.StartDispatch:
				start = a
			}
		}
		if start.Target != "" {
			break
		}
	}
	assert.Equal(t, len(start.Group), len(reserved))
	assert.Equal(t, start.Group[0], start.Target, "the engine that answers comes first")
	e.end(start, node.EndedDone)
	released := 0
	for _, a := range e.actions {
		if _, ok := a.(node.Release); ok {
			released++
		}
	}
	assert.Equal(t, released, len(reserved))
}

func TestHelpersWorkEndsWithTheRequest(t *testing.T) {
	e := newRoutedHost(t)
	req := e.request("/ask/1")
	req.PromptTokens, req.AnswerTokens = 190_000, 100
	assert.Equal(t, e.submit(req).Kind, node.Admit)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	d := e.dispatched()
	assert.Assert(t, len(d.Helpers) > 0)
	e.step(node.CallerLeft{Key: d.Key})
	e.end(d, node.EndedLost)
	for _, s := range e.node.Snapshot().Status.Targets {
		assert.Equal(t, s.PendingTokens, int64(0), s.Address)
		assert.Equal(t, s.InFlight, 0, s.Address)
	}
}

func TestRequestsLeaveUnresponsiveTargets(t *testing.T) {
	e := newRoutedHost(t)
	first := e.send("/ask/1")
	e.step(node.DispatchFirstToken{Key: first.Key, Dispatch: first.Dispatch})
	second := e.send("/ask/1")
	e.step(node.DispatchFirstToken{Key: second.Key, Dispatch: second.Dispatch})
	assert.Equal(t, first.Target, second.Target, "short prompts are packed")
	moved := 0
	for range 60 {
		for _, a := range e.after(node.TickInterval).step(node.Tick{}) {
			if d, ok := a.(node.StartDispatch); ok {
				moved++
				assert.Assert(t, d.Target != first.Target)
				e.step(node.DispatchFirstToken{Key: d.Key, Dispatch: d.Dispatch})
			}
		}
	}
	assert.Assert(t, moved >= 2, "%d moved", moved)
}

func TestResubmittedRequestGoesFirst(t *testing.T) {
	e := newRoutedHost(t)
	var full []node.StartDispatch
	for range 48 {
		full = append(full, e.send("/ask/1"))
	}
	wait := func(budget time.Duration) string {
		req := e.request("/ask/1")
		req.Budget = budget
		assert.Equal(t, e.submit(req).Kind, node.Admit)
		e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
		return req.ID
	}
	wait(4 * time.Second)
	back := wait(3 * time.Second)
	e.end(full[0], node.EndedDone)
	assert.Equal(t, e.dispatched().Key.ID, back)
}

// startGroup submits a prompt for several engines, grants every reservation and returns its dispatch.
func (e *routedHost) startGroup(tokens int64) node.StartDispatch {
	e.t.Helper()
	req := e.request("/ask/1")
	req.PromptTokens = tokens
	assert.Equal(e.t, e.submit(req).Kind, node.Admit)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	return e.grantReservations()
}

// grantReservations grants the reservations that are asked for until a dispatch starts, and returns it.
func (e *routedHost) grantReservations() node.StartDispatch {
	e.t.Helper()
	return e.grant(e.actions)
}

// grant grants the reservations among some actions, and those that follow, until a dispatch starts, and returns it.
func (e *routedHost) grant(pending []node.Action) node.StartDispatch {
	e.t.Helper()
	for range 100 {
		if len(pending) == 0 {
			pending = e.after(node.TickInterval).step(node.Tick{})
			continue
		}
		next := pending[0]
		pending = pending[1:]
		switch a := next.(type) {
		case node.Reserve:
			pending = append(pending, e.step(node.ReservationAnswered{
				Key: a.Key, Target: a.Target, Reservation: a.Reservation, SentAt: a.SentAt, Answer: group.Held,
			})...)
		case node.StartDispatch:
			return a
		}
	}
	e.t.Fatal("no dispatch")
	return node.StartDispatch{}
}

// A group loses reserved memory while its helpers prefill. The request is dispatched again before the end of the first
// dispatch is known; the first helpers' parts must not stay in the load.
func TestHelpersWorkEndsWhenAGroupIsLost(t *testing.T) {
	e := newRoutedHost(t)
	addresses := []string{"s1"}
	for i := range 14 { // more than the members of the group
		addresses = append(addresses, fmt.Sprint("e", i))
	}
	e.step(node.HostsReceived{List: targetList(2, addresses...), Source: conf.SourcePlatform})
	first := e.startGroup(300_000)
	assert.Assert(t, len(first.Helpers) > 0, "%+v", first)
	e.step(node.ReservationAnswered{
		Key: first.Key, Target: first.Group[0], Reservation: first.Reservation, SentAt: e.now, Answer: group.Refused,
	})
	second := e.grantReservations()
	assert.Assert(t, second.Dispatch != first.Dispatch)
	e.end(first, node.EndedLost)
	e.end(second, node.EndedDone)
	for _, s := range e.node.Snapshot().Status.Targets {
		assert.Equal(t, s.PendingTokens, int64(0), s.Address)
		assert.Equal(t, s.InFlight, 0, s.Address)
	}
}

// TestGroupWhoseMemberLeavesMeanwhileGoesElsewhere guards against a prompt for several engines that reaches one that leaves, since
// its group was chosen before.
func TestGroupWhoseMemberLeavesMeanwhileGoesElsewhere(t *testing.T) {
	e := newRoutedHost(t)
	engines := []string{"s1", "e1", "e2", "e3", "e4", "e5", "e6"}
	e.step(node.HostsReceived{List: targetList(2, engines...), Source: conf.SourcePlatform})
	req := e.request("/ask/1")
	req.PromptTokens = 300_000
	assert.Equal(t, e.submit(req).Kind, node.Admit)
	e.step(node.BodyEnded{Key: core.Key{Team: "press", ID: req.ID}, Attempt: 1})
	pending := slices.Clone(e.actions)
	leaving := ""
	for _, a := range pending {
		if r, ok := a.(node.Reserve); ok && leaving == "" {
			leaving = r.Target
		}
	}
	assert.Assert(t, leaving != "")
	list := targetList(3, engines...)
	for i := range list.Hosts {
		if list.Hosts[i].Address == leaving {
			list.Hosts[i].State = hostlist.StateLeaving
		}
	}
	pending = append(pending, e.step(node.HostsReceived{List: list, Source: conf.SourcePlatform})...)
	start := e.grant(pending)
	assert.Assert(t, !slices.Contains(start.Group, leaving), "%s leaves: %v", leaving, start.Group)
}

// TestAnswerThatNobodyCanContinueEndsItsRequest guards against a second run whose answer is joined to what the caller has received.
func TestAnswerThatNobodyCanContinueEndsItsRequest(t *testing.T) {
	for _, ending := range []node.Ending{node.EndedLost, node.EndedFailed, node.EndedRefused, node.EndedNotWritten} {
		t.Run(ending.String(), func(t *testing.T) {
			e := newRoutedHost(t)
			d := e.send("/ask/1")
			assert.Assert(t, d.Request.Idempotent, "it would be dispatched again")
			e.step(node.DispatchFirstToken{Key: d.Key, Dispatch: d.Dispatch})
			e.step(node.DispatchEnded{Key: d.Key, Dispatch: d.Dispatch, Target: d.Target, Ending: ending, Unresumable: true})
			assert.Equal(t, e.mustFinish().Outcome, api.OutcomeFailed)
		})
	}
}

// TestUndeliveredAnswerIsNoFailureOfItsTarget guards against a caller that does not read its stream, for which its target gets no
// requests for a while and another one runs the request again.
func TestUndeliveredAnswerIsNoFailureOfItsTarget(t *testing.T) {
	e := newRoutedHost(t)
	d := e.send("/ask/1")
	e.step(node.DispatchFirstToken{Key: d.Key, Dispatch: d.Dispatch})
	e.end(d, node.EndedUndelivered)
	assert.Equal(t, e.mustFinish().Code, api.CodeCanceled)
	for _, target := range e.node.Snapshot().Status.Targets {
		assert.Assert(t, target.Eligible, "%+v", target)
	}
}
