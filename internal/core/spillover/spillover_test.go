package spillover_test

import (
	"math"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/spillover"

	"gotest.tools/v3/assert"
)

const objective = 300 * time.Millisecond

// equalZone returns a zone of four engines with 16 slots each, whose hosts have placed that many streams at it.
func equalZone(name string, streams int64) spillover.Zone {
	return spillover.Zone{
		Name: name, Hosts: 2, Engines: 4, Slots: 64, UnlimitedSlots: 64, Streams: streams, DemandStreams: streams,
	}
}

// busyView is the load "one zone at twice its engines, the others half idle", seen from the busy zone.
func busyView() *spillover.View {
	return &spillover.View{
		Own: "a", Objective: objective,
		Zones: []spillover.Zone{equalZone("a", 120), equalZone("b", 16), equalZone("c", 16)},
	}
}

// updates updates a policy with one view for a while and returns it.
func updates(p *spillover.Policy, from core.Time, v *spillover.View, count int) *spillover.Policy {
	for i := range count {
		p.Update(from+time.Duration(i)*spillover.Interval, v)
	}
	return p
}

// settled is the number of updates after which a policy has reached the share that a steady view calls for.
const settled = 60

func settle(v *spillover.View) *spillover.Policy { return updates(spillover.New(), 0, v, settled) }

func near(t *testing.T, got, want float64) {
	t.Helper()
	assert.Check(t, math.Abs(got-want) < 0.025, "%.3f instead of %.3f", got, want)
}

// TestShareIsWhatTheOwnEnginesCannotTake checks that a zone at twice its engines sends all but 0.75 of its slots away, in
// equal parts to zones with equal room.
func TestShareIsWhatTheOwnEnginesCannotTake(t *testing.T) {
	p := settle(busyView())
	near(t, p.Total(), 1-0.75*64/120)
	near(t, p.ShareTo("b"), p.Total()/2)
	near(t, p.ShareTo("c"), p.Total()/2)
}

// TestZoneWithRoomKeepsItsRequests guards against requests that leave although the zone's own engines can take them.
func TestZoneWithRoomKeepsItsRequests(t *testing.T) {
	v := busyView()
	v.Own = "b"
	assert.Equal(t, settle(v).Total(), 0.0)
	v.Zones[1].Streams += 40 // sent by the busy zone
	assert.Equal(t, settle(v).Total(), 0.0, "not even for those that others send to it")
}

// TestFullZonesExchangeNothing has the load "every zone full".
func TestFullZonesExchangeNothing(t *testing.T) {
	v := busyView()
	v.Zones = []spillover.Zone{equalZone("a", 120), equalZone("b", 64), equalZone("c", 70)}
	assert.Equal(t, settle(v).Total(), 0.0)
}

// TestRoomIsDividedAmongBusyZones guards against two busy zones that both fill the room of a third one.
func TestRoomIsDividedAmongBusyZones(t *testing.T) {
	v := busyView()
	v.Zones = []spillover.Zone{equalZone("a", 72), equalZone("b", 72), equalZone("c", 8)}
	a := settle(v)
	v.Own = "b"
	b := settle(v)
	assert.Assert(t, a.Total() > 0.1)
	assert.Equal(t, a.Total(), b.Total())
	assert.Equal(t, a.ShareTo("b")+b.ShareTo("a"), 0.0)
	assert.Assert(t, 8+a.Total()*72+b.Total()*72 <= 0.9*64)
}

// TestBacklogCountsLikeSlots checks that a zone whose slots are free but whose prompts wait for their prefill sends some away.
func TestBacklogCountsLikeSlots(t *testing.T) {
	v := busyView()
	v.Zones[0].DemandStreams, v.Zones[0].Streams = 30, 30
	assert.Equal(t, settle(v).Total(), 0.0)
	v.Zones[0].DemandBacklog = 4 * 180 * time.Millisecond
	near(t, settle(v).Total(), 0.5)
}

// TestUnknownViewKeepsRequests has the load "a digest view that is too old".
func TestUnknownViewKeepsRequests(t *testing.T) {
	for name, change := range map[string]func(*spillover.View){
		"old":     func(v *spillover.View) { v.Age = spillover.MaxAge },
		"unknown": func(v *spillover.View) { v.Age = -1 },
		"link":    func(v *spillover.View) { v.LinkSuspected = true },
	} {
		v := busyView()
		p := settle(v)
		assert.Assert(t, p.Total() > 0.5)
		change(v)
		p.Update(time.Hour, v)
		assert.Equal(t, p.Total(), 0.0, name)
	}
	v := busyView()
	v.Age = spillover.MaxAge - 1
	assert.Assert(t, settle(v).Total() > 0.5)
}

// TestZoneThatMayGetNothing has the load "a zone that is lost", and others to which nothing may be sent.
func TestZoneThatMayGetNothing(t *testing.T) {
	for name, change := range map[string]func(*spillover.Zone){
		"suspected":         func(z *spillover.Zone) { z.Suspected = true },
		"no host reachable": func(z *spillover.Zone) { z.Hosts = 0 },
		"none eligible":     func(z *spillover.Zone) { z.Engines, z.Slots, z.UnlimitedSlots = 0, 0, 0 },
		"all limited":       func(z *spillover.Zone) { z.UnlimitedSlots = 0 },
	} {
		v := busyView()
		p := settle(v)
		before := p.ShareTo("c")
		change(&v.Zones[1])
		p.Update(settled*spillover.Interval, v)
		assert.Equal(t, p.ShareTo("b"), 0.0, name)
		assert.Assert(t, p.ShareTo("c") <= before+0.1+1e-9, "%s: the rest moves in steps", name)
		p = updates(p, (settled+1)*spillover.Interval, v, settled)
		assert.Equal(t, p.ShareTo("b"), 0.0, name)
		assert.Assert(t, 16+p.ShareTo("c")*120 <= 0.9*64, name)
	}
}

// TestZoneWithoutEnginesSendsAll checks that the requests of a zone without eligible engines are divided by room.
func TestZoneWithoutEnginesSendsAll(t *testing.T) {
	v := busyView()
	v.Zones[0] = spillover.Zone{Name: "a", Hosts: 2}
	near(t, settle(v).Total(), 1)
}

// TestShareMovesInSteps guards against a herd: a zone that starts or stops to send out at once.
func TestShareMovesInSteps(t *testing.T) {
	p := spillover.New()
	v, now, last := busyView(), core.Time(0), 0.0
	for i := range 200 {
		v.Zones[0].DemandStreams = int64(20 + 100*(i/20%2))
		p.Update(now, v)
		assert.Assert(t, math.Abs(p.Total()-last) <= 0.1+1e-9, "%f after %f", p.Total(), last)
		now, last = now+spillover.Interval, p.Total()
	}
}

// TestShareIgnoresSmallChanges guards against a share that follows each arrival, and that turns on and off at the threshold.
func TestShareIgnoresSmallChanges(t *testing.T) {
	v := busyView()
	p := settle(v)
	share := p.Total()
	for i := range 50 {
		v.Zones[0].DemandStreams = int64(120 + i%3 - 1)
		p.Update((settled+core.Time(i))*spillover.Interval, v)
		assert.Equal(t, p.Total(), share)
	}
	v.Zones[0].DemandStreams = 50 // 0.04 of them more than 0.75 of the slots
	assert.Equal(t, settle(v).Total(), 0.0, "too little to begin")
	p = updates(p, 1000*spillover.Interval, v, settled)
	assert.Assert(t, p.Total() > 0, "but not to go on")
}

// TestHostsOfAZoneAgree guards against hosts that keep different shares for good: one that has just started, one that saw
// another load before, and one that sees the load a little differently.
func TestHostsOfAZoneAgree(t *testing.T) {
	before := busyView()
	before.Zones[0].DemandStreams = 180
	old := updates(settle(before), settled*spillover.Interval, busyView(), settled)
	near(t, old.Total(), settle(busyView()).Total())
	other := busyView()
	other.Zones[0].DemandStreams = 118
	near(t, settle(other).Total(), settle(busyView()).Total())
}

// TestCrossingHasToBeWorthItsCost checks that fewer requests leave if the way is long or a byte has a price, none if it costs
// more than an answer in time is worth, and that the cheaper zone gets them first.
func TestCrossingHasToBeWorthItsCost(t *testing.T) {
	v := busyView()
	v.Zones[0].DemandStreams = 60
	v.Zones[0].Streams = 60
	free := settle(v).Total()
	for i := range v.Zones {
		v.Zones[i].Delay = 20 * time.Millisecond
	}
	slow := settle(v).Total()
	assert.Assert(t, slow > 0 && slow < free, "%f %f", slow, free)
	v.Zones[2].Delay = 2 * time.Millisecond
	p := settle(v)
	assert.Assert(t, p.ShareTo("c") > 0.1 && p.ShareTo("b") == 0, "%v", p.Shares())
	v.RequestBytes, v.BytePrice = 10_000, 1e-4
	assert.Equal(t, settle(v).Total(), 0.0)
}

// TestDrawsFollowTheShares checks that a draw gives each zone its share.
func TestDrawsFollowTheShares(t *testing.T) {
	p := settle(busyView())
	counts := make(map[string]int)
	const draws = 10_000
	for i := range draws {
		counts[p.Zone((float64(i)+0.5)/draws)]++
	}
	for _, zone := range []string{"b", "c"} {
		near(t, float64(counts[zone])/draws, p.ShareTo(zone))
	}
	near(t, float64(counts[""])/draws, 1-p.Total())
}
