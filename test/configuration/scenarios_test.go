package configuration

import (
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/order"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
)

// engine is a fake engine. It reports a fencing number, ends dispatches when finishAll is called, and records when it
// received work.
type engine struct {
	revision  uint64
	startedAt []virtual.Time
	running   []func()
}

func (e *engine) Start(w *virtual.World, from *virtual.Host, o node.StartDispatch) {
	e.startedAt = append(e.startedAt, w.Now())
	post := from.Poster()
	e.running = append(e.running, func() {
		post(node.DispatchEnded{Key: o.Key, Dispatch: o.Dispatch, Target: o.Target, Ending: node.EndedDone})
	})
}

func (e *engine) Abort(*virtual.World, *virtual.Host, node.AbortDispatch) {}

func (e *engine) Order(*virtual.World, order.Order) bool { return false }

func (e *engine) OrderState(*virtual.World) order.State {
	return order.State{Highest: order.Fence{Revision: e.revision}}
}

// finishAll ends all running dispatches successfully.
func (e *engine) finishAll() {
	for _, f := range e.running {
		f()
	}
	e.running = nil
}

const modelName = "draft"

// addEngine lists a live engine in the first availability zone.
func (d *deployment) addEngine(address string) *engine {
	e := &engine{}
	d.Targets[address] = e
	d.listHost(hostlist.Host{
		Address: address, Zone: "a", Role: hostlist.RoleEngine, State: hostlist.StateLive,
		Models: []string{modelName}, MemoryTokens: 450_000,
	})
	return e
}

// listHost publishes a host list in which the host's entry is replaced or added.
func (d *deployment) listHost(entry hostlist.Host) {
	next := &hostlist.List{Version: d.platform.hosts.Version + 1}
	for _, h := range d.platform.hosts.Hosts {
		if h.Address != entry.Address {
			next.Hosts = append(next.Hosts, h)
		}
	}
	next.Hosts = append(next.Hosts, entry)
	d.platform.hosts = next
}

// leave publishes a host list in which a host is leaving.
func (d *deployment) leave(address string) {
	for _, h := range d.platform.hosts.Hosts {
		if h.Address == address {
			h.State = hostlist.StateLeaving
			d.listHost(h)
			return
		}
	}
}

func (d *deployment) submit(h *virtual.Host, id string) {
	req := core.Request{
		Key: core.Key{Team: "desk", ID: id}, Attempt: 1, Model: modelName, PromptTokens: 100, AnswerTokens: 10,
		Idempotent: true, Budget: 15 * time.Minute,
	}
	post := h.Poster()
	h.Submit(req, func(decision node.Decision) {
		if decision.Kind == node.Admit {
			post(node.BodyEnded{Key: req.Key, Attempt: req.Attempt})
		}
	})
}

func (d *deployment) allReady() bool {
	for _, h := range d.Hosts() {
		if !h.Alive() || !h.Snapshot().Ready {
			return false
		}
	}
	return true
}

func (d *deployment) restartAll() {
	for _, h := range d.Hosts() {
		h.Kill()
	}
	for _, h := range d.Hosts() {
		d.start(h)
	}
}

// All hosts restart while the platform serves an old revision. An engine has seen a newer one in its orders, so the hosts
// must not become ready with the old one.
func TestColdStartWithStalePlatformWaitsForRevisionKnownToEngines(t *testing.T) {
	d := newDeployment(1, 4, 3)
	e := d.addEngine("10.2.0.1:1")
	d.platform.publish(2, "peak")
	d.Run(2 * time.Second)
	assert.Assert(t, d.allReady())
	e.revision = 2
	d.platform.stale, d.platform.served = true, 0
	d.restartAll()
	d.Run(d.Now() + time.Minute)
	for _, h := range d.Hosts() {
		snap := h.Snapshot()
		assert.Assert(t, !snap.Ready, "%s is ready with revision %d", h.Peer(), snap.Heartbeat.Revision)
		assert.Equal(t, snap.Status.Config.KnownRevision, uint64(2))
		assert.DeepEqual(t, snap.Status.Warnings, []api.Warning{api.WarningBehind})
	}
	d.heal()
	d.Run(d.Now() + convergeWithin)
	assert.Assert(t, d.allReady())
}

// A revision that only a caller's request names is reported as a warning. It is no evidence of a newer document, so a host
// that restarts must not wait for it.
func TestRevisionEchoedOnlyByCallersDoesNotBlockStartup(t *testing.T) {
	d := newDeployment(1, 4, 3)
	d.Run(2 * time.Second)
	h := d.Hosts()[0]
	req := core.Request{Key: core.Key{Team: "desk", ID: "echo-request"}, Attempt: 1, Model: modelName, Revision: 99, Idempotent: true}
	h.Submit(req, func(node.Decision) {})
	assert.DeepEqual(t, h.Snapshot().Status.Warnings, []api.Warning{api.WarningCallersAhead})
	assert.Equal(t, h.Snapshot().Status.Config.CallersRevision, uint64(99))
	h.Kill()
	d.start(h)
	h.Submit(req, func(node.Decision) {})
	d.Run(d.Now() + convergeWithin)
	assert.Assert(t, h.Snapshot().Ready)
}

func TestIsolatedHostIsNotReadyAtStartup(t *testing.T) {
	d := newDeployment(1, 4, 3)
	isolated := d.Hosts()[0]
	isolated.Kill()
	d.network.setCut(isolated.Peer(), platformAddress, true)
	for _, other := range d.Hosts()[1:] {
		d.network.setCut(isolated.Peer(), other.Peer(), true)
	}
	d.start(isolated)
	d.Run(time.Minute)
	assert.Assert(t, !isolated.Snapshot().Ready)
	assert.Equal(t, len(isolated.Snapshot().Hosts), 0)
	d.network.setCut(isolated.Peer(), d.Hosts()[1].Peer(), false)
	d.Run(d.Now() + convergeWithin)
	assert.Assert(t, isolated.Snapshot().Ready, "%s", isolated.Snapshot().Status.NotReadyReason)
}

func TestHostIsolatedAfterStartupKeepsServing(t *testing.T) {
	d := newDeployment(1, 4, 3)
	isolated := d.Hosts()[0]
	d.Run(2 * time.Second)
	d.network.setCut(isolated.Peer(), platformAddress, true)
	for _, other := range d.Hosts()[1:] {
		d.network.setCut(isolated.Peer(), other.Peer(), true)
	}
	d.Run(d.Now() + time.Minute)
	snap := isolated.Snapshot()
	assert.Assert(t, snap.Ready)
	assert.Equal(t, len(snap.Hosts), 1)
	assert.DeepEqual(t, snap.Status.Warnings, []api.Warning{api.WarningPlatformSilent, api.WarningPeersSilent})
	assert.Assert(t, snap.Status.Config.PlatformSilentMs >= 59_000)
}

// The second host receives heartbeats of the first one but can't reach it. It must fetch the document from another peer.
func TestDocumentIsFetchedFromAnotherPeerIfOneIsUnreachable(t *testing.T) {
	d := newDeployment(1, 4, 3)
	d.Run(2 * time.Second)
	first, second := d.Hosts()[0], d.Hosts()[1]
	d.network.setCut(second.Peer(), platformAddress, true)
	d.network.cut[[2]string{second.Peer(), first.Peer()}] = true
	d.network.setCut(d.Hosts()[2].Peer(), platformAddress, true)
	d.network.setCut(d.Hosts()[3].Peer(), platformAddress, true)
	d.platform.publish(2, "peak")
	d.Run(d.Now() + convergeWithin)
	assert.Equal(t, d.version(second).Revision, uint64(2))
}

func TestTwoOperatorsPublishingOneRevisionAreReported(t *testing.T) {
	d := newDeployment(1, 4, 3)
	d.Run(2 * time.Second)
	d.platform.publish(2, "peak")
	d.Run(d.Now() + time.Second)
	d.platform.publish(2, "maintenance")
	d.Run(d.Now() + 10*time.Second)
	conflicts := 0
	for _, h := range d.Hosts() {
		assert.Equal(t, d.version(h), d.version(d.Hosts()[0]))
		for _, w := range h.Snapshot().Status.Warnings {
			if w == api.WarningConflict {
				conflicts++
			}
		}
	}
	assert.Assert(t, conflicts > 0)
	d.platform.publish(3, "ordinary")
	d.Run(d.Now() + convergeWithin)
	for _, h := range d.Hosts() {
		assert.Equal(t, d.version(h).Revision, uint64(3))
		assert.Equal(t, len(h.Snapshot().Status.Warnings), 0, "%v", h.Snapshot().Status.Warnings)
	}
}

// readers returns the number of hosts that read the platform in each availability zone.
func (d *deployment) readers() map[string]int {
	out := map[string]int{}
	for _, h := range d.Hosts() {
		if h.Alive() && h.Snapshot().ReadsPlatform {
			out[h.Snapshot().Heartbeat.Zone]++
		}
	}
	return out
}

func TestReadsOfThePlatformDoNotGrowWithHosts(t *testing.T) {
	for _, hosts := range []int{12, 60} {
		d := newDeployment(1, hosts, 3)
		d.Run(3 * time.Second)
		assert.DeepEqual(t, d.readers(), map[string]int{"a": 2, "b": 2, "c": 2})
		before := d.platform.reads
		d.Run(d.Now() + 10*time.Second)
		assert.Equal(t, d.platform.reads-before, 6*int(10*time.Second/pollInterval), "%d hosts", hosts)
	}
}

func TestConfigurationIsReadWhileTheListNamesNoLiveHost(t *testing.T) {
	d := newDeployment(1, 4, 3)
	d.Run(2 * time.Second)
	for _, entry := range d.platform.hosts.Hosts {
		d.leave(entry.Address)
	}
	d.Run(d.Now() + 2*time.Second)
	d.platform.publish(2, "peak")
	d.Run(d.Now() + convergeWithin)
	for _, h := range d.Hosts() {
		assert.Equal(t, d.version(h).Revision, uint64(2))
	}
}

// unlistDead publishes a host list without the hosts that don't run.
func (d *deployment) unlistDead() {
	next := &hostlist.List{Version: d.platform.hosts.Version + 1}
	for _, entry := range d.platform.hosts.Hosts {
		if h := d.HostAt(entry.Peer); h == nil || h.Alive() {
			next.Hosts = append(next.Hosts, entry)
		}
	}
	d.platform.hosts = next
}

func TestDeadReadersAreReplaced(t *testing.T) {
	const zone, maxReaders = "b", 8
	d := newDeployment(1, 30, 3)
	d.Run(3 * time.Second)
	for _, h := range d.Hosts() {
		if h.Snapshot().ReadsPlatform && h.Snapshot().Heartbeat.Zone == zone {
			h.Kill()
		}
	}
	assert.Equal(t, d.readers()[zone], 0)
	d.Run(d.Now() + 8*time.Second)
	assert.Assert(t, d.readers()[zone] >= 2 && d.readers()[zone] <= maxReaders, "%v", d.readers())
	d.unlistDead()
	d.Run(d.Now() + 4*time.Second)
	assert.DeepEqual(t, d.readers(), map[string]int{"a": 2, "b": 2, "c": 2})
	for _, h := range d.Hosts() {
		d.network.setCut(h.Peer(), platformAddress, true)
	}
	d.Run(d.Now() + 20*time.Second)
	for zone, n := range d.readers() {
		assert.Assert(t, n <= maxReaders, "zone %s: %d hosts read an unreachable platform", zone, n)
	}
}

func TestLeavingTargetLearnedFromAPeerGetsNoNewWork(t *testing.T) {
	for seed := range uint64(20) {
		d := newDeployment(seed, 4, 3)
		stays, leaves := d.addEngine("10.2.0.1:1"), d.addEngine("10.2.0.2:1")
		d.Run(2 * time.Second)
		uninformed := d.Hosts()[int(seed)%4]
		d.network.setCut(uninformed.Peer(), platformAddress, true)
		d.After(5*time.Second, func() { d.leave("10.2.0.2:1") })
		leftAt := d.Now() + 5*time.Second
		for i := range 100 {
			d.submit(uninformed, string(rune('a'+i%26))+time.Duration(i).String()+"-request")
			d.Run(d.Now() + 100*time.Millisecond)
			stays.finishAll()
			leaves.finishAll()
		}
		assert.Assert(t, len(leaves.startedAt) > 0 && len(stays.startedAt) > 50, "%d and %d", len(leaves.startedAt), len(stays.startedAt))
		for _, at := range leaves.startedAt {
			assert.Assert(t, at <= leftAt+3*time.Second, "seed %d: work at %v, left at %v", seed, at, leftAt)
		}
	}
}

func TestResumedHostSendsNoWorkToTargetThatLeftMeanwhile(t *testing.T) {
	for seed := range uint64(20) {
		d := newDeployment(seed, 4, 3)
		stays, leaves := d.addEngine("10.2.0.1:1"), d.addEngine("10.2.0.2:1")
		d.Run(2 * time.Second)
		paused := d.Hosts()[int(seed)%4]
		paused.Pause()
		d.Run(d.Now() + time.Second)
		d.leave("10.2.0.2:1")
		d.Run(d.Now() + 30*time.Second)
		for i := range 20 {
			d.submit(paused, "while-asleep-"+string(rune('a'+i)))
		}
		paused.Resume()
		d.Run(d.Now() + 2*time.Second)
		assert.Equal(t, len(leaves.startedAt), 0, "seed %d", seed)
		assert.Equal(t, len(stays.startedAt), 20, "seed %d", seed)
	}
}

func TestPartitionedHostsSeeEachOtherAliveAfterRestore(t *testing.T) {
	d := newDeployment(1, 4, 3)
	d.Run(2 * time.Second)
	one, other := d.Hosts()[0], d.Hosts()[1]
	d.network.setCut(one.Peer(), other.Peer(), true)
	d.addEngine("10.2.0.1:1")
	d.Run(d.Now() + 5*time.Second)
	alive := func() bool {
		for _, p := range one.Snapshot().Status.Peers {
			if p.Address == other.Peer() {
				return p.Alive
			}
		}
		return false
	}
	assert.Assert(t, !alive())
	d.network.setCut(one.Peer(), other.Peer(), false)
	d.Run(d.Now() + time.Second)
	assert.Assert(t, alive())
}

func TestPlannedStopWaitsForCallersThatMayReturn(t *testing.T) {
	d := newDeployment(1, 4, 3)
	e := d.addEngine("10.2.0.1:1")
	d.Run(2 * time.Second)
	h := d.Hosts()[0]
	req := core.Request{
		Key: core.Key{Team: "desk", ID: "bound-request"}, Attempt: 1, Model: modelName, PromptTokens: 100, AnswerTokens: 10,
		Home: h.Self(), Deadline: h.Clock() + 6*time.Second,
	}
	h.Submit(req, func(node.Decision) { h.Post(node.BodyEnded{Key: req.Key, Attempt: req.Attempt}) })
	d.Run(d.Now() + 100*time.Millisecond)
	h.Post(node.Drain{})
	d.Run(d.Now() + 3*time.Second)
	assert.Assert(t, !h.Stopped(), "a request runs")
	e.finishAll()
	d.Run(d.Now() + time.Second)
	answered := false
	h.Query(req, func(decision node.Decision) {
		answered = true
		assert.Equal(t, decision.Result.Outcome, api.OutcomeDone)
	})
	assert.Assert(t, answered)
	d.Run(d.Now() + 4*time.Second)
	assert.Assert(t, h.Stopped())
}

func TestDrainingHostLeavesLookupsAndNamesOthers(t *testing.T) {
	d := newDeployment(1, 4, 3)
	d.addEngine("10.2.0.1:1")
	d.Run(10 * time.Second)
	h := d.Hosts()[0]
	h.Post(node.Drain{})
	d.Run(d.Now() + 20*time.Millisecond)
	for _, other := range d.Hosts()[1:] {
		for _, named := range other.Snapshot().Hosts {
			assert.Assert(t, named.Address != h.Self().Address)
		}
	}
	refused := false
	req := core.Request{
		Key: core.Key{Team: "desk", ID: "late-request"}, Attempt: 1, Model: modelName, PromptTokens: 100, Idempotent: true,
		Budget: time.Second,
	}
	h.Submit(req, func(decision node.Decision) {
		refused = true
		assert.Equal(t, decision.Result.Code, api.CodeDraining)
		assert.Equal(t, decision.Result.Outcome, api.OutcomeNotRun)
		assert.Equal(t, len(decision.Alternatives), 3)
	})
	assert.Assert(t, refused)
	d.Run(d.Now() + time.Second)
	assert.Assert(t, h.Stopped())
}
