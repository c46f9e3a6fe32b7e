package configuration

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/node"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
)

// platformAddress is the address of the platform in the test network.
const platformAddress = "platform"

// testNetwork is a network whose links can be cut in each direction. It delays messages by 0.5 to 5 ms.
type testNetwork struct {
	rng *rand.Rand
	cut map[[2]string]bool
	// changedAt is when a direction was last cut or restored.
	changedAt map[[2]string]virtual.Time
	now       func() virtual.Time
}

func (n *testNetwork) Delay(_ virtual.Time, from, to string) (time.Duration, bool) {
	if n.cut[[2]string{from, to}] {
		return 0, false
	}
	return time.Duration(500+n.rng.IntN(4500)) * time.Microsecond, true
}

func (n *testNetwork) setCut(a, b string, cut bool) {
	for _, link := range [][2]string{{a, b}, {b, a}} {
		n.cut[link] = cut
		n.changedAt[link] = n.now()
	}
}

// openSince reports whether both directions have been open without interruption since an instant.
func (n *testNetwork) openSince(a, b string, since virtual.Time) bool {
	for _, link := range [][2]string{{a, b}, {b, a}} {
		if n.cut[link] || n.changedAt[link] > since {
			return false
		}
	}
	return true
}

// fakePlatform answers reads with the newest document or, while it is stale, with an older one.
type fakePlatform struct {
	documents [][]byte
	revision  uint64
	// newest indexes the newest valid document, served the one in the responses.
	newest int
	served int
	stale  bool
	// staleChangedAt is when stale last changed.
	staleChangedAt virtual.Time
	hosts          *hostlist.List
	reads          int
}

// publish adds a document, unless a higher revision has been published.
func (p *fakePlatform) publish(revision uint64, preset string) {
	if revision < p.revision {
		return
	}
	raw, _ := json.Marshal(testDocument(revision, preset))
	p.documents = append(p.documents, raw)
	p.revision = revision
	p.newest = len(p.documents) - 1
	if !p.stale {
		p.served = p.newest
	}
}

// publishInvalid adds a document that no host may apply; it is served until the next one is published.
func (p *fakePlatform) publishInvalid() {
	p.documents = append(p.documents, []byte(`{"revision":9999}`))
	if !p.stale {
		p.served = len(p.documents) - 1
	}
}

func testDocument(revision uint64, active string) document.Document {
	preset := document.Preset{
		Budgets:            document.Budgets{ShortMs: 10_000, MiddleMs: 120_000, LongMs: 900_000},
		FirstTokenTargetMs: 750, ShortPromptTokens: 4_000, MiddlePromptTokens: 100_000,
	}
	return document.Document{
		Revision: revision,
		Active:   active,
		Presets:  map[string]document.Preset{"ordinary": preset, "peak": preset, "maintenance": preset},
		Teams:    []document.Team{{Name: "desk", Weight: 1, TokensPerSecond: 1_000_000}},
	}
}

// deployment is a World of hosts that read one fakePlatform.
type deployment struct {
	*virtual.World
	network  *testNetwork
	platform *fakePlatform
	started  map[*virtual.Host]virtual.Time
	pausedAt map[*virtual.Host]virtual.Time
	polls    int
}

// verifyEvery is the number of polls after which one requests the revision in force again.
const verifyEvery = 25

const pollInterval = 100 * time.Millisecond

func newDeployment(seed uint64, hosts, zones int) *deployment {
	network := &testNetwork{rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}, changedAt: map[[2]string]virtual.Time{}}
	d := &deployment{
		World: virtual.New(network), network: network, platform: &fakePlatform{},
		started: map[*virtual.Host]virtual.Time{}, pausedAt: map[*virtual.Host]virtual.Time{},
	}
	network.now = d.Now
	list := &hostlist.List{Version: 1}
	for i := range hosts {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), Peer: fmt.Sprintf("10.1.%d.%d:2", i/250, i%250),
			Zone: string(rune('a' + i%zones)), Role: hostlist.RoleEntry, State: hostlist.StateLive,
		})
	}
	d.platform.hosts = list
	d.platform.publish(1, "ordinary")
	for i, listed := range list.Hosts {
		h := d.AddHost(node.Options{
			Self: core.Home{Address: listed.Address}, Peer: listed.Peer, Zone: listed.Zone, Records: 100, BodyBytes: 1 << 20,
			Seed: seed + uint64(i), Seeds: []string{list.Hosts[(i+1)%hosts].Peer, list.Hosts[(i+2)%hosts].Peer},
		})
		d.poll(h)
	}
	return d
}

// poll reads the platform at every interval at which the host is running and is a reader.
func (d *deployment) poll(h *virtual.Host) {
	d.After(pollInterval, func() {
		d.poll(h)
		if !h.Alive() || h.Paused() {
			return
		}
		snap := h.Snapshot()
		if !snap.ReadsPlatform {
			return
		}
		post, after := h.Poster(), snap.Heartbeat.Revision
		if d.polls++; d.polls%verifyEvery == 0 && after > 0 {
			after--
		}
		d.deliver(h.Peer(), platformAddress, func() { d.answer(h, post, after, snap.Heartbeat.HostsVersion) })
	})
}

// deliver runs f after the network's delay, or never if the network loses the message.
func (d *deployment) deliver(from, to string, f func()) {
	if delay, ok := d.network.Delay(d.Now(), from, to); ok {
		d.After(delay, f)
	}
}

func (d *deployment) answer(h *virtual.Host, post func(node.Input), revision, hosts uint64) {
	d.platform.reads++
	reply := func(in node.Input) { d.deliver(platformAddress, h.Peer(), func() { post(in) }) }
	reply(node.PlatformAnswered{})
	raw := d.platform.documents[d.platform.served]
	var doc struct{ Revision uint64 }
	if json.Unmarshal(raw, &doc) != nil || doc.Revision > revision || d.platform.stale {
		reply(node.DocumentReceived{Raw: raw, Source: conf.SourcePlatform})
	}
	if d.platform.hosts.Version > hosts {
		reply(node.HostsReceived{List: d.platform.hosts, Source: conf.SourcePlatform})
	}
}

func (d *deployment) start(h *virtual.Host) {
	d.started[h] = d.Now()
	h.Start()
}

func (d *deployment) version(h *virtual.Host) conf.Version {
	hb := h.Snapshot().Heartbeat
	return hb.Config()
}

// oracle checks each process against what it observed earlier.
type oracle struct {
	t    *testing.T
	d    *deployment
	seed uint64
	seen map[*virtual.Host]process
	// known holds, for each host, the revisions that the other hosts had when its process was first observed.
	known map[*virtual.Host]map[*virtual.Host]uint64
}

// process is the last observed state of one incarnation.
type process struct {
	incarnation string
	version     conf.Version
	ready       bool
}

// watch checks every running host each 20 ms.
func (o *oracle) watch() {
	o.d.After(20*time.Millisecond, o.watch)
	for _, h := range o.d.Hosts() {
		if h.Alive() {
			o.check(h)
		}
	}
}

func (o *oracle) check(h *virtual.Host) {
	snap := h.Snapshot()
	now := process{incarnation: h.Self().Incarnation, version: snap.Heartbeat.Config(), ready: snap.Ready}
	before := o.seen[h]
	if before.incarnation != now.incarnation {
		before = process{incarnation: now.incarnation}
		o.known[h] = map[*virtual.Host]uint64{}
		for _, other := range o.d.Hosts() {
			if other != h && other.Alive() && !other.Paused() {
				o.known[h][other] = o.d.version(other).Revision
			}
		}
	}
	assert.Assert(o.t, !before.version.NewerThan(now.version), "seed %d: %s reverted from %v to %v",
		o.seed, h.Peer(), before.version, now.version)
	if now.ready && !before.ready {
		o.checkStart(h, now.version.Revision)
	}
	o.seen[h] = now
}

// checkStart checks that a host became ready with a revision no older than any that another host had at its start, if it
// could reach that host ever since. With a reachable platform that is not stale it may be at most one revision behind.
func (o *oracle) checkStart(h *virtual.Host, revision uint64) {
	since := o.d.started[h]
	for other, peerRevision := range o.known[h] {
		if !other.Alive() || other.Paused() || o.d.started[other] >= since || o.d.pausedAt[other] > since || o.d.pausedAt[h] > since {
			continue
		}
		if o.d.network.openSince(h.Peer(), other.Peer(), since) {
			assert.Assert(o.t, revision >= peerRevision, "seed %d: %s became ready with %d, but %s had %d",
				o.seed, h.Peer(), revision, other.Peer(), peerRevision)
		}
	}
	p := o.d.platform
	if !p.stale && p.staleChangedAt < since && o.d.network.openSince(h.Peer(), platformAddress, since) {
		assert.Assert(o.t, revision+1 >= p.revision, "seed %d: %s became ready with %d of %d", o.seed, h.Peer(), revision, p.revision)
	}
}

// injectFault kills, restarts, pauses or resumes a host, cuts or restores a link, or publishes, at random.
func (d *deployment) injectFault(rng *rand.Rand) {
	h := d.Hosts()[rng.IntN(len(d.Hosts()))]
	other := d.Hosts()[rng.IntN(len(d.Hosts()))]
	faults := []func(){
		func() { h.Kill() },
		func() { d.restart(h) }, func() { d.restart(h) },
		func() { d.pause(h) },
		func() { d.resume(h) }, func() { d.resume(h) },
		func() { d.network.setCut(h.Peer(), other.Peer(), rng.IntN(2) == 0) },
		func() { d.network.setCut(h.Peer(), platformAddress, rng.IntN(2) == 0) },
		func() { d.toggleStale(rng) },
		func() { d.platform.publish(d.platform.revision+1, presets[rng.IntN(3)]) },
		func() { d.publishTwice(rng) },
		d.platform.publishInvalid,
	}
	faults[rng.IntN(len(faults))]()
}

var presets = []string{"ordinary", "peak", "maintenance"}

func (d *deployment) restart(h *virtual.Host) {
	if !h.Alive() {
		d.start(h)
	}
}

func (d *deployment) pause(h *virtual.Host) {
	if h.Alive() {
		h.Pause()
		d.pausedAt[h] = d.Now()
	}
}

func (d *deployment) resume(h *virtual.Host) {
	if h.Alive() && h.Paused() {
		h.Resume()
		d.pausedAt[h] = d.Now()
	}
}

// toggleStale makes the platform serve a random earlier document, or the newest again.
func (d *deployment) toggleStale(rng *rand.Rand) {
	p := d.platform
	p.stale = !p.stale
	p.staleChangedAt = d.Now()
	p.served = p.newest
	if p.stale {
		p.served = rng.IntN(len(p.documents))
	}
}

// publishTwice publishes two documents under one revision within 300 ms, as two operators who switch the preset at the
// same time do: some hosts read the first, others the second.
func (d *deployment) publishTwice(rng *rand.Rand) {
	revision := d.platform.revision + 1
	d.platform.publish(revision, "peak")
	d.After(time.Duration(rng.IntN(300))*time.Millisecond, func() { d.platform.publish(revision, "maintenance") })
}

// heal restores all links, restarts and resumes all hosts, and makes the platform current.
func (d *deployment) heal() {
	for link := range d.network.cut {
		d.network.setCut(link[0], link[1], false)
	}
	for _, h := range d.Hosts() {
		d.restart(h)
		d.resume(h)
	}
	d.platform.stale = false
	d.platform.staleChangedAt = d.Now()
	d.platform.served = d.platform.newest
}

// convergeWithin is the time within which hosts must agree after the last fault. It is 2 s, the stated bound for a change
// to be in force on four hosts.
const convergeWithin = 2 * time.Second

func runSchedule(t *testing.T, seed uint64, hosts int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	d := newDeployment(seed, hosts, 3)
	o := &oracle{t: t, d: d, seed: seed, seen: map[*virtual.Host]process{}, known: map[*virtual.Host]map[*virtual.Host]uint64{}}
	o.watch()
	d.Run(2 * time.Second)
	for range 30 {
		d.injectFault(rng)
		d.Run(d.Now() + time.Duration(rng.IntN(800))*time.Millisecond)
	}
	d.heal()
	d.Run(d.Now() + convergeWithin)
	highest := d.version(d.Hosts()[0])
	assert.Equal(t, highest.Revision, d.platform.revision, "seed %d", seed)
	for _, h := range d.Hosts() {
		assert.Equal(t, d.version(h), highest, "seed %d: %s", seed, h.Peer())
		snap := h.Snapshot()
		assert.Assert(t, snap.Ready, "seed %d: %s: %s", seed, h.Peer(), snap.Status.NotReadyReason)
		for _, peer := range snap.Status.Peers {
			assert.Assert(t, peer.Alive, "seed %d: %s does not see %s alive", seed, h.Peer(), peer.Address)
		}
		assert.Equal(t, len(snap.Hosts), len(snap.Status.Peers)+1, "seed %d: lookup at %s", seed, h.Peer())
	}
}

func TestConfigurationNeverRevertsAndConverges(t *testing.T) {
	for seed := range uint64(150) {
		runSchedule(t, seed, 4)
	}
}

func TestConfigurationConvergesOverRings(t *testing.T) {
	for seed := range uint64(5) {
		runSchedule(t, 1000+seed, 24)
	}
}
