package fleet

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core/node"
	"carobshunt/internal/virtual"

	"gotest.tools/v3/assert"
)

func sortedNames[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// engineRate is the number of requests a second that fill about all slots of one loaded engine.
const engineRate = 10

// spillFleet is a fleet with two hosts in each zone and engines whose load counts.
type spillFleet struct {
	*fleet
	engines []*loadedEngine
	// callers are what callers of each zone saw since measuring began, samples the states of the hosts.
	callers   map[string]*callersView
	samples   []spillSample
	measuring bool
	since     virtual.Time
	// reports counts the log lines of the first host on its share.
	reports int
}

// callersView is what the callers of a zone saw.
type callersView struct {
	sent, late, failed int
	firstTokens        []time.Duration
}

// spillSample is the share of each host at an instant.
type spillSample struct {
	at     virtual.Time
	shares map[string]float64
	to     map[string]map[string]float64
}

// sampleInterval is the time between two samples.
const sampleInterval = 100 * time.Millisecond

// firstTokenObjective is the objective of the fleet's document.
const firstTokenObjective = 300 * time.Millisecond

func newSpillFleet(t *testing.T, opts fleetOptions) *spillFleet {
	t.Helper()
	if opts.hosts == 0 {
		opts.hosts = 2 * zoneCount
	}
	opts.engines = len(opts.engineZones)
	opts.zoneDelay = 5 * time.Millisecond
	f := &spillFleet{fleet: newFleet(t, opts), callers: make(map[string]*callersView)}
	f.engines = f.loadEngines()
	f.hosts[0].OnChange = func(c node.StateChange) {
		if c.Event == node.EventSpillover {
			f.reports++
		}
	}
	for i, h := range f.hosts {
		view := f.callers[zone(i)]
		if view == nil {
			view = &callersView{}
			f.callers[zone(i)] = view
		}
		h.OnFinish = func(a node.Finish) {
			if f.measuring {
				view.finished(a)
			}
		}
	}
	return f
}

// finished records the end of a request.
func (v *callersView) finished(a node.Finish) {
	v.sent++
	firstToken := a.Timing.FirstToken - a.Timing.Admitted
	switch {
	case a.Result.Outcome != api.OutcomeDone:
		v.failed++
	case firstToken > firstTokenObjective:
		v.late++
		fallthrough
	default:
		v.firstTokens = append(v.firstTokens, firstToken)
	}
}

// inTime returns the part of the requests whose first token came within the objective.
func (v *callersView) inTime() float64 { return 1 - float64(v.late+v.failed)/float64(v.sent) }

// percentile returns a percentile of the times to first token.
func (v *callersView) percentile(p int) time.Duration {
	slices.Sort(v.firstTokens)
	return v.firstTokens[len(v.firstTokens)*p/100]
}

// perZone returns zones with that many engines each.
func perZone(counts ...int) []string {
	var out []string
	for i, count := range counts {
		for range count {
			out = append(out, zone(i))
		}
	}
	return out
}

// load sends requests to the hosts of a zone at the rate that a function gives, in requests a second for the whole zone.
func (f *spillFleet) load(name string, rate func(virtual.Time) float64) {
	for i, h := range f.hosts {
		if zone(i) == name {
			rng := rand.New(rand.NewPCG(f.opts.seed, uint64(i)))
			f.sendVarying(h, rng, func(at virtual.Time) float64 { return rate(at) * zoneCount / float64(len(f.hosts)) })
		}
	}
}

// sendVarying submits requests at random intervals to a host for as long as the test runs. They have a source of their own, so
// that they arrive at the same instants with and without spillover.
func (f *spillFleet) sendVarying(h *virtual.Host, rng *rand.Rand, rate func(virtual.Time) float64) {
	f.world.After(time.Duration(rng.ExpFloat64()/rate(f.world.Now())*float64(time.Second)), func() {
		if h.Alive() {
			f.submit(h, pathAsk)
		}
		f.sendVarying(h, rng, rate)
	})
}

// steady is a constant rate that fills a number of engines.
func steady(engines float64) func(virtual.Time) float64 {
	return func(virtual.Time) float64 { return engines * engineRate }
}

// sample runs the fleet and samples it.
func (f *spillFleet) sample(d time.Duration) {
	for end := f.world.Now() + d; f.world.Now() < end; {
		f.runFor(sampleInterval)
		s := spillSample{at: f.world.Now(), shares: make(map[string]float64), to: make(map[string]map[string]float64)}
		for _, h := range f.hosts {
			snapshot := h.Snapshot()
			if snapshot == nil {
				continue
			}
			s.to[h.Peer()] = make(map[string]float64)
			for _, one := range snapshot.Status.Spillover {
				s.shares[h.Peer()] += one.Share
				s.to[h.Peer()][one.Zone] = one.Share
			}
		}
		f.samples = append(f.samples, s)
	}
}

// share returns the last share of the first host of a zone.
func (f *spillFleet) share(zoneIndex int) float64 {
	return f.samples[len(f.samples)-1].shares[peerAddress(zoneIndex)]
}

// crossed returns what the hosts of a zone have sent to other zones.
func (f *spillFleet) crossed(name string) api.CrossingCounts {
	var out api.CrossingCounts
	for i, h := range f.hosts {
		if zone(i) == name && h.Alive() {
			c := h.Snapshot().Status.Crossings
			out.Share += c.Share
			out.Cost += c.Cost
		}
	}
	return out
}

// spread returns the largest difference between the shares of two hosts of one zone at one instant.
func (f *spillFleet) spread() float64 {
	largest := 0.0
	for _, s := range f.samples {
		for i := range zoneCount {
			for j := i + zoneCount; j < len(f.hosts); j += zoneCount {
				largest = max(largest, math.Abs(s.shares[peerAddress(i)]-s.shares[peerAddress(j)]))
			}
		}
	}
	return largest
}

// swing returns the largest change of a host's share within a second.
func (f *spillFleet) swing() float64 {
	largest := 0.0
	window := int(time.Second / sampleInterval)
	for i := window; i < len(f.samples); i++ {
		for peer, share := range f.samples[i].shares {
			largest = max(largest, math.Abs(share-f.samples[i-window].shares[peer]))
		}
	}
	return largest
}

// arrivals returns the requests that reached the engines of a zone in each second since an instant.
func (f *spillFleet) arrivals(name string, since virtual.Time) []int {
	out := make([]int, int((f.world.Now()-since)/time.Second))
	for _, e := range f.engines {
		for _, at := range e.arrived {
			if i := int((at - since) / time.Second); e.zone == name && at >= since && i < len(out) {
				out[i]++
			}
		}
	}
	return out
}

// inTime returns the part of all requests whose first token came within the objective.
func (f *spillFleet) inTime() float64 {
	sent, inTime := 0, 0
	for _, v := range f.callers {
		sent += v.sent
		inTime += v.sent - v.late - v.failed
	}
	return float64(inTime) / float64(sent)
}

// arrivalRange returns the difference between the most and the fewest arrivals at a zone in a second.
func (f *spillFleet) arrivalRange(name string) int {
	arrivals := f.arrivals(name, f.since)
	return slices.Max(arrivals) - slices.Min(arrivals)
}

// meanShare returns the mean share of the first host of a zone.
func (f *spillFleet) meanShare(zoneIndex int) float64 {
	sum := 0.0
	for _, s := range f.samples {
		sum += s.shares[peerAddress(zoneIndex)]
	}
	return sum / float64(len(f.samples))
}

// turns returns how often the share of the first host turns back by more than 0.1.
func (f *spillFleet) turns() int {
	turns, direction, extreme := 0, 0.0, 0.0
	for _, s := range f.samples {
		share := s.shares[peerAddress(0)]
		switch change := share - extreme; {
		case direction == 0 && math.Abs(change) > 0.1:
			direction, extreme = math.Copysign(1, change), share
		case change*direction > 0:
			extreme = share
		case math.Abs(change) > 0.1:
			turns++
			direction, extreme = -direction, share
		}
	}
	return turns
}

// mutual returns the largest part that two zones send to each other at the same time.
func (f *spillFleet) mutual() float64 {
	largest := 0.0
	for _, s := range f.samples {
		for i := range zoneCount {
			for j := range i {
				largest = max(largest, min(s.to[peerAddress(i)][zone(j)], s.to[peerAddress(j)][zone(i)]))
			}
		}
	}
	return largest
}

// report logs what callers and engines of each zone saw.
func (f *spillFleet) report() {
	for i := range zoneCount {
		v, a, c := f.callers[zone(i)], f.arrivals(zone(i), f.since), f.crossed(zone(i))
		f.t.Logf("zone %s: %d sent, %.4f in time, %d late, %d refused, first token p50 %v p95 %v p99 %v",
			zone(i), v.sent, v.inTime(), v.late, v.failed, v.percentile(50), v.percentile(95), v.percentile(99))
		f.t.Logf("zone %s: sent away %d by share, %d by cost; arrivals a second %d to %d", zone(i), c.Share, c.Cost, slices.Min(a), slices.Max(a))
	}
	f.t.Logf("all: %.4f in time; share at the end %.2f %.2f %.2f", f.inTime(), f.share(0), f.share(1), f.share(2))
	f.t.Logf("largest change of a share in a second %.2f, largest difference between hosts of a zone %.2f", f.swing(), f.spread())
	f.t.Logf("%d log lines of the first host, %d turns", f.reports, f.turns())
}

// measure runs the fleet for a while, and then measures.
func (f *spillFleet) measure(before, length time.Duration) {
	f.sample(before)
	f.samples, f.reports, f.measuring = nil, 0, true
	f.since = f.world.Now()
	f.sample(length)
	f.report()
}

// Settings of the hosts.
var (
	spillOn  = node.Spillover{Enabled: true}
	spillOff = node.Spillover{}
)

// oneBusyZone is the load "one zone at twice its engines, the others half idle", on eight hosts in each zone.
func oneBusyZone(t *testing.T, spill node.Spillover) *spillFleet {
	t.Helper()
	f := newSpillFleet(t, fleetOptions{hosts: 8 * zoneCount, engineZones: perZone(8, 16, 16), seed: 1, spillover: spill})
	f.staleness = 15 * time.Millisecond
	f.load("a", steady(16))
	f.load("b", steady(8))
	f.load("c", steady(8))
	f.measure(5*time.Second, 20*time.Second)
	return f
}

// TestBusyZoneSendsPartOfItsRequestsAway has the load "one zone at twice its engines, the others half idle". It guards against
// a zone that keeps more than its engines can answer in time, and against callers of the other zones who are late for it.
func TestBusyZoneSendsPartOfItsRequestsAway(t *testing.T) {
	t.Parallel()
	off, on := oneBusyZone(t, spillOff), oneBusyZone(t, spillOn)
	late := func(f *spillFleet) int { return f.callers["a"].late + f.callers["a"].failed }
	assert.Assert(t, float64(late(on)) <= 0.75*float64(late(off)), "%d and %d late", late(on), late(off))
	assert.Assert(t, on.inTime() >= off.inTime()+0.01)
	for _, other := range []string{"b", "c"} {
		assert.Check(t, on.callers[other].inTime() >= off.callers[other].inTime()-0.02, other)
	}
	assert.Assert(t, on.share(0) > 0.4 && on.share(0) < 0.7, "%v", on.share(0))
	assert.Assert(t, on.spread() <= maxSpread, "%v", on.spread())
	assert.Check(t, on.reports <= 10, "%d log lines in 20 s of steady load", on.reports)
	assert.Equal(t, off.crossed("a").Share, uint64(0))
	assert.Equal(t, off.reports, 0)
	assert.Assert(t, on.arrivalRange("a") < off.arrivalRange("a")/2, "no herd out and back")
}

// maxSpread bounds the difference between the shares of two hosts of a zone.
const maxSpread = 0.1

// TestFullZonesKeepTheirRequests has the load "every zone full". It guards against zones that exchange requests although none
// has room.
func TestFullZonesKeepTheirRequests(t *testing.T) {
	t.Parallel()
	for _, part := range []float64{1, 1.2} {
		f := newSpillFleet(t, fleetOptions{engineZones: perZone(3, 3, 3), seed: 1, spillover: spillOn})
		f.staleness = 50 * time.Millisecond
		for i := range zoneCount {
			f.load(zone(i), steady(3*part))
		}
		f.measure(5*time.Second, 30*time.Second)
		for i := range zoneCount {
			assert.Check(t, f.meanShare(i) <= 0.05, "zone %s at %v: %.3f", zone(i), part, f.meanShare(i))
		}
		assert.Check(t, f.swing() <= 0.3, "%v", f.swing())
	}
}

// swingPeriod is the period of the load of TestZonesThatSwingOutOfPhase.
const swingPeriod = 10 * time.Second

// swinging is the load of engines that swings around a mean.
func swinging(mean, amplitude, phase float64) func(virtual.Time) float64 {
	return func(at virtual.Time) float64 {
		return engineRate * (mean + amplitude*math.Sin(2*math.Pi*(at.Seconds()/swingPeriod.Seconds()+phase)))
	}
}

// TestZonesThatSwingOutOfPhase has the load "two zones swing out of phase". It guards against shares that go up and down faster
// than the load, hosts of one zone that do not agree, and zones that send to each other at the same time.
func TestZonesThatSwingOutOfPhase(t *testing.T) {
	t.Parallel()
	f := newSpillFleet(t, fleetOptions{hosts: 4 * zoneCount, engineZones: perZone(6, 6, 6), seed: 1, spillover: spillOn})
	f.staleness = 25 * time.Millisecond
	f.load("a", swinging(4.5, 3.5, 0))
	f.load("b", swinging(4.5, 3.5, 0.5))
	f.load("c", steady(3))
	const periods = 4
	f.measure(swingPeriod, periods*swingPeriod)
	assert.Assert(t, f.crossed("a").Share > 100 && f.crossed("b").Share > 100)
	assert.Check(t, f.swing() <= 0.5, "a share changes by %v in a second", f.swing())
	assert.Check(t, f.spread() <= maxSpread, "%v", f.spread())
	assert.Check(t, f.turns() <= 2*periods+2, "%d turns: more than the load has", f.turns())
	assert.Check(t, f.mutual() <= 0.02, "%v", f.mutual())
	for i := range zoneCount {
		most := slices.Max(f.arrivals(zone(i), f.since))
		assert.Check(t, float64(most) <= 6*engineRate*1.1, "%d arrivals in a second in zone %s", most, zone(i))
	}
	assert.Check(t, f.reports <= periods*2*10, "%d log lines", f.reports)
}

// TestHostsWithoutLoadDigestsKeepTheirRequests has the load "a digest view that is too old": digests come in heartbeats only.
// It guards against shares that follow what was true some time ago.
func TestHostsWithoutLoadDigestsKeepTheirRequests(t *testing.T) {
	t.Parallel()
	f := newSpillFleet(t, fleetOptions{engineZones: perZone(2, 4, 4), seed: 1, spillover: spillOn, silentLoads: true})
	f.load("a", steady(4))
	f.load("b", steady(2))
	f.load("c", steady(2))
	f.measure(5*time.Second, 10*time.Second)
	assert.Equal(t, f.crossed("a").Share, uint64(0))
	assert.Assert(t, f.crossed("a").Cost > 0, "they leave at the fixed cost")
}

// TestHostsThatAreCutOffKeepTheirRequests has the load "a digest view that is too old": the hosts of the other zones are cut off.
func TestHostsThatAreCutOffKeepTheirRequests(t *testing.T) {
	t.Parallel()
	f := newSpillFleet(t, fleetOptions{engineZones: perZone(2, 4, 4), seed: 1, spillover: spillOn})
	f.load("a", steady(4))
	f.load("b", steady(2))
	f.load("c", steady(2))
	f.sample(6 * time.Second)
	assert.Assert(t, f.share(0) > 0.2)
	for i, h := range f.hosts {
		f.down[h.Peer()] = zone(i) != "a"
	}
	f.sample(3 * time.Second)
	before := f.crossed("a").Share
	f.sample(5 * time.Second)
	assert.Equal(t, f.share(0), 0.0)
	assert.Equal(t, f.crossed("a").Share, before)
}

// TestLostZoneGetsNothing has the load "a zone that is lost". It guards against requests that the share sends to a zone after
// that is suspected, and against a share that the zones that are left can't take.
func TestLostZoneGetsNothing(t *testing.T) {
	t.Parallel()
	for name, hostsToo := range map[string]bool{"with-hosts": true, "engines-only": false} {
		t.Run(name, func(t *testing.T) { loseZone(t, hostsToo) })
	}
}

// loseZone loses the engines of a zone that gets requests of another one, and its hosts too.
func loseZone(t *testing.T, hostsToo bool) {
	t.Helper()
	f := newSpillFleet(t, fleetOptions{engineZones: perZone(2, 4, 4), seed: 1, spillover: spillOn})
	f.load("a", steady(4))
	f.load("b", steady(1))
	f.load("c", steady(1))
	f.sample(6 * time.Second)
	shareToB := func() float64 { return f.samples[len(f.samples)-1].to[peerAddress(0)]["b"] }
	assert.Assert(t, shareToB() > 0.1)
	for i, h := range f.hosts {
		if hostsToo && zone(i) == "b" {
			h.Kill()
		}
	}
	for _, e := range f.engines {
		if e.zone == "b" {
			e.kill()
		}
	}
	f.sample(2 * time.Second)
	assert.Equal(t, shareToB(), 0.0)
	f.sample(15 * time.Second)
	for _, s := range f.samples[len(f.samples)-150:] {
		assert.Assert(t, s.to[peerAddress(0)]["b"] == 0, "at %v", s.at)
	}
	assert.Assert(t, f.share(0) > 0.2, "the rest goes to the zone that is left: %v", f.share(0))
}
