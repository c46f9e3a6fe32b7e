package node

import (
	"fmt"
	"slices"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
	"carobshunt/internal/core/spillover"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
)

// This file prepares the views from which spillover.Policy decides how many short prompts leave this host's availability
// zone, and reports what it has decided.

// Spillover configures the sending of short prompts to other availability zones.
type Spillover struct {
	// Enabled is set if the load of the zones decides; otherwise an engine of another zone has a fixed cost.
	Enabled bool
	// BytePrice is the price of a byte between zones, in answers to short prompts.
	BytePrice float64
}

// spilloverState is what this host has decided, by service, and has sent to other zones.
type spilloverState struct {
	services map[string]*serviceSpillover
	updated  core.Time
	// zones are the known zones, sorted.
	zones []string
	// speedsOf is the document to which the services belong.
	speedsOf *document.Document
	crossed  api.CrossingCounts
	// requestBytes is the moving average of the sizes of short prompts.
	requestBytes float64
}

// serviceSpillover is the decision for one service.
type serviceSpillover struct {
	policy    *spillover.Policy
	objective time.Duration
	// reported is the number of whole tenths of the share in the last report, and leaves whether it was above 0.
	reported int
	leaves   bool
}

func newSpilloverState() spilloverState {
	return spilloverState{services: make(map[string]*serviceSpillover), updated: -spillover.Interval}
}

// Zone implements route.Spillover.
func (s *spilloverState) Zone(service string, draw float64) string {
	if one := s.services[service]; one != nil {
		return one.policy.Zone(draw)
	}
	return ""
}

// updateSpillover updates the shares, at most once in spillover.Interval.
func (n *Node) updateSpillover() {
	if !n.opts.Spillover.Enabled || n.opts.Policy != PolicyPacked || n.opts.Zone == "" || n.now-n.spill.updated < spillover.Interval {
		return
	}
	n.spill.updated = n.now
	n.updateSpilloverServices()
	views := n.zoneViews()
	for _, name := range sortedServices(n.spill.services) {
		s := n.spill.services[name]
		s.policy.Update(n.now, views[name])
		n.reportSpillover(name, s)
	}
}

func sortedServices(services map[string]*serviceSpillover) []string {
	out := make([]string, 0, len(services))
	for name := range services {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// updateSpilloverServices adds the services with engines of published speed in the document in force, and removes those that it no
// longer has.
func (n *Node) updateSpilloverServices() {
	doc := n.config.Document()
	if doc == n.spill.speedsOf {
		return
	}
	n.spill.speedsOf = doc
	old := n.spill.services
	n.spill.services = make(map[string]*serviceSpillover)
	for i := range doc.Services {
		name := doc.Services[i].Name
		if doc.Services[i].Engine == nil {
			continue
		}
		s := old[name]
		if s == nil {
			s = &serviceSpillover{policy: spillover.New()}
		}
		s.objective = firstTokenObjective(doc, name)
		n.spill.services[name] = s
	}
}

// firstTokenObjective returns the smallest first-token target of the routes that lead to a service; 0 if there is none.
func firstTokenObjective(doc *document.Document, service string) time.Duration {
	smallest := time.Duration(0)
	for i := range doc.Routes {
		r := &doc.Routes[i]
		if r.HasService(service) && (smallest == 0 || r.FirstTokenTarget() < smallest) {
			smallest = r.FirstTokenTarget()
		}
	}
	return smallest
}

// zonedHosts are the reachable hosts and the zones, as of one update.
type zonedHosts struct {
	// zones are the zones of hosts and targets, sorted; own and indexOf are positions there.
	zones   []string
	own     int
	indexOf map[string]int
	// zoneOf holds the zones of the hosts by peer address, -1 for unknown, reachable their number of each zone.
	zoneOf    map[string]int
	reachable []int
	// age is the age of the load digests; negative if it is unknown.
	age time.Duration
}

// zonedHosts returns the hosts and zones that are known now.
func (n *Node) zonedHosts() *zonedHosts {
	z := &zonedHosts{indexOf: map[string]int{n.opts.Zone: 0}, zoneOf: make(map[string]int, len(n.peers.Addresses())+1)}
	for _, address := range n.peers.Addresses() {
		z.indexOf[n.peers.Get(address).Last.Zone] = 0
	}
	for _, t := range n.targets.All() {
		z.indexOf[t.Zone] = 0
	}
	delete(z.indexOf, "")
	for zone := range z.indexOf {
		z.zones = append(z.zones, zone)
	}
	slices.Sort(z.zones)
	for i, zone := range z.zones {
		z.indexOf[zone] = i
	}
	z.own = z.indexOf[n.opts.Zone]
	z.reachable = make([]int, len(z.zones))
	z.reachable[z.own]++
	z.zoneOf[n.opts.Peer] = z.own
	ages := make([]time.Duration, 0, len(n.peers.Addresses()))
	for _, address := range n.peers.Addresses() {
		p := n.peers.Get(address)
		zone, ok := z.indexOf[p.Last.Zone]
		if !ok {
			zone = -1
		}
		z.zoneOf[address] = zone
		if !p.Alive(n.now) {
			continue
		}
		if ok {
			z.reachable[zone]++
		}
		if n.sameCell(address) {
			ages = append(ages, n.digestAge(address))
		}
	}
	z.age = viewAge(ages)
	return z
}

// digestAge returns the age of a peer's load digest: of one that came by datagram, since heartbeats are too rare.
func (n *Node) digestAge(peer string) time.Duration {
	if _, at, ok := n.loads.LastReceived(peer); ok {
		return n.now - at
	}
	return spillover.MaxAge
}

// silentDivisor is the part of the reachable hosts whose digests may be older than the view counts as: one host of many that
// is about to be found dead changes little in the sums, and would else end spillover everywhere for a moment.
const silentDivisor = 8

// viewAge returns the age of a view of which the digests have these ages; 0 without other hosts.
func viewAge(ages []time.Duration) time.Duration {
	if len(ages) == 0 {
		return 0
	}
	slices.Sort(ages)
	return ages[len(ages)-1-len(ages)/silentDivisor]
}

// zoneViews returns the view of each service.
func (n *Node) zoneViews() map[string]*spillover.View {
	hosts := n.zonedHosts()
	n.spill.zones = hosts.zones
	suspects := n.targets.Suspects(n.now)
	out := make(map[string]*spillover.View, len(n.spill.services))
	for name, s := range n.spill.services {
		v := &spillover.View{
			Own: n.opts.Zone, Age: hosts.age, LinkSuspected: suspects.Link, Objective: s.objective,
			RequestBytes: n.spill.requestBytes, BytePrice: n.opts.Spillover.BytePrice,
		}
		engine := n.publishedEngine(name)
		for i, zone := range hosts.zones {
			z := spillover.Zone{Name: zone, Hosts: hosts.reachable[i], Suspected: slices.Contains(suspects.Zones, zone)}
			if engine != nil {
				z.Delay = engine.Delay(n.opts.Zone, zone)
			}
			v.Zones = append(v.Zones, z)
		}
		out[name] = v
	}
	for _, t := range n.targets.All() {
		zone, ok := hosts.indexOf[t.Zone]
		if !ok || t.Engine == nil || !t.Eligible(n.now) {
			continue
		}
		for _, service := range t.Models {
			if v := out[service]; v != nil {
				n.addEngine(v, t, zone, hosts)
			}
		}
	}
	return out
}

// addEngine adds an engine of a zone to a view. It sums integers only: the hosts come in no particular order.
func (n *Node) addEngine(v *spillover.View, t *target.Target, zone int, hosts *zonedHosts) {
	z := &v.Zones[zone]
	total := t.Total()
	z.Engines++
	z.Slots += t.Slots
	if !t.Limited() {
		z.UnlimitedSlots += t.Slots
	}
	z.Streams += total.Streams
	pending := total.Ahead(0)
	backlogPerToken := 0.0
	if pending > 0 {
		backlogPerToken = float64(spillover.CountedBacklog(route.PendingPrefill(t), v.Objective)) / float64(pending)
	}
	t.EachPlaced(n.opts.Peer, func(peer string, load *target.Load) {
		from, ok := hosts.zoneOf[peer]
		if !ok || from < 0 {
			from = zone // what a host without a known zone has sent counts as the demand of the zone where it is
		}
		if from == hosts.own {
			z.FromOwnZone += load.Streams
		}
		v.Zones[from].DemandStreams += load.Streams
		v.Zones[from].DemandBacklog += time.Duration(float64(load.Ahead(0)) * backlogPerToken)
	})
}

// reportHysteresis is how far the share must be below a tenth that it has passed for another report, so that one that
// varies around a tenth is not reported again and again.
const reportHysteresis = 0.05

const tenths = 10

// reportSpillover reports a share that has passed 0 or another tenth since the last report.
func (n *Node) reportSpillover(service string, s *serviceSpillover) {
	share := s.policy.Total()
	reached, left := int(share*tenths), int((share+reportHysteresis)*tenths)
	if leaves := share > 0; leaves == s.leaves && reached <= s.reported && left >= s.reported {
		return
	}
	s.reported, s.leaves = reached, share > 0
	text := fmt.Sprintf("%s: %.2f of the short prompts of zone %s", service, share, n.opts.Zone)
	for _, one := range s.policy.Shares() {
		text += fmt.Sprintf(", %.2f to %s", one.Share, one.Zone)
	}
	n.do(StateChange{Event: EventSpillover, Text: text})
}

// bytesSmoothing is the weight of the last short prompt in their mean size.
const bytesSmoothing = 0.01

// countCrossing counts a dispatch to an engine of another zone, unless it adopts a stream that runs there already.
func (n *Node) countCrossing(rec *ledger.Record, t *target.Target) {
	adopted := rec.LastDispatch == 1 && rec.Request.Adopt.Target == t.Address
	if rec.Request.Routed == nil || t.Engine == nil || n.opts.Zone == "" || adopted {
		return
	}
	short := !route.IsLong(rec)
	if short {
		n.spill.requestBytes += bytesSmoothing * (float64(rec.Request.BodyBytes) - n.spill.requestBytes)
	}
	if t.Zone == n.opts.Zone {
		return
	}
	c := &n.spill.crossed
	c.Bytes += uint64(max(rec.Request.BodyBytes, 0))
	switch {
	case !short:
		c.Long++
	case rec.LeftFor == t.Zone:
		c.Share++
	default:
		c.Cost++
	}
}

// spilloverStatus returns the share of each service and each other zone.
func (n *Node) spilloverStatus() []api.SpilloverShare {
	var out []api.SpilloverShare
	for _, name := range sortedServices(n.spill.services) {
		policy := n.spill.services[name].policy
		for _, zone := range n.spill.zones {
			if zone != n.opts.Zone {
				out = append(out, api.SpilloverShare{Service: name, Zone: zone, Share: policy.ShareTo(zone)})
			}
		}
	}
	return out
}
