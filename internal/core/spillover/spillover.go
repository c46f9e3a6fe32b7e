// Package spillover decides which share of the new short prompts of an availability zone is sent to engines of other zones.
//
// Traffic between zones is slower and costs money, but a zone sometimes has too few engines of its own. The share is a
// function of the demand of each zone, which is the work that the hosts of the zone have placed at engines of any zone. This
// does not change with the share itself: all hosts of a zone compute about the same share from views that are some time
// old, without agreeing on it, and sending requests out of the zone does not make the reason to send them disappear.
package spillover

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carobshunt/internal/core"
)

const (
	// Interval is the least time between two updates of the share. It is not shorter since an update at 500 targets takes
	// about a millisecond on each of 102 hosts.
	Interval = 200 * time.Millisecond
	// MaxAge is the age of the load digests from which the view counts as unknown, and all requests stay in their zone. An
	// unchanged digest is sent again each 500 ms: two in a row may be lost, and a host that is silent for longer counts as
	// unreachable at about the same time.
	MaxAge = 1500 * time.Millisecond
	// maxStep bounds the change of the share in an update. At half a point a second, the share does not go up and down
	// again within the time that one burst of requests takes.
	maxStep = 0.1
	// The share rises above 0 only if at least startShare is to leave, and falls to 0 below stopShare.
	startShare = 0.05
	stopShare  = 0.02
	// deadBand is the change that the share does not follow: random arrivals alone change the demand by as much.
	deadBand = 0.02
	// smoothing is the weight of the last view in the demand of a zone. Together with Interval it averages over about 0.5 s.
	smoothing = 0.36
)

const (
	// sendLimit is the part of its own slots that a zone uses before requests leave: up to there engines are packed without
	// a cost to their streams. It is the packedFraction of the router.
	sendLimit = 0.75
	// receiveLimit is the part of its slots up to which a zone gets requests of others. It is below sendLimit, so that zones
	// with about that demand neither send nor get. If all zones together use more, they get as much as brings them to the mean,
	// but not above maxReceiveLimit: the rest of the slots is for their own bursts.
	receiveLimit    = 0.70
	maxReceiveLimit = 0.90
	// objectiveLoss is the part of its utility that a late answer loses, as in the router: a crossing that costs more is
	// worth nothing.
	objectiveLoss = 0.75
	// delaySlope is the cost of a delay as large as the first-token objective, in answers to short prompts: the loss
	// of a late answer over the range of predictions, 0.6 to 1.1 times the objective, in which the answer becomes late.
	delaySlope = objectiveLoss / 0.5
	// similarCost is the difference between the costs of two crossings up to which they count as equal.
	similarCost = 0.01
	// toleratedBacklog is the pending prefill of an engine, as a fraction of the first-token objective, that counts like
	// sendLimit of the slots. A prompt is certainly in time up to 0.6 times the objective; half of that is for its own
	// prefill and the iteration.
	toleratedBacklog = 0.3
)

// Zone is what is known of one availability zone for one service.
type Zone struct {
	Name string
	// Hosts is the number of reachable entry hosts of the zone.
	Hosts int
	// Engines are the zone's eligible engines and Slots their slots, UnlimitedSlots those of engines without a limit on requests.
	Engines, Slots, UnlimitedSlots int64
	// Streams are the streams at these engines, FromOwnZone those of them that hosts of View.Own have placed.
	Streams, FromOwnZone int64
	// DemandStreams and DemandBacklog are the streams and the pending prefill that hosts of this zone have placed at
	// eligible engines of any zone.
	DemandStreams int64
	DemandBacklog time.Duration
	// Suspected is set if the zone is suspected as lost.
	Suspected bool
	// Delay is the time that a message takes to this zone.
	Delay time.Duration
}

// View is the input of an update.
type View struct {
	// Own is the zone of this host.
	Own string
	// Zones are the known zones, by name.
	Zones []Zone
	// Age is the age of the load digests; negative if it is unknown.
	Age time.Duration
	// LinkSuspected is set if this host's own link is suspected to have failed.
	LinkSuspected bool
	// Objective is the first-token objective of short prompts; 0 if there is none.
	Objective time.Duration
	// RequestBytes is the mean size of a short prompt. BytePrice is the price of a byte between zones, in answers to short
	// prompts.
	RequestBytes, BytePrice float64
}

// CountedBacklog returns which part of an engine's pending prefill counts: a long prompt at one engine does not hinder the
// short prompts at the others.
func CountedBacklog(pending, objective time.Duration) time.Duration {
	return min(pending, time.Duration(2*toleratedBacklog*float64(objective)))
}

// Share is the part of the new short prompts that goes to a zone.
type Share struct {
	Zone  string
	Share float64
}

// Policy holds the share of one host for one service. It is not safe for concurrent use.
type Policy struct {
	updated core.Time
	// demand is the smoothed demand of each zone, in slots.
	demand map[string]float64
	// shares are the shares above 0, by zone.
	shares []Share
}

// New returns a policy under which all requests stay.
func New() *Policy { return &Policy{updated: -Interval, demand: make(map[string]float64)} }

// Shares returns the shares above 0, by zone. The caller must not change them.
func (p *Policy) Shares() []Share { return p.shares }

// ShareTo returns the part of the new short prompts that goes to a zone.
func (p *Policy) ShareTo(zone string) float64 {
	for _, s := range p.shares {
		if s.Zone == zone {
			return s.Share
		}
	}
	return 0
}

// Total returns the part of the new short prompts that may leave the zone.
func (p *Policy) Total() float64 { return total(p.shares) }

func total(shares []Share) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s.Share
	}
	return sum
}

// Zone returns the zone to which a request goes whose draw, between 0 and 1, is given; empty if it stays.
func (p *Policy) Zone(draw float64) string {
	for _, s := range p.shares {
		if draw < s.Share {
			return s.Zone
		}
		draw -= s.Share
	}
	return ""
}

// Update takes a view. It does nothing within Interval of the last one.
func (p *Policy) Update(now core.Time, v *View) {
	if now-p.updated < Interval {
		return
	}
	p.updated = now
	if v.Age < 0 || v.Age >= MaxAge || v.LinkSuspected {
		p.shares = nil
		clear(p.demand)
		return
	}
	p.smooth(v)
	wanted := p.wanted(v)
	p.dropUnusable(v)
	p.approach(wanted)
}

// smooth updates the demand of the zones.
func (p *Policy) smooth(v *View) {
	known := make(map[string]bool, len(v.Zones))
	for i := range v.Zones {
		z := &v.Zones[i]
		known[z.Name] = true
		next := demandOf(z, v.Objective)
		if last, ok := p.demand[z.Name]; ok {
			next = last + smoothing*(next-last)
		}
		p.demand[z.Name] = next
	}
	for name := range p.demand {
		if !known[name] {
			delete(p.demand, name)
		}
	}
}

// demandOf returns the demand of a zone in slots: its streams, or its backlog where that takes a greater part of the zone.
func demandOf(z *Zone, objective time.Duration) float64 {
	demand := float64(z.DemandStreams)
	if objective <= 0 || z.Engines == 0 {
		return demand
	}
	tolerated := toleratedBacklog * float64(objective) * float64(z.Engines)
	return max(demand, sendLimit*float64(z.Slots)*float64(z.DemandBacklog)/tolerated)
}

// receiver is a zone that has room for requests of this zone.
type receiver struct {
	zone       string
	room, cost float64
}

// level returns the part of its slots up to which a zone gets requests of others.
func (p *Policy) level(v *View) float64 {
	demand, slots := 0.0, int64(0)
	for i := range v.Zones {
		if z := &v.Zones[i]; z.Name == v.Own || usable(z) {
			demand += p.demand[z.Name]
			slots += z.Slots
		}
	}
	if slots == 0 {
		return receiveLimit
	}
	return min(max(demand/float64(slots), receiveLimit), maxReceiveLimit)
}

// receivers returns the zones with room, cheapest first, then by name.
func (p *Policy) receivers(v *View, own *Zone, level float64) []receiver {
	excess := make([]float64, len(v.Zones))
	sum, ownExcess := 0.0, 0.0
	for i := range v.Zones {
		z := &v.Zones[i]
		excess[i] = max(p.demand[z.Name]-max(sendLimit, level)*float64(z.Slots), 0)
		sum += excess[i]
		if z.Name == own.Name {
			ownExcess = excess[i]
		}
	}
	part := 1.0
	if sum > 0 {
		part = ownExcess / sum
	}
	var out []receiver
	for i := range v.Zones {
		z := &v.Zones[i]
		if z.Name == own.Name || !usable(z) {
			continue
		}
		slots := level * float64(z.UnlimitedSlots)
		room := min((slots-p.demand[z.Name])*part, slots-float64(z.Streams-z.FromOwnZone))
		cost := crossingCost(v, z)
		if room > 0 && cost < objectiveLoss {
			out = append(out, receiver{z.Name, room, cost})
		}
	}
	slices.SortFunc(out, func(a, b receiver) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.zone, b.zone)) })
	return out
}

// usable reports whether requests of other zones may go to a zone. What hosts of the zone have placed is unknown if none of
// them is reachable.
func usable(z *Zone) bool { return !z.Suspected && z.Hosts > 0 && z.UnlimitedSlots > 0 }

// crossingCost returns the cost of sending a request to another zone, in answers to short prompts. The first token is later
// by the delay there and back.
func crossingCost(v *View, z *Zone) float64 {
	cost := v.BytePrice * v.RequestBytes
	if v.Objective > 0 {
		cost += delaySlope * 2 * float64(z.Delay) / float64(v.Objective)
	}
	return cost
}

// limitFor returns the part of its own slots that a zone uses before requests leave it at a cost. The loss by lateness rises from
// none where sendLimit of the slots are in use to objectiveLoss where all are.
func limitFor(cost float64) float64 { return sendLimit + (1-sendLimit)*cost/objectiveLoss }

// wanted returns the shares that the view calls for, by zone.
func (p *Policy) wanted(v *View) []Share {
	i := slices.IndexFunc(v.Zones, func(z Zone) bool { return z.Name == v.Own })
	if i < 0 {
		return nil
	}
	own := &v.Zones[i]
	level := p.level(v)
	receivers := p.receivers(v, own, level)
	demand := p.demand[own.Name]
	if own.Slots == 0 {
		demand = 0
		for _, r := range receivers {
			demand += r.room
		}
	}
	var out []Share
	taken := 0.0
	for len(receivers) > 0 {
		group := receivers
		if end := slices.IndexFunc(receivers, func(r receiver) bool { return r.cost > receivers[0].cost+similarCost }); end > 0 {
			group = receivers[:end]
		}
		receivers = receivers[len(group):]
		room := 0.0
		for _, r := range group {
			room += r.room
		}
		take := min(room, demand-max(limitFor(group[0].cost), level)*float64(own.Slots)-taken)
		if take <= 0 {
			break
		}
		taken += take
		for _, r := range group {
			out = append(out, Share{r.zone, take * r.room / room / demand})
		}
	}
	slices.SortFunc(out, func(a, b Share) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}

// dropUnusable ends at once what goes to zones that may get nothing.
func (p *Policy) dropUnusable(v *View) {
	var kept []Share
	for _, s := range p.shares {
		if slices.ContainsFunc(v.Zones, func(z Zone) bool { return z.Name == s.Zone && usable(&z) }) {
			kept = append(kept, s)
		}
	}
	p.shares = kept
}

// approach moves the shares towards the wanted ones, by maxStep in all.
func (p *Policy) approach(wanted []Share) {
	threshold := startShare
	if len(p.shares) > 0 {
		threshold = stopShare
	}
	if total(wanted) < threshold {
		wanted = nil
	}
	next := mergeZones(p.shares, wanted)
	distance := 0.0
	for i := range next {
		distance += math.Abs(next[i].wanted - next[i].current)
	}
	if distance < deadBand && (len(wanted) > 0) == (len(p.shares) > 0) {
		return
	}
	step := min(maxStep/max(distance, maxStep), 1)
	p.shares = nil
	for _, z := range next {
		if share := z.current + step*(z.wanted-z.current); share > 0 {
			p.shares = append(p.shares, Share{z.zone, share})
		}
	}
}

// change is the change of the share of one zone.
type change struct {
	zone            string
	current, wanted float64
}

// mergeZones returns the changes between two lists of shares, by zone.
func mergeZones(current, wanted []Share) []change {
	var out []change
	for len(current) > 0 || len(wanted) > 0 {
		switch {
		case len(wanted) == 0 || len(current) > 0 && current[0].Zone < wanted[0].Zone:
			out = append(out, change{current[0].Zone, current[0].Share, 0})
			current = current[1:]
		case len(current) == 0 || wanted[0].Zone < current[0].Zone:
			out = append(out, change{wanted[0].Zone, 0, wanted[0].Share})
			wanted = wanted[1:]
		default:
			out = append(out, change{current[0].Zone, current[0].Share, wanted[0].Share})
			current, wanted = current[1:], wanted[1:]
		}
	}
	return out
}
